/// \file
/// The steps of transactions in StatementExecutor: begin, statements inside,
/// commit, rollback, and the end of abandoned transactions.

#include "answers.h"
#include "execution.h"
#include "wirestatus.h"

namespace eelgrassloom::detail {

using namespace caller::v1;

namespace {

/// A transaction without a step for this long is rolled back.
constexpr Duration TransactionIdleTimeout = std::chrono::seconds(10);
constexpr Duration AbandonedCheckInterval = std::chrono::seconds(1);

RunAnswer rolledBack() {
  return failed(REASON_TRANSACTION_LOST, "the transaction was rolled back");
}

} // namespace

void StatementExecutor::begin(const ExecutionRef &E) {
  const UpstreamId &Id = E->Pool->target().Id;
  if (!OpenTransactions.reserve(Id, E->Pool->maxPinned())) {
    finish(E, refused(REASON_OVERLOADED,
                      "all connections for transactions are in use",
                      std::chrono::milliseconds(100)));
    return;
  }
  UpstreamCall C;
  C.Operation = UpstreamOperation::Begin;
  C.Term = E->Term;
  C.Write = E->write();
  UpstreamTask Task = E->makeTask(std::move(C));
  Task.Pin = true;
  Task.Done = [Self = shared_from_this(), E](const TaskResult &R) {
    Self->begun(E, R);
  };
  E->Pool->submit(std::move(Task));
}

void StatementExecutor::begun(const ExecutionRef &E, const TaskResult &R) {
  const UpstreamId &Id = E->Pool->target().Id;
  if (R.Outcome != TaskOutcome::Exchanged || !R.Connection) {
    OpenTransactions.unreserve(Id);
    RunAnswer A =
        R.Outcome != TaskOutcome::Exchanged ? notRun(R) : answerOf(R.Reply);
    // The connection of an unanswered begin is closed, which rolls back any
    // transaction on it, so the begin can be refused as not run.
    if (A.outcome() == OUTCOME_UNKNOWN)
      A = refused(REASON_UPSTREAM_UNAVAILABLE, A.message());
    finish(E, std::move(A), &R);
    return;
  }
  Upstreams->observe(E->Group->Name, R.Reply.Status, R.SentAt);
  const UpstreamStatus &S = R.Reply.Status;
  Position SessionPosition = fromWire(E->Request.min_position());
  if (!contains(S.History, S.Applied, SessionPosition)) {
    OpenTransactions.unreserve(Id);
    E->Pool->release(R.Connection, false);
    finish(E,
           lineage(S.History, SessionPosition) == Lineage::Lost
               ? refused(REASON_POSITION_LOST,
                         "a write that the session has seen was lost in a "
                         "failover")
               : refused(REASON_NO_PRIMARY,
                         "the upstream is behind the session's position"),
           &R);
    return;
  }
  auto T = std::make_shared<Transaction>();
  T->Id = randomId();
  T->Database = E->Group->Name;
  T->Pool = E->Pool;
  T->Connection = R.Connection;
  T->Term = E->Term;
  T->LastUsed = P->now();
  E->TransactionId = T->Id;
  OpenTransactions.add(T);
  scheduleAbandonedCheck();
  RunAnswer A = answerOf(R.Reply);
  A.set_transaction(transactionHandle(P->Context.Options.Id, T->Id));
  finish(E, std::move(A), &R, Duration::zero());
}

void StatementExecutor::runStep(const ExecutionRef &E) {
  const RunRequest &R = E->run();
  auto Claim = OpenTransactions.claim(E->Request.transaction());
  switch (Claim.Result) {
  case ClaimResult::Claimed:
    break;
  case ClaimResult::Busy:
    finish(E, refused(REASON_BAD_REQUEST,
                      "another step of this transaction is in progress"));
    return;
  case ClaimResult::Ended:
    // A repeated commit gets the answer of the first one.
    if (R.step() == STEP_COMMIT)
      Claim.Ended.set_recorded(Claim.Ended.outcome() == OUTCOME_OK);
    else if (R.step() == STEP_ROLLBACK &&
             Claim.Ended.reason() == REASON_TRANSACTION_LOST)
      Claim.Ended.set_outcome(OUTCOME_OK);
    else
      Claim.Ended = failed(REASON_TRANSACTION_LOST, "the transaction ended");
    finish(E, std::move(Claim.Ended));
    return;
  case ClaimResult::NotFound:
    finish(E, R.step() == STEP_COMMIT
                  ? unknown(REASON_TRANSACTION_LOST,
                            "the transaction is not known; an earlier commit "
                            "may have run")
                  : failed(REASON_TRANSACTION_LOST,
                           "the transaction is not open"));
    return;
  }
  TransactionRef T = Claim.Transaction;
  if (T->Database != R.database()) {
    OpenTransactions.unclaim(T, P->now());
    finish(E, refused(REASON_BAD_REQUEST,
                      "the transaction belongs to database \"" + T->Database +
                          "\""));
    return;
  }
  E->Pool = T->Pool;
  E->Term = T->Term;
  UpstreamCall C;
  switch (R.step()) {
  case STEP_COMMIT:
    C.Operation = UpstreamOperation::Commit;
    C.RequestId = R.request_id();
    C.IssuedAtMillis = R.issued_at_ms();
    break;
  case STEP_ROLLBACK:
    C.Operation = UpstreamOperation::Rollback;
    break;
  default:
    C.Operation = UpstreamOperation::Execute;
    C.Write = E->write();
    C.Statement = R.statement();
    C.Term = T->Term;
    break;
  }
  UpstreamTask Task = E->makeTask(std::move(C));
  Task.Pinned = T->Connection;
  Task.Done = [Self = shared_from_this(), E, T](const TaskResult &Result) {
    if (E->run().step() == STEP_COMMIT)
      Self->commitDone(E, T, Result);
    else
      Self->stepDone(E, T, Result);
  };
  E->Pool->submit(std::move(Task));
}

void StatementExecutor::stepDone(const ExecutionRef &E, const TransactionRef &T,
                                 const TaskResult &R) {
  bool Rollback = E->run().step() == STEP_ROLLBACK;
  if (R.Outcome != TaskOutcome::Exchanged) {
    OpenTransactions.unclaim(T, P->now());
    finish(E, notRun(R), &R);
    return;
  }
  Upstreams->observe(E->Group->Name, R.Reply.Status, R.SentAt);
  RunAnswer Answer = answerOf(R.Reply);
  bool Broken = unanswered(R.Reply.Code);
  if (Rollback) {
    // The database also rolls back when the connection ends, so the rollback
    // succeeds in any case.
    if (Broken || Answer.outcome() != OUTCOME_OK)
      Answer = answerOf(UpstreamReply{UpstreamCode::Ok, "", "", {}, false, {}});
    endTransaction(T, rolledBack(), !Broken, R.Reply.Code == UpstreamCode::Ok);
    finish(E, std::move(Answer), &R, Duration::zero());
    return;
  }
  if (Answer.outcome() == OUTCOME_OK || R.Reply.Code == UpstreamCode::Error) {
    OpenTransactions.unclaim(T, P->now());
    finish(E, std::move(Answer), &R, Duration::zero());
    return;
  }
  // After any other answer the transaction can't be committed any more, and
  // closing its connection rolls it back.
  endTransaction(T, rolledBack(), !Broken, false);
  P->Context.Events->record(events::TransactionRolledBack, E->subject(),
                            Answer.message());
  finish(E, rolledBack(), &R);
}

void StatementExecutor::commitDone(const ExecutionRef &E,
                                   const TransactionRef &T,
                                   const TaskResult &R) {
  if (R.Outcome != TaskOutcome::Exchanged) {
    OpenTransactions.unclaim(T, P->now());
    finish(E, notRun(R), &R);
    return;
  }
  Upstreams->observe(E->Group->Name, R.Reply.Status, R.SentAt);
  RunAnswer Answer = answerOf(R.Reply);
  bool Broken = unanswered(R.Reply.Code);
  if (Answer.outcome() == OUTCOME_REFUSED_NOT_RUN)
    Answer = rolledBack();
  if (Answer.outcome() != OUTCOME_OK) {
    endTransaction(T, Answer, !Broken, false);
    finish(E, std::move(Answer), &R);
    return;
  }
  T->Pool->release(std::exchange(T->Connection, nullptr), true);
  confirm(E, R, E->Class->WriteDurability,
          [Self = shared_from_this(), E, T, R,
           Answer = std::move(Answer)](Confirmation C) mutable {
            if (C != Confirmation::Confirmed)
              Answer = notConfirmed(C == Confirmation::Rejected);
            Self->endTransaction(T, Answer, false, false);
            Self->finish(E, std::move(Answer), &R, Duration::zero());
          });
}

void StatementExecutor::endTransaction(const TransactionRef &T,
                                       const RunAnswer &Answer,
                                       bool ConnectionOpen, bool Reuse) {
  OpenTransactions.end(T, Answer);
  if (ConnectionOpen && T->Connection)
    T->Pool->release(std::exchange(T->Connection, nullptr), Reuse);
}

void StatementExecutor::scheduleAbandonedCheck() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (AbandonedCheckScheduled || Closed || OpenTransactions.size() == 0)
      return;
    AbandonedCheckScheduled = true;
  }
  P->timers().after(AbandonedCheckInterval, [Weak = weak_from_this()] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    {
      std::lock_guard<std::mutex> Lock(Self->Mutex);
      Self->AbandonedCheckScheduled = false;
    }
    Instant Since = Self->P->now() - TransactionIdleTimeout;
    for (const TransactionRef &T :
         Self->OpenTransactions.takeAbandoned(Since, rolledBack())) {
      Self->P->Context.Events->record(
          events::TransactionRolledBack,
          {T->Database, T->Pool->target().Id, "", "", ""},
          "no step arrived within the idle timeout");
      T->Pool->release(std::exchange(T->Connection, nullptr), false);
    }
    Self->scheduleAbandonedCheck();
  });
}

} // namespace eelgrassloom::detail
