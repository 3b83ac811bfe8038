/// \file
/// Upper bound of a replica's staleness, computed on the local clock only. It
/// is derived from log positions that the primary reported and that a majority
/// of the upstreams confirmed.

#ifndef EELGRASSLOOM_KERNEL_STALENESS_H
#define EELGRASSLOOM_KERNEL_STALENESS_H

#include "kernel/model.h"
#include "kernel/position.h"
#include <map>
#include <vector>

namespace eelgrassloom {

struct StalenessOptions {
  /// Maximum number of samples. Older samples are thinned first.
  std::size_t MaxSamples = 256;
  /// Number of upstreams of the database; a majority of them confirms a sample.
  std::size_t Upstreams = 3;
};

/// A position reported by a primary. Committed contains everything that the
/// primary of this term committed before At.
struct PrimarySample {
  Instant At;
  Position Committed;
  std::uint64_t Term = 0;
  /// A majority of the upstreams reported no higher term at or after At, so no
  /// other primary had committed anything before At.
  bool Confirmed = false;
};

/// Raised term in the latest status of an upstream, and when the status query
/// was sent.
struct RaisedTermSeen {
  std::uint64_t Term = 0;
  Instant SentAt;
};

/// What one proxy knows about the commits of one database.
struct StalenessState {
  StalenessOptions Options;
  /// In ascending order of At.
  std::vector<PrimarySample> Samples;
  std::map<UpstreamId, RaisedTermSeen, std::less<>> RaisedTerms;
};

/// One status report of an upstream.
struct StatusObservation {
  UpstreamId Id;
  Role UpstreamRole = Role::Unknown;
  /// Highest term that the upstream has accepted; it rejects lower ones.
  std::uint64_t RaisedTerm = 0;
  Position Applied;
  /// For a primary, the last entry is the term of its promotion.
  TermHistory History;
  /// When the status query was sent. The time of the answer would understate
  /// the staleness.
  Instant SentAt;
};

/// Records a status of any upstream of the database. Reports may arrive in any
/// order.
void observe(StalenessState &S, const StatusObservation &O);

/// Upper bound at \p Now of the staleness of a log with \p History up to
/// \p Applied: the age of the newest confirmed sample that the log contains, or
/// Duration::max() if there is none.
Duration stalenessBound(const StalenessState &S, const TermHistory &History,
                        Position Applied, Instant Now);

/// Time by which the log is behind the newest confirmed sample; zero if
/// unknown. It serves to estimate the wait for a position.
Duration estimatedLag(const StalenessState &S, const TermHistory &History,
                      Position Applied);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_STALENESS_H
