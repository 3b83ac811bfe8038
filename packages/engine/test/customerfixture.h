/// \file
/// Customers for tests with the fixture of the engine.

#ifndef EELGRASSLOOM_ENGINE_TEST_CUSTOMERFIXTURE_H
#define EELGRASSLOOM_ENGINE_TEST_CUSTOMERFIXTURE_H

#include "proxypair.h"
#include <doctest/doctest.h>

namespace eelgrassloom::test {

using namespace std::chrono_literals;

inline const Statement Begin = simple(StatementKind::Begin, "BEGIN");
inline const Statement Commit = simple(StatementKind::Commit, "COMMIT");
inline const Statement Rollback = simple(StatementKind::Rollback, "ROLLBACK");

/// Applies a configuration with these customers and the routes of the fixture.
inline void setCustomers(EngineFixture &F,
                         std::vector<CustomerConfig> Customers,
                         Duration Settle = 0ms) {
  RoutingConfig Config = F.SessionEngine->config();
  ++Config.Version;
  Config.Customers = makeCustomerTable(std::move(Customers)).value();
  REQUIRE(F.SessionEngine->applyConfig(Config));
  F.advance(Settle);
  F.renewLeaseFor(60s);
}

inline void setNorthAndSouth(EngineFixture &F) {
  // After that time an owner has its whole share of the connections.
  setCustomers(F, {{"north", {"kn"}, {}}, {"south", {"ks"}, {}}}, 10s);
}

} // namespace eelgrassloom::test

#endif // EELGRASSLOOM_ENGINE_TEST_CUSTOMERFIXTURE_H
