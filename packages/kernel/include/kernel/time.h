/// \file
/// Types for time in the kernel. The kernel never reads a clock; every function
/// that depends on time receives the current instant as an argument.

#ifndef EELGRASSLOOM_KERNEL_TIME_H
#define EELGRASSLOOM_KERNEL_TIME_H

#include <chrono>

namespace eelgrassloom {

using Duration = std::chrono::nanoseconds;

/// Clock type of the monotonic clock of one process.
struct ProcessClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<ProcessClock, Duration>;
};

/// A time point of the monotonic clock of one process. Instants of different
/// processes can't be compared.
using Instant = ProcessClock::time_point;

/// Whole milliseconds of a duration, rounded down.
constexpr long long toMillis(Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D).count();
}

/// Whole microseconds of a duration, for messages between proxies.
inline std::int64_t toMicros(Duration D) {
  return std::chrono::duration_cast<std::chrono::microseconds>(D).count();
}

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_TIME_H
