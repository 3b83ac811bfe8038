/// \file
/// Clock of the program eelgrassloom. Its code takes the time from here, apart
/// from the deadlines of gRPC calls, so that tests can use a paused clock and
/// advance it. The program eelgrassloom-platform uses RuntimeHooks::Now
/// instead.

#ifndef EELGRASSLOOM_RUNTIME_CLOCK_H
#define EELGRASSLOOM_RUNTIME_CLOCK_H

#include "kernel/time.h"
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace eelgrassloom {

/// A monotonic clock with a wall time. Thread-safe.
class Clock {
public:
  /// The clock of the operating system.
  static std::shared_ptr<Clock> system();
  /// A clock that starts at \p Start and moves only by advance().
  static std::shared_ptr<Clock> paused(Instant Start = Instant{});

  Instant now() const;
  /// Microseconds since 1970; use it for logs and request ages only. A paused
  /// clock returns its now() in microseconds.
  std::int64_t wallMicros() const;

  /// Moves a paused clock; its waiters notice after about 1 ms of real time.
  /// Throws std::logic_error if the clock is not paused.
  void advance(Duration D);

  /// Waits until \p Ready returns true or \p Until is reached, and returns the
  /// last value of \p Ready. \p Lock is held while \p Ready is called. The
  /// thread that makes \p Ready true must notify \p Condition.
  bool waitUntil(std::unique_lock<std::mutex> &Lock,
                 std::condition_variable &Condition, Instant Until,
                 const std::function<bool()> &Ready);

private:
  explicit Clock(bool IsPaused, Instant Start)
      : IsPaused(IsPaused), PausedNow(Start) {}

  const bool IsPaused;
  mutable std::mutex Mutex;
  Instant PausedNow;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_RUNTIME_CLOCK_H
