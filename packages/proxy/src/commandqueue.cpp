#include "commandqueue.h"
#include <cerrno>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace eelgrassloom::detail {

WakeUp::WakeUp() : Descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (Descriptor < 0)
    throw std::system_error(errno, std::generic_category(), "eventfd");
}

WakeUp::~WakeUp() { close(Descriptor); }

void WakeUp::signal() const {
  std::uint64_t One = 1;
  // The write fails only if the counter is full, and then the thread wakes
  // anyway.
  (void)!write(Descriptor, &One, sizeof One);
}

void WakeUp::clear() const {
  std::uint64_t Count = 0;
  (void)!read(Descriptor, &Count, sizeof Count);
}

void post(CommandQueue &Queue, Outgoing &&O) {
  {
    std::lock_guard<std::mutex> Lock(Queue.Mutex);
    if (Queue.Out.size() < MaxQueuedCommands && !Queue.Stopping)
      Queue.Out.push_back(std::move(O));
    else if (O.Done)
      Queue.Refused.push_back(std::move(O.Done));
  }
  Queue.Wake.signal();
}

void post(CommandQueue &Queue, Reply &&R) {
  {
    std::lock_guard<std::mutex> Lock(Queue.Mutex);
    // A dropped answer has the same effect as one that is lost on the network:
    // the requester times out.
    if (Queue.Replies.size() >= MaxQueuedCommands || Queue.Stopping)
      return;
    Queue.Replies.push_back(std::move(R));
  }
  Queue.Wake.signal();
}

} // namespace eelgrassloom::detail
