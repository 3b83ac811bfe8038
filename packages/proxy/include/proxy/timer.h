/// \file
/// Runs functions at given instants of the runtime's clock.

#ifndef EELGRASSLOOM_PROXY_TIMER_H
#define EELGRASSLOOM_PROXY_TIMER_H

#include "runtime/clock.h"
#include <cstdint>
#include <functional>
#include <memory>

namespace eelgrassloom {

/// Thread-safe. Functions run on the timer's thread one after another, without
/// any lock held, and must not block.
class Timer {
public:
  using Id = std::uint64_t;

  /// Starts the timer's thread.
  static std::shared_ptr<Timer> create(std::shared_ptr<Clock> Time);
  /// Has no thread; functions run inside runDue(). For tests on a paused clock.
  static std::shared_ptr<Timer> manual(std::shared_ptr<Clock> Time);
  /// Ends the thread; functions that have not started yet never run.
  ~Timer();
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Schedules a function; the id can be passed to cancel().
  Id at(Instant When, std::function<void()> Run);
  Id after(Duration Delay, std::function<void()> Run);
  /// Removes a function that has not started yet; does nothing otherwise.
  void cancel(Id Which);
  /// Runs the functions that are due now on the calling thread and returns
  /// their number.
  std::size_t runDue();

private:
  struct State;
  explicit Timer(std::shared_ptr<State> S) : Shared(std::move(S)) {}
  std::shared_ptr<State> Shared;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_TIMER_H
