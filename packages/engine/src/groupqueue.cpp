// Waiting statements of a group: order, choice of the server, timeouts.

#include "attempt.h"
#include "engine/forward.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Part of the latency objective after which an unanswered read is sent to
/// another server as well.
constexpr double HedgeShare = 0.6;
/// Usual time of a handshake, with some reserve.
constexpr Duration HandshakePatience = std::chrono::milliseconds(60);
/// Attempts of one read, counting those that had an answer.
constexpr unsigned MaxHedgedAttempts = 3;
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(60);
constexpr Duration MaxHedgeDelay = std::chrono::milliseconds(600);

Duration hedgeDelay(Duration Goal) {
  return std::clamp(std::chrono::duration_cast<Duration>(Goal * HedgeShare),
                    MinHedgeDelay, MaxHedgeDelay);
}

} // namespace detail

void Group::submit(JobRef J) {
  bool Remote =
      J->Pinned ? J->Pinned->Owner != nullptr : OwnersNeeded && !J->RunHere;
  if (!Remote || !Owners->forward(J))
    runHere(J);
}

void Group::runHere(const JobRef &J) {
  Active.push_back(J);
  recordFirstAttempt(HedgeBudget);
  if (J->Pinned) {
    start(J, J->Pinned->Pool, J->Pinned->Connection, {});
    return;
  }
  J->Waiting = true;
  Waiting.push_back(J);
  pump();
  refuseUnservable(J, Host.Now());
}

void Group::leaveQueue(const JobRef &J) {
  if (J->Waiting)
    Waiting.remove(J);
  J->Waiting = false;
  Active.remove(J);
}

void Group::abandon(const JobRef &J) {
  if (J->ForwardedTo) {
    Owners->abandon(J);
    return;
  }
  J->Finished = true;
  J->Done = nullptr;
  leaveQueue(J);
  // A transaction must not stay open on a connection that nobody holds; an
  // attempt in progress closes it.
  if (auto A = J->Current; A && !A->Ended) {
    if (J->Kind != JobKind::Single)
      endAttempt(A, false);
  } else if (J->Pinned) {
    rollBack(*J->Pinned); // The server shed it, and it was to be sent again.
  }
}

std::vector<ServerLoad> Group::loads(Instant Now) const {
  std::vector<ServerLoad> Loads;
  bool Permitted = valid(Grant, Now);
  for (const auto &[Id, Pool] : Pools) {
    ServerLoad Load;
    Load.Id = Id;
    Load.Primary = Permitted && Id == Grant.Primary;
    Load.SameFailureDomain = Pool->server().FailureDomain == FailureDomain;
    // Without permission the primary of the record is used like a replica
    // only if it is one.
    bool Leads = Load.Primary && Now >= NotLeadingUntil;
    Load.Available = Pool->available() && usable(*Pool, Now) &&
                     (Leads || Id != Record.Primary);
    Load.Connected = Pool->hasIdle();
    Load.Suspected = Pool->suspected();
    Load.Unreachable = Pool->unreachable();
    Load.InFlight = Pool->InFlight;
    Load.Limit = Pool->limit();
    Load.Applied = Pool->Applied;
    Load.AppliedAt = Pool->AppliedAt;
    Loads.push_back(std::move(Load));
  }
  return Loads;
}

std::optional<Position> Group::requiredFor(const Job &J) const {
  if (J.Route.Reads == ReadConsistency::Latest)
    return std::nullopt;
  auto Bounded =
      requiredPosition(Positions, J.OperationStart, J.Route.StalenessBound);
  if (!Bounded || J.Route.Reads == ReadConsistency::Bounded)
    return Bounded;
  auto Own = requiredForSession(Positions, J.LastCommit, Record.Epoch);
  if (!Own)
    return std::nullopt;
  return std::max(*Bounded, *Own);
}

PlacementNeed Group::needOf(const Job &J, Instant /*Now*/) const {
  PlacementNeed Need;
  Need.PrimaryOnly = J.Write || J.Route.Reads == ReadConsistency::Latest ||
                     (J.Kind == JobKind::First && !J.ReadOnly);
  if (!Need.PrimaryOnly)
    Need.Required = requiredFor(J);
  Need.Rank = J.Route.Rank;
  Need.Excluded = &J.Excluded;
  return Need;
}

bool Group::tryStart(const JobRef &J, Instant Now) {
  if (Now < J->NotBefore)
    return false;
  PlacementNeed Need = needOf(*J, Now);
  std::vector<ServerLoad> Loads = loads(Now);
  auto Choice = chooseServer(Need, Loads, Now);
  if (Choice && !Loads[*Choice].Connected) {
    Pools.find(Loads[*Choice].Id)->second->ensureConnection();
    // A handshake that takes long may never end; any open connection is
    // better then.
    if (J->Attempts == 0 && Now - J->Arrived < detail::HandshakePatience)
      return false;
    std::erase_if(Loads, [](const ServerLoad &L) { return !L.Connected; });
    Choice = chooseServer(Need, Loads, Now);
  }
  if (!Choice)
    return false;
  auto Pool = Pools.find(Loads[*Choice].Id)->second;
  J->Waiting = false;
  Waiting.remove(J);
  start(J, Pool, Pool->acquire(J->Session), Need);
  return true;
}

void Group::pump() {
  if (Pumping) {
    PumpAgain = true;
    return;
  }
  Pumping = true;
  do {
    PumpAgain = false;
    pumpOnce();
  } while (PumpAgain);
  Pumping = false;
}

std::vector<JobRef> Group::inOrder(Instant Now) const {
  std::vector<JobRef> Jobs(Waiting.begin(), Waiting.end());
  std::vector<WaitingStatement> Statements;
  Statements.reserve(Jobs.size());
  for (const JobRef &J : Jobs) {
    auto Rank = static_cast<std::size_t>(J->Route.Rank);
    Statements.push_back({J->Route.Rank, J->OperationStart, J->Route.Goal,
                          usualMost(RunTimes[Rank])});
  }
  std::vector<JobRef> Ordered;
  Ordered.reserve(Jobs.size());
  for (std::size_t I : waitOrder(Statements, Now))
    Ordered.push_back(Jobs[I]);
  return Ordered;
}

void Group::pumpOnce() {
  if (Waiting.empty())
    return;
  Instant Now = Host.Now();
  std::vector<JobRef> Order = inOrder(Now);
  if (Starts >= FloorInterval) {
    // The last rank in the order has waited longest for a turn.
    auto Least = std::find_if(Order.begin(), Order.end(), [&](const JobRef &J) {
      return J->Route.Rank == Order.back()->Route.Rank;
    });
    std::rotate(Order.begin(), Least, Least + 1);
  }
  for (const JobRef &J : Order)
    if (!J->Finished && J->Waiting && tryStart(J, Now))
      Starts = J == Order.front() && Starts >= FloorInterval ? 0 : Starts + 1;
}

void Group::waitAgain(const JobRef &J, Duration Delay) {
  J->NotBefore = Host.Now() + Delay;
  J->Waiting = true;
  Waiting.push_back(J);
  pump();
}

void Group::deliver(const JobRef &J, JobResult Result) {
  if (J->Finished)
    return;
  J->Finished = true;
  leaveQueue(J);
  Duration Took = Host.Now() - J->Arrived;
  const ServerReply &Reply = Result.Reply;
  StatementOutcome Outcome = StatementOutcome::Served;
  if (Reply.Lost)
    Outcome = StatementOutcome::Unknown;
  else if (Reply.Error)
    Outcome = StatementOutcome::Failed;
  else if (J->ServedByReplica)
    Outcome = StatementOutcome::ServedByReplica;
  Counters.statement(J->Route.Rank, Outcome, Took);
  Events.write(Reply.Lost ? EngineEvent::StatementUnknown
                          : EngineEvent::StatementDone,
               {{"id", J->Call.Id},
                {"session", J->Session},
                {"service", Service},
                {"rank", name(J->Route.Rank)},
                {"attempts", J->Attempts},
                {"epoch", Grant.Epoch},
                {"wait_ms", J->SentAt - J->Arrived},
                {"took_ms", Took},
                {"outcome", Reply.Error  ? name(*Reply.Error)
                            : Reply.Lost ? std::string_view("no answer")
                                         : std::string_view("ok")}});
  auto Done = std::move(J->Done);
  if (Done)
    Done(std::move(Result));
}

void Group::hedge(const JobRef &J, Instant Now) {
  bool Read = !J->Write && J->Kind == JobKind::Single;
  if (!Read || J->Running == 0 || J->Waiting ||
      J->Attempts >= detail::MaxHedgedAttempts ||
      Now - J->SentAt < detail::hedgeDelay(J->Route.Goal))
    return;
  auto A = J->Current;
  if (!A ||
      mayRetry(HedgeBudget, {AttemptEnd::NoAnswer, false, false, false, false,
                             J->Arrived + J->Route.StatementTimeout - Now,
                             Duration::zero()}) != RetryDecision::Retry)
    return;
  A->Pool->exchangeSilent(A->SentAt);
  J->Excluded.push_back(A->Pool->server().Id);
  Events.write(EngineEvent::StatementRetried, {{"id", J->Call.Id},
                                               {"service", Service},
                                               {"server", A->Pool->server().Id},
                                               {"cause", "slow"},
                                               {"attempt", J->Attempts},
                                               {"after_ms", Now - J->Arrived}});
  Counters.retry();
  waitAgain(J, Duration::zero());
}

void Group::expire(const JobRef &J, Instant Now) {
  if (J->Running == 0) {
    Duration Waited = Now - J->Arrived;
    if (Waited >= longestWait(J->Route.StatementTimeout))
      refuse(J, ReplyCode::Busy,
             servable(needOf(*J, Now), loads(Now))
                 ? "no server was free in time"
                 : unservableReason(Now));
    else
      refuseUnservable(J, Now);
    return;
  }
  if (Now - J->Arrived < J->Route.StatementTimeout) {
    hedge(J, Now);
    return;
  }
  auto A = J->Current;
  JobResult Result;
  Result.Reply.Lost = true;
  if (A && !A->Ended) {
    A->Pool->exchangeSilent(A->SentAt);
    bool Started = A->StatementSent;
    endAttempt(A, false);
    if (!Started && !J->Sent) {
      refuse(J, ReplyCode::Busy, "the connection did not answer");
      return;
    }
  }
  deliver(J, std::move(Result));
}

/// Closes connections of statements that were answered otherwise meanwhile.
void Group::expireAttempts(Instant Now) {
  std::vector<AttemptRef> Running(Attempts.begin(), Attempts.end());
  for (const AttemptRef &A : Running)
    if (!A->Ended && A->J->Finished &&
        Now - A->StartedAt >= A->J->Route.StatementTimeout) {
      A->Pool->exchangeSilent(A->SentAt);
      endAttempt(A, false);
    }
}

void Group::tick() {
  Instant Now = Host.Now();
  expireAttempts(Now);
  std::vector<JobRef> Jobs(Active.begin(), Active.end());
  for (const JobRef &J : Jobs)
    if (!J->Finished)
      expire(J, Now);
  pump();
}

} // namespace eelgrassloom
