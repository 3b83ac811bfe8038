/// \file
/// Deterministic queue models of the policies, each next to its baseline.

#ifndef EELGRASSLOOM_BENCH_POLICIES_H
#define EELGRASSLOOM_BENCH_POLICIES_H

namespace eelgrassloom {

/// Service per priority level while one level is overloaded.
void measureAdmission();

/// Share of reads that replicas serve.
void measureRouting();

} // namespace eelgrassloom

#endif // EELGRASSLOOM_BENCH_POLICIES_H
