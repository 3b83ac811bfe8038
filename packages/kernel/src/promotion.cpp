#include "kernel/promotion.h"
#include <algorithm>
#include <cmath>

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

bool hasSuccessor(const PromotionInput &In) {
  return std::any_of(
      In.Servers.begin(), In.Servers.end(), [&](const ServerEntry &Server) {
        return Server.Id != In.Record.Primary && !Server.Draining;
      });
}

/// A proxy that can't reach most servers is probably cut off itself.
bool likelyPartitioned(const PromotionInput &In, const ProxyReport &Proxy) {
  return Proxy.Unreachable.size() > 1 &&
         2 * Proxy.Unreachable.size() > In.TotalServers;
}

bool reportsPrimary(const PromotionInput &In, const ProxyReport &Proxy) {
  return !Proxy.Evicted && !likelyPartitioned(In, Proxy) &&
         Proxy.Unreachable.count(In.Record.Primary) != 0;
}

bool widelyUnreachable(const PromotionOptions &Options,
                       const PromotionInput &In) {
  std::size_t Observers = 0;
  std::size_t Reports = 0;
  std::set<std::string_view> Domains;
  std::set<std::string_view> ReportingDomains;
  for (const ProxyReport &Proxy : *In.Proxies) {
    if (Proxy.Evicted)
      continue;
    bool Report = reportsPrimary(In, Proxy);
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

/// Time that a reason must hold before it counts.
Duration confirmTime(const PromotionOptions &Options, ReplaceReason Reason) {
  switch (Reason) {
  case ReplaceReason::Leaving:
    return Duration::zero();
  case ReplaceReason::Missing:
  case ReplaceReason::Demoted: // The registry lags behind a promotion.
    return Options.MissingTolerance;
  default:
    return Options.UnreachableTolerance;
  }
}

void updateReason(PromotionState &S, ReplaceReason Reason, Instant Now) {
  if (Reason == S.Reason)
    return;
  S.Reason = Reason;
  S.ReasonSince = Now;
}

/// The first record names the server that reports to be the primary.
std::vector<PromotionAction> stepAbsent(const PromotionInput &In) {
  const ServerEntry *Primary = nullptr;
  for (const ServerEntry &Server : In.Servers)
    if (Server.ReportedRole == Role::Primary && !Server.Draining)
      Primary = &Server;
  if (Primary == nullptr)
    return {};
  return {WritePrimaryRecord{
      {In.Record.Service, 1, GroupStage::Stable, Primary->Id}, {}}};
}

/// Failure pattern: the fleet is split, and the holder is in the smaller part.
bool inMinority(const PromotionInput &In) {
  return In.ReachableProxies &&
         *In.ReachableProxies < revocationQuorum(In.Proxies->size());
}

std::vector<PromotionAction> stepStable(PromotionState &S,
                                        const PromotionInput &In, Instant Now) {
  if (S.Epoch != In.Record.Epoch) {
    // Reports about the previous primary do not count for this one.
    S.Epoch = In.Record.Epoch;
    S.Reason = ReplaceReason::None;
  }
  ReplaceReason Reason = replaceReason(S.Options, In);
  updateReason(S, Reason, Now);
  // A new holder can't promote yet, and the reports may be older than its duty.
  if (Now - In.LockHeldSince < S.Options.SettleTime)
    return {};
  if (Reason == ReplaceReason::None ||
      Now - S.ReasonSince < confirmTime(S.Options, Reason) || !hasSuccessor(In))
    return {};
  if (Reason == ReplaceReason::Unreachable && inMinority(In) &&
      Now - S.ReasonSince < S.Options.MinorityTolerance)
    return {};
  PrimaryRecord Next = In.Record;
  ++Next.Epoch;
  Next.Stage = GroupStage::Revoking;
  return {WritePrimaryRecord{Next, Reason}};
}

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
}

bool leaseExpired(const PromotionState &S, Instant Since, Instant Now) {
  return Now - Since >= leaseWithMargin(S.Options.LeaseDuration);
}

/// A proxy without the store keeps its permission only with a quorum and a
/// recent list of the proxies; after this time neither is left.
bool allLeasesExpired(const PromotionState &S, Instant Now) {
  return leaseExpired(S, S.RevokedAt + MaxProxyListAge, Now);
}

bool primaryAnswers(const PromotionState &S, const PromotionInput &In) {
  const ServerStatus *Status = findStatus(In, In.Record.Primary);
  return Status != nullptr && Status->Reachable &&
         Status->ServerRole == Role::Primary && Status->SentAt > S.RevokedAt;
}

/// The reason has passed and no promotion was called: the old primary stays.
bool shouldRestore(const PromotionState &S, const PromotionInput &In) {
  if (In.EarlierCallPossible || S.Called)
    return false;
  const ServerEntry *Primary = findServer(In, In.Record.Primary);
  if (Primary == nullptr || Primary->Draining || !primaryAnswers(S, In))
    return false;
  return !widelyUnreachable(S.Options, In);
}

bool candidateUsable(const PromotionState &S, const PromotionInput &In,
                     const ServerEntry &Server, Instant Now) {
  if (Server.Id == In.Record.Primary || Server.Draining)
    return false;
  auto Refused = S.RefusedAt.find(Server.Id);
  if (Refused != S.RefusedAt.end() &&
      Now - Refused->second < S.Options.RefusalBackoff)
    return false;
  const ServerStatus *Status = findStatus(In, Server.Id);
  return Status != nullptr && Status->Reachable &&
         Status->SentAt > *S.LeasesEndedAt;
}

const ServerEntry *bestCandidate(const PromotionState &S,
                                 const PromotionInput &In, Instant Now) {
  const ServerEntry *Best = nullptr;
  for (const ServerEntry &Server : In.Servers) {
    if (!candidateUsable(S, In, Server, Now))
      continue;
    if (Best == nullptr || findStatus(In, Server.Id)->Received >
                               findStatus(In, Best->Id)->Received)
      Best = &Server;
  }
  return Best;
}

/// With synchronous replication an acknowledged commit is on some replica, so
/// all of them must have answered.
bool replicasAnswered(const PromotionState &S, const PromotionInput &In) {
  return std::all_of(In.Servers.begin(), In.Servers.end(),
                     [&](const ServerEntry &Server) {
                       const ServerStatus *Status = findStatus(In, Server.Id);
                       return Server.Id == In.Record.Primary ||
                              (Status != nullptr && Status->Reachable &&
                               Status->SentAt > *S.LeasesEndedAt);
                     });
}

/// All other servers have answered, or are known not to: a primary that can't
/// be reached is replaced by the one that has received most.
bool replicasQueried(const PromotionState &S, const PromotionInput &In) {
  return std::all_of(
      In.Servers.begin(), In.Servers.end(), [&](const ServerEntry &Server) {
        const ServerStatus *Status = findStatus(In, Server.Id);
        return Server.Id == In.Record.Primary ||
               (Status != nullptr && Status->SentAt > *S.LeasesEndedAt);
      });
}

/// True while a replica may still receive the last commits of the old primary.
bool mustCatchUp(const PromotionState &S, const PromotionInput &In,
                 const ServerEntry &Candidate, Instant Now) {
  if (Now - *S.LeasesEndedAt >= S.Options.CatchUpTime)
    return false;
  const ServerStatus *Old = findStatus(In, In.Record.Primary);
  bool AnswersMayCome = Now - *S.LeasesEndedAt < 2 * S.Options.StatusInterval;
  if (Old == nullptr && widelyUnreachable(S.Options, In))
    return AnswersMayCome && !replicasQueried(S, In);
  if (Old == nullptr || (Old->Reachable && Old->SentAt <= *S.LeasesEndedAt))
    return findServer(In, In.Record.Primary) != nullptr && AnswersMayCome;
  return Old->Reachable &&
         findStatus(In, Candidate.Id)->Received < Old->Received;
}

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

/// A server that was replaced long ago may still call itself primary. The one
/// that leads holds a term above that of the primary that it replaces, and no
/// other server holds a higher one. The old primary may hold the same term as a
/// replica, once it has noticed.
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

std::vector<PromotionAction>
stepPromote(PromotionState &S, const PromotionInput &In, Instant Now) {
  if (S.CalledAt && Now - *S.CalledAt < S.Options.PromotionRetryDelay) {
    const ServerStatus *Status = findStatus(In, S.Candidate);
    if (!isPrimaryOfNewTerm(S, In, Status))
      return {};
    return {WritePrimaryRecord{{In.Record.Service, In.Record.Epoch + 1,
                                GroupStage::Stable, S.Candidate, Status->Term},
                               ReplaceReason::None}};
  }
  if (In.CallOutstanding && Now - In.LockHeldSince < S.Options.TakeoverDelay)
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

ReplaceReason replaceReason(const PromotionOptions &Options,
                            const PromotionInput &In) {
  const ServerEntry *Primary = detail::findServer(In, In.Record.Primary);
  if (Primary != nullptr && Primary->Draining)
    return ReplaceReason::Leaving;
  if (detail::widelyUnreachable(Options, In))
    return ReplaceReason::Unreachable;
  if (Primary == nullptr)
    return ReplaceReason::Missing;
  if (Primary->ReportedRole == Role::Replica)
    return ReplaceReason::Demoted;
  return ReplaceReason::None;
}

bool acknowledged(const ProxyReport &Proxy, const PrimaryRecord &Record) {
  auto It = Proxy.Acknowledged.find(Record.Service);
  return It != Proxy.Acknowledged.end() && It->second >= Record.Epoch;
}

/// Each permission lasts a lease from a check of the store or from the answers
/// of a quorum. Of the proxies that are not accounted for, only those counted
/// here can hold one: a quorum, or a permission that is passed on, takes an
/// answer of a proxy that is. Failure pattern: a failure domain that is cut off
/// from the store and from the other proxies.
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
  // A proxy may have registered after an older list was read.
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
    PrimaryRecord Next = In.Record;
    ++Next.Epoch;
    Next.Stage = GroupStage::Stable;
    return {WritePrimaryRecord{Next, ReplaceReason::None}};
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

} // namespace eelgrassloom
