#include "engine/session.h"
#include "engine/engine.h"

namespace eelgrassloom {
namespace detail {

constexpr std::size_t MaxQueuedStatements = 64;

bool isData(StatementKind K) {
  return K == StatementKind::Read || K == StatementKind::Write ||
         K == StatementKind::Execute;
}

} // namespace detail

std::shared_ptr<Session> Session::create(Engine &Owner, SessionId Id,
                                         std::string Database,
                                         ReplySink Reply) {
  auto S = std::shared_ptr<Session>(
      new Session(Owner, Id, std::move(Database), std::move(Reply)));
  S->IdleSince = Owner.runtime().Now();
  return S;
}

void Session::submit(Statement S) {
  if (Closed)
    return;
  if (Queue.size() >= detail::MaxQueuedStatements)
    S.Kind = StatementKind::Invalid;
  Queue.push_back(std::move(S));
  next();
}

void Session::next() {
  if (Handling)
    return;
  Handling = true;
  auto Self = shared_from_this();
  while (!Closed && !Current && !Queue.empty()) {
    Statement S = std::move(Queue.front());
    Queue.pop_front();
    handle(S);
  }
  Handling = false;
}

bool Session::resolveRoute() {
  auto It = Owner.rules().Routes.find(Database);
  if (It == Owner.rules().Routes.end())
    return false;
  Route = It->second;
  Servers = Owner.group(Route.Service);
  return Servers != nullptr;
}

void Session::handle(const Statement &S) {
  Arrived = Owner.runtime().Now();
  if (State == TransactionState::None)
    OperationStart = Arrived;
  bool Ends =
      S.Kind == StatementKind::Commit || S.Kind == StatementKind::Rollback;
  if (EndedByProxy && !Ends) {
    EndedByProxy = false;
    answerError(ReplyCode::Aborted, "the transaction was ended by the proxy");
    return;
  }
  if (State == TransactionState::Failed && !Ends) {
    answerError(ReplyCode::Malformed, "the transaction has failed");
    return;
  }
  if (detail::isData(S.Kind)) {
    runData(S);
    return;
  }
  switch (S.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginRead:
    begin(S);
    return;
  case StatementKind::Commit:
    commit(S);
    return;
  case StatementKind::Rollback:
    rollBack();
    return;
  case StatementKind::Set:
  case StatementKind::Prepare:
  case StatementKind::Deallocate:
    change(S);
    return;
  default:
    answerError(ReplyCode::Malformed, "not a statement");
  }
}

void Session::begin(const Statement &S) {
  if (State != TransactionState::None) {
    answerError(ReplyCode::Malformed, "a transaction is open already");
    return;
  }
  // A changed route applies from the next transaction on.
  if (!resolveRoute()) {
    refuseDatabase(S);
    return;
  }
  State = TransactionState::Open;
  ReadOnly = S.Kind == StatementKind::BeginRead;
  Wrote = false;
  EndedByProxy = false;
  answerOk();
}

void Session::refuseDatabase(const Statement &S) {
  Owner.noteNoRoute(Database, S.Id);
  answerError(ReplyCode::NoDatabase, "no route for " + Database);
}

void Session::change(const Statement &S) {
  if (S.Kind == StatementKind::Set)
    Values.Values[S.Name] = S.Argument;
  else if (S.Kind == StatementKind::Prepare)
    Values.Prepared[S.Name] = {S.PreparesWrite, S.Argument};
  else if (Values.Prepared.erase(S.Name) == 0) {
    answerError(ReplyCode::NoStatement, S.Name);
    return;
  }
  answerOk();
}

bool Session::prepareCall(const Statement &S, Job &J) {
  J.Call.Id = S.Id;
  J.Call.Text = S.Text;
  J.Write = S.Kind == StatementKind::Write;
  if (S.Kind != StatementKind::Execute)
    return true;
  auto It = Values.Prepared.find(S.Name);
  if (It == Values.Prepared.end())
    return false;
  J.Prepared = It->second;
  J.Write = It->second.Write;
  J.Call.Text = S.Argument;
  return true;
}

void Session::runData(const Statement &S) {
  bool Single = State == TransactionState::None;
  if (Single && !resolveRoute()) {
    refuseDatabase(S);
    return;
  }
  auto J = std::make_shared<Job>();
  if (!prepareCall(S, *J)) {
    answerError(ReplyCode::NoStatement, S.Name);
    return;
  }
  if (Single)
    J->Kind = JobKind::Single;
  else
    J->Kind = Held ? JobKind::Inner : JobKind::First;
  run(J);
}

void Session::run(const JobRef &J) {
  J->Session = Id;
  J->State = &Values;
  J->Route = Route;
  J->ReadOnly = ReadOnly;
  J->Wrote = Wrote;
  J->Pinned = Held;
  J->LastCommit = LastCommit;
  J->Arrived = Arrived;
  J->OperationStart = OperationStart;
  J->Done = [Self = shared_from_this()](JobResult Result) {
    Self->done(std::move(Self->Current), std::move(Result));
    Self->next();
  };
  Current = J;
  Servers->submit(J);
}

void Session::commit(const Statement &S) {
  if (State == TransactionState::None) {
    answerError(ReplyCode::Malformed, "no transaction is open");
    return;
  }
  if (State == TransactionState::Failed || EndedByProxy) {
    dropTransaction();
    answerError(ReplyCode::Aborted, "the transaction was rolled back");
    return;
  }
  auto J = std::make_shared<Job>();
  J->Call = {S.Id, S.Text, {}};
  // Without any statement the transaction is begun now: a commit is answered
  // by a server only.
  J->Kind = Held ? JobKind::Commit : JobKind::First;
  J->EndsTransaction = true;
  run(J);
}

void Session::rollBack() {
  if (State == TransactionState::None) {
    answerError(ReplyCode::Malformed, "no transaction is open");
    return;
  }
  dropTransaction();
  answerOk();
}

void Session::dropTransaction() {
  if (Held)
    Servers->rollBack(*Held);
  Held.reset();
  State = TransactionState::None;
  EndedByProxy = false;
}

void Session::done(JobRef J, JobResult Result) {
  Current.reset();
  if (Closed) {
    if (Result.Held)
      Servers->rollBack(*Result.Held);
    return;
  }
  if (J->EndsTransaction) {
    commitDone(std::move(Result));
    return;
  }
  ServerReply &Reply = Result.Reply;
  bool InTransaction = State != TransactionState::None;
  if (InTransaction)
    Held = Result.Held;
  if (Reply.ok()) {
    if (InTransaction)
      Wrote = Wrote || J->Write;
    else if (J->Write && Reply.At)
      LastCommit = {*Reply.At, Result.Epoch};
  } else if (InTransaction) {
    State = TransactionState::Failed;
  }
  if (Reply.Lost && InTransaction) {
    // The connection is closed, so that the transaction is rolled back.
    answerError(ReplyCode::Aborted, "the server did not answer");
    return;
  }
  if (Reply.Lost) {
    answerError(J->Write ? ReplyCode::Unknown : ReplyCode::Timeout,
                "the server did not answer");
    return;
  }
  answerFrom(std::move(Reply));
}

void Session::commitDone(JobResult Result) {
  ServerReply &Reply = Result.Reply;
  bool Kept = Wrote;
  State = TransactionState::None;
  Held.reset();
  Wrote = false;
  if (Reply.Lost) {
    if (Kept)
      answerError(ReplyCode::Unknown, "the server did not answer the commit");
    else
      answerError(ReplyCode::Aborted, "the server did not answer the commit");
    return;
  }
  if (Reply.ok() && Kept && Reply.At)
    LastCommit = {*Reply.At, Result.Epoch};
  answerFrom(std::move(Reply));
}

void Session::answer(CallerReply R) {
  R.State = State;
  IdleSince = Owner.runtime().Now();
  Reply(std::move(R));
}

void Session::answerFrom(ServerReply From) {
  CallerReply Out;
  Out.Error = From.Error;
  Out.ErrorText = std::move(From.ErrorText);
  Out.Rows = std::move(From.Rows);
  Out.Signature = std::move(From.Signature);
  Out.At = From.At;
  answer(std::move(Out));
}

void Session::answerOk() { answer({}); }

void Session::answerError(ReplyCode Code, std::string Text) {
  CallerReply R;
  R.Error = Code;
  R.ErrorText = std::move(Text);
  answer(std::move(R));
}

void Session::endIdleTransaction() {
  if (!Current)
    endTransaction("idle");
}

void Session::endTransaction(std::string_view Reason) {
  if (State != TransactionState::Open || Current || EndedByProxy)
    return;
  Owner.events().write(EngineEvent::TransactionEnded,
                       {{"session", Id},
                        {"database", Database},
                        {"reason", Reason},
                        {"idle_ms", Owner.runtime().Now() - IdleSince}});
  if (Held)
    Servers->rollBack(*Held);
  Held.reset();
  EndedByProxy = true;
  State = TransactionState::Failed;
}

void Session::close() {
  if (Closed)
    return;
  Closed = true;
  auto Self = shared_from_this();
  if (Current) {
    Servers->abandon(Current);
    // An attempt of a pinned transaction closes its connection.
    if (!Current->Pinned && Held)
      Servers->rollBack(*Held);
    Current.reset();
  } else if (Held) {
    Servers->rollBack(*Held);
  }
  Held.reset();
  Queue.clear();
  Owner.closed(*this);
}

} // namespace eelgrassloom
