// Waiting statements of a group: their order, the choice of a server, hedging
// and timeouts.

#include "attempt.h"
#include "engine/forward.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// A read without an answer after this part of its latency objective is sent to
/// a second server as well (hedging).
constexpr double HedgeObjectiveShare = 0.6;
/// A new statement waits this long for a connection to the best server to open:
/// the usual time of a handshake with some reserve. After that it uses any open
/// connection.
constexpr Duration MaxHandshakeWait = std::chrono::milliseconds(60);
/// A read is not hedged after this many attempts, answered ones included.
constexpr unsigned MaxHedgedAttempts = 3;
/// Bounds of the time after which a read is hedged.
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(60);
constexpr Duration MaxHedgeDelay = std::chrono::milliseconds(600);

Duration hedgeDelay(Duration LatencyObjective) {
  return std::clamp(std::chrono::duration_cast<Duration>(LatencyObjective *
                                                         HedgeObjectiveShare),
                    MinHedgeDelay, MaxHedgeDelay);
}

} // namespace detail

void Group::submit(JobRef J) {
  if (refuseRemovedKey(J))
    return;
  bool Remote =
      J->Pinned ? J->Pinned->Owner != nullptr : OwnersNeeded && !J->LocalOnly;
  if (!Remote || !Forwarder->forward(J))
    runLocally(J);
}

void Group::runLocally(const JobRef &J) {
  Active.push_back(J);
  recordFirstAttempt(HedgeBudget);
  if (J->Pinned) {
    start(J, J->Pinned->Pool, J->Pinned->Connection, {});
    return;
  }
  enqueue(J);
  schedule();
  Instant Now = Hooks.Now();
  handleUnservable(J, serverLoads(J->Customer, Now), Now);
}

void Group::enqueue(const JobRef &J) {
  J->Waiting = true;
  Waiting.push_back(J);
  ++WaitingByPriority[static_cast<std::size_t>(J->Route.WorkPriority)];
  ++WaitingCustomers[J->Customer];
}

void Group::removeFromQueue(const JobRef &J) {
  if (!J->Waiting)
    return;
  J->Waiting = false;
  Waiting.remove(J);
  --WaitingByPriority[static_cast<std::size_t>(J->Route.WorkPriority)];
  auto Count = WaitingCustomers.find(J->Customer);
  if (--Count->second == 0)
    WaitingCustomers.erase(Count);
}

Priority Group::mostUrgentWaiting() const {
  auto First = std::find_if(WaitingByPriority.begin(), WaitingByPriority.end(),
                            [](unsigned Count) { return Count != 0; });
  return static_cast<Priority>(First - WaitingByPriority.begin());
}

void Group::dequeue(const JobRef &J) {
  removeFromQueue(J);
  Active.remove(J);
}

void Group::cancel(const JobRef &J) {
  if (J->ForwardedTo) {
    Forwarder->cancel(J);
    return;
  }
  J->Finished = true;
  J->Done = nullptr;
  dequeue(J);
  // A transaction must not stay open on a connection that nobody holds. If an
  // attempt is in progress, its connection is closed, which rolls the
  // transaction back.
  auto A = J->CurrentAttempt;
  if (A && !A->Ended && J->Kind != JobKind::Autocommit)
    endAttempt(A, false);
}

std::vector<ServerLoad> Group::serverLoads(const CustomerId &Customer,
                                           Instant Now) const {
  std::vector<ServerLoad> Loads;
  bool LeaseHeld = valid(Lease, Now);
  for (const auto &[Id, Pool] : Pools) {
    ServerLoad Load;
    Load.Id = Id;
    Load.Primary = LeaseHeld && Id == Lease.Primary;
    Load.SameFailureDomain = Pool->server().FailureDomain == FailureDomain;
    // Without a lease, the server that the record names as primary must not be
    // used at all. It would otherwise be used as if it were a replica.
    bool IsPrimary = Load.Primary && Now >= NotPrimaryUntil;
    Load.InService = usable(*Pool, Now) && (IsPrimary || Id != Record.Primary);
    Load.Available = Load.InService && Pool->available(Customer);
    Load.Exhausted =
        Load.InService && Pool->exhausted() && !Pool->opensFor(Customer);
    Load.Connected = Pool->hasIdle(Customer);
    if (PerCustomer)
      Load.AffinityRank = affinityRank(Customer, Id);
    Load.Suspected = Pool->suspected();
    Load.Unreachable = Pool->unreachable();
    Load.Degraded = Pool->degraded();
    Load.TrialDue = trialDue(Pool->pace(), Now);
    Load.InFlight = Pool->InFlight;
    Load.Limit = Pool->limit();
    Load.Applied = Pool->Applied;
    Load.AppliedAt = Pool->AppliedAt;
    Loads.push_back(std::move(Load));
  }
  return Loads;
}

std::optional<Position> Group::requiredPositionFor(const Job &J) const {
  if (J.Route.Reads == ReadConsistency::Latest)
    return std::nullopt;
  auto Bounded =
      requiredPosition(Positions, J.OperationStart, J.Route.StalenessBound);
  if (!Bounded || J.Route.Reads == ReadConsistency::Bounded)
    return Bounded;
  auto ForSession = requiredForSession(Positions, J.LastCommit, Record.Epoch);
  if (!ForSession)
    return std::nullopt;
  return std::max(*Bounded, *ForSession);
}

PlacementRequest Group::makePlacementRequest(const Job &J,
                                             Instant /*Now*/) const {
  PlacementRequest Request;
  Request.PrimaryOnly = J.Write || J.PrimaryOnly ||
                        J.Route.Reads == ReadConsistency::Latest ||
                        (J.Kind == JobKind::FirstInTransaction && !J.ReadOnly);
  if (!Request.PrimaryOnly)
    Request.Required = requiredPositionFor(J);
  Request.WorkPriority = J.Route.WorkPriority;
  Request.Excluded = &J.Excluded;
  Request.TrialAllowed = !Request.PrimaryOnly && J.Attempts == 0;
  return Request;
}

bool Group::tryStart(const JobRef &J, const std::vector<ServerLoad> &Loads,
                     Instant Now) {
  if (Now < J->NotBefore || !anyFree(Loads, J->Route.WorkPriority))
    return false;
  PlacementRequest Request = makePlacementRequest(*J, Now);
  if (Request.TrialAllowed)
    for (const auto &Entry : Pools)
      Entry.second->prepareTrial(J->Customer);
  auto Choice = chooseServer(Request, Loads, Now);
  if (Choice && !Loads[*Choice].Connected) {
    // A handshake that takes longer than usual may never finish; any open
    // connection is better then.
    bool MayWait =
        J->Attempts == 0 && Now - J->Arrived < detail::MaxHandshakeWait;
    // A customer that has waited for a handshake takes a connection even from
    // customers with waiting statements, so that nobody waits without end.
    ConnectionRequest Wanted = {J->Customer,
                                MayWait ? &WaitingCustomers : nullptr};
    Pools.find(Loads[*Choice].Id)->second->ensureConnection(Wanted);
    if (MayWait)
      return false;
    Request.ConnectedOnly = true;
    Choice = chooseServer(Request, Loads, Now);
  }
  if (!Choice || refuseRemovedKey(J))
    return false;
  auto Pool = Pools.find(Loads[*Choice].Id)->second;
  removeFromQueue(J);
  start(J, Pool, Pool->acquire(J->Session, J->Customer), Request);
  return true;
}

void Group::schedule() {
  if (Scheduling) {
    ScheduleAgain = true;
    return;
  }
  Scheduling = true;
  do {
    ScheduleAgain = false;
    scheduleOnce();
  } while (ScheduleAgain);
  Scheduling = false;
}

std::vector<JobRef> Group::waitingInOrder(Instant Now) const {
  std::vector<JobRef> Jobs(Waiting.begin(), Waiting.end());
  std::vector<WaitingStatement> Statements;
  Statements.reserve(Jobs.size());
  CustomerSet AboveShare;
  if (PerCustomer)
    AboveShare = customersAboveShare(ServerTime, WaitingCustomers, Now);
  for (const JobRef &J : Jobs) {
    auto P = static_cast<std::size_t>(J->Route.WorkPriority);
    Statements.push_back({J->Route.WorkPriority, J->FirstTry,
                          J->Route.LatencyObjective, upperEstimate(RunTimes[P]),
                          AboveShare.count(J->Customer) != 0});
  }
  std::vector<JobRef> Ordered;
  Ordered.reserve(Jobs.size());
  for (std::size_t I : waitOrder(Statements, Now))
    Ordered.push_back(Jobs[I]);
  return Ordered;
}

bool Group::anySlotFree(Instant Now) const {
  // The connections of customers are checked for each statement.
  if (!PerCustomer)
    return anyFree(serverLoads({}, Now), mostUrgentWaiting());
  Priority P = mostUrgentWaiting();
  auto Primary = primaryPool();
  bool TrialsOnly = Primary && usable(*Primary, Now) && !Primary->degraded() &&
                    !Primary->suspected() && !Primary->unreachable();
  return std::any_of(Pools.begin(), Pools.end(), [&](const auto &Entry) {
    const ServerPool &Pool = *Entry.second;
    return Pool.InFlight < limitFor(Pool.limit(), P) &&
           (!TrialsOnly || !Pool.degraded() || trialDue(Pool.pace(), Now));
  });
}

std::vector<BlockedCustomer> Group::blockedCustomers() const {
  std::vector<BlockedCustomer> Blocked;
  Instant Now = Hooks.Now();
  bool Exhausted =
      std::any_of(Pools.begin(), Pools.end(),
                  [](const auto &Entry) { return Entry.second->exhausted(); });
  if (Waiting.empty() || !Exhausted || !anySlotFree(Now))
    return Blocked;
  std::map<CustomerId, std::vector<ServerLoad>> Loads;
  CustomerSet Found;
  for (const JobRef &J : Waiting) {
    if (Now < J->NotBefore || Found.count(J->Customer) != 0)
      continue;
    auto [It, Added] = Loads.try_emplace(J->Customer);
    if (Added)
      It->second = serverLoads(J->Customer, Now);
    std::vector<UpstreamId> Servers = serversLackingConnection(
        makePlacementRequest(*J, Now), It->second, Now);
    if (Servers.empty())
      continue;
    Found.insert(J->Customer);
    Blocked.push_back({J->Customer, std::move(Servers)});
  }
  return Blocked;
}

void Group::scheduleOnce() {
  if (Waiting.empty())
    return;
  Instant Now = Hooks.Now();
  if (!anySlotFree(Now))
    return;
  std::vector<JobRef> Order = waitingInOrder(Now);
  if (Starts >= AntiStarvationInterval) {
    // The lowest waiting priority, which comes last in the order, has waited
    // longest for a turn: its first statement goes to the front.
    auto LeastUrgent =
        std::find_if(Order.begin(), Order.end(), [&](const JobRef &J) {
          return J->Route.WorkPriority == Order.back()->Route.WorkPriority;
        });
    std::rotate(Order.begin(), LeastUrgent, LeastUrgent + 1);
  }
  std::vector<ServerLoad> Loads;
  for (const JobRef &J : Order) {
    if (J->Finished || !J->Waiting)
      continue;
    if (Loads.empty() || PerCustomer)
      Loads = serverLoads(J->Customer, Now);
    if (!tryStart(J, Loads, Now))
      continue;
    Starts =
        J == Order.front() && Starts >= AntiStarvationInterval ? 0 : Starts + 1;
    Loads.clear();
    if (Waiting.empty() || !anySlotFree(Now))
      return;
  }
}

void Group::requeue(const JobRef &J, Duration Delay) {
  J->NotBefore = Hooks.Now() + Delay;
  // A hedged read may be waiting already when its first attempt fails.
  if (!J->Waiting)
    enqueue(J);
  schedule();
}

void Group::finish(const JobRef &J, JobResult Result) {
  if (J->Finished)
    return;
  J->Finished = true;
  dequeue(J);
  Duration Latency = Hooks.Now() - J->Arrived;
  const ServerReply &Reply = Result.Reply;
  StatementOutcome Outcome = StatementOutcome::Served;
  if (Reply.NoAnswer)
    Outcome = StatementOutcome::Unknown;
  else if (Reply.Error)
    Outcome = StatementOutcome::Failed;
  else if (J->ServedByReplica)
    Outcome = StatementOutcome::ServedByReplica;
  Counters.recordStatement(J->Route.WorkPriority, Outcome, Latency);
  Events.write(Reply.NoAnswer ? EngineEvent::StatementUnknown
                              : EngineEvent::StatementDone,
               {{"id", J->Call.Id},
                {"session", J->Session},
                {"service", Service},
                {"customer", J->Customer},
                {"rank", name(J->Route.WorkPriority)},
                {"attempts", J->Attempts},
                {"epoch", Lease.Epoch},
                {"wait_ms", J->SentAt - J->Arrived},
                {"took_ms", Latency},
                {"outcome", Reply.Error      ? name(*Reply.Error)
                            : Reply.NoAnswer ? std::string_view("no answer")
                                             : std::string_view("ok")}});
  auto Done = std::move(J->Done);
  if (Done)
    Done(std::move(Result));
}

void Group::hedge(const JobRef &J, Instant Now) {
  bool Read = !J->Write && J->Kind == JobKind::Autocommit;
  if (!Read || J->Running == 0 || J->Waiting ||
      J->Attempts >= detail::MaxHedgedAttempts ||
      Now - J->SentAt < detail::hedgeDelay(J->Route.LatencyObjective))
    return;
  auto A = J->CurrentAttempt;
  if (!A || (!Waiting.empty() && A->Pool->AppliedAt >= A->SentAt) ||
      mayRetry(HedgeBudget,
               {AttemptOutcome::NoAnswer, false, false, false, false,
                J->Arrived + J->Route.StatementTimeout - Now, Duration::zero(),
                false}) != RetryDecision::Retry)
    return;
  A->Pool->exchangeTimedOut(A->SentAt);
  J->Excluded.push_back(A->Pool->server().Id);
  Events.write(EngineEvent::StatementRetried, {{"id", J->Call.Id},
                                               {"service", Service},
                                               {"server", A->Pool->server().Id},
                                               {"cause", "slow"},
                                               {"attempt", J->Attempts},
                                               {"after_ms", Now - J->Arrived}});
  Counters.recordRetry();
  requeue(J, Duration::zero());
}

void Group::expire(const JobRef &J, const std::vector<ServerLoad> &Loads,
                   Instant Now) {
  if (J->Running == 0) {
    Duration Waited = Now - J->Arrived;
    if (Waited >= maxWait(J->Route.StatementTimeout))
      refuse(J, ReplyCode::Busy,
             canServe(*J, Loads, Now) ? "no server was free in time"
                                      : unservableReason(Now));
    else
      handleUnservable(J, Loads, Now);
    return;
  }
  if (Now - J->Arrived < J->Route.StatementTimeout) {
    hedge(J, Now);
    return;
  }
  auto A = J->CurrentAttempt;
  JobResult Result;
  Result.Reply.NoAnswer = true;
  if (A && !A->Ended) {
    A->Pool->exchangeTimedOut(A->SentAt);
    recordOutcome(*A, ServerOutcome::Failed);
    bool Started = A->StatementSent;
    endAttempt(A, false);
    if (!Started && !J->Sent) {
      refuse(J, ReplyCode::Busy, "the connection did not answer");
      return;
    }
  }
  finish(J, std::move(Result));
}

/// Ends attempts whose job was answered by another attempt and that have
/// exceeded the statement timeout; their connections are closed.
void Group::expireAttempts(Instant Now) {
  std::vector<AttemptRef> Running(Attempts.begin(), Attempts.end());
  for (const AttemptRef &A : Running)
    if (!A->Ended && A->J->Finished &&
        Now - A->StartedAt >= A->J->Route.StatementTimeout) {
      A->Pool->exchangeTimedOut(A->SentAt);
      recordOutcome(*A, ServerOutcome::Failed);
      endAttempt(A, false);
    }
}

void Group::tick() {
  Instant Now = Hooks.Now();
  expireAttempts(Now);
  std::vector<JobRef> Jobs(Active.begin(), Active.end());
  std::vector<ServerLoad> Loads = serverLoads({}, Now);
  for (const JobRef &J : Jobs)
    if (!J->Finished)
      expire(J, Loads, Now);
  schedule();
}

} // namespace eelgrassloom
