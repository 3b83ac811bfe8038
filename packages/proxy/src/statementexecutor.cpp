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
  std::shared_ptr<const Snapshot> View;
  const Database *Group = nullptr;
  const WorkloadClass *Class = nullptr;
  std::shared_ptr<Runner> Server;
  Instant Deadline;
  /// Term under which a write is sent and confirmed.
  std::uint64_t Term = 0;
  std::uint64_t TransactionId = 0;

  const RunRequest &run() const { return Request.request(); }
  bool write() const { return run().access() == ACCESS_WRITE; }
  EventSubject subject() const {
    return {run().database(), Server ? Server->target().Id : std::string(),
            run().request_id(), "", ""};
  }
  /// Deadline, priority and place of the work.
  Work work(UpstreamCall Call) const {
    Work W;
    W.WorkPriority = Class->WorkPriority;
    W.Deadline = Deadline;
    W.Call = std::move(Call);
    return W;
  }
};

void Owner::forward(const peer::v1::Forward &Request, ForwardHandler Done) {
  auto E = std::make_shared<Execution>();
  E->Request = Request;
  E->Done = std::move(Done);
  E->View = P->snapshot();
  E->Deadline = P->now() + std::min<Duration>(fromMicros(Request.deadline_us()),
                                              std::chrono::hours(1));
  ++Running;
  const RunRequest &R = E->run();
  E->Group = findDatabase(E->View->Config, R.database());
  E->Class = findClass(E->View->Config, R.workload_class());
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
  E->Server = runner(Request.upstream());
  if (!E->Server) {
    WorkResult NotOwned;
    NotOwned.End = WorkEnd::NotOwner;
    finish(E, notRun(NotOwned), &NotOwned);
    return;
  }
  E->Term = Request.term();
  if (auto It = E->View->Groups.find(R.database());
      It != E->View->Groups.end() && It->second.Term > E->Term) {
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

void Owner::runStatement(const ExecutionRef &E) {
  const RunRequest &R = E->run();
  UpstreamCall C;
  C.Operation = UpstreamOperation::Execute;
  C.Write = E->write();
  C.Statement = R.statement();
  if (C.Write) {
    C.Term = E->Term;
    C.RequestId = R.request_id();
    C.IssuedAtMillis = R.issued_at_ms();
  } else {
    C.MinPosition = fromWire(E->Request.min_position());
    C.Wait = std::chrono::milliseconds(E->Request.wait_ms());
  }
  Work W = E->work(std::move(C));
  W.Done = [Self = shared_from_this(), E](const WorkResult &Result) {
    Self->statementDone(E, Result);
  };
  E->Server->submit(std::move(W));
}

void Owner::statementDone(const ExecutionRef &E, const WorkResult &R) {
  if (R.End != WorkEnd::Exchanged) {
    finish(E, notRun(R), &R);
    return;
  }
  noteStatus(E->Group->Name, R.Reply.Status, R.SentAt);
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
  Duration Bound =
      P->Fresh.bound(E->Group->Name, R.Reply.Status.Line, R.Reply.At, P->now());
  Duration Allowed = E->Class->StalenessBound;
  if (E->run().has_staleness_bound_ms())
    Allowed = std::min<Duration>(
        Allowed, std::chrono::milliseconds(E->run().staleness_bound_ms()));
  bool Primary = R.Reply.Status.UpstreamRole == Role::Primary;
  if (!Primary || Bound <= Allowed) {
    finish(E, std::move(Answer), &R, Bound);
    return;
  }
  // A replaced primary that is partitioned still answers reads. If its term
  // holds after the read, the read saw every acknowledged write.
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

void Owner::begin(const ExecutionRef &E) {
  const UpstreamId &Id = E->Server->target().Id;
  if (!Open.reserve(Id, E->Server->maxKept())) {
    finish(E, refused(REASON_OVERLOADED,
                      "all connections for transactions are in use",
                      std::chrono::milliseconds(100)));
    return;
  }
  UpstreamCall C;
  C.Operation = UpstreamOperation::Begin;
  C.Term = E->Term;
  C.Write = E->write();
  Work W = E->work(std::move(C));
  W.Keep = true;
  W.Done = [Self = shared_from_this(), E](const WorkResult &R) {
    Self->begun(E, R);
  };
  E->Server->submit(std::move(W));
}

void Owner::begun(const ExecutionRef &E, const WorkResult &R) {
  const UpstreamId &Id = E->Server->target().Id;
  if (R.End != WorkEnd::Exchanged || !R.Connection) {
    Open.unreserve(Id);
    RunAnswer A = R.End != WorkEnd::Exchanged ? notRun(R) : answerOf(R.Reply);
    // An unanswered begin leaves nothing behind: its connection is closed.
    if (A.outcome() == OUTCOME_UNKNOWN)
      A = refused(REASON_UPSTREAM_UNAVAILABLE, A.message());
    finish(E, std::move(A), &R);
    return;
  }
  noteStatus(E->Group->Name, R.Reply.Status, R.SentAt);
  const UpstreamStatus &S = R.Reply.Status;
  Position Seen = fromWire(E->Request.min_position());
  if (!contains(S.Line, S.Applied, Seen)) {
    Open.unreserve(Id);
    E->Server->release(R.Connection, false);
    finish(E,
           lineage(S.Line, Seen) == Lineage::Lost
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
  T->Server = E->Server;
  T->Connection = R.Connection;
  T->Term = E->Term;
  T->LastUsed = P->now();
  E->TransactionId = T->Id;
  Open.add(T);
  rollBackAbandoned();
  RunAnswer A = answerOf(R.Reply);
  A.set_transaction(transactionHandle(P->Context.Options.Id, T->Id));
  finish(E, std::move(A), &R, Duration::zero());
}

void Owner::runStep(const ExecutionRef &E) {
  const RunRequest &R = E->run();
  auto Claim = Open.claim(E->Request.transaction());
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
  TransactionRef T = Claim.Open;
  if (T->Database != R.database()) {
    Open.unclaim(T, P->now());
    finish(E, refused(REASON_BAD_REQUEST,
                      "the transaction belongs to database \"" + T->Database +
                          "\""));
    return;
  }
  E->Server = T->Server;
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
  Work W = E->work(std::move(C));
  W.Pinned = T->Connection;
  W.Done = [Self = shared_from_this(), E, T](const WorkResult &Result) {
    if (E->run().step() == STEP_COMMIT)
      Self->commitDone(E, T, Result);
    else
      Self->stepDone(E, T, Result);
  };
  E->Server->submit(std::move(W));
}

void Owner::stepDone(const ExecutionRef &E, const TransactionRef &T,
                     const WorkResult &R) {
  bool Rollback = E->run().step() == STEP_ROLLBACK;
  if (R.End != WorkEnd::Exchanged) {
    Open.unclaim(T, P->now());
    finish(E, notRun(R), &R);
    return;
  }
  noteStatus(E->Group->Name, R.Reply.Status, R.SentAt);
  RunAnswer Answer = answerOf(R.Reply);
  bool Broken = R.Reply.Code == UpstreamCode::TimedOut ||
                R.Reply.Code == UpstreamCode::ConnectionLost;
  if (Rollback) {
    // The database also rolls back when the connection ends.
    if (Broken || Answer.outcome() != OUTCOME_OK)
      Answer = answerOf(UpstreamReply{UpstreamCode::Ok, "", "", {}, false, {}});
    endTransaction(T, rolledBack(), !Broken, R.Reply.Code == UpstreamCode::Ok);
    finish(E, std::move(Answer), &R, Duration::zero());
    return;
  }
  if (Answer.outcome() == OUTCOME_OK || R.Reply.Code == UpstreamCode::Error) {
    Open.unclaim(T, P->now());
    finish(E, std::move(Answer), &R, Duration::zero());
    return;
  }
  // Whatever else the answer says, the transaction can't be committed any
  // more, and closing its connection rolls it back.
  endTransaction(T, rolledBack(), !Broken, false);
  P->Context.Events->record(events::TransactionRolledBack, E->subject(),
                            Answer.message());
  finish(E, rolledBack(), &R);
}

void Owner::commitDone(const ExecutionRef &E, const TransactionRef &T,
                       const WorkResult &R) {
  if (R.End != WorkEnd::Exchanged) {
    Open.unclaim(T, P->now());
    finish(E, notRun(R), &R);
    return;
  }
  noteStatus(E->Group->Name, R.Reply.Status, R.SentAt);
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
  T->Server->release(std::exchange(T->Connection, nullptr), true);
  confirm(E, R, E->Class->WriteDurability,
          [Self = shared_from_this(), E, T, R,
           Answer = std::move(Answer)](Confirmation C) mutable {
            if (C != Confirmation::Confirmed)
              Answer = notConfirmed(C == Confirmation::Rejected);
            Self->endTransaction(T, Answer, false, false);
            Self->finish(E, std::move(Answer), &R, Duration::zero());
          });
}

void Owner::endTransaction(const TransactionRef &T, const RunAnswer &How,
                           bool ConnectionOpen, bool Reuse) {
  Open.end(T, How);
  if (ConnectionOpen && T->Connection)
    T->Server->release(std::exchange(T->Connection, nullptr), Reuse);
}

void Owner::confirm(const ExecutionRef &E, const WorkResult &R,
                    Durability Needed, std::function<void(Confirmation)> Done) {
  // A primary that has promised to a higher term is no part of the majority.
  if (R.Reply.Status.RaisedTerm > E->Term) {
    Done(Confirmation::Rejected);
    return;
  }
  Confirming.confirm(
      P, *E->Group, E->Server->target().Id, E->Term, R.Reply.At, Needed,
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

void Owner::finish(const ExecutionRef &E, RunAnswer Answer, const WorkResult *R,
                   Duration Staleness) {
  peer::v1::ForwardAnswer F;
  Answer.set_request_id(E->run().request_id());
  if (R) {
    F.set_not_owner(R->End == WorkEnd::NotOwner);
    if (R->End == WorkEnd::Exchanged) {
      toWire(R->Reply.At, *F.mutable_position());
      toWire(R->Reply.Status, *F.mutable_status());
    }
  }
  *F.mutable_answer() = std::move(Answer);
  F.set_staleness_us(toMicros(Staleness));
  F.set_transaction(E->TransactionId);
  if (E->Server)
    for (Duration D : E->Server->waits())
      F.add_queue_wait_us(toMicros(D));
  auto Done = std::exchange(E->Done, nullptr);
  Done(std::move(F));
  --Running;
}

void Owner::noteStatus(const std::string &Database,
                       const UpstreamStatus &Status, Instant SentAt) {
  if (Status.Id.empty())
    return;
  auto S = P->snapshot();
  const auto *D = findDatabase(S->Config, Database);
  P->Fresh.observe(Database, D ? D->Upstreams.size() : 1, Status, SentAt);
  Instant Now = P->now();
  P->Seen.note(Database, Status,
               P->Fresh.bound(Database, Status.Line, Status.Applied, Now), Now);
}

std::shared_ptr<Runner> Owner::runner(const UpstreamId &Id) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = Table.find(Id);
  return It == Table.end() ? nullptr : It->second.Server;
}

Owner::Entry Owner::startEntry(const Upstream &U, const std::string &Database,
                               const Snapshot &S) {
  Entry E;
  E.Database = Database;
  E.Server = Runner::create(P, U, Database, S.Config.Shares);
  E.Probing = Prober::create(
      P, U, Database,
      [Weak = weak_from_this(), Server = E.Server,
       Database](const UpstreamReply &R, Instant SentAt) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (R.Code == UpstreamCode::Ok)
          Self->noteStatus(Database, R.Status, SentAt);
        else if (R.Code == UpstreamCode::TimedOut)
          Server->verifyIdle();
        Self->P->Seen.noteQueue(Server->target().Id,
                                {Server->waits(), Self->P->now()});
      });
  E.Probing->start();
  return E;
}

void Owner::snapshotChanged() {
  auto S = P->snapshot();
  const ProxyId &Me = P->Context.Options.Id;
  std::vector<Entry> Dropped;
  std::vector<std::pair<Upstream, std::string>> Started;
  std::vector<std::pair<std::shared_ptr<Runner>, Upstream>> Kept;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::map<UpstreamId, Entry, std::less<>> Old = std::move(Table);
    Table.clear();
    for (const Database &D : S->Config.Databases)
      for (const Upstream &U : D.Upstreams) {
        auto It = S->Owners.find(U.Id);
        if (It == S->Owners.end() || It->second.Owner != Me)
          continue;
        auto Node = Old.extract(U.Id);
        if (!Node.empty() &&
            Node.mapped().Server->target().Address == U.Address) {
          Kept.emplace_back(Node.mapped().Server, U);
          Table.insert(std::move(Node));
          continue;
        }
        if (!Node.empty())
          Dropped.push_back(std::move(Node.mapped()));
        Started.emplace_back(U, D.Name);
      }
    for (auto &[Id, E] : Old)
      Dropped.push_back(std::move(E));
    std::erase_if(RetiredServers,
                  [](const auto &R) { return R->inProgress() == 0; });
    for (const Entry &E : Dropped)
      RetiredServers.push_back(E.Server);
  }
  for (auto &[Server, U] : Kept)
    Server->configure(U, S->Config.Shares);
  for (Entry &E : Dropped) {
    E.Probing->stop();
    E.Server->retire();
  }
  for (auto &[U, Name] : Started) {
    Entry E = startEntry(U, Name, *S);
    std::lock_guard<std::mutex> Lock(Mutex);
    Table[U.Id] = std::move(E);
  }
  Confirming.keepOnly(S->Config);
  watchPrimaries(*S);
}

void Owner::watchPrimaries(const Snapshot &S) {
  std::map<std::string, PrimaryProbe, std::less<>> Wanted;
  std::vector<std::shared_ptr<Prober>> Stopped;
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, E] : Table) {
    auto Group = S.Groups.find(E.Database);
    if (Group == S.Groups.end() || Group->second.Primary.empty() ||
        Table.contains(Group->second.Primary))
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
      It->second.Probing = Probe.Probing;
    else
      Stopped.push_back(Probe.Probing);
  }
  PrimaryProbes = std::move(Wanted);
  for (auto &[Database, Probe] : PrimaryProbes) {
    if (Probe.Probing)
      continue;
    const auto *D = findDatabase(S.Config, Database);
    // Started from the timer, because a probe must not run under the lock.
    Upstream U = *findUpstream(*D, Probe.Primary);
    P->timers().after(Duration::zero(),
                      [Weak = weak_from_this(), U, Name = Database] {
                        if (auto Self = Weak.lock())
                          Self->startPrimaryProbe(U, Name);
                      });
  }
  for (auto &Probing : Stopped)
    if (Probing)
      P->timers().after(Duration::zero(), [Probing] { Probing->stop(); });
}

void Owner::startPrimaryProbe(const Upstream &U, const std::string &Database) {
  auto Probing =
      Prober::create(P, U, Database,
                     [Weak = weak_from_this(), Database](const UpstreamReply &R,
                                                         Instant SentAt) {
                       auto Self = Weak.lock();
                       if (Self && R.Code == UpstreamCode::Ok)
                         Self->noteStatus(Database, R.Status, SentAt);
                     });
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto It = PrimaryProbes.find(Database);
    if (It == PrimaryProbes.end() || It->second.Primary != U.Id ||
        It->second.Address != U.Address || It->second.Probing || Closed)
      return;
    It->second.Probing = Probing;
  }
  Probing->start();
}

peer::v1::StatusReport Owner::report(const std::string &Database) const {
  std::vector<std::shared_ptr<Runner>> Servers;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, E] : Table)
      if (E.Database == Database)
        Servers.push_back(E.Server);
  }
  peer::v1::StatusReport Report;
  Instant Now = P->now();
  for (const auto &Server : Servers) {
    auto O = P->Seen.find(Server->target().Id);
    if (!O)
      continue;
    auto &U = *Report.add_upstreams();
    U.set_upstream(Server->target().Id);
    toWire(O->Status, *U.mutable_status());
    U.set_staleness_us(toMicros(
        P->Fresh.bound(Database, O->Status.Line, O->Status.Applied, Now)));
    U.set_suspected(P->Seen.suspected(Server->target().Id));
    for (Duration D : Server->waits())
      U.add_queue_wait_us(toMicros(D));
  }
  return Report;
}

std::vector<OwnedUpstream> Owner::owned() const {
  std::vector<std::shared_ptr<Runner>> Servers;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, E] : Table)
      Servers.push_back(E.Server);
  }
  std::vector<OwnedUpstream> Out;
  Out.reserve(Servers.size());
  for (const auto &Server : Servers)
    Out.push_back(Server->summary());
  return Out;
}

std::size_t Owner::inProgress() const { return Running + Open.size(); }

void Owner::close() {
  Closed = true;
  std::vector<std::shared_ptr<Prober>> Probers;
  std::vector<std::shared_ptr<Runner>> Servers;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (auto &[Id, E] : Table) {
      Probers.push_back(E.Probing);
      Servers.push_back(E.Server);
    }
    for (auto &[Name, Probe] : PrimaryProbes)
      if (Probe.Probing)
        Probers.push_back(Probe.Probing);
    Table.clear();
    PrimaryProbes.clear();
  }
  for (auto &Probing : Probers)
    Probing->stop();
  for (auto &Server : Servers)
    Server->retire();
  Confirming.closeAll();
}

void Owner::rollBackAbandoned() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (AbandonedScheduled || Closed || Open.size() == 0)
      return;
    AbandonedScheduled = true;
  }
  P->timers().after(AbandonedCheckInterval, [Weak = weak_from_this()] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    {
      std::lock_guard<std::mutex> Lock(Self->Mutex);
      Self->AbandonedScheduled = false;
    }
    Instant Since = Self->P->now() - TransactionIdleTimeout;
    for (const TransactionRef &T :
         Self->Open.takeAbandoned(Since, rolledBack())) {
      Self->P->Context.Events->record(
          events::TransactionRolledBack,
          {T->Database, T->Server->target().Id, "", "", ""},
          "no step arrived within the idle timeout");
      T->Server->release(std::exchange(T->Connection, nullptr), false);
    }
    Self->rollBackAbandoned();
  });
}

} // namespace eelgrassloom::detail
