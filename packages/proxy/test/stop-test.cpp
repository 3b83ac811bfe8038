// What callers are told when the process ends.

#include "fakes.h"
#include "proxy/datapath.h"
#include <doctest/doctest.h>
#include <utility>

using namespace eelgrassloom;
using namespace eelgrassloom::testing;
using namespace eelgrassloom::caller::v1;

// Guards against requests without an answer: the end of the drain timeout cut
// the calls that were in progress (incident of 2026-12-06).
TEST_CASE("requests in progress at the end are answered once, as unknown") {
  DataPathFixture F({{"a", "p1"}, {"b", "p2"}, {"c", "p2"}});
  F.upstream("a").Unresponsive = true;
  auto Write = F.start("p1", F.write("w1"));
  auto Forwarded = F.start("p2", F.write("w2"));
  F.advance(milliseconds(100));
  REQUIRE_FALSE(Write->has_value());
  REQUIRE_FALSE(Forwarded->has_value());
  for (const char *Proxy : {"p1", "p2"})
    F.Proxies.at(Proxy).Path->abandonRequests();
  for (const auto &Answer : {Write, Forwarded}) {
    REQUIRE(Answer->has_value());
    CHECK((*Answer)->outcome() == OUTCOME_UNKNOWN);
    CHECK((*Answer)->reason() == REASON_DRAINING);
  }
  CHECK((*Write)->request_id() == "id-w1");
  F.upstream("a").Unresponsive = false;
  F.advance(std::chrono::seconds(30)); // Their deadlines pass.
  CHECK((*Write)->reason() == REASON_DRAINING);
  CHECK((*Forwarded)->reason() == REASON_DRAINING);
  CHECK(F.Proxies.at("p2").Path->inProgress() == 0);
}

// Guards against a request that is sent after its caller was told that its
// outcome is unknown.
TEST_CASE("a request that waits for an upstream at the end is not sent later") {
  DataPathFixture F;
  UpstreamId Primary = std::exchange(F.State->Groups["db"].Primary, {});
  F.publish();
  auto Answer = F.start("p1", F.write("w1"));
  F.Proxies.at("p1").Path->abandonRequests();
  REQUIRE(Answer->has_value());
  CHECK((*Answer)->outcome() == OUTCOME_UNKNOWN);
  F.State->Groups["db"].Primary = Primary;
  F.publish();
  F.advance(std::chrono::seconds(2));
  CHECK(F.upstream("a").executed("w1") == 0);
}

// Guards against a write that is answered as unknown although its deadline
// leaves time for its answer: while the next owner of its upstream did not know
// yet that it owns it, asking it used up the retry budget (CI of 2026-12-07).
TEST_CASE("a write that may have run outlasts the hand-over of its upstream") {
  DataPathFixture F({{"a", "p1"}, {"b", "p2"}, {"c", "p2"}});
  F.upstream("a").Unresponsive = true;
  RunRequest Write = F.write("w1");
  Write.set_non_idempotent(false);
  Write.set_deadline_ms(5000);
  auto Answer = F.start("p1", Write);
  F.advance(milliseconds(350)); // The first attempt has timed out.
  F.State->Owners["a"] = {"p2", ""};
  F.publishTo("p1");
  F.advance(milliseconds(1000)); // The second one too.
  REQUIRE_FALSE(Answer->has_value());
  F.upstream("a").Unresponsive = false;
  F.publish();
  F.advance(milliseconds(200));
  REQUIRE(Answer->has_value());
  CHECK((*Answer)->outcome() == OUTCOME_OK);
  CHECK((*Answer)->recorded());
  CHECK(F.upstream("a").logged("w1") == 1);
}

// Guards against a wait for the next owner beyond the deadline of the caller.
TEST_CASE("a write that may have run is unknown if its upstream has no owner") {
  DataPathFixture F({{"a", "p1"}, {"b", "p2"}, {"c", "p2"}});
  F.upstream("a").Unresponsive = true;
  RunRequest Write = F.write("w1");
  Write.set_non_idempotent(false);
  auto Answer = F.start("p1", Write);
  F.advance(milliseconds(350));
  F.State->Owners["a"] = {"p2", ""};
  F.publishTo("p1");
  F.advance(milliseconds(1650)); // Its deadline passes.
  REQUIRE(Answer->has_value());
  CHECK((*Answer)->outcome() == OUTCOME_UNKNOWN);
  CHECK((*Answer)->reason() == REASON_CONNECTION_LOST);
}
