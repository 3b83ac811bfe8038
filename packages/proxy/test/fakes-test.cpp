#include "fakes.h"
#include <doctest/doctest.h>

namespace eelgrassloom::testing {

FakeDatabases *FakeDatabases::Current = nullptr;

namespace {

bool holds(const FakeUpstream &S, Position P) {
  return contains(S.Status.History, S.Status.Applied, P);
}

UpstreamReply append(FakeUpstream &S, const UpstreamCall &C,
                     const std::string &Statement) {
  UpstreamReply R;
  R.Code = UpstreamCode::Ok;
  if (auto It = S.RecordedRequests.find(C.RequestId);
      !C.RequestId.empty() && It != S.RecordedRequests.end()) {
    if (It->second.Statement != Statement) {
      R.Code = UpstreamCode::IdReused;
      return R;
    }
    R.Recorded = true;
    R.At = It->second.At;
    R.Result = "did " + It->second.Statement;
    return R;
  }
  if (lineage(S.Status.History, C.MinPosition) != Lineage::InHistory) {
    R.Code = UpstreamCode::PositionLost;
    return R;
  }
  FakeLogEntry E{{S.Status.History.back().Term, S.Status.Applied.Index + 1},
                 Statement};
  S.Status.Applied = E.At;
  S.Log.push_back(E);
  if (!C.RequestId.empty())
    S.RecordedRequests[C.RequestId] = E;
  R.At = E.At;
  R.Result = "did " + Statement;
  return R;
}

UpstreamReply perform(FakeConnection &Fake, const UpstreamCall &C) {
  FakeUpstream &S = *Fake.Upstream;
  UpstreamReply R;
  R.Code = UpstreamCode::Ok;
  R.At = S.Status.Applied;
  bool Primary = S.Status.UpstreamRole == Role::Primary &&
                 S.Status.RaisedTerm == S.Status.History.back().Term;
  switch (C.Operation) {
  case UpstreamOperation::Execute:
    if (Fake.InTransaction) {
      Fake.Statements.push_back(C.Statement);
      R.Result = "did " + C.Statement;
    } else if (C.Write && C.Term < S.Status.RaisedTerm)
      R.Code = UpstreamCode::StaleTerm;
    else if (C.Write && (!Primary || C.Term != S.Status.RaisedTerm))
      R.Code = UpstreamCode::NotPrimary;
    else if (C.Statement == "fail")
      R.Code = UpstreamCode::Error;
    else if (C.Write)
      R = append(S, C, C.Statement);
    else if (!holds(S, C.MinPosition))
      R.Code = UpstreamCode::Behind;
    else
      R.Result = "saw " + std::to_string(S.Log.size());
    break;
  case UpstreamOperation::Begin:
    if (Primary && C.Term == S.Status.RaisedTerm)
      Fake.InTransaction = true;
    else
      R.Code = UpstreamCode::NotPrimary;
    break;
  case UpstreamOperation::Commit: {
    std::string All;
    for (const std::string &Statement : Fake.Statements)
      All += Statement + ";";
    R = append(S, C, All);
    Fake.InTransaction = false;
    Fake.Statements.clear();
    break;
  }
  case UpstreamOperation::Rollback:
    Fake.InTransaction = false;
    Fake.Statements.clear();
    break;
  case UpstreamOperation::ConfirmTerm:
    if (S.Status.RaisedTerm > C.Term)
      R.Code = UpstreamCode::StaleTerm;
    else if (S.Status.RaisedTerm < C.Term || !holds(S, C.MinPosition))
      R.Code = UpstreamCode::Behind;
    break;
  default:
    break;
  }
  if (S.ResultBytes > 0 && R.Code == UpstreamCode::Ok)
    R.Result.assign(S.ResultBytes, 'x');
  R.Status = S.Status;
  return R;
}

UpstreamReply failure(UpstreamCode Code) {
  UpstreamReply R;
  R.Code = Code;
  return R;
}

std::shared_ptr<UpstreamConnection> connect(const UpstreamTarget &Target,
                                            Duration Timeout,
                                            UpstreamReplyHandler Opened) {
  FakeDatabases &D = *FakeDatabases::Current;
  FakeUpstream &S = D.Upstreams.at(Target.Address);
  auto Fake = std::make_shared<FakeConnection>();
  Fake->Upstream = &S;
  if (!S.AcceptsConnections) {
    D.Timers->after(Timeout,
                    [Opened] { Opened(failure(UpstreamCode::TimedOut)); });
    return Fake;
  }
  if (S.open() >= S.ConnectionLimit) {
    Fake->Closed = true;
    D.Timers->after(milliseconds(1), [Opened] {
      Opened(failure(UpstreamCode::TooManyConnections));
    });
    return Fake;
  }
  S.Connections.push_back(Fake);
  ++S.ConnectionsOpened;
  D.Timers->after(milliseconds(10), [Opened, &S] {
    UpstreamReply R;
    R.Code = UpstreamCode::Ok;
    R.Status = S.Status;
    Opened(R);
  });
  return Fake;
}

void call(UpstreamConnection &Connection, const UpstreamCall &Request,
          Duration Timeout, UpstreamReplyHandler Done) {
  FakeDatabases &D = *FakeDatabases::Current;
  auto &Fake = static_cast<FakeConnection &>(Connection);
  FakeUpstream &S = *Fake.Upstream;
  CHECK(Fake.Exchanges == 0);
  ++Fake.Exchanges;
  bool Statement = Request.Operation != UpstreamOperation::Status &&
                   Request.Operation != UpstreamOperation::ConfirmTerm;
  Duration Service = Statement ? S.ServiceTime : milliseconds(1);
  S.Calls.push_back(Request);
  if (Statement)
    S.MaxRunning = std::max(S.MaxRunning, ++S.Running);
  auto Shared =
      std::find_if(S.Connections.begin(), S.Connections.end(), [&](auto &Weak) {
        return Weak.lock().get() == &Fake;
      })->lock();
  bool WillAnswer = !Fake.Unresponsive && !S.Unresponsive && Service <= Timeout;
  // A request whose position the upstream does not hold yet is tried again
  // every millisecond, until its wait has passed.
  auto Answer = std::make_shared<std::function<void(Duration)>>();
  *Answer = [&S, Shared, Request, Done, Statement, Answer, &D](Duration Left) {
    UpstreamReply R = perform(*Shared, Request);
    if (R.Code == UpstreamCode::Behind && Left > Duration::zero()) {
      D.Timers->after(milliseconds(1),
                      [Answer, Left] { (*Answer)(Left - milliseconds(1)); });
      return;
    }
    --Shared->Exchanges;
    if (Statement)
      --S.Running;
    Done(Shared->Closed ? failure(UpstreamCode::ConnectionLost) : R);
  };
  if (WillAnswer) {
    D.Timers->after(Service,
                    [Answer, Wait = Request.Wait] { (*Answer)(Wait); });
    return;
  }
  if (S.Unresponsive)
    D.Timers->after(Service, [Shared, Request] { perform(*Shared, Request); });
  D.Timers->after(Timeout, [&S, Statement, Done] {
    if (Statement)
      --S.Running;
    Done(failure(UpstreamCode::TimedOut));
  });
}

void close(UpstreamConnection &Connection) {
  static_cast<FakeConnection &>(Connection).Closed = true;
}

} // namespace

const UpstreamAdapter &fakeAdapter() {
  static const UpstreamAdapter Adapter{connect, call, close};
  return Adapter;
}

void FakeDatabases::replicate(const std::string &From, const std::string &To) {
  FakeUpstream &Source = Upstreams.at(From + ":1");
  FakeUpstream &Copy = Upstreams.at(To + ":1");
  Copy.Log = Source.Log;
  Copy.RecordedRequests = Source.RecordedRequests;
  Copy.Status.Applied = Source.Status.Applied;
  Copy.Status.History = Source.Status.History;
}

void FakeDatabases::promote(const std::string &Id, std::uint64_t Term) {
  FakeUpstream &S = Upstreams.at(Id + ":1");
  S.Status.UpstreamRole = Role::Primary;
  S.Status.RaisedTerm = Term;
  S.Status.History.push_back({Term, S.Status.Applied.Index});
  S.Status.Applied = {Term, S.Status.Applied.Index + 1};
}

void FakePeers::request(const std::string &Address,
                        peer::v1::PeerMessage Message, Duration Timeout,
                        PeerAnswerHandler Done) {
  ++Requests;
  PeerCode Fault = PeerCode::Ok;
  if (auto &Queue = Faults[Address]; !Queue.empty()) {
    Fault = Queue.front();
    Queue.erase(Queue.begin());
  }
  if (Fault == PeerCode::NotSent) {
    Timers->after(milliseconds(1), [Done] { Done(PeerCode::NotSent, {}); });
    return;
  }
  if (Fault == PeerCode::TimedOut)
    Timers->after(Timeout, [Done] { Done(PeerCode::TimedOut, {}); });
  Timers->after(milliseconds(1), [this, Address, Message, Done, Fault] {
    Receivers.at(Address)(
        Message, [this, Done, Fault](peer::v1::PeerMessage Answer) {
          if (Fault == PeerCode::Ok)
            Timers->after(milliseconds(1),
                          [Done, Answer] { Done(PeerCode::Ok, Answer); });
        });
  });
}

DataPathFixture::DataPathFixture(std::map<UpstreamId, ProxyId> Owners) {
  Peers->Timers = Databases.Timers;
  State->Config.Version = 1;
  State->Config.Classes = {
      {"urgent", Priority::Urgent, Duration::zero(), Durability::Replicated},
      {"normal", Priority::Normal, Duration::zero(), Durability::TermCheck},
      {"background", Priority::Background, std::chrono::seconds(1),
       Durability::TermCheck}};
  Database D{"db", {}};
  for (const std::string Id : {"a", "b", "c"}) {
    D.Upstreams.push_back({Id, Id + ":1", "d" + Id, 5, 30, false});
    FakeUpstream &S = Databases.Upstreams[Id + ":1"];
    S.Status = {Id, Role::Replica, 1, {1, 1}, {{1, 0}}, false};
    S.Log.push_back({{1, 1}, "start"});
  }
  upstream("a").Status.UpstreamRole = Role::Primary;
  State->Config.Databases = {D};
  State->Groups["db"] = {1, "a", {{1, 0}}};
  std::set<ProxyId> Ids;
  for (const auto &[Upstream, Owner] : Owners)
    Ids.insert(Owner);
  for (const ProxyId &Id : Ids) {
    Proxy &P = Proxies[Id];
    P.Snapshots = std::make_shared<SnapshotHolder>();
    P.Events = EventLog::create(Databases.Time, 1000);
    DataPathContext C;
    C.Options.Id = Id;
    C.Options.FailureDomain = "da";
    C.Options.RoutingPolicy = "causal";
    C.Options.PriorityPolicy = "shares";
    C.Options.FailoverTolerance = milliseconds(800);
    C.Options.ProbeInterval = milliseconds(100);
    C.Options.DefaultDeadline = milliseconds(2000);
    C.Options.RequestRetention = std::chrono::hours(24);
    C.Options.ReplicaWait = milliseconds(20);
    C.Options.RetryBudgetPercent = 10;
    C.Time = Databases.Time;
    C.Timers = Databases.Timers;
    C.Events = P.Events;
    C.Meters = ProxyMetrics::create("");
    C.Snapshots = P.Snapshots;
    C.Peers = Peers;
    C.Upstreams = &fakeAdapter();
    C.Observe.ConnectionAttempted = [&P](const UpstreamId &Upstream,
                                         bool Opened) {
      if (!Opened)
        ++P.FailedConnections[Upstream];
    };
    P.Path = DataPath::create(std::move(C));
    Peers->Receivers[Id + ":9"] = [&P](const peer::v1::PeerMessage &M,
                                       const PeerResponder &Respond) {
      peer::v1::PeerMessage Answer;
      if (M.has_forward()) {
        P.Path->runForwarded(M.forward(), [Respond](peer::v1::ForwardAnswer A) {
          peer::v1::PeerMessage Out;
          *Out.mutable_forward_answer() = std::move(A);
          Respond(std::move(Out));
        });
        return;
      }
      *Answer.mutable_status_report() =
          P.Path->report(M.status_pull().database());
      Respond(std::move(Answer));
    };
    State->Peers[Id] = Id + ":9";
  }
  for (const auto &[Upstream, Owner] : Owners)
    State->Owners[Upstream] = {Owner, ""};
  publish();
  advance(milliseconds(250));
}

DataPathFixture::~DataPathFixture() {
  for (auto &[Id, P] : Proxies)
    P.Path.reset();
}

void DataPathFixture::publish() {
  for (const auto &[Id, P] : Proxies)
    publishTo(Id);
}

void DataPathFixture::publishTo(const ProxyId &Id) {
  Proxy &P = Proxies.at(Id);
  auto S = std::make_shared<Snapshot>(*State);
  for (auto &[Upstream, Owner] : S->Owners)
    Owner.Address = Owner.Owner == Id ? "" : Owner.Owner + ":9";
  P.Snapshots->store(S);
  P.Path->snapshotChanged();
  Databases.Timers->runDue();
}

void DataPathFixture::advance(Duration D) {
  for (; D > Duration::zero(); D -= milliseconds(1)) {
    Databases.Time->advance(milliseconds(1));
    Databases.Timers->runDue();
  }
}

std::shared_ptr<std::optional<caller::v1::RunAnswer>>
DataPathFixture::start(const ProxyId &Proxy,
                       const caller::v1::RunRequest &Request) {
  auto Result = std::make_shared<std::optional<caller::v1::RunAnswer>>();
  Proxies.at(Proxy).Path->run(Request, [Result](caller::v1::RunAnswer A) {
    CHECK_MESSAGE(!Result->has_value(), "the handler was called twice");
    *Result = std::move(A);
  });
  return Result;
}

caller::v1::RunAnswer
DataPathFixture::run(const ProxyId &Proxy,
                     const caller::v1::RunRequest &Request) {
  auto Result = start(Proxy, Request);
  for (int I = 0; I < 5000 && !Result->has_value(); ++I)
    advance(milliseconds(1));
  REQUIRE(Result->has_value());
  return **Result;
}

caller::v1::RunRequest DataPathFixture::read(const std::string &Statement,
                                             const std::string &Class) const {
  caller::v1::RunRequest R;
  R.set_database("db");
  R.set_workload_class(Class);
  R.set_access(caller::v1::ACCESS_READ);
  R.set_statement(Statement);
  return R;
}

caller::v1::RunRequest DataPathFixture::write(const std::string &Statement,
                                              const std::string &Class) const {
  caller::v1::RunRequest R = read(Statement, Class);
  R.set_access(caller::v1::ACCESS_WRITE);
  R.set_request_id("id-" + Statement);
  R.set_issued_at_ms(Databases.Time->wallMicros() / 1000);
  R.set_non_idempotent(true);
  return R;
}

caller::v1::RunRequest
DataPathFixture::step(caller::v1::Step Step,
                      const std::string &Transaction) const {
  caller::v1::RunRequest R = read("");
  R.set_access(caller::v1::ACCESS_WRITE);
  R.set_step(Step);
  R.set_transaction(Transaction);
  return R;
}

bool DataPathFixture::hasEvent(const ProxyId &Proxy,
                               const EventKind &Kind) const {
  for (const EventRecord &R : Proxies.at(Proxy).Events->select({}))
    if (R.Kind.Number == Kind.Number)
      return true;
  return false;
}

} // namespace eelgrassloom::testing
