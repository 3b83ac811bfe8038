// Attempts of a group: setup of the connection, the statement, its answer.

#include "attempt.h"
#include "engine/forward.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Pause before a statement that a server shed is offered again.
constexpr Duration ShedRetryDelay = std::chrono::milliseconds(15);
/// Pause before a write is offered again that a server without the lead
/// refused; the group record is checked meanwhile.
constexpr Duration NotLeadingPause = std::chrono::milliseconds(100);
/// Failed reads of one statement before the error is returned.
constexpr unsigned MaxFailures = 3;

ServerCall setupCall(const SetupStep &Step) {
  ServerCall Call = makeCall(ServerCommand::Setup);
  Call.Step = Step;
  return Call;
}

bool allOk(const std::vector<ServerReply> &Replies, std::size_t Expected) {
  return Replies.size() == Expected &&
         std::all_of(Replies.begin(), Replies.end(),
                     [](const ServerReply &R) { return R.ok(); });
}

/// Codes that promise that the statement did not run.
bool didNotRun(ReplyCode Code) {
  return Code == ReplyCode::Busy || Code == ReplyCode::NoStatement ||
         Code == ReplyCode::Lagging || Code == ReplyCode::ReadOnly;
}

} // namespace detail

void Group::start(const JobRef &J, const std::shared_ptr<ServerPool> &Pool,
                  const ConnectionRef &Connection, const PlacementNeed &Need) {
  auto A = std::make_shared<Attempt>();
  A->J = J;
  A->Pool = Pool;
  A->Connection = Connection;
  A->StartedAt = Host.Now();
  LastRunHere = A->StartedAt;
  if (J->ForwardedState)
    LastRunForOthers = A->StartedAt;
  if (J->Pinned) {
    A->Epoch = J->Pinned->Epoch;
    A->OnPrimary = A->Epoch != 0;
  } else if (Pool == primaryPool()) {
    A->Epoch = Grant.Epoch;
    A->OnPrimary = true;
  } else {
    A->After = Need.Required;
  }
  A->Commits = A->OnPrimary && ((J->Kind == JobKind::Single && J->Write) ||
                                (J->Kind == JobKind::Commit && J->Wrote));
  ++Pool->InFlight;
  ++J->Running;
  ++J->Attempts;
  J->SentAt = A->StartedAt;
  if (A->Commits)
    ++WritesInProgress[A->Epoch];
  J->Current = A;
  Attempts.push_back(A);
  setUp(A);
}

void Group::setUp(const AttemptRef &A) {
  Job &J = *A->J;
  std::vector<SetupStep> Steps = setupFor(A->Connection->State, *J.State,
                                          J.Prepared ? &*J.Prepared : nullptr);
  std::vector<ServerCall> Calls;
  Calls.reserve(Steps.size() + 1);
  for (const SetupStep &Step : Steps)
    Calls.push_back(detail::setupCall(Step));
  if (J.Kind == JobKind::First) {
    Calls.push_back(makeCall(J.ReadOnly ? ServerCommand::BeginReadOnly
                                        : ServerCommand::Begin));
    if (J.ReadOnly)
      Calls.back().After = A->After;
  }
  if (Calls.empty()) {
    send(A);
    return;
  }
  A->SentAt = Host.Now();
  A->Connection->Link->exchange(
      std::move(Calls), [Self = shared_from_this(), A, Steps](auto Replies) {
        Self->setUpDone(A, Steps, std::move(Replies));
      });
}

void Group::setUpDone(const AttemptRef &A, const std::vector<SetupStep> &Steps,
                      std::vector<ServerReply> Replies) {
  if (A->Ended)
    return;
  Job &J = *A->J;
  std::size_t Expected = Steps.size() + (J.Kind == JobKind::First ? 1 : 0);
  for (std::size_t I = 0; I < Steps.size() && I < Replies.size(); ++I)
    if (Replies[I].ok())
      apply(A->Connection->State, Steps[I]);
  if (J.Finished) {
    endAttempt(A, false); // The caller has gone; nothing was sent for it yet.
    return;
  }
  if (detail::allOk(Replies, Expected)) {
    send(A);
    return;
  }
  ServerReply Reply = std::move(Replies.back());
  noteReply(*A, Reply);
  // An open transaction ends with its connection.
  bool Clean = !Reply.Lost && Reply.State == TransactionState::None &&
               J.Kind != JobKind::Inner && J.Kind != JobKind::Commit;
  endAttempt(A, Clean);
  retryOrFail(A, Reply, false);
}

void Group::send(const AttemptRef &A) {
  Job &J = *A->J;
  if (A->Commits && !(valid(Grant, Host.Now()) && Grant.Epoch == A->Epoch)) {
    // The permission ended during the setup: nothing was sent.
    ServerReply Refused;
    Refused.Error = ReplyCode::ReadOnly;
    endAttempt(A, J.Kind == JobKind::Single);
    retryOrFail(A, Refused, false);
    return;
  }
  ServerCall Call = J.Call;
  if (J.Prepared) {
    Call.Command = ServerCommand::Execute;
    Call.Name = sharedName(*J.Prepared);
  }
  if (J.Kind == JobKind::Single && !J.Write)
    Call.After = A->After;
  A->StatementSent = true;
  A->SentAt = Host.Now();
  J.Sent = true;
  A->Connection->Link->exchange({std::move(Call)},
                                [Self = shared_from_this(), A](auto Replies) {
                                  Self->answered(A, std::move(Replies.back()));
                                });
}

void Group::noteReply(const Attempt &A, const ServerReply &Reply) {
  if (Reply.Lost || !Reply.At)
    return;
  A.Pool->Applied = *Reply.At;
  A.Pool->AppliedAt = Host.Now();
  // Within a transaction the permission may have ended since it began.
  if (A.OnPrimary && A.Epoch == Grant.Epoch && valid(Grant, A.SentAt) &&
      Reply.Error != ReplyCode::ReadOnly)
    addPosition(Positions, {A.SentAt, *Reply.At, A.Epoch});
}

void Group::answered(const AttemptRef &A, ServerReply Reply) {
  if (A->Ended)
    return;
  Job &J = *A->J;
  noteReply(*A, Reply);
  A->Pool->exchangeDone(Reply.Lost || Reply.Error == ReplyCode::Failed);
  bool CommitPermitted =
      !A->Commits || (valid(Grant, Host.Now()) && Grant.Epoch == A->Epoch);
  bool HoldsTransaction =
      !Reply.Lost && !J.Finished && Reply.State != TransactionState::None &&
      (J.Kind == JobKind::Inner || (J.Kind == JobKind::First && Reply.ok()));
  bool Clean = !Reply.Lost && Reply.State == TransactionState::None;
  if (HoldsTransaction) {
    // The connection stays with the transaction.
    --A->Pool->InFlight;
    --J.Running;
    A->Ended = true;
    Attempts.remove(A);
  } else {
    endAttempt(A, Clean);
  }
  if (J.Finished)
    return;
  if (Reply.ok() && CommitPermitted) {
    if (J.Kind == JobKind::Single || J.Kind == JobKind::First)
      addSample(RunTimes[static_cast<std::size_t>(J.Route.Rank)],
                Host.Now() - A->StartedAt);
    JobResult Result;
    if (HoldsTransaction)
      Result.Held = Pin{A->Pool, A->Connection, nullptr, 0, A->Epoch};
    Result.Epoch = A->Epoch;
    Result.Reply = std::move(Reply);
    J.ServedByReplica = !A->OnPrimary;
    deliver(A->J, std::move(Result));
    return;
  }
  if (Reply.ok()) {
    // Another server may have been promoted before this commit.
    Reply.Lost = true;
  }
  if (HoldsTransaction) {
    if (Reply.Error == ReplyCode::Busy &&
        Reply.State == TransactionState::Open) {
      offerAgain(A->J);
      return;
    }
    JobResult Result;
    Result.Held = Pin{A->Pool, A->Connection, nullptr, 0, A->Epoch};
    Result.Reply = std::move(Reply);
    deliver(A->J, std::move(Result));
    return;
  }
  bool MayHaveRun =
      Reply.Lost || !Reply.Error || !detail::didNotRun(*Reply.Error);
  retryOrFail(A, Reply, MayHaveRun);
}

void Group::offerAgain(const JobRef &J) {
  Host.After(detail::ShedRetryDelay, [Self = shared_from_this(), J] {
    if (!J->Finished)
      Self->start(J, J->Pinned->Pool, J->Pinned->Connection, {});
  });
}

void Group::endAttempt(const AttemptRef &A, bool Reuse) {
  A->Ended = true;
  Attempts.remove(A);
  --A->Pool->InFlight;
  --A->J->Running;
  if (A->Commits)
    --WritesInProgress[A->Epoch];
  if (A->J->Current == A)
    A->J->Current.reset();
  A->Pool->release(A->Connection, Reuse);
}

void Group::retryOrFail(const AttemptRef &A, const ServerReply &Reply,
                        bool MayHaveRun) {
  const JobRef &J = A->J;
  if (J->Finished)
    return;
  if (Reply.Error == ReplyCode::Busy)
    A->Pool->shed();
  if (Reply.Error == ReplyCode::ReadOnly && A->OnPrimary)
    NotLeadingUntil = Host.Now() + detail::NotLeadingPause;
  bool Repeatable = J->Kind == JobKind::Single || J->Kind == JobKind::First;
  // The first statement of a transaction leaves nothing behind without a
  // commit.
  bool Safe = !MayHaveRun || !J->Write || J->Kind == JobKind::First;
  if (!Repeatable || !Safe) {
    JobResult Result;
    Result.Reply = Reply;
    deliver(J, std::move(Result));
    return;
  }
  if (J->Running > 0)
    return; // Another attempt of this read is in progress.
  if (MayHaveRun) {
    J->Excluded.push_back(A->Pool->server().Id);
    if (++J->Failures >= detail::MaxFailures) {
      JobResult Result;
      Result.Reply = Reply;
      deliver(J, std::move(Result));
      return;
    }
  }
  Counters.retry();
  Events.write(
      EngineEvent::StatementRetried,
      {{"id", J->Call.Id},
       {"service", Service},
       {"server", A->Pool->server().Id},
       {"cause", Reply.Lost ? std::string_view("lost") : name(*Reply.Error)},
       {"attempt", J->Attempts},
       {"after_ms", Host.Now() - J->Arrived}});
  waitAgain(J, Reply.Error == ReplyCode::Busy ? detail::ShedRetryDelay
                                              : Duration::zero());
}

void Group::rollBack(const Pin &Held) {
  if (Held.Owner) {
    Owners->rollBack(Held);
    return;
  }
  Held.Connection->Link->exchange(
      {makeCall(ServerCommand::RollBack)},
      [Held](std::vector<ServerReply> Replies) {
        const ServerReply &Reply = Replies.back();
        Held.Pool->release(Held.Connection,
                           !Reply.Lost &&
                               Reply.State == TransactionState::None);
      });
}

void Group::unpin(const Pin &Held, bool Reuse) {
  Held.Pool->release(Held.Connection, Reuse);
}

} // namespace eelgrassloom
