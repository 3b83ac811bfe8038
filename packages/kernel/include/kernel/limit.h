/// \file
/// Adaptive concurrency limit of an upstream. It falls when the latency of
/// statements exceeds the measured minimum by a factor, and rises again up to
/// the configured slots.

#ifndef EELGRASSLOOM_KERNEL_LIMIT_H
#define EELGRASSLOOM_KERNEL_LIMIT_H

#include "kernel/model.h"
#include <array>

namespace eelgrassloom {

struct LimitOptions {
  /// Multiple of the minimum latency above which there is contention.
  double Tolerance = 2;
  /// Samples of one priority after which the limit is adjusted.
  unsigned WindowSamples = 20;
  /// The minimum is taken over the current and the previous period of this
  /// length, so that an older minimum no longer counts and is measured again.
  Duration MinimumAge = std::chrono::seconds(30);
};

/// Latency of one priority. Latencies of different priorities differ too much
/// to share a minimum.
struct LatencyWindow {
  unsigned Samples = 0;
  Duration WindowMinimum = Duration::max();
  /// Minima of the current and the previous period of MinimumAge.
  Duration CurrentMinimum = Duration::max();
  Duration PreviousMinimum = Duration::max();
  Instant PeriodStart;
};

/// State of the limit of one upstream.
struct LimitState {
  LimitOptions Options;
  unsigned Slots = 1;
  /// Current limit, between 1 and Slots. The fraction is kept so that small
  /// changes accumulate over several windows.
  double Value = 1;
  std::array<LatencyWindow, PriorityCount> Windows;
};

/// A limit that starts at the configured slots, at least 1.
LimitState makeLimit(unsigned Slots, const LimitOptions &Options = {});

/// Maximum number of statements that run at the same time.
unsigned limit(const LimitState &S);

/// Changes the configured slots. A limit at its maximum follows them.
void setSlots(LimitState &S, unsigned Slots);

/// Records a complete answer. \p Latency must exclude queueing in the proxy and
/// waiting for a log position.
void recordLatency(LimitState &S, Priority P, Duration Latency, Instant Now);

/// Records that the upstream refused a statement because it is overloaded.
void recordOverload(LimitState &S);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_LIMIT_H
