/// \file
/// The session engine: sessions in front, groups of servers behind, and the
/// rules that connect them.

#ifndef EELGRASSLOOM_ENGINE_ENGINE_H
#define EELGRASSLOOM_ENGINE_ENGINE_H

#include "engine/forward.h"
#include "engine/session.h"

namespace eelgrassloom {

class Engine {
public:
  /// \p Hooks, \p Events and \p Counters outlive the engine.
  static std::unique_ptr<Engine> create(std::string FailureDomain,
                                        const RuntimeHooks &Hooks, Dialer Dial,
                                        EventWriter &Events, Metrics &Counters);

  /// Applies rules of a higher version. False: these are not newer.
  bool applyConfig(RoutingConfig Next);
  /// All registered servers, and the number of proxies that share them.
  void setServers(const std::vector<ServerEntry> &Servers,
                  std::size_t NextProxyCount);

  /// Statements of services that need owners go through \p NewForwarder, which
  /// outlives the engine's use.
  void setForwarder(StatementForwarder &NewForwarder);
  /// All registered proxies, with this one.
  void setPeers(const std::vector<PeerInfo> &Registered);

  const RoutingConfig &config() const { return Config; }
  /// Null if no route or server names the service.
  std::shared_ptr<Group> group(std::string_view Service) const;
  const std::map<std::string, std::shared_ptr<Group>, std::less<>> &
  groups() const {
    return Groups;
  }

  /// Null if there is no route for the database.
  std::shared_ptr<Session> open(std::string Database, ReplySink Reply);
  /// Logs that there is no route; \p Statement is empty for a new session.
  void logNoRoute(std::string_view Database, std::string_view Statement);
  void removeSession(Session &S);
  std::size_t sessionCount() const { return Sessions.size(); }

  /// Serves statements: the rules and a server are known.
  bool ready() const;
  /// Ends open transactions because the process stops.
  void endTransactions(std::string_view Reason);

  const RuntimeHooks &runtime() const { return Hooks; }
  EventWriter &events() { return Events; }
  Metrics &counters() { return Counters; }

  /// Runs timers; called every TickInterval.
  void tick();

private:
  Engine(std::string FailureDomain, const RuntimeHooks &Hooks, Dialer Dial,
         EventWriter &Events, Metrics &Counters)
      : FailureDomain(std::move(FailureDomain)), Hooks(Hooks),
        Dial(std::move(Dial)), Events(Events), Counters(Counters) {}

  void refreshGroups();

  std::string FailureDomain;
  const RuntimeHooks &Hooks;
  Dialer Dial;
  EventWriter &Events;
  Metrics &Counters;
  RoutingConfig Config;
  Instant ConfigAppliedAt;
  std::vector<ServerEntry> Servers;
  std::size_t ProxyCount = 1;
  /// Failure domains with a registered proxy.
  std::size_t FailureDomainCount = 1;
  StatementForwarder *Forwarder = nullptr;
  std::map<std::string, std::shared_ptr<Group>, std::less<>> Groups;
  std::map<SessionId, std::shared_ptr<Session>> Sessions;
  SessionId NextSession = 1;
  Instant NextMaintenance;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_ENGINE_H
