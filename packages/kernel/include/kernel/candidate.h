/// \file
/// Choice of the server that replaces a revoked primary.

#ifndef EELGRASSLOOM_KERNEL_CANDIDATE_H
#define EELGRASSLOOM_KERNEL_CANDIDATE_H

#include "kernel/promotion.h"

namespace eelgrassloom {

/// Whether a server can be promoted now, and if not, why.
enum class CandidateState : std::uint8_t {
  Usable,
  /// It is the revoked primary.
  Revoked,
  /// It is about to stop, and the revoked primary still answers, so that a
  /// server that stays can receive all commits.
  Draining,
  /// The platform refused its promotion a moment ago.
  Refused,
  /// It has not answered a status query that was sent after the leases ended.
  Unanswered,
  /// Its log ends before the term of the revoked primary: it has none of the
  /// commits of that term, and may have others that were acknowledged in its
  /// own term and that no read of the later term has seen.
  OlderTerm,
};
inline constexpr std::array<std::string_view, 6> CandidateStateNames = {
    "usable", "revoked", "draining", "refused", "unanswered", "older-term"};
constexpr std::string_view name(CandidateState S) {
  return CandidateStateNames[static_cast<std::size_t>(S)];
}

/// The state of a server of the group. The primary leases have ended.
CandidateState candidateState(const PromotionState &S, const PromotionInput &In,
                              const ServerEntry &Server, Instant Now);

/// The usable server with the newest log, of equal ones one that is not about
/// to stop; null if no server is usable.
const ServerEntry *bestCandidate(const PromotionState &S,
                                 const PromotionInput &In, Instant Now);

/// True if all replicas have answered since the leases ended. With synchronous
/// replication an acknowledged commit may be on one replica only, so the best
/// candidate is known only when all of them have answered.
bool replicasAnswered(const PromotionState &S, const PromotionInput &In);

/// True while the promotion should wait: the candidate may still receive the
/// last commits of the old primary, or replies that decide this are pending.
bool mustCatchUp(const PromotionState &S, const PromotionInput &In,
                 const ServerEntry &Candidate, Instant Now);

namespace detail {

/// The registered server of the group; null if there is none with this id.
const ServerEntry *findServer(const PromotionInput &In, const UpstreamId &Id);

/// The last reply of the server; null if it has not been queried.
const ServerStatus *findStatus(const PromotionInput &In, const UpstreamId &Id);

} // namespace detail
} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_CANDIDATE_H
