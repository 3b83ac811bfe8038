#include "controlfakes.h"
#include <algorithm>
#include <optional>

namespace eelgrassloom::testing {

std::map<std::string, ControlledUpstream> *ControlledUpstreams = nullptr;

namespace {

struct ControlledConnection : UpstreamConnection {
  std::string Address;
};

void fakeGet(PlatformClient &Client, const std::string &Key, Duration,
             PlatformReplyHandler Done) {
  auto &P = static_cast<FakePlatform &>(Client);
  ++P.Calls;
  if (P.Down)
    Done({PlatformCode::Unavailable, {}});
  else if (auto It = P.Entries.find(Key); It != P.Entries.end())
    Done({PlatformCode::Ok, It->second});
  else
    Done({PlatformCode::Ok, {Key, "", 0}});
}

void fakeSwap(PlatformClient &Client, const PlatformEntry &Entry,
              std::uint64_t Expected, std::uint32_t, Duration,
              PlatformReplyHandler Done) {
  auto &P = static_cast<FakePlatform &>(Client);
  ++P.Calls;
  if (P.Down) {
    Done({PlatformCode::Unavailable, {}});
    return;
  }
  if (auto First = std::exchange(P.BeforeSwap, nullptr))
    First();
  auto It = P.Entries.find(Entry.Key);
  std::uint64_t Present = It == P.Entries.end() ? 0 : It->second.Revision;
  if (Present != Expected) {
    Done({PlatformCode::Conflict, P.Entries[Entry.Key]});
    return;
  }
  P.put(Entry.Key, Entry.Value);
  if (P.LoseSwapResponses)
    Done({PlatformCode::Unavailable, {}});
  else
    Done({PlatformCode::Ok, P.Entries[Entry.Key]});
}

std::shared_ptr<PlatformWatch> fakeWatch(PlatformClient &, const std::string &,
                                         PlatformEntryHandler,
                                         std::function<void()>) {
  return std::make_shared<PlatformWatch>();
}

void fakeHosts(PlatformClient &Client, Duration, PlatformHostsHandler Done) {
  auto &P = static_cast<FakePlatform &>(Client);
  Done({P.Down ? PlatformCode::Unavailable : PlatformCode::Ok, P.Hosts});
}

UpstreamReply reply(ControlledUpstream &U, const UpstreamCall &Call) {
  UpstreamReply R;
  if (U.Down) {
    R.Code = UpstreamCode::TimedOut;
    return R;
  }
  R.Code = UpstreamCode::Ok;
  U.Calls.push_back(Call);
  if (Call.Term < U.Status.RaisedTerm && Call.Term != 0) {
    R.Code = UpstreamCode::StaleTerm;
  } else if (Call.Operation == UpstreamOperation::RaiseTerm) {
    U.Status.RaisedTerm = Call.Term;
  } else if (Call.Operation == UpstreamOperation::Promote) {
    U.Status.UpstreamRole = Role::Primary;
    U.Status.RaisedTerm = Call.Term;
    U.Status.History.push_back({Call.Term, U.Status.Applied.Index});
  } else if (Call.Operation == UpstreamOperation::Follow) {
    U.Status.UpstreamRole = Role::Replica;
    U.Status.RaisedTerm = Call.Term;
  }
  R.Status = U.Status;
  return R;
}

std::shared_ptr<UpstreamConnection> fakeConnect(const UpstreamTarget &Target,
                                                Duration,
                                                UpstreamReplyHandler Opened) {
  auto C = std::make_shared<ControlledConnection>();
  C->Address = Target.Address;
  Opened(reply((*ControlledUpstreams)[Target.Address], UpstreamCall()));
  return C;
}

void fakeCall(UpstreamConnection &Connection, const UpstreamCall &Request,
              Duration, UpstreamReplyHandler Done) {
  auto &C = static_cast<ControlledConnection &>(Connection);
  Done(reply((*ControlledUpstreams)[C.Address], Request));
}

void fakeClose(UpstreamConnection &) {}

} // namespace

const PlatformAdapter &fakePlatform() {
  static const PlatformAdapter Adapter = {nullptr, fakeGet, fakeSwap, fakeWatch,
                                          fakeHosts};
  return Adapter;
}

const UpstreamAdapter &controlledAdapter() {
  static const UpstreamAdapter Adapter = {fakeConnect, fakeCall, fakeClose};
  return Adapter;
}

ControlFixture::ControlFixture() {
  ControlledUpstreams = &Upstreams;
  for (const char *Id : {"a", "b", "c"}) {
    UpstreamStatus &S = upstream(Id).Status;
    S.Id = Id;
    S.UpstreamRole = S.Id == "a" ? Role::Primary : Role::Replica;
    S.RaisedTerm = 1;
    S.Applied = {1, 10};
    S.History = {{1, 0}};
  }
  Context.Options.Fleet = "test";
  Context.Options.Id = "p1";
  Context.Options.FailureDomain = "fd";
  Context.Options.FailoverTolerance = std::chrono::milliseconds(800);
  Context.Options.ProbeInterval = std::chrono::milliseconds(100);
  Context.Time = Time;
  Context.Events = Events;
  Context.Meters = ProxyMetrics::create("");
  Context.Snapshots = Snapshots;
  Context.Peers = std::make_shared<UnreachablePeers>();
  Context.Incarnation = std::make_shared<std::atomic<std::uint64_t>>(1);
  Context.Platform = &fakePlatform();
  Context.PlatformConnection = Platform;
  Context.Upstreams = &controlledAdapter();
  Context.Seed = 7;
  Controller = Control::create(Context);
}

ControlFixture::~ControlFixture() {
  Controller.reset();
  ControlledUpstreams = nullptr;
}

Configuration ControlFixture::configuration(std::uint64_t Version) {
  Configuration C;
  C.Version = Version;
  C.Classes = {
      {"orders", Priority::Urgent, Duration{0}, Durability::Replicated}};
  Database D{"db", {}};
  unsigned Port = 1;
  for (const char *Id : {"a", "b", "c"})
    D.Upstreams.push_back(
        {Id, "127.0.0.1:" + std::to_string(Port++), "fd", 5, 30, false});
  C.Databases = {D};
  return C;
}

void ControlFixture::storeConfiguration(std::uint64_t Version) {
  Platform->put("config",
                configwire::toWire(configuration(Version)).SerializeAsString());
}

ControlledUpstream &ControlFixture::upstream(const std::string &Id) {
  return Upstreams["127.0.0.1:" + std::to_string(Id[0] - 'a' + 1)];
}

void ControlFixture::run(Duration D) {
  constexpr Duration Tick = std::chrono::milliseconds(50);
  for (Duration Left = D; Left > Duration::zero(); Left -= Tick) {
    Time->advance(Tick);
    Controller->step();
  }
}

void ControlFixture::pause(Duration D) { Time->advance(D); }

std::string ControlFixture::primary() const {
  auto S = Snapshots->load();
  auto It = S->Groups.find("db");
  return It == S->Groups.end() ? std::string() : It->second.Primary;
}

std::size_t ControlFixture::count(const EventKind &Kind) const {
  auto All = Events->select({});
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const EventRecord &R) {
        return R.Kind.Number == Kind.Number;
      }));
}

operators::v1::StatusAnswer ControlFixture::status() {
  std::optional<operators::v1::StatusAnswer> Answer;
  Controller->status(
      [&](operators::v1::StatusAnswer A) { Answer = std::move(A); });
  Controller->step();
  return Answer.value();
}

} // namespace eelgrassloom::testing
