/// \file
/// Stand-ins of the platform for the fault soak: the database servers of one
/// service and the databases that are probed. All of them run in the soak's
/// process and share one oracle; the proxies are real processes.

#ifndef EELGRASSLOOM_SOAK_STANDINS_H
#define EELGRASSLOOM_SOAK_STANDINS_H

#include "keyvaluestore.h"
#include "oracle.h"

namespace eelgrassloom::soak {

inline constexpr const char *ServiceName = "svc";

/// Fault of the network in front of a database server.
enum class NetworkMode : std::uint8_t {
  Normal,
  /// Requests arrive, replies are dropped.
  DropReplies,
  /// Requests and replies are dropped.
  DropAll,
};

class Connection;

/// A database server.
class Server : public std::enable_shared_from_this<Server> {
public:
  Server(io_context &Loop, Oracle &TestOracle, std::string Id);

  void crash();
  void start();
  void resetConnections();
  Position position() const { return {Term, Log.size()}; }
  /// The server's entry in the store, as JSON.
  std::string entry() const;

  io_context &Loop;
  Oracle &TestOracle;
  const std::string Id;
  std::vector<Commit> Log;
  /// Ids of the commits in the log.
  std::unordered_set<CommitId> CommitIds;
  std::uint64_t Term = 1;
  bool IsPrimary = false;
  bool Up = false;
  bool Draining = false;
  NetworkMode Mode = NetworkMode::Normal;
  /// Sends some answers twice, the second time late.
  bool RepeatsAnswers = false;
  /// Number of requests that it can run at the same time, as its entry states.
  unsigned Slots = 4;
  /// Time that a request takes.
  Duration StatementTime = std::chrono::milliseconds(4);
  /// Age at which commits of the primary reach this replica.
  Duration Lag = std::chrono::milliseconds(20);
  /// When a former primary notices that a newer one was promoted and becomes a
  /// replica.
  Instant DemoteAt = Instant::max();
  std::uint16_t Port = 0;
  std::set<std::shared_ptr<Connection>> OpenConnections;

private:
  void accept();
  std::unique_ptr<tcp::acceptor> Acceptor;
};
using ServerRef = std::shared_ptr<Server>;

/// The three servers of the service, their replication and their promotion.
class ServerGroup {
public:
  ServerGroup(io_context &Loop, Oracle &TestOracle);

  /// Promotes the server after a delay; false if it is unknown or down.
  bool promote(const std::string &Id);
  /// Copies due commits to the replicas and demotes former primaries. Called
  /// periodically.
  void replicate();
  ServerRef find(const std::string &Id) const;

  std::vector<ServerRef> Members;

private:
  ServerRef primary() const;
  void follow(Server &Replica, const Server &Primary);
  io_context &Loop;
  Oracle &TestOracle;
};

/// A database that one version of the configuration adds and a later one
/// removes.
struct ProbeRoute {
  std::string Database;
  Instant AddedAt;
  /// Instant::max() until the database is removed.
  Instant RemovedAt = Instant::max();
};

/// The databases that changes of the configuration add and remove. Probes check
/// that proxies apply these changes in time.
class ProbeRoutes {
public:
  /// Adds a database, and removes the oldest one if there are then too many.
  void add(Instant At);
  /// Databases in the newest version of the configuration.
  std::vector<std::string> current() const;
  bool exists(const std::string &Database) const;
  /// Picks one of the latest databases, and whether a proxy that has applied
  /// all changes up to \p At must know it. None if either answer would be
  /// right.
  std::optional<std::pair<std::string, bool>> pick(Instant At,
                                                   std::mt19937_64 &Random);

private:
  std::vector<ProbeRoute> All;
};

/// A proxy's answer to the start of a session: it knows the database or not, or
/// there was another answer or none.
enum class StartResult : std::uint8_t { Known, Unknown, Other };
/// Starts a session for the database at the proxy with this port.
void probeDatabase(io_context &Loop, std::uint16_t Port,
                   const std::string &Database,
                   std::function<void(StartResult)> Done);

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_STANDINS_H
