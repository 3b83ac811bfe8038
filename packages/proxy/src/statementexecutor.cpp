#include "statementexecutor.h"
#include "answers.h"
#include "wirestatus.h"
#include <algorithm>

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

struct Execution {
  peer::v1::Forward Request;
  ForwardHandler Done;
  std::shared_ptr<const Snapshot> StartSnapshot;
  const Database *Group = nullptr;
  const WorkloadClass *Class = nullptr;
  std::shared_ptr<UpstreamPool> Pool;
  Instant Deadline;
  /// Term in which a write is sent, and in which a write or a read at the
  /// primary is confirmed.
  std::uint64_t Term = 0;
  std::uint64_t TransactionId = 0;

  const RunRequest &run() const { return Request.request(); }
  bool write() const { return run().access() == ACCESS_WRITE; }
  EventSubject subject() const {
    return {run().database(), Pool ? Pool->target().Id : std::string(),
            run().request_id(), "", ""};
  }
  /// A task for the pool with the deadline and priority of this execution.
  UpstreamTask makeTask(UpstreamCall Call) const {
    UpstreamTask Task;
    Task.WorkPriority = Class->WorkPriority;
    Task.Deadline = Deadline;
    Task.Call = std::move(Call);
    return Task;
  }
};

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
  E->Pool = pool(Request.upstream(), R.database());
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
  observeStatus(E->Group->Name, R.Reply.Status, R.SentAt);
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
  observeStatus(E->Group->Name, R.Reply.Status, R.SentAt);
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
  observeStatus(E->Group->Name, R.Reply.Status, R.SentAt);
  RunAnswer Answer = answerOf(R.Reply);
  bool Broken = R.Reply.Code == UpstreamCode::TimedOut ||
                R.Reply.Code == UpstreamCode::ConnectionLost;
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
  observeStatus(E->Group->Name, R.Reply.Status, R.SentAt);
  RunAnswer Answer = answerOf(R.Reply);
  bool Broken = R.Reply.Code == UpstreamCode::TimedOut ||
                R.Reply.Code == UpstreamCode::ConnectionLost;
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

void StatementExecutor::observeStatus(const std::string &Database,
                                      const UpstreamStatus &Status,
                                      Instant SentAt) {
  if (Status.Id.empty())
    return;
  auto S = P->snapshot();
  const auto *D = findDatabase(S->Config, Database);
  P->StalenessBounds.observe(Database, D ? D->Upstreams.size() : 1, Status,
                             SentAt);
  Instant Now = P->now();
  P->Observed.observe(
      Database, Status,
      P->StalenessBounds.bound(Database, Status.History, Status.Applied, Now),
      Now);
}

std::shared_ptr<UpstreamPool>
StatementExecutor::pool(const UpstreamId &Id,
                        const std::string &Database) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = PooledUpstreams.find(Id);
  // The proxy that chose the upstream may have another configuration.
  if (It == PooledUpstreams.end() || It->second.Database != Database)
    return nullptr;
  return It->second.Pool;
}

StatementExecutor::PooledUpstream
StatementExecutor::startUpstream(const Upstream &U, const std::string &Database,
                                 const Snapshot &S) {
  PooledUpstream E;
  E.Database = Database;
  E.Pool = UpstreamPool::create(P, U, Database, S.Config.Shares);
  E.Prober = StatusProber::create(
      P, U, Database,
      [Weak = weak_from_this(), Pool = E.Pool, Database](const UpstreamReply &R,
                                                         Instant SentAt) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (R.Code == UpstreamCode::Ok)
          Self->observeStatus(Database, R.Status, SentAt);
        else if (R.Code == UpstreamCode::TimedOut)
          Pool->verifyIdle();
        Self->P->Observed.observeQueue(Pool->target().Id,
                                       {Pool->expectedWaits(), Self->P->now()});
      });
  E.Prober->start();
  return E;
}

void StatementExecutor::snapshotChanged() {
  auto S = P->snapshot();
  const ProxyId &OwnId = P->Context.Options.Id;
  std::vector<PooledUpstream> Dropped;
  std::vector<std::pair<Upstream, std::string>> Started;
  std::vector<std::pair<std::shared_ptr<UpstreamPool>, Upstream>> Kept;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::map<UpstreamId, PooledUpstream, std::less<>> Old =
        std::move(PooledUpstreams);
    PooledUpstreams.clear();
    for (const Database &D : S->Config.Databases)
      for (const Upstream &U : D.Upstreams) {
        auto It = S->Owners.find(U.Id);
        if (It == S->Owners.end() || It->second.Owner != OwnId)
          continue;
        auto Node = Old.extract(U.Id);
        if (!Node.empty() && Node.mapped().Database == D.Name &&
            Node.mapped().Pool->target().Address == U.Address) {
          Kept.emplace_back(Node.mapped().Pool, U);
          PooledUpstreams.insert(std::move(Node));
          continue;
        }
        if (!Node.empty())
          Dropped.push_back(std::move(Node.mapped()));
        Started.emplace_back(U, D.Name);
      }
    for (auto &[Id, E] : Old)
      Dropped.push_back(std::move(E));
    std::erase_if(RetiredPools,
                  [](const auto &R) { return R->inProgress() == 0; });
    for (const PooledUpstream &E : Dropped)
      RetiredPools.push_back(E.Pool);
  }
  for (auto &[Pool, U] : Kept)
    Pool->configure(U, S->Config.Shares);
  for (PooledUpstream &E : Dropped) {
    E.Prober->stop();
    E.Pool->retire();
  }
  for (auto &[U, Name] : Started) {
    PooledUpstream E = startUpstream(U, Name, *S);
    std::lock_guard<std::mutex> Lock(Mutex);
    PooledUpstreams[U.Id] = std::move(E);
  }
  Confirmations.keepOnly(S->Config);
  updatePrimaryProbes(*S);
}

void StatementExecutor::updatePrimaryProbes(const Snapshot &S) {
  std::map<std::string, PrimaryProbe, std::less<>> Wanted;
  std::vector<std::shared_ptr<StatusProber>> Stopped;
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, E] : PooledUpstreams) {
    auto Group = S.Groups.find(E.Database);
    if (Group == S.Groups.end() || Group->second.Primary.empty() ||
        PooledUpstreams.contains(Group->second.Primary))
      continue;
    const auto *D = findDatabase(S.Config, E.Database);
    const auto *U = D ? findUpstream(*D, Group->second.Primary) : nullptr;
    if (U)
      Wanted[E.Database] = {U->Id, U->Address, nullptr};
  }
  for (auto &[Database, Probe] : PrimaryProbes) {
    auto It = Wanted.find(Database);
    if (It != Wanted.end() && It->second.Primary == Probe.Primary &&
        It->second.Address == Probe.Address)
      It->second.Prober = Probe.Prober;
    else
      Stopped.push_back(Probe.Prober);
  }
  PrimaryProbes = std::move(Wanted);
  for (auto &[Database, Probe] : PrimaryProbes) {
    if (Probe.Prober)
      continue;
    const auto *D = findDatabase(S.Config, Database);
    // Started from the timer, because the mutex is held here and a probe must
    // not start with it held.
    Upstream U = *findUpstream(*D, Probe.Primary);
    P->timers().after(Duration::zero(),
                      [Weak = weak_from_this(), U, Name = Database] {
                        if (auto Self = Weak.lock())
                          Self->startPrimaryProbe(U, Name);
                      });
  }
  for (auto &Prober : Stopped)
    if (Prober)
      P->timers().after(Duration::zero(), [Prober] { Prober->stop(); });
}

void StatementExecutor::startPrimaryProbe(const Upstream &U,
                                          const std::string &Database) {
  auto Prober =
      StatusProber::create(P, U, Database,
                           [Weak = weak_from_this(),
                            Database](const UpstreamReply &R, Instant SentAt) {
                             auto Self = Weak.lock();
                             if (Self && R.Code == UpstreamCode::Ok)
                               Self->observeStatus(Database, R.Status, SentAt);
                           });
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto It = PrimaryProbes.find(Database);
    if (It == PrimaryProbes.end() || It->second.Primary != U.Id ||
        It->second.Address != U.Address || It->second.Prober || Closed)
      return;
    It->second.Prober = Prober;
  }
  Prober->start();
}

peer::v1::StatusReport
StatementExecutor::report(const std::string &Database) const {
  std::vector<std::shared_ptr<UpstreamPool>> Pools;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, E] : PooledUpstreams)
      if (E.Database == Database)
        Pools.push_back(E.Pool);
  }
  peer::v1::StatusReport Report;
  Instant Now = P->now();
  for (const auto &Pool : Pools) {
    auto O = P->Observed.find(Pool->target().Id);
    if (!O)
      continue;
    auto &U = *Report.add_upstreams();
    U.set_upstream(Pool->target().Id);
    toWire(O->Status, *U.mutable_status());
    U.set_staleness_us(toMicros(P->StalenessBounds.bound(
        Database, O->Status.History, O->Status.Applied, Now)));
    U.set_suspected(P->Observed.suspected(Pool->target().Id));
    for (Duration D : Pool->expectedWaits())
      U.add_queue_wait_us(toMicros(D));
  }
  return Report;
}

std::vector<OwnedUpstream> StatementExecutor::owned() const {
  std::vector<std::shared_ptr<UpstreamPool>> Pools;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, E] : PooledUpstreams)
      Pools.push_back(E.Pool);
  }
  std::vector<OwnedUpstream> Out;
  Out.reserve(Pools.size());
  for (const auto &Pool : Pools)
    Out.push_back(Pool->summary());
  return Out;
}

std::size_t StatementExecutor::inProgress() const {
  return Running + OpenTransactions.size();
}

void StatementExecutor::close() {
  Closed = true;
  std::vector<std::shared_ptr<StatusProber>> Probers;
  std::vector<std::shared_ptr<UpstreamPool>> Pools;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (auto &[Id, E] : PooledUpstreams) {
      Probers.push_back(E.Prober);
      Pools.push_back(E.Pool);
    }
    for (auto &[Name, Probe] : PrimaryProbes)
      if (Probe.Prober)
        Probers.push_back(Probe.Prober);
    PooledUpstreams.clear();
    PrimaryProbes.clear();
  }
  for (auto &Prober : Probers)
    Prober->stop();
  for (auto &Pool : Pools)
    Pool->retire();
  Confirmations.closeAll();
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
