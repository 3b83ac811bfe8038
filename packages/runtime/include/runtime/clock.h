/// \file
/// The only source of time in the processes. Tests use a paused clock and
/// advance it.

#ifndef EELGRASSLOOM_RUNTIME_CLOCK_H
#define EELGRASSLOOM_RUNTIME_CLOCK_H

#include "kernel/time.h"
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace eelgrassloom {

class Clock {
public:
  static std::shared_ptr<Clock> system();
  /// Stands still at \p Start until it is advanced.
  static std::shared_ptr<Clock> paused(Instant Start = Instant{});

  Instant now() const;
  /// Microseconds since 1970; for logs and request ages only.
  std::int64_t wallMicros() const;

  /// Moves a paused clock and wakes its waiters.
  void advance(Duration D);

  /// Waits until \p Ready returns true or \p Until is reached; returns the
  /// last value of \p Ready. \p Lock is held when \p Ready is called. A caller
  /// that makes \p Ready true notifies \p Condition.
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
