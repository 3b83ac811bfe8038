/// \file
/// Deterministic queue models that compare the admission and routing policies
/// of the kernel with their baselines. Both functions print their results.

#ifndef EELGRASSLOOM_BENCH_POLICIES_H
#define EELGRASSLOOM_BENCH_POLICIES_H

namespace eelgrassloom {

/// Service of each priority while one priority is overloaded.
void measureAdmission();

/// Share of reads that replicas serve, and read-your-writes violations.
void measureRouting();

} // namespace eelgrassloom

#endif // EELGRASSLOOM_BENCH_POLICIES_H
