/// \file
/// Peer transport over ZeroMQ: one ROUTER socket for the requests of other
/// proxies and one DEALER socket for each peer that this proxy sends to. One
/// thread owns all sockets.

#ifndef EELGRASSLOOM_PROXY_ZMQPEERS_H
#define EELGRASSLOOM_PROXY_ZMQPEERS_H

#include "proxy/peers.h"
#include "runtime/clock.h"
#include "runtime/events.h"
#include "runtime/metrics.h"
#include <atomic>
#include <memory>

namespace eelgrassloom {

/// Protocol version in every peer message. Received messages of another version
/// are dropped.
inline constexpr std::uint32_t PeerProtocolVersion = 1;

/// Dependencies of the transport on the rest of the process.
struct ZmqPeersContext {
  PeerIdentity Self;
  std::shared_ptr<Clock> Time;
  std::shared_ptr<EventLog> Events;
  std::shared_ptr<ProxyMetrics> Meters;
  /// Sent in every message. The control thread raises it when this proxy
  /// refutes a suspicion or was paused.
  std::shared_ptr<std::atomic<std::uint64_t>> Incarnation;
};

/// Peer transport over ZeroMQ. The receiver is set after construction because
/// it usually refers to objects that need the transport themselves.
class ZmqPeers : public PeerTransport {
public:
  /// Binds the listening address and starts the thread. Throws
  /// std::runtime_error if the address can't be bound.
  static std::shared_ptr<ZmqPeers> create(ZmqPeersContext Context);

  /// Sets the handler of received messages. Messages that arrive before this
  /// call are dropped.
  virtual void setReceiver(PeerReceiver Receiver) = 0;

  /// Ends the thread. Exchanges in progress end with TimedOut or NotSent.
  virtual void stop() = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_ZMQPEERS_H
