#include "kernel/promotion.h"
#include "kernel/candidate.h"
#include <algorithm>
#include <cmath>

namespace eelgrassloom {
namespace detail {

/// A proxy that can't reach most servers is probably partitioned itself, so its
/// reports say nothing about a single server.
bool likelyPartitioned(const PromotionInput &In, const ProxyReport &Proxy) {
  return Proxy.Unreachable.size() > 1 &&
         2 * Proxy.Unreachable.size() > In.TotalServers;
}

/// True if the proxy credibly reports the server as unreachable.
bool reportsUnreachable(const PromotionInput &In, const ProxyReport &Proxy,
                        const UpstreamId &Server) {
  return !Proxy.Evicted && !likelyPartitioned(In, Proxy) &&
         Proxy.Unreachable.count(Server) != 0;
}

/// True if another server may take over. A primary that is about to stop and
/// still works is replaced only by a server that stays and can be reached.
bool hasSuccessor(const PromotionOptions &Options, const PromotionInput &In,
                  PromotionReason Reason) {
  bool Works = Reason == PromotionReason::Leaving &&
               !widelyUnreachable(Options, In, In.Record.Primary);
  return std::any_of(
      In.Servers.begin(), In.Servers.end(), [&](const ServerEntry &Server) {
        if (Server.Id == In.Record.Primary)
          return false;
        return !Works ||
               (!Server.Draining && !widelyUnreachable(Options, In, Server.Id));
      });
}

/// Time for which a reason must persist before the primary is replaced.
Duration toleranceFor(const PromotionOptions &Options, PromotionReason Reason) {
  switch (Reason) {
  case PromotionReason::Leaving:
    return Duration::zero();
  case PromotionReason::Missing:
  case PromotionReason::Demoted: // The registry lags behind a promotion.
    return Options.MissingTolerance;
  default:
    return Options.UnreachableTolerance;
  }
}

void updateReason(PromotionState &S, PromotionReason Reason, Instant Now) {
  if (Reason == S.Reason)
    return;
  S.Reason = Reason;
  S.ReasonSince = Now;
}

/// The record that follows the current one, with the same content.
PrimaryRecord nextRecord(const PromotionInput &In, GroupStage Stage) {
  PrimaryRecord Next = In.Record;
  Next.Epoch = nextNumber(In.Record.Epoch, In.Era);
  Next.Era = In.Era;
  Next.Stage = Stage;
  return Next;
}

/// Creates the first record, for the server that is registered as the primary.
std::vector<PromotionAction> stepAbsent(const PromotionInput &In) {
  const ServerEntry *Primary = nullptr;
  for (const ServerEntry &Server : In.Servers)
    if (Server.ReportedRole == Role::Primary && !Server.Draining)
      Primary = &Server;
  if (Primary == nullptr)
    return {};
  PrimaryRecord First = nextRecord(In, GroupStage::Stable);
  First.Primary = Primary->Id;
  return {WritePrimaryRecord{First, {}}};
}

/// True if the lock holder is on the minority side of a network partition.
bool inMinority(const PromotionInput &In) {
  return In.ReachableProxies &&
         *In.ReachableProxies < revocationQuorum(In.Proxies->size());
}

std::vector<PromotionAction> stepStable(PromotionState &S,
                                        const PromotionInput &In, Instant Now) {
  if (S.Epoch != In.Record.Epoch) {
    // Reports about the previous primary do not count for this one.
    S.Epoch = In.Record.Epoch;
    S.Reason = PromotionReason::None;
  }
  PromotionReason Reason = promotionReason(S.Options, In);
  updateReason(S, Reason, Now);
  // A new lock holder can't promote yet, and the reports may be older than its
  // lock.
  if (Now - In.LockHeldSince < S.Options.SettleTime)
    return {};
  if (Reason == PromotionReason::None ||
      Now - S.ReasonSince < toleranceFor(S.Options, Reason) ||
      !hasSuccessor(S.Options, In, Reason))
    return {};
  if (Reason == PromotionReason::Unreachable && inMinority(In) &&
      Now - S.ReasonSince < S.Options.MinorityTolerance)
    return {};
  return {WritePrimaryRecord{nextRecord(In, GroupStage::Revoking), Reason}};
}

/// Resets the state when a newly revoked record is seen.
void enterEpoch(PromotionState &S, const PromotionInput &In, Instant Now) {
  if (S.Epoch == In.Record.Epoch)
    return;
  S.Epoch = In.Record.Epoch;
  S.RevokedAt = Now;
  S.LeasesEndedAt.reset();
  S.LeasesEndedBy = LeaseEndReason::None;
  S.QuorumAt.reset();
  S.NextStatus = Now;
  S.Candidate.clear();
  S.CalledAt.reset();
  S.Called = false;
  S.RefusedAt.clear();
  S.NextCall = Now;
}

/// True if a lease that started at \p Since has ended, also for a proxy whose
/// clock runs at a slightly different rate.
bool leaseExpired(const PromotionState &S, Instant Since, Instant Now) {
  return Now - Since >= leaseWithMargin(S.Options.LeaseDuration);
}

/// A proxy that can't reach the store extends its lease only with a quorum that
/// it determines from a proxy list younger than MaxProxyListAge, so no lease
/// outlasts the revocation by more than that age and one lease duration.
bool allLeasesExpired(const PromotionState &S, Instant Now) {
  return leaseExpired(S, S.RevokedAt + MaxProxyListAge, Now);
}

bool primaryAnswers(const PromotionState &S, const PromotionInput &In) {
  const ServerStatus *Status = findStatus(In, In.Record.Primary);
  return Status != nullptr && Status->Reachable &&
         Status->ServerRole == Role::Primary && Status->SentAt > S.RevokedAt;
}

/// True if the reason for the revocation is gone and no promotion was called,
/// so that the old primary can be published again.
bool shouldRestore(const PromotionState &S, const PromotionInput &In) {
  if (In.EarlierCallPossible || S.Called)
    return false;
  const ServerEntry *Primary = findServer(In, In.Record.Primary);
  if (Primary == nullptr || Primary->Draining || !primaryAnswers(S, In))
    return false;
  return !widelyUnreachable(S.Options, In, In.Record.Primary);
}

/// Waits for the end of all leases, and evicts proxies that have not
/// acknowledged within the lease duration.
std::vector<PromotionAction>
stepWaiting(PromotionState &S, const PromotionInput &In, Instant Now) {
  std::vector<PromotionAction> Actions;
  S.LeasesEndedBy = leaseEndReason(S, In, Now);
  if (S.LeasesEndedBy != LeaseEndReason::None) {
    S.LeasesEndedAt = Now;
    S.NextStatus = Now;
  }
  if (leaseExpired(S, S.RevokedAt, Now))
    for (const ProxyReport &Proxy : *In.Proxies)
      if (!Proxy.Evicted && !acknowledged(Proxy, In.Record))
        Actions.push_back(EvictProxy{Proxy.Id, Proxy.Revision});
  return Actions;
}

/// True if the promotion of the server has taken effect. A server that was
/// replaced long ago may still report that it is the primary, so the role alone
/// proves nothing: the new primary has a term above that of the primary that it
/// replaces, and no other server has a higher one. The old primary may have the
/// same term as a replica, once it has learned of the promotion.
bool isPrimaryOfNewTerm(const PromotionState &S, const PromotionInput &In,
                        const ServerStatus *Status) {
  if (Status == nullptr || !Status->Reachable ||
      Status->ServerRole != Role::Primary || Status->SentAt <= *S.CalledAt ||
      Status->Term <= In.Record.Term)
    return false;
  return std::all_of(
      In.Statuses->begin(), In.Statuses->end(), [&](const auto &Entry) {
        const ServerStatus &Other = Entry.second;
        if (&Other == Status || !Other.Reachable)
          return true;
        return Other.ServerRole == Role::Primary ? Other.Term < Status->Term
                                                 : Other.Term <= Status->Term;
      });
}

/// Promotes the best candidate and publishes it once it leads.
std::vector<PromotionAction>
stepPromote(PromotionState &S, const PromotionInput &In, Instant Now) {
  if (S.CalledAt && Now - *S.CalledAt < S.Options.PromotionRetryDelay) {
    const ServerStatus *Status = findStatus(In, S.Candidate);
    if (!isPrimaryOfNewTerm(S, In, Status))
      return {};
    PrimaryRecord Next = nextRecord(In, GroupStage::Stable);
    Next.Primary = S.Candidate;
    Next.Term = Status->Term;
    return {WritePrimaryRecord{Next, PromotionReason::None}};
  }
  if (In.CallOutstanding && Now - In.LockHeldSince < S.Options.TakeoverDelay)
    return {};
  if (Now < S.NextCall)
    return {};
  const ServerEntry *Candidate = bestCandidate(S, In, Now);
  if (Candidate == nullptr || mustCatchUp(S, In, *Candidate, Now))
    return {};
  if (In.SyncReplicas > 0 && !replicasAnswered(S, In))
    return {};
  S.Candidate = Candidate->Id;
  S.CalledAt = Now;
  S.Called = true;
  return {PromoteServer{Candidate->Id}};
}

} // namespace detail

bool isNewer(const PrimaryRecord &A, const PrimaryRecord &B) {
  bool ErasKnown = A.Era != 0 && B.Era != 0;
  return ErasKnown && A.Era != B.Era ? A.Era > B.Era : A.Epoch > B.Epoch;
}

PromotionReason promotionReason(const PromotionOptions &Options,
                                const PromotionInput &In) {
  const ServerEntry *Primary = detail::findServer(In, In.Record.Primary);
  if (Primary != nullptr && Primary->Draining)
    return PromotionReason::Leaving;
  if (widelyUnreachable(Options, In, In.Record.Primary))
    return PromotionReason::Unreachable;
  if (Primary == nullptr)
    return PromotionReason::Missing;
  if (Primary->ReportedRole == Role::Replica)
    return PromotionReason::Demoted;
  return PromotionReason::None;
}

bool widelyUnreachable(const PromotionOptions &Options,
                       const PromotionInput &In, const UpstreamId &Server) {
  std::size_t Observers = 0;
  std::size_t Reports = 0;
  std::set<std::string_view> Domains;
  std::set<std::string_view> ReportingDomains;
  for (const ProxyReport &Proxy : *In.Proxies) {
    if (Proxy.Evicted)
      continue;
    bool Report = detail::reportsUnreachable(In, Proxy, Server);
    ++Observers;
    Reports += Report ? 1 : 0;
    Domains.insert(Proxy.FailureDomain);
    if (Report)
      ReportingDomains.insert(Proxy.FailureDomain);
  }
  if (In.UsesOwners) {
    Observers = Domains.size();
    Reports = ReportingDomains.size();
  }
  double Share = static_cast<double>(Observers) * Options.UnreachableShare;
  return static_cast<double>(Reports) >= std::max(1.0, std::ceil(Share));
}

bool acknowledged(const ProxyReport &Proxy, const PrimaryRecord &Record) {
  auto It = Proxy.Acknowledged.find(Record.Service);
  return It != Proxy.Acknowledged.end() && It->second >= Record.Epoch;
}

/// A lease lasts for the lease duration, counted from a poll of the store or
/// from the requests that an extension quorum answered; a lease that a peer
/// relays ends no later than the lease of that peer. Once a revocation quorum
/// has fully acknowledged, every extension quorum includes one of its proxies.
/// So any lease that another proxy still holds derives from a poll or an answer
/// that is counted here. This lets a promotion proceed when a failure domain is
/// partitioned from the store and from the other proxies.
RemainingLeases remainingLeases(const PromotionState &S,
                                const PromotionInput &In, Instant Now) {
  RemainingLeases Left;
  for (const ProxyReport &Proxy : *In.Proxies)
    if (acknowledged(Proxy, In.Record) &&
        Proxy.Answered.count(In.Record.Service) != 0)
      Left.FullyAcknowledged.insert(Proxy.Id);
  if (In.Heartbeats != nullptr)
    for (const auto &[Id, Heartbeat] : *In.Heartbeats)
      if (Left.FullyAcknowledged.count(Id) == 0 &&
          !detail::leaseExpired(S, Heartbeat.SeenAt, Now))
        ++Left.Polled;
  std::set<std::string_view> Answered;
  for (const ProxyReport &Proxy : *In.Proxies)
    if (Left.FullyAcknowledged.count(Proxy.Id) != 0)
      for (const ProxyId &Requester : Proxy.Answered.at(In.Record.Service))
        if (Left.FullyAcknowledged.count(Requester) == 0)
          Answered.insert(Requester);
  Left.RecentlyAnswered = Answered.size();
  return Left;
}

LeaseEndReason leaseEndReason(PromotionState &S, const PromotionInput &In,
                              Instant Now) {
  if (detail::allLeasesExpired(S, Now))
    return LeaseEndReason::Age;
  // A list that was read before the revocation may lack a proxy that registered
  // in between.
  if (In.ProxiesReadAt <= S.RevokedAt)
    return LeaseEndReason::None;
  std::size_t Acknowledged = 0;
  std::size_t Members = 0;
  bool All = true;
  for (const ProxyReport &Proxy : *In.Proxies) {
    bool Done = acknowledged(Proxy, In.Record);
    Acknowledged += Done ? 1 : 0;
    ++Members;
    All = All &&
          (Done || (Proxy.Evicted && Now - Proxy.SeenAt >= EvictedLeaseTime));
  }
  if (Acknowledged >= revocationQuorum(Members) && !S.QuorumAt)
    S.QuorumAt = Now;
  if (All)
    return LeaseEndReason::Acknowledged;
  if (S.QuorumAt && detail::leaseExpired(S, *S.QuorumAt, Now))
    return LeaseEndReason::Lease;
  if (In.Heartbeats == nullptr)
    return LeaseEndReason::None;
  RemainingLeases Left = remainingLeases(S, In, Now);
  bool Ended = Left.Polled == 0 && Left.RecentlyAnswered == 0;
  return Ended && Left.FullyAcknowledged.size() >= revocationQuorum(Members)
             ? LeaseEndReason::Polls
             : LeaseEndReason::None;
}

std::vector<PromotionAction> step(PromotionState &S, const PromotionInput &In,
                                  Instant Now) {
  if (In.Record.Epoch == 0)
    return detail::stepAbsent(In);
  if (In.Record.Stage == GroupStage::Stable)
    return detail::stepStable(S, In, Now);
  detail::enterEpoch(S, In, Now);
  if (detail::shouldRestore(S, In)) {
    return {WritePrimaryRecord{detail::nextRecord(In, GroupStage::Stable),
                               PromotionReason::None}};
  }
  std::vector<PromotionAction> Actions = S.LeasesEndedAt
                                             ? detail::stepPromote(S, In, Now)
                                             : detail::stepWaiting(S, In, Now);
  if (Now >= S.NextStatus) {
    S.NextStatus = Now + S.Options.StatusInterval;
    Actions.push_back(QueryStatuses{});
  }
  return Actions;
}

void promotionRefused(PromotionState &S, const UpstreamId &Id, Instant Now) {
  S.RefusedAt[Id] = Now;
  S.CalledAt.reset();
}

void promotionTurnedAway(PromotionState &S, Instant Now) {
  S.NextCall = Now + S.Options.TurnedAwayDelay;
  S.CalledAt.reset();
}

} // namespace eelgrassloom
