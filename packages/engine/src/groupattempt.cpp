// Attempts of a group: setup of the connection, the statement itself, its
// answer, and retries.

#include "attempt.h"
#include "engine/forward.h"
#include <algorithm>
#include <utility>

namespace eelgrassloom {
namespace detail {

/// Pause before an overloaded server that refused a statement gets it again.
constexpr Duration OverloadRetryDelay = std::chrono::milliseconds(15);
/// Time for which the primary is not used after it refused a write as a server
/// that is not primary. The primary record is polled meanwhile.
constexpr Duration NotPrimaryTime = std::chrono::milliseconds(100);
/// A connection whose ROLLBACK has no answer within this time is closed, which
/// rolls the transaction back as well.
constexpr Duration RollBackTimeout = std::chrono::seconds(1);
/// After this many failed attempts of a read the error is returned.
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

/// True for codes by which a server guarantees that the statement did not run.
bool didNotRun(ReplyCode Code) {
  return Code == ReplyCode::Busy || Code == ReplyCode::NoStatement ||
         Code == ReplyCode::Lagging || Code == ReplyCode::ReadOnly;
}

/// True for codes that another attempt of the statement would get as well.
bool isPermanent(ReplyCode Code) {
  return Code == ReplyCode::Malformed || Code == ReplyCode::TooBig;
}

/// Why a setup has failed: the first answer that is no success.
ServerReply failureOf(const std::vector<ServerReply> &Replies) {
  auto Failed = std::find_if(Replies.begin(), Replies.end(),
                             [](const ServerReply &R) { return !R.ok(); });
  return Failed == Replies.end() ? Replies.back() : *Failed;
}

} // namespace detail

void Group::start(const JobRef &J, const std::shared_ptr<ServerPool> &Pool,
                  const ConnectionRef &Connection,
                  const PlacementRequest &Request) {
  auto A = std::make_shared<Attempt>();
  A->J = J;
  A->Pool = Pool;
  A->Connection = Connection;
  A->StartedAt = Hooks.Now();
  LastLocalRun = A->StartedAt;
  if (J->ForwardedState)
    LastRunForPeers = A->StartedAt;
  if (J->Pinned) {
    A->Epoch = J->Pinned->Epoch;
    A->OnPrimary = A->Epoch != 0;
  } else if (Pool == primaryPool()) {
    A->Epoch = Lease.Epoch;
    A->OnPrimary = true;
  } else {
    A->MinPosition = Request.Required;
  }
  A->MayCommit =
      A->OnPrimary && ((J->Kind == JobKind::Autocommit && J->Write) ||
                       (J->Kind == JobKind::Commit && J->Wrote));
  ++Pool->InFlight;
  Pool->recordStart();
  ++J->Running;
  ++J->Attempts;
  J->SentAt = A->StartedAt;
  if (A->MayCommit)
    ++WritesInProgress[A->Epoch];
  J->CurrentAttempt = A;
  Attempts.push_back(A);
  sendSetup(A);
}

void Group::sendSetup(const AttemptRef &A) {
  Job &J = *A->J;
  std::vector<SetupStep> Steps =
      setupSteps(A->Connection->State, *J.State,
                 J.Prepared ? &*J.Prepared : nullptr, J.Pinned.has_value());
  std::vector<ServerCall> Calls;
  Calls.reserve(Steps.size() + 1);
  for (const SetupStep &Step : Steps)
    Calls.push_back(detail::setupCall(Step));
  if (J.Kind == JobKind::FirstInTransaction) {
    J.ReachedServer = true;
    Calls.push_back(makeCall(J.ReadOnly ? ServerCommand::BeginReadOnly
                                        : ServerCommand::Begin));
    if (J.ReadOnly)
      Calls.back().MinPosition = A->MinPosition;
  }
  if (Calls.empty()) {
    send(A);
    return;
  }
  A->SentAt = Hooks.Now();
  A->Connection->Connection->exchange(
      std::move(Calls), [Self = shared_from_this(), A, Steps](auto Replies) {
        Self->handleSetupReplies(A, Steps, std::move(Replies));
      });
}

void Group::handleSetupReplies(const AttemptRef &A,
                               const std::vector<SetupStep> &Steps,
                               std::vector<ServerReply> Replies) {
  if (A->Ended)
    return;
  Job &J = *A->J;
  std::size_t Expected =
      Steps.size() + (J.Kind == JobKind::FirstInTransaction ? 1 : 0);
  for (std::size_t I = 0; I < Steps.size() && I < Replies.size(); ++I)
    if (Replies[I].ok())
      apply(A->Connection->State, Steps[I]);
  if (J.Finished) {
    // The caller disconnected before the statement was sent.
    endAttempt(A, false);
    return;
  }
  if (detail::allOk(Replies, Expected)) {
    send(A);
    return;
  }
  recordPosition(*A, Replies.back());
  recordOutcome(*A, detail::failureOf(Replies));
  // An open transaction ends with its connection.
  bool Clean = !Replies.back().NoAnswer &&
               Replies.back().State == TransactionState::None &&
               J.Kind != JobKind::InTransaction && J.Kind != JobKind::Commit;
  endAttempt(A, Clean);
  retryOrFail(A, detail::failureOf(Replies), false);
}

void Group::send(const AttemptRef &A) {
  Job &J = *A->J;
  if (A->MayCommit && !(valid(Lease, Hooks.Now()) && Lease.Epoch == A->Epoch)) {
    // The primary lease ended during the setup; the statement was not sent.
    ServerReply Refused;
    Refused.Error = ReplyCode::ReadOnly;
    endAttempt(A, J.Kind == JobKind::Autocommit);
    retryOrFail(A, Refused, false);
    return;
  }
  ServerCall Call = J.Call;
  if (J.Prepared) {
    Call.Command = ServerCommand::Execute;
    Call.Name = A->Connection->State.Prepared.at(*J.Prepared);
  }
  if (J.Kind == JobKind::Autocommit && !J.Write)
    Call.MinPosition = A->MinPosition;
  A->StatementSent = true;
  A->SentAt = Hooks.Now();
  J.Sent = true;
  J.ReachedServer = true;
  A->Connection->Connection->exchange(
      {std::move(Call)}, [Self = shared_from_this(), A](auto Replies) {
        Self->handleReply(A, std::move(Replies.back()));
      });
}

void Group::recordPosition(const Attempt &A, const ServerReply &Reply) {
  if (Reply.NoAnswer || !Reply.LogPosition)
    return;
  A.Pool->Applied = *Reply.LogPosition;
  A.Pool->AppliedAt = Hooks.Now();
  // The primary lease may have ended after the transaction began; the position
  // proves nothing about the staleness of replicas then.
  if (A.OnPrimary && A.Epoch == Lease.Epoch && valid(Lease, A.SentAt) &&
      Reply.Error != ReplyCode::ReadOnly)
    addPosition(Positions, {A.SentAt, *Reply.LogPosition, A.Epoch});
}

void Group::recordOutcome(const Attempt &A, ServerOutcome Outcome) {
  if (!PaceEnabled)
    return;
  ServerAnswer Answer;
  Answer.Outcome = Outcome;
  Answer.WorkPriority = A.J->Route.WorkPriority;
  // Writes run on the primary only, and transactions wait for their callers.
  Answer.Comparable = A.J->Kind == JobKind::Autocommit && !A.J->Write;
  Answer.SentAt = A.SentAt;
  Answer.EndedAt = Hooks.Now();
  std::vector<const ServerPace *> Siblings;
  for (const auto &Entry : Pools)
    if (Entry.second != A.Pool)
      Siblings.push_back(&Entry.second->pace());
  A.Pool->recordAnswer(Answer, Siblings);
}

void Group::recordOutcome(const Attempt &A, const ServerReply &Reply) {
  // An exchange on a connection that had ended before did not reach the server.
  if (Reply.ok())
    recordOutcome(A, ServerOutcome::Answered);
  else if (Reply.NoAnswer ? !Reply.NotSent : Reply.Error == ReplyCode::Failed)
    recordOutcome(A, ServerOutcome::Failed);
  else if (Reply.Error == ReplyCode::Busy)
    recordOutcome(A, ServerOutcome::Refused);
}

void Group::handleReply(const AttemptRef &A, ServerReply Reply) {
  if (A->Ended)
    return;
  Job &J = *A->J;
  recordPosition(*A, Reply);
  recordOutcome(*A, Reply);
  A->Pool->exchangeDone(Reply.NoAnswer || Reply.Error == ReplyCode::Failed);
  bool LeaseHeld =
      !A->MayCommit || (valid(Lease, Hooks.Now()) && Lease.Epoch == A->Epoch);
  bool HoldsTransaction =
      !Reply.NoAnswer && !J.Finished && Reply.State != TransactionState::None &&
      (J.Kind == JobKind::InTransaction ||
       (J.Kind == JobKind::FirstInTransaction && Reply.ok()));
  bool Clean = !Reply.NoAnswer && Reply.State == TransactionState::None;
  if (HoldsTransaction && Reply.Error &&
      Reply.State == TransactionState::Open) {
    // The connection takes no further statement after an error. Closing it
    // rolls the transaction back, so that nothing of it is kept.
    HoldsTransaction = false;
    Reply.Error = ReplyCode::Aborted;
    Reply.ErrorText =
        "the transaction was rolled back after: " + Reply.ErrorText;
  }
  if (HoldsTransaction) {
    // The connection stays reserved for the transaction.
    --A->Pool->InFlight;
    --J.Running;
    A->Ended = true;
    Attempts.remove(A);
    countServerTime(*A);
  } else {
    endAttempt(A, Clean);
  }
  if (J.Finished)
    return;
  if (Reply.ok() && LeaseHeld) {
    if (J.Kind == JobKind::Autocommit || J.Kind == JobKind::FirstInTransaction)
      addSample(RunTimes[static_cast<std::size_t>(J.Route.WorkPriority)],
                Hooks.Now() - A->StartedAt);
    JobResult Result;
    if (HoldsTransaction)
      Result.Pinned =
          PinnedConnection{A->Pool, A->Connection, nullptr, 0, A->Epoch};
    Result.Epoch = A->Epoch;
    Result.Reply = std::move(Reply);
    J.ServedByReplica = !A->OnPrimary;
    finish(A->J, std::move(Result));
    return;
  }
  if (Reply.ok()) {
    // Another server may have been promoted before this commit, so the commit
    // may be lost although this server has confirmed it.
    Reply.NoAnswer = true;
  }
  if (HoldsTransaction) {
    JobResult Result;
    Result.Pinned =
        PinnedConnection{A->Pool, A->Connection, nullptr, 0, A->Epoch};
    Result.Reply = std::move(Reply);
    finish(A->J, std::move(Result));
    return;
  }
  if (Reply.NotSent && J.Kind == JobKind::Commit) {
    // The server has rolled the transaction back when its connection ended.
    Reply = ServerReply();
    Reply.Error = ReplyCode::Aborted;
    Reply.ErrorText = "the connection of the transaction has ended";
  }
  bool Ran = Reply.NoAnswer ? !Reply.NotSent
                            : !Reply.Error || !detail::didNotRun(*Reply.Error);
  retryOrFail(A, Reply, Ran);
}

void Group::countServerTime(const Attempt &A) {
  Instant Now = Hooks.Now();
  if (PerCustomer)
    recordServerTime(ServerTime, A.J->Customer, Now - A.StartedAt, Now);
}

void Group::endAttempt(const AttemptRef &A, bool Reuse) {
  A->Ended = true;
  Attempts.remove(A);
  countServerTime(*A);
  --A->Pool->InFlight;
  --A->J->Running;
  if (A->MayCommit)
    --WritesInProgress[A->Epoch];
  if (A->J->CurrentAttempt == A)
    A->J->CurrentAttempt.reset();
  A->Pool->release(A->Connection, Reuse);
}

void Group::retryOrFail(const AttemptRef &A, const ServerReply &Reply,
                        bool MayHaveRun) {
  const JobRef &J = A->J;
  if (J->Finished)
    return;
  if (Reply.Error == ReplyCode::Busy)
    A->Pool->recordOverload();
  if (Reply.Error == ReplyCode::ReadOnly && A->OnPrimary)
    NotPrimaryUntil = Hooks.Now() + detail::NotPrimaryTime;
  bool Repeatable =
      J->Kind == JobKind::Autocommit || J->Kind == JobKind::FirstInTransaction;
  // Running the first statement of a transaction twice is safe: without its
  // commit the first run leaves nothing behind.
  bool Safe =
      !MayHaveRun || !J->Write || J->Kind == JobKind::FirstInTransaction;
  bool Permanent = Reply.Error && detail::isPermanent(*Reply.Error);
  if (Reply.Error == ReplyCode::TooBig && A->MinPosition && !J->PrimaryOnly) {
    // The primary needs no position in front of the statement.
    J->PrimaryOnly = true;
    requeue(J, Duration::zero());
    return;
  }
  if (!Repeatable || !Safe || Permanent) {
    JobResult Result;
    Result.Reply = Reply;
    finish(J, std::move(Result));
    return;
  }
  if (J->Running > 0)
    return; // Another attempt of this read is in progress.
  if (MayHaveRun || (Reply.Error && !detail::didNotRun(*Reply.Error))) {
    J->Excluded.push_back(A->Pool->server().Id);
    if (++J->Failures >= detail::MaxFailures) {
      JobResult Result;
      Result.Reply = Reply;
      finish(J, std::move(Result));
      return;
    }
  }
  Counters.recordRetry();
  Events.write(EngineEvent::StatementRetried,
               {{"id", J->Call.Id},
                {"service", Service},
                {"server", A->Pool->server().Id},
                {"cause", Reply.NoAnswer ? std::string_view("lost")
                                         : name(*Reply.Error)},
                {"attempt", J->Attempts},
                {"after_ms", Hooks.Now() - J->Arrived}});
  requeue(J, Reply.Error == ReplyCode::Busy ? detail::OverloadRetryDelay
                                            : Duration::zero());
}

void Group::rollBack(const PinnedConnection &Pinned) {
  if (Pinned.Owner) {
    Forwarder->rollBack(Pinned);
    return;
  }
  if (!Pinned.Connection->Connection->usable()) {
    // The server rolls the transaction back when the connection ends.
    Pinned.Pool->release(Pinned.Connection, false);
    return;
  }
  auto Answered = std::make_shared<bool>(false);
  Pinned.Connection->Connection->exchange(
      {makeCall(ServerCommand::RollBack)},
      [Pinned, Answered](std::vector<ServerReply> Replies) {
        const ServerReply &Reply = Replies.back();
        *Answered = true;
        Pinned.Pool->release(Pinned.Connection,
                             !Reply.NoAnswer &&
                                 Reply.State == TransactionState::None);
      });
  Hooks.After(detail::RollBackTimeout, [Pinned, Answered] {
    if (!*Answered)
      Pinned.Pool->release(Pinned.Connection, false);
  });
}

void Group::handOver(const PinnedConnection &Pinned, const CustomerId &To) {
  // The release must not start a statement of another customer that is further
  // ahead in the queue and would take the place.
  bool Nested = std::exchange(Scheduling, true);
  Pinned.Pool->release(Pinned.Connection, false);
  Pinned.Pool->ensureConnection({To, nullptr});
  Scheduling = Nested;
  schedule();
}

void Group::unpin(const PinnedConnection &Pinned, bool Reuse) {
  Pinned.Pool->release(Pinned.Connection, Reuse);
}

} // namespace eelgrassloom
