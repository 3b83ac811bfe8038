/// \file
/// Changes of the configuration: an operator states an intent, and the plan for
/// it lists the resulting changes. The operator can confirm the plan only if no
/// other configuration was accepted since its base version.

#ifndef EELGRASSLOOM_KERNEL_PLAN_H
#define EELGRASSLOOM_KERNEL_PLAN_H

#include "kernel/model.h"
#include "kernel/result.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassloom {

/// Settings of a workload class; absent fields stay unchanged. A class that
/// does not exist yet is added if priority and durability are given.
struct ClassIntent {
  std::string Name;
  std::optional<Priority> WorkPriority;
  std::optional<Duration> StalenessBound;
  std::optional<Durability> WriteDurability;
};

/// Guaranteed share of a priority.
struct ShareIntent {
  Priority WorkPriority = Priority::Normal;
  unsigned Percent = 0;
};

/// Changes that an operator requests; all parts are applied together.
struct Intent {
  std::vector<ClassIntent> Classes;
  std::vector<UpstreamId> UpstreamsLeaving;
  std::vector<UpstreamId> UpstreamsEntering;
  /// Each replaces the database of the same name, or adds it.
  std::vector<Database> Databases;
  /// Shares of the named priorities; the others stay unchanged.
  std::vector<ShareIntent> Shares;
};

/// One changed setting of the configuration.
struct Change {
  /// Path in the configuration, for example databases/orders/upstreams/o1.
  std::string Place;
  /// Empty if the place is new.
  std::string Before;
  /// Empty if the place is removed.
  std::string After;
  std::string Reason;

  bool operator==(const Change &) const = default;
};

/// The changes that turn one configuration into the next.
struct Plan {
  std::string Id;
  std::uint64_t BaseVersion = 0;
  /// Its version is BaseVersion + 1.
  Configuration Target;
  std::vector<Change> Changes;
};

/// All errors of a configuration; empty if it is valid.
std::vector<Finding> validateConfiguration(const Configuration &C);

/// Differences between two configurations, without reasons, in order of place.
std::vector<Change> changesBetween(const Configuration &From,
                                   const Configuration &To);

/// The plan for an intent, or all findings together. An intent that changes
/// nothing is reported as a finding.
Result<Plan> makePlan(const Configuration &Base, const Intent &I);

/// Hash of base version and target, as 16 hexadecimal digits. Every proxy
/// computes the same id for the same content.
std::string planId(std::uint64_t BaseVersion, const Configuration &Target);

/// Why a plan can't be confirmed.
struct Conflict {
  std::uint64_t PlanBase = 0;
  std::uint64_t CurrentVersion = 0;
  /// Changes that were accepted since the base; empty if the base is unknown.
  std::vector<Change> Since;
  /// Places that the plan and the accepted changes have in common.
  std::vector<std::string> Overlapping;
  std::string Message;
};

/// Conflict of a plan with \p Current; empty if the plan can be confirmed.
/// \p Base is the configuration that the plan was made for, or null if it is no
/// longer known.
std::optional<Conflict> conflictOf(const Plan &P, const Configuration *Base,
                                   const Configuration &Current);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_PLAN_H
