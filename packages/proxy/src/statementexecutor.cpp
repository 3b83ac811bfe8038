#include "statementexecutor.h"
#include "answers.h"
#include "execution.h"
#include "wirestatus.h"
#include <algorithm>

namespace eelgrassloom::detail {

using namespace caller::v1;

void StatementExecutor::runForwarded(const peer::v1::Forward &Request,
                                     ForwardHandler Done) {
  auto E = std::make_shared<Execution>();
  E->Request = Request;
  E->Done = std::move(Done);
  E->StartSnapshot = P->snapshot();
  E->Deadline = P->now() + std::min<Duration>(fromMicros(Request.deadline_us()),
                                              std::chrono::hours(1));
  ++Running;
  const RunRequest &R = E->run();
  E->Group = findDatabase(E->StartSnapshot->Config, R.database());
  E->Class = findClass(E->StartSnapshot->Config, R.workload_class());
  if (!E->Group || !E->Class) {
    finish(E, refused(REASON_UNKNOWN_DATABASE,
                      "the owner of the upstream does not know database \"" +
                          R.database() + "\" or class \"" + R.workload_class() +
                          "\" yet"));
    return;
  }
  if (Request.transaction() != 0) {
    runStep(E);
    return;
  }
  E->Pool = Upstreams->pool(Request.upstream(), R.database());
  if (!E->Pool) {
    TaskResult NotOwned;
    NotOwned.Outcome = TaskOutcome::NotOwner;
    finish(E, notRun(NotOwned), &NotOwned);
    return;
  }
  // The proxy that forwarded the request may know an older term than this one.
  E->Term = Request.term();
  if (auto It = E->StartSnapshot->Groups.find(R.database());
      It != E->StartSnapshot->Groups.end() && It->second.Term > E->Term) {
    bool Primary = It->second.Primary == Request.upstream();
    if (!Primary && (E->write() || R.step() == STEP_BEGIN)) {
      finish(E, refused(REASON_NO_PRIMARY,
                        "the upstream is not the primary any more"));
      return;
    }
    E->Term = It->second.Term;
  }
  if (R.step() == STEP_BEGIN)
    begin(E);
  else
    runStatement(E);
}

void StatementExecutor::runStatement(const ExecutionRef &E) {
  const RunRequest &R = E->run();
  UpstreamCall C;
  C.Operation = UpstreamOperation::Execute;
  C.Write = E->write();
  C.Statement = R.statement();
  // The record of the group may not name the start of a new term yet, so only
  // the upstream can tell whether a failover lost the session's position.
  C.MinPosition = fromWire(E->Request.min_position());
  if (C.Write) {
    C.Term = E->Term;
    C.RequestId = R.request_id();
    C.IssuedAtMillis = R.issued_at_ms();
  } else {
    C.Wait = std::chrono::milliseconds(E->Request.wait_ms());
  }
  UpstreamTask Task = E->makeTask(std::move(C));
  Task.Done = [Self = shared_from_this(), E](const TaskResult &Result) {
    Self->statementDone(E, Result);
  };
  E->Pool->submit(std::move(Task));
}

void StatementExecutor::statementDone(const ExecutionRef &E,
                                      const TaskResult &R) {
  if (R.Outcome != TaskOutcome::Exchanged) {
    finish(E, notRun(R), &R);
    return;
  }
  Upstreams->observe(E->Group->Name, R.Reply.Status, R.SentAt);
  RunAnswer Answer = answerOf(R.Reply);
  if (Answer.outcome() != OUTCOME_OK) {
    finish(E, std::move(Answer), &R);
    return;
  }
  if (E->write()) {
    confirm(E, R, E->Class->WriteDurability,
            [Self = shared_from_this(), E, R,
             Answer = std::move(Answer)](Confirmation C) mutable {
              if (C != Confirmation::Confirmed)
                Answer = notConfirmed(C == Confirmation::Rejected);
              Self->finish(E, std::move(Answer), &R, Duration::zero());
            });
    return;
  }
  Duration Bound = P->StalenessBounds.bound(
      E->Group->Name, R.Reply.Status.History, R.Reply.At, P->now());
  Duration Allowed = E->Class->StalenessBound;
  if (E->run().has_staleness_bound_ms())
    Allowed = std::min<Duration>(
        Allowed, std::chrono::milliseconds(E->run().staleness_bound_ms()));
  bool Primary = R.Reply.Status.UpstreamRole == Role::Primary;
  if (!Primary || Bound <= Allowed) {
    finish(E, std::move(Answer), &R, Bound);
    return;
  }
  // A former primary that is partitioned still answers reads. If its term
  // still holds after the read, no later primary can have acknowledged a write
  // before the read, so the read saw every acknowledged write.
  confirm(E, R, Durability::TermCheck,
          [Self = shared_from_this(), E, R, Bound,
           Answer = std::move(Answer)](Confirmation C) mutable {
            bool Current = C == Confirmation::Confirmed;
            if (!Current)
              Answer = unknown(REASON_NOT_CONFIRMED,
                               "the term of the primary was not confirmed");
            Self->finish(E, std::move(Answer), &R,
                         Current ? Duration::zero() : Bound);
          });
}

void StatementExecutor::confirm(const ExecutionRef &E, const TaskResult &R,
                                Durability Needed,
                                std::function<void(Confirmation)> Done) {
  // A primary at which a higher term was raised does not count towards the
  // majority of its own term.
  if (R.Reply.Status.RaisedTerm > E->Term) {
    Done(Confirmation::Rejected);
    return;
  }
  Confirmations.confirm(
      P, *E->Group, E->Pool->target().Id, E->Term, R.Reply.At, Needed,
      E->Deadline,
      [Self = shared_from_this(), E, Done = std::move(Done)](Confirmation C) {
        if (C != Confirmation::Confirmed)
          Self->P->Context.Events->record(
              events::WriteNotConfirmed, E->subject(),
              C == Confirmation::Rejected ? "a higher term was raised"
                                          : "no majority answered in time");
        Done(C);
      });
}

void StatementExecutor::finish(const ExecutionRef &E, RunAnswer Answer,
                               const TaskResult *R, Duration Staleness) {
  peer::v1::ForwardAnswer F;
  Answer = limitResult(std::move(Answer), E->write());
  Answer.set_request_id(E->run().request_id());
  if (R) {
    F.set_not_owner(R->Outcome == TaskOutcome::NotOwner);
    if (R->Outcome == TaskOutcome::Exchanged) {
      toWire(R->Reply.At, *F.mutable_position());
      toWire(R->Reply.Status, *F.mutable_status());
    }
  }
  *F.mutable_answer() = std::move(Answer);
  F.set_staleness_us(toMicros(Staleness));
  F.set_transaction(E->TransactionId);
  if (E->Pool)
    for (Duration D : E->Pool->expectedWaits())
      F.add_queue_wait_us(toMicros(D));
  auto Done = std::exchange(E->Done, nullptr);
  Done(std::move(F));
  --Running;
}

void StatementExecutor::snapshotChanged() {
  auto S = P->snapshot();
  Upstreams->apply(*S);
  Confirmations.keepOnly(S->Config);
}

std::size_t StatementExecutor::inProgress() const {
  return Running + OpenTransactions.size();
}

void StatementExecutor::close() {
  Closed = true;
  Upstreams->close();
  Confirmations.closeAll();
}

} // namespace eelgrassloom::detail
