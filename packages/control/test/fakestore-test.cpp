#include "fakestore.h"
#include <algorithm>
#include <doctest/doctest.h>

namespace eelgrassloom::test {

using namespace std::chrono_literals;

namespace {

bool hasPrefix(const std::string &Key, const std::string &Prefix) {
  return Key.compare(0, Prefix.size(), Prefix) == 0;
}

/// Answers any statement with a position while its server can be reached.
class StatusConnection : public ServerConnection {
public:
  StatusConnection(Fleet &F, UpstreamId Id) : F(F), Id(std::move(Id)) {}

  void exchange(std::vector<ServerCall> Calls, ReplyHandler Done) override {
    if (F.Reachable.count(Id) == 0)
      return;
    ServerReply Reply;
    Reply.LogPosition = Position{1, 5};
    F.Time.after(AnswerTime,
                 [Done, Replies = std::vector<ServerReply>(
                            Calls.size(), Reply)] { Done(Replies); });
  }
  void close() override {}

private:
  Fleet &F;
  UpstreamId Id;
};

/// One end of a stream between two proxies.
class FakeStream : public PeerStream,
                   public std::enable_shared_from_this<FakeStream> {
public:
  FakeStream(Fleet &F, std::string Self, std::string Peer)
      : F(F), Self(std::move(Self)), Peer(std::move(Peer)) {}

  void start(std::function<void(std::string_view)> OnMessage,
             std::function<void()>) override {
    Received = std::move(OnMessage);
  }
  void send(std::string_view Message) override {
    F.Time.after(1ms, [this, Other = Other, Bytes = std::string(Message),
                       Keep = shared_from_this()] {
      auto To = Other.lock();
      FakeProxy *From = F.find(Self);
      if (To && To->Received && From != nullptr && F.connected(*From, Peer)) {
        auto Handler =
            To->Received; // A copy: the handler may close the stream.
        Handler(Bytes);
      }
    });
  }
  void close() override { Received = nullptr; }

  std::weak_ptr<FakeStream> Other;

private:
  Fleet &F;
  std::string Self;
  std::string Peer;
  std::function<void(std::string_view)> Received;
};

} // namespace

void FakeClock::runDue() {
  std::vector<std::function<void()>> Due;
  std::erase_if(Timers, [&](auto &Entry) {
    if (Entry.first > Now)
      return false;
    Due.push_back(std::move(Entry.second));
    return true;
  });
  for (auto &Run : Due)
    Run();
}

void StoreState::put(const std::string &Key, const std::string &Value) {
  Items[Key] = {Key, Value, ++Revision, 0};
}

void StoreState::expireLeases(Instant Now) {
  std::erase_if(LeaseEnds, [&](const auto &Lease) {
    if (Lease.second > Now)
      return false;
    std::erase_if(Items, [&](const auto &Entry) {
      return Entry.second.LeaseId == Lease.first;
    });
    ++Revision;
    return true;
  });
}

StoreReply StoreState::change(const StoreChange &Change) {
  StoreReply Reply;
  bool Holds = true;
  for (const StoreCondition &C : Change.Conditions) {
    auto It = Items.find(C.Key);
    Holds =
        Holds && (It == Items.end() ? 0 : It->second.Revision) == C.Revision;
    if (It != Items.end())
      Reply.Items.push_back(It->second);
  }
  Reply.Code = Holds ? StoreCode::Ok : StoreCode::Conflict;
  Reply.Revision = Revision;
  if (!Holds)
    return Reply;
  Reply.Items.clear();
  if (!Change.Sets.empty() || !Change.Deletes.empty())
    Reply.Revision = ++Revision;
  for (const StoreItem &Item : Change.Sets)
    Items[Item.Key] = {Item.Key, Item.Value, Revision, Item.LeaseId};
  for (const std::string &Key : Change.Deletes)
    Items.erase(Key);
  return Reply;
}

void FakeStore::deliver(Duration After, StoreReply Reply, Handler Done) {
  Time.after(After, [this, Reply = std::move(Reply), Done = std::move(Done)] {
    if (!Dead)
      Done(Reply);
  });
}

void FakeStore::reply(Duration Timeout, StoreReply Reply, Handler Done) {
  if (isUnavailable() && State.Rejecting) {
    StoreReply Rejected;
    Rejected.Code = StoreCode::Rejected;
    deliver(AnswerTime, Rejected, std::move(Done));
    return;
  }
  if (isUnavailable()) {
    deliver(Timeout, {}, std::move(Done));
    return;
  }
  if (State.HungConnections.count(Proxy) != 0) {
    deliver(Timeout, {}, [this, Done = std::move(Done)](StoreReply Nothing) {
      State.HungConnections.erase(Proxy);
      Done(std::move(Nothing));
    });
    return;
  }
  for (const StoreItem &Item : Reply.Items)
    State.ConfigsSent[Proxy] += Item.Key == "rules" ? 1 : 0;
  deliver(AnswerTime, std::move(Reply), std::move(Done));
}

void FakeStore::range(const std::string &Prefix, ReadMode Mode,
                      Duration Timeout, Handler Done) {
  State.Calls[Proxy] += Mode == ReadMode::Current ? 1 : 0;
  StoreReply Reply;
  Reply.Code = StoreCode::Ok;
  Reply.Revision = State.Revision;
  for (const auto &[Key, Item] : State.Items)
    if (hasPrefix(Key, Prefix))
      Reply.Items.push_back(Item);
  reply(Timeout, std::move(Reply), std::move(Done));
}

void FakeStore::change(const StoreChange &Change, Duration Timeout,
                       Handler Done) {
  ++State.Calls[Proxy];
  if (isUnavailable()) {
    reply(Timeout, {}, std::move(Done));
    return;
  }
  StoreReply Reply = State.change(Change);
  bool Write = !Change.Sets.empty() || !Change.Deletes.empty();
  if (State.DropResponses && Write)
    deliver(Timeout, {}, std::move(Done));
  else
    reply(Timeout, std::move(Reply), std::move(Done));
}

void FakeStore::watch(const std::string &Prefix, std::uint64_t Revision,
                      Duration Wait, Handler Done) {
  State.Calls[Proxy] += isUnavailable() ? 1 : 0;
  StoreReply Reply;
  Reply.Code = StoreCode::Ok;
  Reply.Revision = State.Revision;
  for (const auto &[Key, Item] : State.Items)
    if (hasPrefix(Key, Prefix) && Item.Revision > Revision)
      Reply.Items.push_back(Item);
  if (isUnavailable())
    reply(Wait, {}, std::move(Done));
  else if (!Reply.Items.empty())
    reply(Wait, std::move(Reply), std::move(Done));
  else
    Time.after(20ms, [this, Prefix, Revision, Wait, Done = std::move(Done)] {
      watch(Prefix, Revision, Wait, Done);
    });
}

void FakeStore::createLease(Duration Length, Duration Timeout, Handler Done) {
  StoreReply Reply;
  Reply.Code = StoreCode::Ok;
  Reply.LeaseDuration = Length;
  if (!isUnavailable()) {
    Reply.LeaseId = State.NextLease++;
    State.LeaseEnds[Reply.LeaseId] = Time.Now + Length;
  }
  reply(Timeout, std::move(Reply), std::move(Done));
}

void FakeStore::renewLease(std::uint64_t LeaseId, Duration Timeout,
                           Handler Done) {
  StoreReply Reply;
  Reply.Code = StoreCode::Gone;
  if (!isUnavailable() && State.LeaseEnds.count(LeaseId) != 0) {
    State.LeaseEnds[LeaseId] =
        Time.Now + CoordinatorOptions().PromotionLockLeaseDuration;
    Reply.Code = StoreCode::Ok;
  }
  reply(Timeout, std::move(Reply), std::move(Done));
}

Fleet::Fleet(std::size_t Proxies, std::size_t Domains,
             std::vector<unsigned> Shares)
    : MilliCores(std::move(Shares)) {
  Keys.put("rules", "1");
  for (const char *Id : {"a", "b", "c"})
    Keys.put("servers/" + std::string(Id), "up");
  for (std::size_t I = 0; I < Proxies; ++I)
    addProxy("p" + std::to_string(I),
             I % Domains == 0 ? "zone" : "zone" + std::to_string(I % Domains));
}

void Fleet::addProxy(const std::string &Id, const std::string &Domain) {
  auto P = std::make_unique<FakeProxy>(Id, Domain);
  P->Hooks.Now = [this] { return Time.Now; };
  P->Hooks.After = [this](Duration D, std::function<void()> Run) {
    Time.after(D, std::move(Run));
  };
  P->Events = std::make_unique<EventWriter>(Id, [] { return std::int64_t{0}; });
  P->Counters = Metrics::create();
  Dialer Dial = [this, Id](const ServerEntry &E, Duration Timeout,
                           std::function<void(DialResult)> Done) {
    if (Reachable.count(E.Id) == 0 || Blocked[Id].count(E.Id) != 0)
      Time.after(Timeout, [Done] { Done({DialOutcome::TimedOut, {}, {}}); });
    else
      Time.after(AnswerTime, [this, Done, Id = E.Id] {
        Done({DialOutcome::Connected,
              std::make_shared<StatusConnection>(*this, Id), Position{1, 5}});
      });
  };
  P->SessionEngine =
      Engine::create(Domain, P->Hooks, Dial, *P->Events, *P->Counters);
  P->KeyValueStore = std::make_unique<FakeStore>(Keys, Time, Id);
  StoreLayout Layout;
  Layout.ConfigKey = "rules";
  Layout.ServersPrefix = "servers/";
  Layout.DecodeConfig = [](const std::string &Value) {
    RoutingConfig Config;
    if (Value == InvalidConfig)
      return Result<RoutingConfig>::failure({{"rules", Value, "a version"}});
    bool NoConnections = Value.starts_with(NoConnectionsPrefix);
    Config.Version = std::stoul(NoConnections ? Value.substr(1) : Value);
    Config.Services["s"] = {"s", NoConnections ? 0U : 10U, 0};
    return Result<RoutingConfig>::success(Config);
  };
  Layout.DecodeServer = [this](const StoreItem &Item) {
    ServerEntry E;
    E.Id = Item.Key.substr(8);
    E.Service = "s";
    E.Address = Item.Value == "foreign" ? "10.0.0.1:99999" : "10.0.0.1:80";
    E.FailureDomain = "zone";
    E.Draining = Item.Value == "draining";
    E.ReportedRole = E.Id == Primary ? Role::Primary : Role::Replica;
    return Result<ServerEntry>::success(E);
  };
  Promoter Promote = [this](const std::string &, const UpstreamId &Server,
                            std::uint64_t Token, auto Done) {
    Promotions.emplace_back(Server, Token);
    Primary = Server;
    Time.after(AnswerTime, [Done] { Done(PromotionOutcome::Accepted); });
  };
  Prober Probe = [this](const ServerEntry &E, auto Done) {
    Time.after(AnswerTime, [Done, Status = status(E.Id)] { Done(Status); });
  };
  CoordinatorOptions Options = coordinatorOptions(3s);
  P->Control = Coordinator::create(Id, std::hash<std::string>()(Id) | 1,
                                   *P->SessionEngine, *P->KeyValueStore, Layout,
                                   Promote, Probe, Options);
  P->PeerProxies = Peers::create(
      Id, Domain, 7, *P->SessionEngine,
      [this, Self = P.get()](const std::string &To, const std::string &Bytes) {
        if (!connected(*Self, To))
          return;
        Time.after(1ms, [this, Self, To, Bytes] {
          FakeProxy *Other = find(To);
          if (Other != nullptr && !Other->Stopped && connected(*Self, To))
            Other->PeerProxies->received(Self->Id, Bytes);
        });
      },
      Options.LeaseDuration);
  P->Forwarder = StatementForwarder::create(Id, Domain, *P->SessionEngine, {});
  Coordinator *Control = P->Control.get();
  P->Forwarder->setStateProviders(
      [Control] { return Control->currentConfig(); },
      [Control] { return Control->currentServers(); });
  std::size_t Index = Members.size();
  P->Control->attach(*P->PeerProxies, Id, Domain, dialerOf(*P),
                     Index < MilliCores.size() ? MilliCores[Index] : 0);
  P->Control->start();
  Members.push_back(std::move(P));
}

ServerStatus Fleet::status(const UpstreamId &Id) const {
  ServerStatus Status;
  Status.Reachable = Reachable.count(Id) != 0;
  auto Former = FormerPrimaries.find(Id);
  bool Leads = Id == Primary || Former != FormerPrimaries.end();
  Status.ServerRole = Leads ? Role::Primary : Role::Replica;
  Status.Term =
      Former != FormerPrimaries.end() ? Former->second : 1 + Promotions.size();
  Status.Received = {1, 5};
  Status.SentAt = Time.Now;
  return Status;
}

bool Fleet::connected(const FakeProxy &From, const std::string &To) {
  FakeProxy *Other = find(To);
  if (Other == nullptr || WithoutDatagrams.count(From.Id) != 0 ||
      WithoutDatagrams.count(To) != 0 ||
      Partition.count(From.Id) != Partition.count(To))
    return false;
  return Other->Domain == From.Domain ||
         PartitionedDomains.count(From.Domain) +
                 PartitionedDomains.count(Other->Domain) ==
             0;
}

FakeProxy *Fleet::find(const std::string &Id) {
  for (auto &P : Members)
    if (P->Id == Id)
      return P.get();
  return nullptr;
}

PeerDialer Fleet::dialerOf(FakeProxy &From) {
  return [this, &From](const std::string &Address, Duration Timeout,
                       std::function<void(std::shared_ptr<PeerStream>)> Done) {
    FakeProxy *To = find(Address);
    if (To == nullptr || To->Stopped || !connected(From, Address)) {
      Time.after(Timeout, [Done] { Done(nullptr); });
      return;
    }
    auto LocalEnd = std::make_shared<FakeStream>(*this, From.Id, Address);
    auto RemoteEnd = std::make_shared<FakeStream>(*this, Address, From.Id);
    LocalEnd->Other = RemoteEnd;
    RemoteEnd->Other = LocalEnd;
    Time.after(1ms, [To, LocalEnd, RemoteEnd, Done] {
      To->Forwarder->accept(RemoteEnd);
      Done(LocalEnd);
    });
  };
}

void Fleet::partitionDomain(const std::string &Domain) {
  PartitionedDomains.insert(Domain);
  for (auto &P : Members)
    if (P->Domain == Domain)
      Keys.PartitionedProxies.insert(P->Id);
}

void Fleet::healDomain(const std::string &Domain) {
  PartitionedDomains.erase(Domain);
  for (auto &P : Members)
    if (P->Domain == Domain)
      Keys.PartitionedProxies.erase(P->Id);
}

void Fleet::advance(Duration D) {
  Instant Until = Time.Now + D;
  while (Time.Now < Until) {
    Time.Now += Step;
    Keys.expireLeases(Time.Now);
    Time.runDue();
    for (auto &P : Members)
      if (!P->Stopped) {
        P->Control->tick();
        P->SessionEngine->tick();
      }
  }
}

bool Fleet::hasLease(std::size_t I) {
  auto G = proxy(I).SessionEngine->group("s");
  return G && G->hasLease();
}

std::size_t Fleet::leaseCount() {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < Members.size(); ++I)
    Count += hasLease(I) ? 1 : 0;
  return Count;
}

std::size_t Fleet::lockHolder() {
  std::size_t I = 0;
  while (!proxy(I).Control->holdsPromotionLock())
    ++I;
  return I;
}

std::size_t Fleet::firstNonPoller() {
  std::size_t I = 0;
  while (proxy(I).PeerProxies->isPoller())
    ++I;
  return I;
}

Duration Fleet::timeToPromotion(Duration Max, std::size_t Earlier) {
  Instant Start = Time.Now;
  while (Promotions.size() <= Earlier && Time.Now - Start < Max)
    advance(Step);
  return Time.Now - Start;
}

PrimaryRecord Fleet::record() {
  auto It = Keys.Items.find(groupKey("s"));
  if (It == Keys.Items.end())
    return {};
  return decodeGroup(It->second).value();
}

} // namespace eelgrassloom::test
