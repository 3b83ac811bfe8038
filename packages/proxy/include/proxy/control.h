/// \file
/// The control thread: owns all control state of the process and publishes
/// snapshots of it to the data path.

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

/// What the control thread needs from the rest of the process.
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
  std::uint64_t Seed = 0;
};

using StatusHandler = std::function<void(operators::v1::StatusAnswer)>;

/// All methods are thread-safe and return without waiting for the control
/// thread, except stop().
class Control {
public:
  static std::shared_ptr<Control> create(ControlContext Context);
  virtual ~Control() = default;

  /// Starts the thread. \p Path is told about every published snapshot.
  virtual void start(std::shared_ptr<DataPath> Path) = 0;
  virtual void stop() = 0;

  /// Callbacks for the data path.
  virtual Observer observer() = 0;

  /// Takes a peer message of a control kind.
  virtual void received(const peer::v1::PeerMessage &Message,
                        PeerResponder Respond) = 0;

  /// Reads the state on the control thread.
  virtual void status(StatusHandler Done) = 0;

  /// Reads `config` from the platform soon, after a confirmed plan.
  virtual void refresh() = 0;

  /// Announces to peers that this proxy leaves and publishes a draining
  /// snapshot.
  virtual void drain() = 0;

  /// Runs one tick at the current time; for tests without a thread.
  virtual void step() = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_CONTROL_H
