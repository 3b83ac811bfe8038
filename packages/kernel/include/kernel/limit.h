/// \file
/// Concurrency limit of an upstream. It falls when statements take longer than
/// the measured minimum and rises again up to the configured slots.

#ifndef EELGRASSLOOM_KERNEL_LIMIT_H
#define EELGRASSLOOM_KERNEL_LIMIT_H

#include "kernel/model.h"
#include <array>

namespace eelgrassloom {

struct LimitOptions {
  /// Latency above this multiple of the minimum means contention.
  double Tolerance = 2;
  /// The limit changes once per window of this many samples of one level.
  unsigned WindowSamples = 20;
  /// A minimum older than this is measured again.
  Duration MinimumAge = std::chrono::seconds(30);
};

/// Latency of one priority level; levels differ too much to share a minimum.
struct LatencyWindow {
  unsigned Samples = 0;
  Duration WindowMinimum = Duration::max();
  /// Minima of the current and the previous period of MinimumAge.
  Duration CurrentMinimum = Duration::max();
  Duration PreviousMinimum = Duration::max();
  Instant PeriodStart;
};

struct LimitState {
  LimitOptions Options;
  unsigned Slots = 1;
  /// Between 1 and Slots; fractions accumulate across windows.
  double Value = 1;
  std::array<LatencyWindow, PriorityCount> Windows;
};

/// Starts at the configured slots, at least 1.
LimitState makeLimit(unsigned Slots, const LimitOptions &Options = {});

/// Statements that may run at the same time.
unsigned limit(const LimitState &S);

/// Applies a changed configuration.
void setSlots(LimitState &S, unsigned Slots);

/// Records a complete answer. \p Latency excludes queueing in the proxy and
/// waits for a log position.
void recordLatency(LimitState &S, Priority P, Duration Latency, Instant Now);

/// Records that the upstream refused a statement because it is overloaded.
void recordOverload(LimitState &S);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_LIMIT_H
