#include "kernel/candidate.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

const ServerEntry *findServer(const PromotionInput &In, const UpstreamId &Id) {
  for (const ServerEntry &Server : In.Servers)
    if (Server.Id == Id)
      return &Server;
  return nullptr;
}

const ServerStatus *findStatus(const PromotionInput &In, const UpstreamId &Id) {
  auto It = In.Statuses->find(Id);
  return It == In.Statuses->end() ? nullptr : &It->second;
}

/// True if the server has followed the revoked primary, or one after it. The
/// term of its last entry does not show this, because the primary may not have
/// written any.
bool hasLastTerm(const PromotionInput &In, const ServerStatus &Status) {
  return Status.Term >= In.Record.Term;
}

/// Compares the logs of two servers that have answered.
bool hasNewerLog(const PromotionInput &In, const ServerEntry &A,
                 const ServerEntry &B) {
  const ServerStatus &StatusA = *findStatus(In, A.Id);
  const ServerStatus &StatusB = *findStatus(In, B.Id);
  bool LastA = hasLastTerm(In, StatusA);
  bool LastB = hasLastTerm(In, StatusB);
  return LastA == LastB ? StatusA.Received > StatusB.Received : LastA;
}

/// True if the revoked primary has answered since the leases ended.
bool revokedAnswers(const PromotionState &S, const PromotionInput &In) {
  const ServerStatus *Old = findStatus(In, In.Record.Primary);
  return Old != nullptr && Old->Reachable && Old->SentAt > *S.LeasesEndedAt;
}

/// True if A should be promoted rather than B; both are usable.
bool isBetter(const PromotionInput &In, const ServerEntry &A,
              const ServerEntry &B) {
  if (hasNewerLog(In, A, B))
    return true;
  return B.Draining && !A.Draining && !hasNewerLog(In, B, A);
}

/// True if a status query to each replica, sent after the leases ended, has
/// been answered or has failed. An unreachable primary is replaced by the
/// replica that has received most, which is known only then.
bool replicasQueried(const PromotionState &S, const PromotionInput &In) {
  return std::all_of(
      In.Servers.begin(), In.Servers.end(), [&](const ServerEntry &Server) {
        const ServerStatus *Status = findStatus(In, Server.Id);
        return Server.Id == In.Record.Primary ||
               (Status != nullptr && Status->SentAt > *S.LeasesEndedAt);
      });
}

} // namespace detail

CandidateState candidateState(const PromotionState &S, const PromotionInput &In,
                              const ServerEntry &Server, Instant Now) {
  if (Server.Id == In.Record.Primary)
    return CandidateState::Revoked;
  if (Server.Draining && detail::revokedAnswers(S, In))
    return CandidateState::Draining;
  auto Refused = S.RefusedAt.find(Server.Id);
  if (Refused != S.RefusedAt.end() &&
      Now - Refused->second < S.Options.RefusalBackoff)
    return CandidateState::Refused;
  const ServerStatus *Status = detail::findStatus(In, Server.Id);
  if (Status == nullptr || !Status->Reachable ||
      Status->SentAt <= *S.LeasesEndedAt)
    return CandidateState::Unanswered;
  if (!detail::hasLastTerm(In, *Status) &&
      Now - *S.LeasesEndedAt < S.Options.OlderTermDelay)
    return CandidateState::OlderTerm;
  return CandidateState::Usable;
}

const ServerEntry *bestCandidate(const PromotionState &S,
                                 const PromotionInput &In, Instant Now) {
  const ServerEntry *Best = nullptr;
  for (const ServerEntry &Server : In.Servers) {
    if (candidateState(S, In, Server, Now) != CandidateState::Usable)
      continue;
    if (Best == nullptr || detail::isBetter(In, Server, *Best))
      Best = &Server;
  }
  return Best;
}

bool replicasAnswered(const PromotionState &S, const PromotionInput &In) {
  return std::all_of(
      In.Servers.begin(), In.Servers.end(), [&](const ServerEntry &Server) {
        const ServerStatus *Status = detail::findStatus(In, Server.Id);
        return Server.Id == In.Record.Primary ||
               (Status != nullptr && Status->Reachable &&
                Status->SentAt > *S.LeasesEndedAt);
      });
}

bool mustCatchUp(const PromotionState &S, const PromotionInput &In,
                 const ServerEntry &Candidate, Instant Now) {
  if (Now - *S.LeasesEndedAt >= S.Options.CatchUpTime)
    return false;
  const ServerStatus *Old = detail::findStatus(In, In.Record.Primary);
  bool RepliesPending = Now - *S.LeasesEndedAt < 2 * S.Options.StatusInterval;
  if (Old == nullptr && widelyUnreachable(S.Options, In, In.Record.Primary))
    return RepliesPending && !detail::replicasQueried(S, In);
  if (Old == nullptr || (Old->Reachable && Old->SentAt <= *S.LeasesEndedAt))
    return detail::findServer(In, In.Record.Primary) != nullptr &&
           RepliesPending;
  return Old->Reachable &&
         detail::findStatus(In, Candidate.Id)->Received < Old->Received;
}

} // namespace eelgrassloom
