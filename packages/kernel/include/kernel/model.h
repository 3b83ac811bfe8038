/// \file
/// The configuration and its identifiers as plain structs, independent of any
/// wire format.

#ifndef EELGRASSLOOM_KERNEL_MODEL_H
#define EELGRASSLOOM_KERNEL_MODEL_H

#include "kernel/time.h"
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassloom {

using ProxyId = std::string;
using UpstreamId = std::string;

/// Priority of work, most urgent first.
enum class Priority : std::uint8_t { Urgent, Normal, Background };
inline constexpr std::size_t PriorityCount = 3;
inline constexpr std::array<std::string_view, PriorityCount> PriorityNames = {
    "urgent", "normal", "background"};
constexpr std::size_t index(Priority P) { return static_cast<std::size_t>(P); }
constexpr std::string_view name(Priority P) { return PriorityNames[index(P)]; }
/// Empty if there is no priority of that name.
std::optional<Priority> parsePriority(std::string_view Name);

/// Condition for the acknowledgement of a write to the caller.
enum class Durability : std::uint8_t {
  /// A majority of the group's upstreams still holds the term of the write.
  TermCheck,
  /// A second upstream holds the position of the write in its term.
  Replicated,
};
inline constexpr std::array<std::string_view, 2> DurabilityNames = {
    "term-check", "replicated"};
constexpr std::string_view name(Durability D) {
  return DurabilityNames[static_cast<std::size_t>(D)];
}
/// Empty if there is no durability of that name.
std::optional<Durability> parseDurability(std::string_view Name);

/// Replication role of an upstream.
enum class Role : std::uint8_t { Unknown, Primary, Replica };
inline constexpr std::array<std::string_view, 3> RoleNames = {
    "unknown", "primary", "replica"};
constexpr std::string_view name(Role R) {
  return RoleNames[static_cast<std::size_t>(R)];
}

/// A named kind of work, with its priority and consistency requirements.
struct WorkloadClass {
  std::string Name;
  Priority WorkPriority = Priority::Normal;
  /// Maximum staleness of reads; with zero, reads go to the primary.
  Duration StalenessBound{0};
  Durability WriteDurability = Durability::TermCheck;

  bool operator==(const WorkloadClass &) const = default;
};

/// A database server.
struct Upstream {
  UpstreamId Id;
  /// IP:port.
  std::string Address;
  std::string FailureDomain;
  /// Statements that the upstream runs at the same time.
  unsigned Slots = 1;
  /// Maximum number of connections that all proxies together may open to the
  /// upstream. connectionQuota() gives the part of one owner.
  unsigned ConnectionCap = 1;
  /// The upstream is being taken out of service.
  bool Leaving = false;

  bool operator==(const Upstream &) const = default;
};

/// A database: a primary and its replicas.
struct Database {
  std::string Name;
  std::vector<Upstream> Upstreams;

  bool operator==(const Database &) const = default;
};

/// Guaranteed percentages of an upstream's service time, by priority.
using PriorityShares = std::array<unsigned, PriorityCount>;

/// An accepted configuration. Versions start at 1 and only rise.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<WorkloadClass> Classes;
  std::vector<Database> Databases;
  PriorityShares Shares = {60, 25, 15};

  bool operator==(const Configuration &) const = default;
};

/// Each returns null if there is no such entry.
const WorkloadClass *findClass(const Configuration &C, std::string_view Name);
const Database *findDatabase(const Configuration &C, std::string_view Name);
const Upstream *findUpstream(const Database &D, std::string_view Id);

/// Number of upstreams that form a majority of a database.
constexpr std::size_t majority(std::size_t Upstreams) {
  return Upstreams / 2 + 1;
}

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_MODEL_H
