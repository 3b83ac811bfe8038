/// \file
/// One connection to a peer and the exchanges in progress on it. Used on the
/// transport thread only.

#ifndef EELGRASSLOOM_PROXY_PEERSOCKET_H
#define EELGRASSLOOM_PROXY_PEERSOCKET_H

#include "kernel/time.h"
#include "proxy/peers.h"
#include <deque>
#include <map>
#include <zmq.hpp>

namespace eelgrassloom::detail {

struct Outgoing {
  std::string Address;
  peer::v1::PeerMessage Message;
  /// Null for messages without an answer.
  PeerAnswerHandler Done;
  Instant Deadline;
};

struct PeerSocket {
  std::string Address;
  zmq::socket_t Socket;
  /// Waiting until the connection is established.
  std::deque<Outgoing> Unsent;
  /// Sent exchanges by exchange id.
  std::map<std::uint64_t, Outgoing> Sent;
  Instant LastUsed;
  /// An exchange timed out: the socket takes no new messages and is closed
  /// when its last exchange has ended.
  bool Retired = false;
};

/// Messages of one peer that may wait for its connection.
inline constexpr std::size_t PeerQueueLimit = 1000;

/// Opens a socket that starts to connect to the address.
PeerSocket openPeer(zmq::context_t &Context, const std::string &Address);

/// Queues a message; returns false if the queue is full.
bool enqueue(PeerSocket &P, Outgoing &&O);

/// Sends what the connection takes.
void flush(PeerSocket &P);

/// Ends exchanges whose deadline has passed. Returns true if a sent exchange
/// timed out.
bool expire(PeerSocket &P, Instant Now);

/// Ends every exchange.
void abandon(PeerSocket &P);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_PEERSOCKET_H
