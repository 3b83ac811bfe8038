// The fleet of proxies on a simulated clock; the fake store has its own file.

#include "fakestore.h"
#include <doctest/doctest.h>

namespace eelgrassloom::test {

using namespace std::chrono_literals;

namespace {

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
  Dialer Dial = [this, Id](const DialRequest &Request,
                           std::function<void(DialResult)> Done) {
    const ServerEntry &E = Request.Server;
    if (Reachable.count(E.Id) == 0 || Blocked[Id].count(E.Id) != 0)
      Time.after(Request.Timeout, [Done] {
        Done({DialOutcome::TimedOut, {}, {}});
      });
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
    E.StartedAt = 1;
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
