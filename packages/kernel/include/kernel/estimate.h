/// \file
/// Running estimate of a duration, such as a service time, from samples.

#ifndef EELGRASSLOOM_KERNEL_ESTIMATE_H
#define EELGRASSLOOM_KERNEL_ESTIMATE_H

#include "kernel/time.h"

namespace eelgrassloom {

/// Smoothed mean and mean deviation, as for the retransmission timer of TCP.
/// Both are zero without a sample.
struct TimeEstimate {
  Duration Mean{0};
  Duration Deviation{0};
};

void addSample(TimeEstimate &E, Duration Sample);

/// Mean plus deviation, an upper bound of most samples; zero without a sample.
Duration upperEstimate(const TimeEstimate &E);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_ESTIMATE_H
