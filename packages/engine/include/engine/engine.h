/// \file
/// The session engine: the sessions of callers, the groups of servers that run
/// their statements, and the configuration that routes databases to groups.

#ifndef EELGRASSLOOM_ENGINE_ENGINE_H
#define EELGRASSLOOM_ENGINE_ENGINE_H

#include "engine/forward.h"
#include "engine/limiter.h"
#include "engine/session.h"
#include "kernel/shutdown.h"

namespace eelgrassloom {

/// A caller whose key was checked against an earlier configuration, or by
/// another proxy.
struct CheckedCaller {
  /// Customer that the key has identified; empty if no key was needed.
  std::string_view Customer;
  std::uint64_t KeyHash = 0;
  std::string_view Service;
  /// Version of the configuration against which the key was checked.
  std::uint64_t CheckedBy = 0;
};

/// Routes the statements of sessions to the groups of servers that run them.
/// Sessions and the forwarder refer to it.
class Engine {
public:
  /// \p Hooks, \p Events and \p Counters outlive the engine.
  static std::unique_ptr<Engine> create(std::string FailureDomain,
                                        const RuntimeHooks &Hooks, Dialer Dial,
                                        EventWriter &Events, Metrics &Counters);

  /// Applies a configuration of a higher version. Returns false, and logs it,
  /// if the version is not higher.
  bool applyConfig(RoutingConfig Next);
  /// Replaces the registered servers and the number of proxies that share them.
  void setServers(const std::vector<ServerEntry> &Servers,
                  std::size_t NextProxyCount);

  /// Statements of services that need owners go through \p NewForwarder, which
  /// outlives the engine's use.
  void setForwarder(StatementForwarder &NewForwarder);
  /// All registered proxies, including this one.
  void setPeers(const std::vector<PeerInfo> &Registered);

  /// Limits the operations of customers. Without this call they are not
  /// limited.
  void setLimiter(OperationLimiter Next) { Limiter = std::move(Next); }
  const OperationLimiter &limiter() const { return Limiter; }

  /// Infers the condition of servers from their answers from now on: degraded
  /// servers get trials only, and servers that have just started are paced.
  void enablePace();

  const RoutingConfig &config() const { return Config; }
  /// Null if no configuration has named the service.
  std::shared_ptr<Group> group(std::string_view Service) const;
  const std::map<std::string, std::shared_ptr<Group>, std::less<>> &
  groups() const {
    return Groups;
  }

  /// Opens a session if there is a route for the database and the key of the
  /// caller may use it.
  SessionOpening open(SessionRequest Request, ReplySink Reply);
  /// Logs that there is no route for a database. \p Statement is the id of the
  /// refused statement, empty for a new session.
  void logNoRoute(std::string_view Database, std::string_view Statement);
  /// True if the text contains a key of a customer. A caller may have sent its
  /// key in place of the database.
  bool containsKey(std::string_view Text) const;
  /// Logs that a key may not use a database. \p Customer is the one that the
  /// key has identified before, empty if there is none.
  void logNotAuthorized(std::string_view Database, std::string_view Statement,
                        std::string_view Customer);
  /// Called by a session that has been closed.
  void removeSession(Session &S);
  std::size_t sessionCount() const { return Sessions.size(); }

  /// True if statements can be served: the configuration and at least one
  /// server are known.
  bool ready() const;
  /// Applies a phase of an orderly stop to the sessions; called in each tick
  /// after the request to stop.
  void applyStop(StopPhase Phase);
  StopPhase stopPhase() const { return Stop; }

  const RuntimeHooks &runtime() const { return Hooks; }
  EventWriter &events() { return Events; }
  Metrics &counters() { return Counters; }

  /// Updates the metrics of the connections to servers.
  void updateConnectionMetrics();

  /// Handles timeouts, connections and idle transactions; called every
  /// TickInterval.
  void tick();

  /// Why statements of the caller may not run any more, according to the
  /// configuration in force; empty if they may, or if this configuration is not
  /// newer than the one by which the caller was checked.
  std::optional<ReplyCode> keyRefusal(const CheckedCaller &Caller) const;

private:
  Engine(std::string FailureDomain, const RuntimeHooks &Hooks, Dialer Dial,
         EventWriter &Events, Metrics &Counters)
      : FailureDomain(std::move(FailureDomain)), Hooks(Hooks),
        Dial(std::move(Dial)), Events(Events), Counters(Counters) {}

  /// Ends transactions that rest while statements of other customers wait for
  /// their connections.
  void endRestingTransactions();
  /// True if callers without a key may use the service.
  bool hasPublicRoute(std::string_view Service) const;
  /// Creates the groups of new services and passes servers to all groups.
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
  OperationLimiter Limiter;
  bool PaceEnabled = false;
  std::map<std::string, std::shared_ptr<Group>, std::less<>> Groups;
  std::map<SessionId, std::shared_ptr<Session>> Sessions;
  SessionId NextSession = 1;
  Instant NextMaintenance;
  StopPhase Stop = StopPhase::Serving;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_ENGINE_H
