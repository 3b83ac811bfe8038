/// \file
/// Operators' intents and the plans that answer them.

#ifndef EELGRASSLOOM_KERNEL_PLAN_H
#define EELGRASSLOOM_KERNEL_PLAN_H

#include "kernel/model.h"
#include "kernel/result.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassloom {

/// Rules to set on a workload class; absent fields stay as they are. A class
/// that does not exist yet is added if priority and durability are given.
struct ClassIntent {
  std::string Name;
  std::optional<Priority> WorkPriority;
  std::optional<Duration> StalenessBound;
  std::optional<Durability> WriteDurability;
};

struct ShareIntent {
  Priority WorkPriority = Priority::Normal;
  unsigned Percent = 0;
};

/// What operators want; all parts are applied together.
struct Intent {
  std::vector<ClassIntent> Classes;
  std::vector<UpstreamId> UpstreamsLeaving;
  std::vector<UpstreamId> UpstreamsEntering;
  /// Each replaces the database of the same name, or adds it.
  std::vector<Database> Databases;
  /// Shares of the priorities that are named; the others stay.
  std::vector<ShareIntent> Shares;
};

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

struct Plan {
  std::string Id;
  std::uint64_t BaseVersion = 0;
  /// Its version is BaseVersion + 1.
  Configuration Target;
  std::vector<Change> Changes;
};

/// Everything that is wrong with a configuration.
std::vector<Finding> validateConfiguration(const Configuration &C);

/// Differences between two configurations, without reasons, in order of place.
std::vector<Change> changesBetween(const Configuration &From,
                                   const Configuration &To);

/// The plan for an intent, or all findings together. An intent that changes
/// nothing is a finding.
Result<Plan> makePlan(const Configuration &Base, const Intent &I);

/// Hash of base version and target; the same for the same content on every
/// proxy.
std::string planId(std::uint64_t BaseVersion, const Configuration &Target);

/// What prevents a plan from being confirmed against \p Current.
struct Conflict {
  std::uint64_t PlanBase = 0;
  std::uint64_t CurrentVersion = 0;
  /// What was accepted since the base; empty if the base is not known.
  std::vector<Change> Since;
  /// Places that both changed.
  std::vector<std::string> Overlapping;
  std::string Message;
};

/// Empty if the plan can be confirmed. \p Base is the configuration the plan
/// was made for, or null if it is no longer known.
std::optional<Conflict> conflictOf(const Plan &P, const Configuration *Base,
                                   const Configuration &Current);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_PLAN_H
