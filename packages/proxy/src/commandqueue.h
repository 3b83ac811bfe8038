/// \file
/// The queue between the threads that send peer messages and the transport
/// thread, which alone uses the ZeroMQ sockets.

#ifndef EELGRASSLOOM_PROXY_COMMANDQUEUE_H
#define EELGRASSLOOM_PROXY_COMMANDQUEUE_H

#include "peersocket.h"
#include <mutex>
#include <string>
#include <vector>

namespace eelgrassloom::detail {

/// Largest number of messages, and separately of answers, in the queue of the
/// transport thread.
constexpr std::size_t MaxQueuedCommands = 10000;

/// An answer that is sent back through the ROUTER socket.
struct Reply {
  /// ROUTER identity of the requester.
  std::string Route;
  peer::v1::PeerMessage Message;
};

/// An eventfd that wakes the transport thread.
class WakeUp {
public:
  WakeUp();
  ~WakeUp();
  WakeUp(const WakeUp &) = delete;
  WakeUp &operator=(const WakeUp &) = delete;

  void signal() const;
  void clear() const;
  int descriptor() const { return Descriptor; }

private:
  int Descriptor;
};

/// Messages and answers that other threads hand to the transport thread.
/// Shared, because responders may outlive the transport.
struct CommandQueue {
  std::mutex Mutex;
  std::vector<Outgoing> Out;
  std::vector<Reply> Replies;
  /// Handlers of requests that were refused because the queue was full or the
  /// transport was stopping.
  std::vector<PeerAnswerHandler> Refused;
  PeerReceiver Receiver;
  bool Stopping = false;
  WakeUp Wake;
};

/// Queues a message. Without room, or while the transport stops, its handler is
/// refused on the transport thread.
void post(CommandQueue &Queue, Outgoing &&O);
/// Queues an answer, or drops it.
void post(CommandQueue &Queue, Reply &&R);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_COMMANDQUEUE_H
