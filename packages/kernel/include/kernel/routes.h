/// \file
/// Routing configuration of databases and the entries of servers in the
/// registry, independent of any wire format.

#ifndef EELGRASSLOOM_KERNEL_ROUTES_H
#define EELGRASSLOOM_KERNEL_ROUTES_H

#include "kernel/customers.h"
#include "kernel/model.h"
#include "kernel/position.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrassloom {

/// Which commits a read must observe.
enum class ReadConsistency : std::uint8_t {
  /// Every acknowledged commit.
  Latest,
  /// Commits that were acknowledged longer ago than the staleness bound, and
  /// all commits of the same session.
  Session,
  /// Commits that were acknowledged longer ago than the staleness bound.
  Bounded,
};
inline constexpr std::array<std::string_view, 3> ReadConsistencyNames = {
    "latest", "session", "bounded"};
constexpr std::string_view name(ReadConsistency C) {
  return ReadConsistencyNames[static_cast<std::size_t>(C)];
}

/// How the statements of one database are routed and run.
struct RouteConfig {
  /// Name by which callers open the database.
  std::string Database;
  /// Group of servers that holds the data.
  std::string Service;
  ReadConsistency Reads = ReadConsistency::Latest;
  Duration StalenessBound{0};
  /// Maximum time of one statement.
  Duration StatementTimeout = std::chrono::seconds(1);
  /// Latency objective of an operation.
  Duration LatencyObjective = std::chrono::seconds(1);
  Priority WorkPriority = Priority::Normal;
  /// Callers need no key, and their statements belong to no customer.
  bool Public = false;

  bool operator==(const RouteConfig &) const = default;
};

/// Settings of one group of servers.
struct ServiceConfig {
  std::string Name;
  /// Maximum number of connections that one server accepts from all callers.
  unsigned ConnectionCap = 1;
  /// Number of replicas that must have received a commit before it is
  /// acknowledged.
  unsigned SyncReplicas = 0;

  bool operator==(const ServiceConfig &) const = default;
};

/// An accepted configuration. Versions only increase.
struct RoutingConfig {
  std::uint64_t Version = 0;
  /// By database.
  std::map<std::string, RouteConfig, std::less<>> Routes;
  std::map<std::string, ServiceConfig, std::less<>> Services;
  CustomerTable Customers;
  /// A transaction that is idle for this long may be ended.
  Duration TransactionIdle = std::chrono::seconds(3);
};

/// Entry that a server maintains about itself in the registry.
struct ServerEntry {
  UpstreamId Id;
  std::string Service;
  /// IP:port.
  std::string Address;
  std::string FailureDomain;
  unsigned Slots = 1;
  /// The server finishes its work and accepts no new work.
  bool Draining = false;
  Role ReportedRole = Role::Unknown;
  /// Start of this incarnation in Unix milliseconds; 0 if unknown.
  std::int64_t StartedAt = 0;

  bool operator==(const ServerEntry &) const = default;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_ROUTES_H
