#include "controlfakes.h"
#include "proxy/operators.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::testing;

namespace {

struct OperatorFixture : ControlFixture {
  OperatorContext Operators;

  OperatorFixture() {
    Operators = {Context.Options, Time,       Events,          Snapshots,
                 Context.Peers,   Controller, &fakePlatform(), Platform};
    storeConfiguration(1);
  }

  /// Plans a new staleness bound of the class "orders" and returns the plan's
  /// id.
  std::string plan(std::uint32_t StalenessMillis) {
    operators::v1::Intent I;
    auto *C = I.add_classes();
    C->set_name("orders");
    C->set_staleness_bound_ms(StalenessMillis);
    return planIntent(Operators, I).plan_id();
  }
  std::uint64_t storedVersion() {
    config::v1::Configuration C;
    C.ParseFromString(Platform->Entries["config"].Value);
    return C.version();
  }
};

} // namespace

// Guards against a plan that changes the configuration before it is confirmed.
TEST_CASE("a plan changes nothing until it is confirmed") {
  OperatorFixture F;
  std::string Plan = F.plan(50);
  REQUIRE(!Plan.empty());
  CHECK(F.storedVersion() == 1);
  auto A = confirmPlan(F.Operators, Plan);
  CHECK(A.outcome() == operators::v1::CONFIRM_OUTCOME_ACCEPTED);
  CHECK(F.storedVersion() == 2);
}

// Guards against two operators who are both told that their plan was accepted.
TEST_CASE("of two conflicting plans one is accepted and one is refused with "
          "the changes made since") {
  OperatorFixture F;
  std::string First = F.plan(50);
  std::string Second = F.plan(70);
  F.Platform->BeforeSwap = [&] { confirmPlan(F.Operators, First); };
  auto A = confirmPlan(F.Operators, Second);
  CHECK(A.outcome() == operators::v1::CONFIRM_OUTCOME_CONFLICT);
  REQUIRE(A.since_size() == 1);
  CHECK(A.since(0).place().find("orders") != std::string::npos);
  CHECK(F.storedVersion() == 2);
}

// Guards against reporting a failure or a conflict when the configuration was
// written and only the response was lost.
TEST_CASE("a confirmation whose response was lost is read back") {
  OperatorFixture F;
  std::string Plan = F.plan(50);
  F.Platform->LoseSwapResponses = true;
  auto A = confirmPlan(F.Operators, Plan);
  CHECK(A.outcome() == operators::v1::CONFIRM_OUTCOME_ACCEPTED);
  CHECK(F.storedVersion() == 2);
}

// Guards against a second configuration version when an operator repeats a
// command.
TEST_CASE("confirming an accepted plan again changes nothing") {
  OperatorFixture F;
  std::string Plan = F.plan(50);
  confirmPlan(F.Operators, Plan);
  auto A = confirmPlan(F.Operators, Plan);
  CHECK(A.outcome() == operators::v1::CONFIRM_OUTCOME_ACCEPTED);
  CHECK(F.storedVersion() == 2);
}

// Guards against answers during a platform outage that don't tell whether the
// plan exists or was confirmed.
TEST_CASE("without the platform no plan is made or confirmed") {
  OperatorFixture F;
  std::string Plan = F.plan(50);
  F.Platform->Down = true;
  CHECK(F.plan(60).empty());
  CHECK(confirmPlan(F.Operators, Plan).outcome() ==
        operators::v1::CONFIRM_OUTCOME_UNKNOWN);
  F.Platform->Down = false;
  CHECK(confirmPlan(F.Operators, "none").outcome() ==
        operators::v1::CONFIRM_OUTCOME_NO_SUCH_PLAN);
}

// Guards against events of this proxy that the merge loses or that don't match
// the request's filter.
TEST_CASE("the local timeline is filtered") {
  OperatorFixture F;
  F.Events->record(events::RequestUnknown, {"db", "", "r1", "s1", ""}, "x");
  F.Events->record(events::RequestUnknown, {"db", "", "r2", "s1", ""}, "x");
  operators::v1::TimelineRequest R;
  R.set_request_id("r2");
  R.set_local(true);
  auto A = collectTimeline(F.Operators, R);
  REQUIRE(A.events_size() == 1);
  CHECK(A.events(0).request_id() == "r2");
  CHECK(A.clocks_size() == 1);
}
