/// \file
/// Runs concurrent sessions against a fleet while faults are injected, and
/// collects the history.

#ifndef EELGRASSLOOM_TESTS_FLEET_SCENARIO_H
#define EELGRASSLOOM_TESTS_FLEET_SCENARIO_H

#include "fleet.h"
#include "history.h"
#include <functional>
#include <random>
#include <string>

namespace eelgrassloom::fleet {

struct ScenarioOptions {
  std::uint64_t Seed = 1;
  unsigned Sessions = 12;
  std::chrono::milliseconds Run{7000};
};

/// Injects and heals faults while the sessions run.
using FaultSchedule = std::function<void(Fleet &, std::mt19937_64 &)>;

/// Eight proxies and one database over four failure domains.
Topology scenarioTopology();

/// Upstream that the proxies take for the primary.
std::string currentPrimary(Fleet &F);

/// Runs the sessions and the faults, waits until the logs of the upstreams are
/// equal, and returns the whole history.
FullHistory runScenario(Fleet &F, const ScenarioOptions &Options,
                        const FaultSchedule &Faults);

/// Acknowledged writes that returned after \p FromMicros.
std::size_t acknowledgedSince(const FullHistory &H, std::int64_t FromMicros);

std::int64_t steadyMicros();

} // namespace eelgrassloom::fleet

#endif // EELGRASSLOOM_TESTS_FLEET_SCENARIO_H
