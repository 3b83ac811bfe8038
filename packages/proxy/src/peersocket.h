/// \file
/// The DEALER socket of a peer and the exchanges in progress on it. Used on the
/// transport thread only.

#ifndef EELGRASSLOOM_PROXY_PEERSOCKET_H
#define EELGRASSLOOM_PROXY_PEERSOCKET_H

#include "kernel/time.h"
#include "proxy/peers.h"
#include <deque>
#include <map>
#include <zmq.hpp>

namespace eelgrassloom::detail {

/// A message to a peer.
struct Outgoing {
  std::string Address;
  peer::v1::PeerMessage Message;
  /// Null if the message expects no answer.
  PeerAnswerHandler Done;
  Instant Deadline;
};

/// A socket and its exchanges.
struct PeerSocket {
  std::string Address;
  zmq::socket_t Socket;
  /// Messages that wait for the connection to be established.
  std::deque<Outgoing> Unsent;
  /// Sent requests that wait for an answer, by exchange id.
  std::map<std::uint64_t, Outgoing> Sent;
  Instant LastUsed;
  /// An exchange timed out or the socket was idle. It takes no new messages and
  /// is closed when its last exchange has ended.
  bool Retired = false;
};

/// Messages to one peer that may wait for its connection.
inline constexpr std::size_t MaxQueuedMessagesPerPeer = 1000;

/// Opens a socket and starts to connect it to the address.
PeerSocket openPeerSocket(zmq::context_t &Context, const std::string &Address);

/// Queues a message. If the queue is full, ends the exchange with NotSent and
/// returns false.
bool enqueue(PeerSocket &P, Outgoing &&O);

/// Sends queued messages until the connection accepts no more.
void flush(PeerSocket &P);

/// Ends the exchanges whose deadline has passed: with TimedOut if the message
/// was sent, otherwise with NotSent. Returns true if a sent exchange timed out.
bool expire(PeerSocket &P, Instant Now);

/// Ends every exchange: with TimedOut if the message was sent, otherwise with
/// NotSent.
void endAllExchanges(PeerSocket &P);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_PEERSOCKET_H
