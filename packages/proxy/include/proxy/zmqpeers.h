/// \file
/// Peer transport over ZeroMQ: one ROUTER socket for requests of other proxies
/// and one DEALER socket per peer that this proxy talks to.

#ifndef EELGRASSLOOM_PROXY_ZMQPEERS_H
#define EELGRASSLOOM_PROXY_ZMQPEERS_H

#include "proxy/peers.h"
#include "runtime/clock.h"
#include "runtime/events.h"
#include "runtime/metrics.h"
#include <atomic>
#include <memory>

namespace eelgrassloom {

/// Version in every peer message; messages of other versions are dropped.
inline constexpr std::uint32_t PeerProtocolVersion = 1;

struct ZmqPeersContext {
  PeerIdentity Self;
  std::shared_ptr<Clock> Time;
  std::shared_ptr<EventLog> Events;
  std::shared_ptr<ProxyMetrics> Meters;
  /// Stamped on every message; the control thread raises it.
  std::shared_ptr<std::atomic<std::uint64_t>> Incarnation;
};

/// The receiver is set after construction because it usually refers to parts
/// that need the transport themselves.
class ZmqPeers : public PeerTransport {
public:
  /// Throws std::runtime_error if the address can't be bound.
  static std::shared_ptr<ZmqPeers> create(ZmqPeersContext Context);

  /// Requests that arrive before this call are dropped.
  virtual void setReceiver(PeerReceiver Receiver) = 0;

  /// Ends the thread; exchanges in progress end as TimedOut or NotSent.
  virtual void stop() = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_ZMQPEERS_H
