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

// Guards against a plan that changes something before its confirmation.
TEST_CASE("a plan changes nothing until it is confirmed") {
  OperatorFixture W;
  std::string Plan = W.plan(50);
  REQUIRE(!Plan.empty());
  CHECK(W.storedVersion() == 1);
  auto A = confirmPlan(W.Operators, Plan);
  CHECK(A.outcome() == operators::v1::CONFIRM_OUTCOME_ACCEPTED);
  CHECK(W.storedVersion() == 2);
}

// Guards against two operators who both believe that their plan holds.
TEST_CASE("of two conflicting plans one wins and the other is told why") {
  OperatorFixture W;
  std::string First = W.plan(50);
  std::string Second = W.plan(70);
  W.Platform->BeforeSwap = [&] { confirmPlan(W.Operators, First); };
  auto A = confirmPlan(W.Operators, Second);
  CHECK(A.outcome() == operators::v1::CONFIRM_OUTCOME_CONFLICT);
  REQUIRE(A.since_size() == 1);
  CHECK(A.since(0).place().find("orders") != std::string::npos);
  CHECK(W.storedVersion() == 2);
}

// Guards against a lost response that is reported as a failure or a conflict.
TEST_CASE("a confirmation whose response was lost is read back") {
  OperatorFixture W;
  std::string Plan = W.plan(50);
  W.Platform->LoseSwapResponses = true;
  auto A = confirmPlan(W.Operators, Plan);
  CHECK(A.outcome() == operators::v1::CONFIRM_OUTCOME_ACCEPTED);
  CHECK(W.storedVersion() == 2);
}

// Guards against a second version when a command is repeated.
TEST_CASE("confirming an accepted plan again changes nothing") {
  OperatorFixture W;
  std::string Plan = W.plan(50);
  confirmPlan(W.Operators, Plan);
  auto A = confirmPlan(W.Operators, Plan);
  CHECK(A.outcome() == operators::v1::CONFIRM_OUTCOME_ACCEPTED);
  CHECK(W.storedVersion() == 2);
}

// Guards against unclear answers in an outage.
TEST_CASE("without the platform no plan is made or confirmed") {
  OperatorFixture W;
  std::string Plan = W.plan(50);
  W.Platform->Down = true;
  CHECK(W.plan(60).empty());
  CHECK(confirmPlan(W.Operators, Plan).outcome() ==
        operators::v1::CONFIRM_OUTCOME_UNKNOWN);
  W.Platform->Down = false;
  CHECK(confirmPlan(W.Operators, "none").outcome() ==
        operators::v1::CONFIRM_OUTCOME_NO_SUCH_PLAN);
}

// Guards against events of one proxy that are lost or unfiltered in the merge.
TEST_CASE("the local timeline is filtered") {
  OperatorFixture W;
  W.Events->record(events::RequestUnknown, {"db", "", "r1", "s1", ""}, "x");
  W.Events->record(events::RequestUnknown, {"db", "", "r2", "s1", ""}, "x");
  operators::v1::TimelineRequest R;
  R.set_request_id("r2");
  R.set_local(true);
  auto A = collectTimeline(W.Operators, R);
  REQUIRE(A.events_size() == 1);
  CHECK(A.events(0).request_id() == "r2");
  CHECK(A.clocks_size() == 1);
}
