#include "client.h"
#include "scenario.h"
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <grpcpp/grpcpp.h>
#include <thread>

using namespace eelgrassloom;
using namespace eelgrassloom::fleet;
using namespace std::chrono_literals;

namespace {

/// An accepted configuration must be in force on all proxies within this time.
constexpr auto PropagationTarget = 3s;
/// A leaving upstream must receive no new statements after this time.
constexpr auto LeavingTarget = 5s;

std::unique_ptr<operators::v1::Operator::Stub> operatorStub(Fleet &F,
                                                            const char *Proxy) {
  return operators::v1::Operator::NewStub(makeChannel(F.proxyAddress(Proxy)));
}

operators::v1::PlanAnswer plan(Fleet &F, const char *Proxy,
                               const operators::v1::Intent &Intent) {
  grpc::ClientContext Context;
  operators::v1::PlanAnswer Answer;
  grpc::Status S = operatorStub(F, Proxy)->Plan(&Context, Intent, &Answer);
  CHECK_MESSAGE(S.ok(), S.error_message());
  return Answer;
}

operators::v1::ConfirmAnswer confirm(Fleet &F, const char *Proxy,
                                     const std::string &PlanId) {
  grpc::ClientContext Context;
  operators::v1::ConfirmRequest Request;
  Request.set_plan_id(PlanId);
  operators::v1::ConfirmAnswer Answer;
  grpc::Status S = operatorStub(F, Proxy)->Confirm(&Context, Request, &Answer);
  CHECK_MESSAGE(S.ok(), S.error_message());
  return Answer;
}

operators::v1::Intent stalenessIntent(unsigned Millis) {
  operators::v1::Intent I;
  auto *Class = I.add_classes();
  Class->set_name("background");
  Class->set_priority(types::v1::PRIORITY_BACKGROUND);
  Class->set_staleness_bound_ms(Millis);
  Class->set_durability(config::v1::DURABILITY_TERM_CHECK);
  return I;
}

bool allAtVersion(Fleet &F, std::uint64_t Version) {
  for (const auto &P : F.topology().Proxies)
    if (P.Start && F.proxyStatus(P.Id).configuration_version() < Version)
      return false;
  return true;
}

} // namespace

// Guards against two conflicting plans that are both confirmed as accepted, and
// against an accepted configuration that does not reach all proxies.
TEST_CASE("one of two conflicting plans wins and reaches all proxies") {
  Fleet F(scenarioTopology());
  REQUIRE(F.awaitServing(10s));
  auto First = plan(F, "p1", stalenessIntent(4000));
  auto Second = plan(F, "p2", stalenessIntent(3000));
  REQUIRE(First.findings().empty());
  REQUIRE(Second.findings().empty());
  auto Other = std::async(std::launch::async,
                          [&] { return confirm(F, "p2", Second.plan_id()); });
  auto A = confirm(F, "p1", First.plan_id());
  auto B = Other.get();
  const bool FirstWon = A.outcome() == operators::v1::CONFIRM_OUTCOME_ACCEPTED;
  const auto &Loser = FirstWon ? B : A;
  CHECK((FirstWon ? A : B).outcome() ==
        operators::v1::CONFIRM_OUTCOME_ACCEPTED);
  CHECK(Loser.outcome() == operators::v1::CONFIRM_OUTCOME_CONFLICT);
  CHECK(Loser.since_size() > 0);
  CHECK(eventually(PropagationTarget, [&] { return allAtVersion(F, 2); }));
}

// Guards against a proxy that needs the platform to get the accepted
// configuration although its peers have it.
TEST_CASE("a proxy starting in a platform outage is configured by peers") {
  Topology T = scenarioTopology();
  T.Proxies.back().Start = false;
  Fleet F(T);
  REQUIRE(F.awaitServing(10s));
  auto P = plan(F, "p1", stalenessIntent(4000));
  CHECK(confirm(F, "p1", P.plan_id()).outcome() ==
        operators::v1::CONFIRM_OUTCOME_ACCEPTED);
  REQUIRE(eventually(PropagationTarget, [&] { return allAtVersion(F, 2); }));
  standin::v1::PlatformFaults Down;
  Down.set_outage(standin::v1::OUTAGE_SILENT);
  F.setFaults(Down);
  const std::string Late = T.Proxies.back().Id;
  F.startProxy(Late);
  CHECK(eventually(
      10s, [&] { return F.proxyStatus(Late).configuration_version() == 2; }));
  CallerSession Session(F.proxyAddress(Late));
  CHECK(eventually(5s, [&] {
    return Session.run(request("db1", "urgent", put("k", "v"))).outcome() ==
           caller::v1::OUTCOME_OK;
  }));
}

// Guards against new statements on an upstream that an operator takes out of
// service, and against requests that still fail 5 s after the operator has
// confirmed the plan, when another upstream must be the primary.
TEST_CASE("a leaving primary is demoted and receives no new statements") {
  Fleet F(scenarioTopology());
  REQUIRE(F.awaitServing(10s));
  std::string Leaving = currentPrimary(F);
  operators::v1::Intent I;
  I.add_upstreams_leaving(Leaving);
  auto P = plan(F, "p1", I);
  REQUIRE(confirm(F, "p1", P.plan_id()).outcome() ==
          operators::v1::CONFIRM_OUTCOME_ACCEPTED);
  std::this_thread::sleep_for(LeavingTarget);
  CHECK(currentPrimary(F) != Leaving);
  auto Before = F.configure(Leaving).statements();
  CallerSession Session(F.proxyAddress("p3"));
  unsigned Ok = 0;
  for (int N = 0; N < 100; ++N) {
    Ok += Session.run(request("db1", "urgent", put("k", "v"))).outcome() ==
          caller::v1::OUTCOME_OK;
    Ok += Session.run(request("db1", "background", get("k"))).outcome() ==
          caller::v1::OUTCOME_OK;
  }
  CHECK(Ok == 200);
  CHECK(F.configure(Leaving).statements() == Before);
}

// Guards against a timeline that omits a refusal or does not name unreachable
// proxies.
TEST_CASE("the timeline explains a refusal and names unreachable proxies") {
  Fleet F(scenarioTopology());
  REQUIRE(F.awaitServing(10s));
  CallerSession Session(F.proxyAddress("p1"));
  auto Bad = request("no-such-database", "urgent", put("k", "v"));
  CHECK(Session.run(Bad).outcome() == caller::v1::OUTCOME_REFUSED_NOT_RUN);
  F.kill("p8");
  grpc::ClientContext Context;
  operators::v1::TimelineRequest Request;
  Request.set_request_id(Bad.request_id());
  operators::v1::TimelineAnswer Answer;
  REQUIRE(operatorStub(F, "p2")->Timeline(&Context, Request, &Answer).ok());
  REQUIRE(Answer.events_size() > 0);
  CHECK(Answer.events(0).proxy() == "p1");
  REQUIRE(Answer.unreachable_size() == 1);
  CHECK(Answer.unreachable(0) == "p8");
}

// Guards against requests without an answer: the end of the drain timeout cut
// the calls that were in progress (incident of 2026-12-06).
TEST_CASE("a request in progress at the end of the drain is answered") {
  Topology T = scenarioTopology();
  T.ProxyFlags.emplace_back("--drain-timeout-ms=300");
  T.ServiceUs = 8'000'000;
  Fleet F(T);
  REQUIRE(F.awaitServing(10s));
  auto Request = request("db1", "urgent", put("k", "v"));
  Request.set_deadline_ms(9000);
  auto Answer = std::async(std::launch::async, [&] {
    return CallerSession(F.proxyAddress("p1")).run(Request);
  });
  std::this_thread::sleep_for(1s);
  F.signal("p1", SIGTERM);
  CHECK(F.wait("p1", 6s) == 0);
  caller::v1::RunAnswer A = Answer.get();
  CHECK(A.outcome() == caller::v1::OUTCOME_UNKNOWN);
  CHECK(A.reason() == caller::v1::REASON_DRAINING);
  CHECK(A.request_id() == Request.request_id());
}
