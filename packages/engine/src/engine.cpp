#include "engine/engine.h"
#include <algorithm>
#include <limits>

namespace eelgrassloom {
namespace detail {

constexpr Duration MaintenanceInterval = std::chrono::milliseconds(100);

} // namespace detail

std::unique_ptr<Engine> Engine::create(std::string FailureDomain,
                                       const Runtime &Host, Dialer Dial,
                                       EventWriter &Events, Metrics &Counters) {
  return std::unique_ptr<Engine>(new Engine(std::move(FailureDomain), Host,
                                            std::move(Dial), Events, Counters));
}

bool Engine::setRules(RoutingRules Next) {
  if (Next.Version <= Rules.Version) {
    Events.write(EngineEvent::ConfigurationRejected,
                 {{"version", Next.Version},
                  {"in_force", Rules.Version},
                  {"findings", "the version is not newer"}});
    return false;
  }
  Rules = std::move(Next);
  RulesAppliedAt = Host.Now();
  Events.write(
      EngineEvent::ConfigurationApplied,
      {{"version", Rules.Version},
       {"routes", static_cast<std::uint64_t>(Rules.Routes.size())},
       {"services", static_cast<std::uint64_t>(Rules.Services.size())}});
  refreshGroups();
  return true;
}

void Engine::setServers(const std::vector<ServerEntry> &Next,
                        std::size_t ProxyCount) {
  if (Next == Servers && ProxyCount == Proxies)
    return;
  Servers = Next;
  Proxies = ProxyCount;
  refreshGroups();
}

void Engine::attach(Forwarding &Sender) { Owners = &Sender; }

void Engine::setPeers(const std::vector<PeerInfo> &Registered) {
  std::set<std::string_view> Names;
  for (const PeerInfo &Peer : Registered)
    Names.insert(Peer.FailureDomain);
  Domains = std::max<std::size_t>(1, Names.size());
  if (Owners != nullptr)
    Owners->setPeers(Registered);
}

void Engine::refreshGroups() {
  for (const auto &[Name, Rule] : Rules.Services) {
    auto &Entry = Groups[Name];
    if (!Entry)
      Entry = Group::create(Name, FailureDomain, Host, Dial, Events, Counters);
    std::vector<ServerEntry> Members;
    unsigned Slots = std::numeric_limits<unsigned>::max();
    for (const ServerEntry &Server : Servers)
      if (Server.Service == Name) {
        Members.push_back(Server);
        Slots = std::min(Slots, Server.Slots);
      }
    Entry->setOwners(Owners, ownersNeeded(Slots, Rule.ConnectionCap, Proxies));
    Entry->setServers(Members, Rule.ConnectionCap, Domains, Proxies);
  }
}

std::shared_ptr<Group> Engine::group(std::string_view Service) const {
  auto It = Groups.find(Service);
  return It == Groups.end() ? nullptr : It->second;
}

std::shared_ptr<Session> Engine::open(std::string Database, ReplySink Reply) {
  if (Rules.Routes.find(Database) == Rules.Routes.end()) {
    noteNoRoute(Database, {});
    return nullptr;
  }
  auto S = Session::create(*this, NextSession++, std::move(Database),
                           std::move(Reply));
  Sessions[S->id()] = S;
  Counters.sessions(Sessions.size());
  return S;
}

void Engine::noteNoRoute(std::string_view Database,
                         std::string_view Statement) {
  Events.write(EngineEvent::DatabaseRefused,
               {{"id", Statement},
                {"database", Database},
                {"version", Rules.Version},
                {"in_force_ms", Host.Now() - RulesAppliedAt}});
}

void Engine::closed(Session &S) {
  Sessions.erase(S.id());
  Counters.sessions(Sessions.size());
}

bool Engine::ready() const { return Rules.Version != 0 && !Servers.empty(); }

void Engine::endTransactions(std::string_view Reason) {
  for (const auto &Entry : Sessions)
    Entry.second->endTransaction(Reason);
}

void Engine::tick() {
  for (const auto &Entry : Groups)
    if (!Entry.second->idle())
      Entry.second->tick();
  if (Owners != nullptr)
    Owners->tick();
  Instant Now = Host.Now();
  if (Now < NextMaintenance)
    return;
  NextMaintenance = Now + detail::MaintenanceInterval;
  for (const auto &Entry : Groups)
    Entry.second->maintain();
  for (const auto &Entry : Sessions)
    if (Entry.second->inTransaction() &&
        Now - Entry.second->idleSince() >= Rules.TransactionIdle)
      Entry.second->endIdleTransaction();
}

} // namespace eelgrassloom
