#include "engine/session.h"
#include "engine/engine.h"
#include "engine/forward.h"
#include <utility>

namespace eelgrassloom {
namespace detail {

/// A statement that arrives while this many wait is refused as malformed.
constexpr std::size_t MaxQueuedStatements = 64;

bool isDataStatement(StatementKind K) {
  return K == StatementKind::Read || K == StatementKind::Write ||
         K == StatementKind::Execute;
}

/// True if the statement begins an operation when no transaction is open.
bool beginsOperation(StatementKind K) {
  return isDataStatement(K) || K == StatementKind::Begin ||
         K == StatementKind::BeginRead;
}

bool keepsNothing(ReplyCode Code) {
  return Code == ReplyCode::Busy || Code == ReplyCode::Aborted ||
         Code == ReplyCode::Lagging || Code == ReplyCode::ReadOnly ||
         Code == ReplyCode::WrongServer ||
         Code == ReplyCode::TooManyConnections;
}

} // namespace detail

std::shared_ptr<Session> Session::create(Engine &SessionEngine, SessionId Id,
                                         SessionRequest Request,
                                         ReplySink Reply) {
  auto S = std::shared_ptr<Session>(
      new Session(SessionEngine, Id, std::move(Request), std::move(Reply)));
  S->IdleSince = SessionEngine.runtime().Now();
  return S;
}

void Session::submit(Statement S) {
  if (Closed)
    return;
  if (Queue.size() >= detail::MaxQueuedStatements)
    S.Kind = StatementKind::Invalid;
  Queue.push_back(std::move(S));
  processQueue();
}

void Session::processQueue() {
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

bool Session::authorize(const Statement &S) {
  const CustomerTable &Customers = SessionEngine.config().Customers;
  // A transaction keeps the route with which it began, but needs a key once
  // the route is not public any more.
  auto Current = SessionEngine.config().Routes.find(Database);
  bool Public =
      Route.Public && (Current == SessionEngine.config().Routes.end() ||
                       Current->second.Public);
  CallerIdentity Caller = identifyCaller(Customers, Public, Key);
  bool InTransaction = State != TransactionState::None;
  if (!InTransaction && Caller.Authorized)
    Customer = Caller.Customer;
  // A key may pass from one customer to another. A transaction ends then,
  // because its connection belongs to the first one.
  if (Caller.Authorized && Caller.Customer == Customer)
    return true;
  SessionEngine.logNotAuthorized(Database, S.Id, Customer);
  if (InTransaction) {
    if (Pinned)
      ServiceGroup->rollBack(*Pinned);
    Pinned.reset();
    State = S.Kind == StatementKind::Commit ? TransactionState::None
                                            : TransactionState::Failed;
  }
  if (Caller.Authorized)
    answerError(ReplyCode::Aborted, "the key belongs to another customer now");
  else
    answerError(ReplyCode::NotAuthorized, "the key is not known");
  return false;
}

bool Session::resolveRoute() {
  auto It = SessionEngine.config().Routes.find(Database);
  if (It == SessionEngine.config().Routes.end())
    return false;
  Route = It->second;
  ServiceGroup = SessionEngine.group(Route.Service);
  return ServiceGroup != nullptr;
}

void Session::handle(const Statement &S) {
  Arrived = SessionEngine.runtime().Now();
  if (State == TransactionState::None && detail::beginsOperation(S.Kind)) {
    OperationStart = Arrived;
    FirstTry = firstTry(LastRefused, Arrived);
    LastRefused.reset();
  }
  // A statement that was queued behind a refused one may belong to the same
  // operation, of which nothing must be kept.
  bool FollowsRefusal = QueuedAtRefusal != 0;
  if (FollowsRefusal)
    --QueuedAtRefusal;
  if (State == TransactionState::None &&
      (mustRefuse(S.Kind) ||
       (FollowsRefusal && detail::beginsOperation(S.Kind)))) {
    refuseStopping(S);
    return;
  }
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
  if (detail::isDataStatement(S.Kind)) {
    runDataStatement(S);
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
    updateState(S);
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
  if (!authorize(S))
    return;
  State = TransactionState::Open;
  ReadOnly = S.Kind == StatementKind::BeginRead;
  Wrote = false;
  EndedByProxy = false;
  answerOk();
}

void Session::refuseDatabase(const Statement &S) {
  SessionEngine.logNoRoute(Database, S.Id);
  answerError(ReplyCode::NoDatabase, "no route for " + Database);
}

void Session::updateState(const Statement &S) {
  if (S.Kind == StatementKind::Deallocate) {
    if (CallerState.Prepared.erase(S.Name) == 0)
      answerError(ReplyCode::NoStatement, S.Name);
    else
      answerOk();
    return;
  }
  SessionState Next = CallerState;
  if (S.Kind == StatementKind::Set)
    Next.Variables[S.Name] = S.Argument;
  else
    Next.Prepared[S.Name] = {S.PreparesWrite, S.Argument};
  if (sizeInBytes(Next) > MaxSessionStateBytes) {
    answerError(ReplyCode::TooBig, "the state of the session is too long");
    return;
  }
  CallerState = std::move(Next);
  answerOk();
}

bool Session::fillCall(const Statement &S, Job &J) {
  J.Call.Id = S.Id;
  J.Call.Text = S.Text;
  J.Write = S.Kind == StatementKind::Write;
  if (S.Kind != StatementKind::Execute)
    return true;
  auto It = CallerState.Prepared.find(S.Name);
  if (It == CallerState.Prepared.end())
    return false;
  J.Prepared = It->second;
  J.Write = It->second.Write;
  J.Call.Text = S.Argument;
  return true;
}

void Session::runDataStatement(const Statement &S) {
  bool Autocommit = State == TransactionState::None;
  if (Autocommit && !resolveRoute()) {
    refuseDatabase(S);
    return;
  }
  if (!authorize(S))
    return;
  auto J = std::make_shared<Job>();
  if (!fillCall(S, *J)) {
    answerError(ReplyCode::NoStatement, S.Name);
    return;
  }
  if (Autocommit)
    J->Kind = JobKind::Autocommit;
  else
    J->Kind = Pinned ? JobKind::InTransaction : JobKind::FirstInTransaction;
  run(J);
}

void Session::run(const JobRef &J) {
  J->Session = Id;
  J->Customer = Customer;
  J->KeyHash = hashOfKey(Key);
  J->ConfigVersion = SessionEngine.config().Version;
  J->State = &CallerState;
  J->Route = Route;
  J->ReadOnly = ReadOnly;
  J->Wrote = Wrote;
  J->Pinned = Pinned;
  J->LastCommit = lastCommitAt(LastCommits, Route.Service);
  J->Arrived = Arrived;
  J->OperationStart = OperationStart;
  J->FirstTry = FirstTry;
  J->Done = [Self = shared_from_this()](JobResult Result) {
    Self->handleResult(std::move(Self->Current), std::move(Result));
    Self->processQueue();
  };
  Current = J;
  if (needsPermit(*J))
    requestPermit(J);
  else
    ServiceGroup->submit(J);
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
  if (!authorize(S))
    return;
  auto J = std::make_shared<Job>();
  J->Call = {S.Id, S.Text, {}};
  // If no statement has begun the transaction on a server, it is begun together
  // with the commit, because only a server may answer a commit.
  J->Kind = Pinned ? JobKind::Commit : JobKind::FirstInTransaction;
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
  if (Pinned)
    ServiceGroup->rollBack(*Pinned);
  Pinned.reset();
  State = TransactionState::None;
  EndedByProxy = false;
}

void Session::handleResult(JobRef J, JobResult Result) {
  Current.reset();
  giveBackPermit(*J, Result.Reply);
  if (Closed) {
    if (Result.Pinned)
      ServiceGroup->rollBack(*Result.Pinned);
    return;
  }
  if (J->EndsTransaction) {
    handleCommitResult(J->Route.Service, std::move(Result));
    return;
  }
  ServerReply &Reply = Result.Reply;
  bool InTransaction = State != TransactionState::None;
  if (InTransaction)
    Pinned = Result.Pinned;
  if (Reply.ok()) {
    if (InTransaction)
      Wrote = Wrote || J->Write;
    else if (J->Write && Reply.LogPosition)
      LastCommits[J->Route.Service] = {*Reply.LogPosition, Result.Epoch};
  } else if (InTransaction) {
    State = TransactionState::Failed;
  }
  if (Reply.NoAnswer && InTransaction) {
    // The connection is closed, which rolls the transaction back.
    answerError(ReplyCode::Aborted, "the server did not answer");
    return;
  }
  if (Reply.NoAnswer) {
    answerError(J->Write ? ReplyCode::Unknown : ReplyCode::Timeout,
                "the server did not answer");
    return;
  }
  passOn(std::move(Reply));
}

void Session::handleCommitResult(const std::string &Service, JobResult Result) {
  ServerReply &Reply = Result.Reply;
  bool HadWritten = Wrote;
  State = TransactionState::None;
  Pinned.reset();
  Wrote = false;
  if (Reply.NoAnswer) {
    if (HadWritten)
      answerError(ReplyCode::Unknown, "the server did not answer the commit");
    else
      answerError(ReplyCode::Aborted, "the server did not answer the commit");
    return;
  }
  if (Reply.ok() && HadWritten && Reply.LogPosition)
    LastCommits[Service] = {*Reply.LogPosition, Result.Epoch};
  passOn(std::move(Reply));
}

void Session::answer(CallerReply R) {
  R.State = State;
  IdleSince = SessionEngine.runtime().Now();
  Reply(std::move(R));
}

void Session::noteRefusal(ReplyCode Code) {
  if (detail::keepsNothing(Code))
    LastRefused = RefusedOperation{FirstTry, SessionEngine.runtime().Now()};
}

void Session::passOn(ServerReply From) {
  if (From.Error)
    noteRefusal(*From.Error);
  CallerReply Out;
  Out.Error = From.Error;
  Out.ErrorText = std::move(From.ErrorText);
  Out.Rows = std::move(From.Rows);
  Out.Signature = std::move(From.Signature);
  Out.LogPosition = From.LogPosition;
  answer(std::move(Out));
}

void Session::answerOk() { answer({}); }

void Session::answerError(ReplyCode Code, std::string Text) {
  noteRefusal(Code);
  CallerReply R;
  R.Error = Code;
  R.ErrorText = std::move(Text);
  answer(std::move(R));
}

void Session::endIdleTransaction() {
  if (!Current)
    endTransaction("idle");
}

std::optional<PinnedConnection>
Session::takeTransaction(std::string_view Reason) {
  SessionEngine.events().write(
      EngineEvent::TransactionEnded,
      {{"session", Id},
       {"database", Database},
       {"customer", Customer},
       {"reason", Reason},
       {"idle_ms", SessionEngine.runtime().Now() - IdleSince}});
  EndedByProxy = true;
  State = TransactionState::Failed;
  return std::exchange(Pinned, std::nullopt);
}

void Session::endTransaction(std::string_view Reason) {
  if (!rests())
    return;
  if (auto Connection = takeTransaction(Reason))
    ServiceGroup->rollBack(*Connection);
}

std::optional<RestingTransaction>
Session::restingTransaction(std::string_view Service) const {
  if (!rests() || !Pinned || Pinned->Owner || Route.Service != Service)
    return std::nullopt;
  return RestingTransaction{Pinned->Connection->Customer,
                            Pinned->Pool->server().Id, IdleSince};
}

void Session::endRestingTransaction(const CustomerId &For) {
  if (!rests() || !Pinned || Pinned->Owner)
    return;
  if (auto Connection = takeTransaction(detail::ConnectionNeededReason))
    ServiceGroup->handOver(*Connection, For);
}

void Session::close(SessionEnd Reason) {
  if (Closed)
    return;
  Closed = true;
  auto Self = shared_from_this();
  if (Current) {
    logCut(Reason);
    ServiceGroup->cancel(Current);
    // Cancelling a statement that holds the connection of the transaction ends
    // the transaction as well.
    if (!Current->Pinned && Pinned)
      ServiceGroup->rollBack(*Pinned);
    Current.reset();
  } else if (Pinned) {
    ServiceGroup->rollBack(*Pinned);
  }
  Pinned.reset();
  Queue.clear();
  SessionEngine.removeSession(*this);
}

void Session::logCut(SessionEnd Reason) {
  const std::shared_ptr<PeerConnection> &Owner = Current->ForwardedTo;
  SessionEngine.events().write(
      EngineEvent::StatementCut,
      {{"id", Current->Call.Id},
       {"session", Id},
       {"service", Route.Service},
       {"reason", name(Reason)},
       {"owner", Owner ? std::string_view(Owner->Peer.Id) : std::string_view()},
       {"sent", Current->Sent || Owner ? 1 : 0},
       {"after_ms", SessionEngine.runtime().Now() - Current->Arrived},
       {"queued", static_cast<std::uint64_t>(Queue.size())}});
}

} // namespace eelgrassloom
