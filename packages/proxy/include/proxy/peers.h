/// \file
/// Transport between proxies: ZeroMQ sockets owned by one thread.

#ifndef EELGRASSLOOM_PROXY_PEERS_H
#define EELGRASSLOOM_PROXY_PEERS_H

#include "kernel/time.h"
#include "peer.pb.h"
#include <functional>
#include <memory>
#include <string>

namespace eelgrassloom {

enum class PeerCode : std::uint8_t {
  Ok,
  /// Never handed to the socket: the receiver did not see it.
  NotSent,
  /// Sent, but no answer within the timeout.
  TimedOut,
};

using PeerAnswerHandler =
    std::function<void(PeerCode, const peer::v1::PeerMessage &)>;

/// Answers a received request; may be called later and from any thread.
using PeerResponder = std::function<void(peer::v1::PeerMessage)>;

/// Called on the transport thread; must not block.
using PeerReceiver =
    std::function<void(const peer::v1::PeerMessage &, PeerResponder)>;

/// What identifies this process in every message.
struct PeerIdentity {
  std::string Fleet;
  std::string Id;
  /// IP:port to listen on.
  std::string Listen;
};

class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  /// Sends without an answer.
  virtual void send(const std::string &Address,
                    peer::v1::PeerMessage Message) = 0;

  /// Sends and waits for the answer with the same exchange id. \p Done runs
  /// exactly once, on the transport thread. A timeout replaces the socket.
  virtual void request(const std::string &Address,
                       peer::v1::PeerMessage Message, Duration Timeout,
                       PeerAnswerHandler Done) = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_PEERS_H
