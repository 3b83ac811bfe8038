// Requests of callers from their arrival to their answer: writes, retries and
// connections.

#include "answerchecks.h"
#include "fakes.h"
#include "proxy/datapath.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::testing;
using namespace eelgrassloom::caller::v1;

namespace {

const std::map<UpstreamId, ProxyId> OneEach = {
    {"a", "p1"}, {"b", "p2"}, {"c", "p3"}};

} // namespace

// Guards against faults on the whole path of a request: the answer of another
// request, a missing token, or a request that counts as in progress after its
// answer.
TEST_CASE("a write and a read run on an owned upstream") {
  DataPathFixture F;
  RunAnswer Written = F.run("p1", F.write("w1"));
  expect(Written, OUTCOME_OK, REASON_NONE);
  CHECK(Written.result() == "did w1");
  CHECK(Written.request_id() == "id-w1");
  CHECK(Written.upstream() == "a");
  RunRequest Read = F.read("r1");
  Read.set_token(Written.token());
  RunAnswer ReadBack = F.run("p1", Read);
  expect(ReadBack, OUTCOME_OK, REASON_NONE);
  CHECK(ReadBack.result() == "saw 2");
  CHECK(F.Proxies.at("p1").Path->inProgress() == 0);
}

// Guards against requests that run although they are malformed.
TEST_CASE("malformed requests are refused with a reason") {
  DataPathFixture F;
  auto Refuses = [&](auto Change, Reason Expected) {
    RunRequest R = F.write("bad");
    Change(R);
    expect(F.run("p1", R), OUTCOME_REFUSED_NOT_RUN, Expected);
  };
  Refuses([](auto &R) { R.clear_database(); }, REASON_BAD_REQUEST);
  Refuses([](auto &R) { R.set_database("other"); }, REASON_UNKNOWN_DATABASE);
  Refuses([](auto &R) { R.set_workload_class("x"); }, REASON_BAD_REQUEST);
  Refuses([](auto &R) { R.clear_access(); }, REASON_BAD_REQUEST);
  Refuses([](auto &R) { R.clear_request_id(); }, REASON_BAD_REQUEST);
  Refuses([](auto &R) { R.clear_issued_at_ms(); }, REASON_BAD_REQUEST);
  Refuses([](auto &R) { R.set_access(ACCESS_READ); }, REASON_BAD_REQUEST);
  Refuses([](auto &R) { R.set_step(STEP_COMMIT); }, REASON_BAD_REQUEST);
  Refuses([](auto &R) { R.set_transaction("x"); }, REASON_BAD_REQUEST);
  Refuses([](auto &R) { R.set_token("damaged"); }, REASON_BAD_TOKEN);
  CHECK(F.upstream("a").executed("bad") == 0);
}

// Guards against a write that a former primary acknowledges after a majority
// has moved to a higher term.
TEST_CASE("a write is not acknowledged once a majority holds a higher term") {
  DataPathFixture F;
  F.upstream("b").Status.RaisedTerm = 2;
  F.upstream("c").Status.RaisedTerm = 2;
  RunAnswer A = F.run("p1", F.write("w1"));
  expect(A, OUTCOME_UNKNOWN, REASON_NOT_CONFIRMED);
  CHECK(F.hasEvent("p1", events::WriteNotConfirmed));
  // The primary and one of the two other upstreams form a majority.
  F.upstream("b").Status.RaisedTerm = 1;
  expect(F.run("p1", F.write("w2")), OUTCOME_OK, REASON_NONE);
}

// Guards against an acknowledgement without a majority, and against a request
// that hangs longer than its deadline.
TEST_CASE("an unconfirmed write is unknown at its deadline") {
  DataPathFixture F;
  F.upstream("b").Unresponsive = true;
  F.upstream("c").Unresponsive = true;
  RunRequest R = F.write("w1");
  R.set_deadline_ms(500);
  auto Answer = F.start("p1", R);
  F.advance(milliseconds(501));
  REQUIRE(Answer->has_value());
  expect(**Answer, OUTCOME_UNKNOWN, REASON_NOT_CONFIRMED);
}

// Guards against an acknowledged urgent write that exists only on the primary
// and is lost with it.
TEST_CASE("a replicated write waits until a second upstream holds it") {
  DataPathFixture F;
  auto Answer = F.start("p1", F.write("w1", "urgent"));
  F.advance(milliseconds(50));
  CHECK(F.upstream("a").logged("w1") == 1);
  CHECK(!Answer->has_value());
  F.Databases.replicate("a", "c");
  F.advance(milliseconds(20));
  REQUIRE(Answer->has_value());
  expect(**Answer, OUTCOME_OK, REASON_NONE);
}

// Guards against a recorded answer that is acknowledged while its entry can
// still be lost.
TEST_CASE("a recorded answer is confirmed before it is acknowledged") {
  DataPathFixture F;
  RunRequest R = F.write("w1", "urgent");
  R.set_deadline_ms(200);
  expect(F.run("p1", R), OUTCOME_UNKNOWN, REASON_NOT_CONFIRMED);
  expect(F.run("p1", R), OUTCOME_UNKNOWN, REASON_NOT_CONFIRMED);
  F.Databases.replicate("a", "b");
  RunAnswer A = F.run("p1", R);
  expect(A, OUTCOME_OK, REASON_NONE);
  CHECK(A.recorded());
  CHECK(F.upstream("a").logged("w1") == 1);
}

// Guards against a non-idempotent request that is sent a second time.
TEST_CASE("an unanswered non-idempotent write is unknown and never resent") {
  DataPathFixture F;
  F.upstream("a").Unresponsive = true;
  expect(F.run("p1", F.write("w1")), OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
  F.upstream("a").Unresponsive = false;
  F.advance(milliseconds(1000));
  CHECK(F.upstream("a").executed("w1") == 1);
}

// Guards against "not run" for a write of which an earlier attempt ran but was
// not confirmed, when no upstream is left for the next attempt.
TEST_CASE("a write that may have run is not refused as not run") {
  DataPathFixture F;
  F.upstream("b").Status.RaisedTerm = 2;
  F.upstream("c").Status.RaisedTerm = 2;
  RunRequest R = F.write("w1");
  R.set_non_idempotent(false);
  auto Answer = F.start("p1", R);
  F.advance(milliseconds(15));
  REQUIRE(F.upstream("a").logged("w1") == 1);
  REQUIRE(!Answer->has_value());
  F.State->Groups["db"] = {2, "", {{1, 0}}};
  F.publish();
  F.advance(milliseconds(1000));
  REQUIRE(Answer->has_value());
  expect(**Answer, OUTCOME_UNKNOWN, REASON_NOT_CONFIRMED);
}

// Guards against resending a write that another proxy may have received, and
// against failing a write that was never sent instead of retrying it.
TEST_CASE("a forwarded write is resent only if it was not sent") {
  DataPathFixture F(OneEach);
  F.Peers->Faults["p1:9"] = {PeerCode::NotSent};
  expect(F.run("p2", F.write("w1")), OUTCOME_OK, REASON_NONE);
  CHECK(F.upstream("a").executed("w1") == 1);
  F.Peers->Faults["p1:9"] = {PeerCode::TimedOut};
  RunRequest R = F.write("w2");
  R.set_deadline_ms(300);
  expect(F.run("p2", R), OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
  F.advance(milliseconds(500));
  CHECK(F.upstream("a").executed("w2") == 1);
}

// Guards against an outage after most connections of an upstream became
// unresponsive although new connections work.
TEST_CASE("full service returns within a second of unresponsive connections") {
  DataPathFixture F;
  for (int I = 0; I < 20; ++I)
    F.run("p1", F.read("warm"));
  F.upstream("a").hangConnections(25);
  std::vector<std::shared_ptr<std::optional<RunAnswer>>> During;
  for (int I = 0; I < 100; ++I) {
    During.push_back(F.start("p1", F.read("r")));
    F.advance(milliseconds(10));
  }
  for (int I = 0; I < 100; ++I) {
    auto Answer = F.start("p1", F.read("r"));
    F.advance(milliseconds(20));
    REQUIRE(Answer->has_value());
    expect(**Answer, OUTCOME_OK, REASON_NONE);
  }
  for (const auto &Answer : During) {
    REQUIRE(Answer->has_value());
    expect(**Answer, OUTCOME_OK, REASON_NONE);
  }
  // Timeouts on existing connections must not make the upstream suspected.
  CHECK(F.Proxies.at("p1").FailedConnections.empty());
  CHECK(F.hasEvent("p1", events::ConnectionReplaced));
}

// Guards against an owner that takes more than its share of connections, and
// against more statements at a time than the upstream has slots.
TEST_CASE("connections and slots stay within their limits") {
  DataPathFixture F;
  for (auto &[Address, S] : F.Databases.Upstreams)
    S.ServiceTime = milliseconds(20);
  for (int I = 0; I < 200; ++I)
    F.start("p1", F.read("r"));
  F.advance(milliseconds(3000));
  CHECK(F.upstream("a").MaxRunning <= 5);
  CHECK(F.upstream("a").open() <= 10);
  CHECK(F.Proxies.at("p1").Path->inProgress() == 0);
}

// Guards against a rejected connection that is never retried, and against
// treating the rejection as a fault of the upstream.
TEST_CASE("a rejected connection is retried with backoff") {
  DataPathFixture F;
  FakeUpstream &A = F.upstream("a");
  A.ConnectionLimit = 0;
  for (const auto &Weak : A.Connections)
    if (auto C = Weak.lock())
      C->Unresponsive = true;
  F.advance(milliseconds(600));
  CHECK(F.Proxies.at("p1").FailedConnections.empty());
  A.ConnectionLimit = 30;
  F.advance(milliseconds(1200));
  expect(F.run("p1", F.read("r")), OUTCOME_OK, REASON_NONE);
}

// Guards against an unreachable upstream that the control thread takes for
// healthy, so that no failover starts.
TEST_CASE("failing new connections are reported") {
  DataPathFixture F;
  FakeUpstream &A = F.upstream("a");
  A.AcceptsConnections = false;
  A.hangConnections(30);
  F.advance(milliseconds(1000));
  CHECK(F.Proxies.at("p1").FailedConnections["a"] >= 3);
  expect(F.run("p1", F.write("w1")), OUTCOME_REFUSED_NOT_RUN,
         REASON_UPSTREAM_UNAVAILABLE);
  CHECK(A.executed("w1") == 0);
}
