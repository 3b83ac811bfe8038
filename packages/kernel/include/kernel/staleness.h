/// \file
/// Upper bound of a replica's staleness, computed on the local clock only.

#ifndef EELGRASSLOOM_KERNEL_STALENESS_H
#define EELGRASSLOOM_KERNEL_STALENESS_H

#include "kernel/model.h"
#include "kernel/position.h"
#include <map>
#include <vector>

namespace eelgrassloom {

struct StalenessOptions {
  /// Samples that are kept. Recent ones are dense, older ones are thinned.
  std::size_t MaxSamples = 256;
  /// Upstreams of the database; a majority of them confirms a sample.
  std::size_t Upstreams = 3;
};

/// Everything that the primary of a term committed before At is contained in
/// Committed.
struct PrimarySample {
  Instant At;
  Position Committed;
  std::uint64_t Term = 0;
  /// A majority of the upstreams was seen at or after At without a higher
  /// term, so no other primary had committed anything before At.
  bool Confirmed = false;
};

struct RaisedTermSeen {
  std::uint64_t Term = 0;
  Instant SentAt;
};

/// What one proxy knows about the commits of one database.
struct StalenessState {
  StalenessOptions Options;
  /// In rising order of At.
  std::vector<PrimarySample> Samples;
  std::map<UpstreamId, RaisedTermSeen, std::less<>> RaisedTerms;
};

/// One status of an upstream.
struct StatusObservation {
  UpstreamId Id;
  Role UpstreamRole = Role::Unknown;
  std::uint64_t RaisedTerm = 0;
  Position Applied;
  /// For a primary, the last entry is the term in which it was promoted.
  TermHistory History;
  /// When the exchange that returned the status was sent. The time of the
  /// answer would understate the staleness.
  Instant SentAt;
};

/// Records a status of any upstream of the database, in any order.
void observe(StalenessState &S, const StatusObservation &O);

/// Age of the newest confirmed sample that the log contains; Duration::max()
/// if there is none. The staleness of a log that was read at \p ReadAt is at
/// most this value at \p Now.
Duration stalenessBound(const StalenessState &S, const TermHistory &History,
                        Position Applied, Instant Now);

/// How far the log is behind the newest confirmed sample, for an estimate of
/// the wait for a position; zero if unknown.
Duration estimatedLag(const StalenessState &S, const TermHistory &History,
                      Position Applied);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_STALENESS_H
