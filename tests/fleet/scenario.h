/// \file
/// Runs concurrent sessions against a fleet while faults are injected, and
/// records their history for the checkers of history.h.

#ifndef EELGRASSLOOM_TESTS_FLEET_SCENARIO_H
#define EELGRASSLOOM_TESTS_FLEET_SCENARIO_H

#include "fleet.h"
#include "history.h"
#include <functional>
#include <random>
#include <string>

namespace eelgrassloom::fleet {

/// Load of a scenario.
struct ScenarioOptions {
  std::uint64_t Seed = 1;
  unsigned Sessions = 12;
  /// How long the sessions send requests.
  std::chrono::milliseconds Run{7000};
};

/// Injects and heals faults while the sessions run.
using FaultSchedule = std::function<void(Fleet &, std::mt19937_64 &)>;

/// Eight proxies and one database over four failure domains.
Topology scenarioTopology();

/// The primary in the newest group record that the proxies report.
std::string currentPrimary(Fleet &F);

/// Runs the sessions and the faults, waits until the logs of the upstreams are
/// equal, and returns the whole history. Throws std::runtime_error if the logs
/// still differ 15 s after the run.
FullHistory runScenario(Fleet &F, const ScenarioOptions &Options,
                        const FaultSchedule &Faults);

/// Number of writes that were acknowledged at or after \p FromMicros, a time of
/// steadyMicros().
std::size_t acknowledgedSince(const FullHistory &H, std::int64_t FromMicros);

/// Microseconds on the steady clock.
std::int64_t steadyMicros();

} // namespace eelgrassloom::fleet

#endif // EELGRASSLOOM_TESTS_FLEET_SCENARIO_H
