#include "runtime/clock.h"
#include <stdexcept>

namespace eelgrassloom {
namespace detail {

/// Interval of real time at which waiters of a paused clock check it.
constexpr std::chrono::milliseconds PausedCheckInterval{1};

} // namespace detail

std::shared_ptr<Clock> Clock::system() {
  return std::shared_ptr<Clock>(new Clock(false, Instant{}));
}

std::shared_ptr<Clock> Clock::paused(Instant Start) {
  return std::shared_ptr<Clock>(new Clock(true, Start));
}

Instant Clock::now() const {
  if (!IsPaused)
    return Instant(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  std::lock_guard<std::mutex> Lock(Mutex);
  return PausedNow;
}

std::int64_t Clock::wallMicros() const {
  if (IsPaused)
    return std::chrono::duration_cast<std::chrono::microseconds>(
               now().time_since_epoch())
        .count();
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Clock::advance(Duration D) {
  if (!IsPaused)
    throw std::logic_error("only a paused clock can be advanced");
  std::lock_guard<std::mutex> Lock(Mutex);
  PausedNow += D;
}

bool Clock::waitUntil(std::unique_lock<std::mutex> &Lock,
                      std::condition_variable &Condition, Instant Until,
                      const std::function<bool()> &Ready) {
  while (!Ready()) {
    Duration Left = Until - now();
    if (Left <= Duration::zero())
      return false;
    if (IsPaused)
      Condition.wait_for(Lock, detail::PausedCheckInterval);
    else
      Condition.wait_for(Lock, Left);
  }
  return true;
}

} // namespace eelgrassloom
