/// \file
/// Running estimate of how long something takes, from measured times.

#ifndef EELGRASSLOOM_KERNEL_ESTIMATE_H
#define EELGRASSLOOM_KERNEL_ESTIMATE_H

#include "kernel/time.h"

namespace eelgrassloom {

/// Smoothed mean and mean deviation, as for the retransmission timer of TCP.
struct TimeEstimate {
  Duration Mean{0};
  Duration Deviation{0};
};

void addSample(TimeEstimate &E, Duration Sample);

/// Time within which most samples lie; zero without a sample.
Duration upperEstimate(const TimeEstimate &E);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_ESTIMATE_H
