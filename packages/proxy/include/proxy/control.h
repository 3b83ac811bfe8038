/// \file
/// The control thread owns all control state of the process: configuration,
/// membership, ownership of upstreams, primary records and promotions. It
/// publishes immutable snapshots of this state to the data path.

#ifndef EELGRASSLOOM_PROXY_CONTROL_H
#define EELGRASSLOOM_PROXY_CONTROL_H

#include "operator.pb.h"
#include "proxy/datapath.h"
#include "proxy/observer.h"
#include "proxy/peers.h"
#include "proxy/platform.h"
#include "proxy/snapshot.h"
#include "runtime/clock.h"
#include "runtime/events.h"
#include "runtime/metrics.h"
#include "runtime/settings.h"
#include <atomic>
#include <functional>
#include <memory>

namespace eelgrassloom {

/// Dependencies of the control thread on the rest of the process.
struct ControlContext {
  Settings Options;
  std::shared_ptr<Clock> Time;
  std::shared_ptr<EventLog> Events;
  std::shared_ptr<ProxyMetrics> Meters;
  std::shared_ptr<SnapshotHolder> Snapshots;
  std::shared_ptr<PeerTransport> Peers;
  /// Incarnation of this process, stamped on peer messages.
  std::shared_ptr<std::atomic<std::uint64_t>> Incarnation;
  const PlatformAdapter *Platform = nullptr;
  std::shared_ptr<PlatformClient> PlatformConnection;
  const UpstreamAdapter *Upstreams = nullptr;
  /// Seed of the control thread's random generator.
  std::uint64_t Seed = 0;
};

/// Receives the status of this proxy, on the control thread.
using StatusHandler = std::function<void(operators::v1::StatusAnswer)>;

/// Interface to the control thread. All methods are thread-safe. Only stop()
/// waits for the control thread.
class Control {
public:
  static std::shared_ptr<Control> create(ControlContext Context);
  virtual ~Control() = default;

  /// Starts the thread. It notifies \p Path of every published snapshot.
  virtual void start(std::shared_ptr<DataPath> Path) = 0;
  /// Ends the thread and announces the exit of this proxy to some peers, so
  /// that they need not suspect it first.
  virtual void stop() = 0;

  /// Callbacks through which the data path reports to the control thread.
  virtual Observer observer() = 0;

  /// Queues a peer message that concerns the control thread. Drops and counts
  /// it if the queue is full.
  virtual void received(const peer::v1::PeerMessage &Message,
                        PeerResponder Respond) = 0;

  /// Calls \p Done on the control thread with the current status, unless the
  /// thread ends before.
  virtual void status(StatusHandler Done) = 0;

  /// Makes the control thread read the key `config` from the platform without
  /// waiting for the next regular read. Called after a plan was confirmed.
  virtual void refresh() = 0;

  /// Announces to the peers that this proxy is leaving and publishes a
  /// snapshot that is marked as draining.
  virtual void drain() = 0;

  /// Runs one tick at the current time. For tests that don't start the thread.
  virtual void step() = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_CONTROL_H
