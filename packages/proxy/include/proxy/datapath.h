/// \file
/// Runs statements: routes them, queues them for upstreams that this proxy
/// owns, and forwards them to the owners of the others.

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
  const UpstreamAdapter *Upstreams = nullptr;
  /// Created by DataPath::create if null.
  std::shared_ptr<Timer> Timers;
};

using AnswerHandler = std::function<void(caller::v1::RunAnswer)>;
using ForwardHandler = std::function<void(peer::v1::ForwardAnswer)>;

class DataPath {
public:
  static std::shared_ptr<DataPath> create(DataPathContext Context);
  virtual ~DataPath() = default;

  /// Runs a caller's request; \p Done is called exactly once, on any thread.
  virtual void run(const caller::v1::RunRequest &Request,
                   AnswerHandler Done) = 0;

  /// Runs a statement that another proxy forwarded to this owner.
  virtual void runForwarded(const peer::v1::Forward &Request,
                            ForwardHandler Done) = 0;

  /// Called by the control thread after it published a snapshot: opens and
  /// closes queues and connections of owned upstreams.
  virtual void snapshotChanged() = 0;

  /// Latest observations of the owned upstreams of a database.
  virtual peer::v1::StatusReport report(const std::string &Database) const = 0;

  virtual std::vector<OwnedUpstream> owned() const = 0;

  /// Requests and open transactions in progress, including forwarded ones.
  virtual std::size_t inProgress() const = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_DATAPATH_H
