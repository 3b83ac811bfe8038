/// \file
/// Interface of the message transport between proxies. zmqpeers.h implements it
/// over ZeroMQ; tests use fakes.

#ifndef EELGRASSLOOM_PROXY_PEERS_H
#define EELGRASSLOOM_PROXY_PEERS_H

#include "kernel/time.h"
#include "peer.pb.h"
#include <functional>
#include <memory>
#include <string>

namespace eelgrassloom {

/// Result of a request to a peer.
enum class PeerCode : std::uint8_t {
  Ok,
  /// The message was never handed to a connected socket, so the receiver can't
  /// have acted on it.
  NotSent,
  /// The message was sent, but no answer arrived within the timeout. The
  /// receiver may have acted on it.
  TimedOut,
};

/// The message is empty unless the code is Ok.
using PeerAnswerHandler =
    std::function<void(PeerCode, const peer::v1::PeerMessage &)>;

/// Sends the answer to a received request. May be called later and from any
/// thread. Does nothing for a message that expects no answer.
using PeerResponder = std::function<void(peer::v1::PeerMessage)>;

/// Handles a received message. Called on the transport thread and must not
/// block.
using PeerReceiver =
    std::function<void(const peer::v1::PeerMessage &, PeerResponder)>;

/// Identity of this process, sent in every message.
struct PeerIdentity {
  std::string Fleet;
  std::string Id;
  /// IP:port to listen on.
  std::string Listen;
};

/// Sends messages to other proxies. All methods are thread-safe.
class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  /// Sends a message that expects no answer.
  virtual void send(const std::string &Address,
                    peer::v1::PeerMessage Message) = 0;

  /// Sends a request; its answer has the same exchange id. \p Done runs exactly
  /// once, on the transport thread. After a timeout the next message to the
  /// peer uses a new socket.
  virtual void request(const std::string &Address,
                       peer::v1::PeerMessage Message, Duration Timeout,
                       PeerAnswerHandler Done) = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_PEERS_H
