/// \file
/// The data path: routes requests of callers, runs them on upstreams that this
/// proxy owns, and forwards the others to the owners of their upstreams.

#ifndef EELGRASSLOOM_PROXY_DATAPATH_H
#define EELGRASSLOOM_PROXY_DATAPATH_H

#include "caller.pb.h"
#include "peer.pb.h"
#include "proxy/observer.h"
#include "proxy/peers.h"
#include "proxy/snapshot.h"
#include "proxy/timer.h"
#include "runtime/clock.h"
#include "runtime/events.h"
#include "runtime/metrics.h"
#include "runtime/settings.h"
#include <functional>
#include <memory>
#include <vector>

namespace eelgrassloom {

/// What the data path needs from the rest of the process.
struct DataPathContext {
  Settings Options;
  std::shared_ptr<Clock> Time;
  std::shared_ptr<EventLog> Events;
  std::shared_ptr<ProxyMetrics> Meters;
  std::shared_ptr<SnapshotHolder> Snapshots;
  std::shared_ptr<PeerTransport> Peers;
  Observer Observe;
  /// If null, the adapter that the settings name.
  const UpstreamAdapter *Upstreams = nullptr;
  /// Created by DataPath::create if null.
  std::shared_ptr<Timer> Timers;
};

/// Receives the answer to a request of a caller.
using AnswerHandler = std::function<void(caller::v1::RunAnswer)>;
/// Receives the answer to a forwarded request.
using ForwardHandler = std::function<void(peer::v1::ForwardAnswer)>;

/// Thread-safe.
class DataPath {
public:
  /// Throws std::runtime_error if an adapter or policy that the settings name
  /// is not registered.
  static std::shared_ptr<DataPath> create(DataPathContext Context);
  virtual ~DataPath() = default;

  /// Runs a caller's request; \p Done is called exactly once, on any thread.
  virtual void run(const caller::v1::RunRequest &Request,
                   AnswerHandler Done) = 0;

  /// Runs a request that another proxy forwarded to this proxy as the owner of
  /// the upstream; \p Done is called exactly once, on any thread.
  virtual void runForwarded(const peer::v1::Forward &Request,
                            ForwardHandler Done) = 0;

  /// Called by the control thread after it published a snapshot: opens and
  /// closes queues and connections of owned upstreams.
  virtual void snapshotChanged() = 0;

  /// Latest observations of the owned upstreams of a database.
  virtual peer::v1::StatusReport report(const std::string &Database) const = 0;

  /// Connections and queue length of each owned upstream.
  virtual std::vector<OwnedUpstream> owned() const = 0;

  /// Number of requests and open transactions in progress, including forwarded
  /// ones.
  virtual std::size_t inProgress() const = 0;

  /// Answers all requests of callers that are in progress as unknown, because
  /// the process ends. Their later answers are dropped.
  virtual void abandonRequests() = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_DATAPATH_H
