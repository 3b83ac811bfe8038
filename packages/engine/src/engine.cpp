#include "engine/engine.h"
#include <algorithm>
#include <limits>

namespace eelgrassloom {
namespace detail {

/// Interval of Group::maintain() and of the check for idle transactions.
constexpr Duration MaintenanceInterval = std::chrono::milliseconds(100);

} // namespace detail

std::unique_ptr<Engine> Engine::create(std::string FailureDomain,
                                       const RuntimeHooks &Hooks, Dialer Dial,
                                       EventWriter &Events, Metrics &Counters) {
  return std::unique_ptr<Engine>(new Engine(std::move(FailureDomain), Hooks,
                                            std::move(Dial), Events, Counters));
}

bool Engine::applyConfig(RoutingConfig Next) {
  if (Next.Version <= Config.Version) {
    Events.write(
        EngineEvent::ConfigurationRejected,
        {{"version", Next.Version},
         {"in_force", Config.Version},
         {"findings", "the version is not newer than the one in force"}});
    return false;
  }
  Config = std::move(Next);
  ConfigAppliedAt = Hooks.Now();
  Events.write(
      EngineEvent::ConfigurationApplied,
      {{"version", Config.Version},
       {"routes", static_cast<std::uint64_t>(Config.Routes.size())},
       {"services", static_cast<std::uint64_t>(Config.Services.size())}});
  refreshGroups();
  for (const auto &Entry : Groups)
    Entry.second->refuseRemovedKeys();
  return true;
}

void Engine::setServers(const std::vector<ServerEntry> &Next,
                        std::size_t NextProxyCount) {
  if (Next == Servers && NextProxyCount == ProxyCount)
    return;
  Servers = Next;
  ProxyCount = NextProxyCount;
  refreshGroups();
}

void Engine::setForwarder(StatementForwarder &NewForwarder) {
  Forwarder = &NewForwarder;
}

void Engine::setPeers(const std::vector<PeerInfo> &Registered) {
  std::set<std::string_view> FailureDomains;
  for (const PeerInfo &Peer : Registered)
    FailureDomains.insert(Peer.FailureDomain);
  FailureDomainCount = std::max<std::size_t>(1, FailureDomains.size());
  if (Forwarder != nullptr)
    Forwarder->setPeers(Registered);
}

void Engine::enablePace() {
  PaceEnabled = true;
  for (const auto &Entry : Groups)
    Entry.second->enablePace();
}

void Engine::refreshGroups() {
  for (const auto &[Name, Service] : Config.Services) {
    auto &Entry = Groups[Name];
    if (!Entry) {
      Entry = Group::create(Name, FailureDomain, Hooks, Dial, Events, Counters);
      if (PaceEnabled)
        Entry->enablePace();
    }
    std::vector<ServerEntry> Members;
    unsigned Slots = std::numeric_limits<unsigned>::max();
    for (const ServerEntry &Server : Servers)
      if (Server.Service == Name) {
        Members.push_back(Server);
        Slots = std::min(Slots, Server.Slots);
      }
    Entry->setForwarder(Forwarder,
                        ownersNeeded(Slots, Service.ConnectionCap, ProxyCount));
    Entry->setKeyCheck([this](const Job &J) {
      return keyRefusal(
          {J.Customer, J.KeyHash, J.Route.Service, J.ConfigVersion});
    });
    Entry->setPerCustomer(!Config.Customers.empty());
    Entry->setServers(Members, Service.ConnectionCap, FailureDomainCount,
                      ProxyCount);
  }
}

std::shared_ptr<Group> Engine::group(std::string_view Service) const {
  auto It = Groups.find(Service);
  return It == Groups.end() ? nullptr : It->second;
}

SessionOpening Engine::open(SessionRequest Request, ReplySink Reply) {
  auto Route = Config.Routes.find(Request.Database);
  if (Route == Config.Routes.end()) {
    logNoRoute(Request.Database, {});
    return {nullptr, ReplyCode::NoDatabase};
  }
  if (!identifyCaller(Config.Customers, Route->second.Public, Request.Key)
           .Authorized) {
    logNotAuthorized(Request.Database, {}, {});
    return {nullptr, ReplyCode::NotAuthorized};
  }
  auto S = Session::create(*this, NextSession++, std::move(Request),
                           std::move(Reply));
  Sessions[S->id()] = S;
  Counters.setSessionCount(Sessions.size());
  return {std::move(S), {}};
}

bool Engine::containsKey(std::string_view Text) const {
  const auto &Keys = Config.Customers.ByKey;
  return std::any_of(Keys.begin(), Keys.end(), [&](const auto &Entry) {
    return Text.find(Entry.first) != std::string_view::npos;
  });
}

void Engine::logNoRoute(std::string_view Database, std::string_view Statement) {
  if (containsKey(Database))
    Database = {};
  Events.write(EngineEvent::DatabaseRefused,
               {{"id", Statement},
                {"database", Database},
                {"version", Config.Version},
                {"in_force_ms", Hooks.Now() - ConfigAppliedAt}});
}

void Engine::logNotAuthorized(std::string_view Database,
                              std::string_view Statement,
                              std::string_view Customer) {
  Events.write(EngineEvent::CallerNotAuthorized,
               {{"id", Statement},
                {"database", Database},
                {"customer", Customer},
                {"version", Config.Version},
                {"in_force_ms", Hooks.Now() - ConfigAppliedAt}});
}

bool Engine::hasPublicRoute(std::string_view Service) const {
  return std::any_of(Config.Routes.begin(), Config.Routes.end(),
                     [&](const auto &Entry) {
                       const RouteConfig &Route = Entry.second;
                       return Route.Public && Route.Service == Service;
                     });
}

std::optional<ReplyCode> Engine::keyRefusal(const CheckedCaller &Caller) const {
  if (Caller.CheckedBy >= Config.Version || Config.Customers.empty())
    return std::nullopt;
  if (Caller.Customer.empty() && hasPublicRoute(Caller.Service))
    return std::nullopt;
  auto It = Config.Customers.ByKeyHash.find(Caller.KeyHash);
  if (It == Config.Customers.ByKeyHash.end())
    return ReplyCode::NotAuthorized;
  // The key identifies another customer than before; the caller may try again.
  if (It->second != Caller.Customer)
    return ReplyCode::Aborted;
  return std::nullopt;
}

void Engine::removeSession(Session &S) {
  Sessions.erase(S.id());
  Counters.setSessionCount(Sessions.size());
}

bool Engine::ready() const { return Config.Version != 0 && !Servers.empty(); }

void Engine::applyStop(StopPhase Phase) {
  Stop = Phase;
  if (Phase >= StopPhase::EndingTransactions)
    for (const auto &Entry : Sessions)
      Entry.second->endTransaction(detail::StoppingReason);
  if (Phase < StopPhase::Ending)
    return;
  // The answers may close sessions.
  std::vector<std::shared_ptr<Session>> All;
  for (const auto &Entry : Sessions)
    All.push_back(Entry.second);
  for (const auto &S : All)
    S->abandonStatement();
}

void Engine::updateConnectionMetrics() {
  std::map<CustomerId, unsigned> Counts;
  std::uint64_t Evictions = 0;
  for (const auto &Entry : Groups)
    Evictions += Entry.second->countConnections(Counts);
  Counters.setConnectionCounts(Counts);
  Counters.setEvictionCount(Evictions);
  std::map<UpstreamId, ServerCondition> Conditions;
  for (const auto &Entry : Groups)
    Entry.second->addServerConditions(Conditions);
  Counters.setServerConditions(Conditions);
}

void Engine::endRestingTransactions() {
  for (const auto &[Service, G] : Groups) {
    std::vector<BlockedCustomer> Blocked = G->blockedCustomers();
    if (Blocked.empty())
      continue;
    std::vector<EndableTransaction> Endable;
    if (Forwarder != nullptr)
      Endable = Forwarder->restingTransactions(Service);
    for (const auto &Entry : Sessions)
      if (auto Resting = Entry.second->restingTransaction(Service))
        Endable.push_back({*Resting, [S = Entry.second](const CustomerId &For) {
                             S->endRestingTransaction(For);
                           }});
    std::vector<RestingTransaction> Resting;
    Resting.reserve(Endable.size());
    for (const EndableTransaction &T : Endable)
      Resting.push_back(T.Resting);
    for (const TransactionToEnd &T :
         chooseTransactionsToEnd(Resting, Blocked, Hooks.Now()))
      Endable[T.Index].End(T.For);
  }
}

void Engine::tick() {
  for (const auto &Entry : Groups)
    if (!Entry.second->idle())
      Entry.second->tick();
  if (Forwarder != nullptr)
    Forwarder->tick();
  endRestingTransactions();
  Instant Now = Hooks.Now();
  if (Now < NextMaintenance)
    return;
  NextMaintenance = Now + detail::MaintenanceInterval;
  for (const auto &Entry : Groups)
    Entry.second->maintain();
  for (const auto &Entry : Sessions)
    if (Entry.second->inTransaction() &&
        Now - Entry.second->idleSince() >= Config.TransactionIdle)
      Entry.second->endIdleTransaction();
}

} // namespace eelgrassloom
