#include "fakes.h"
#include "proxy/datapath.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::testing;
using namespace eelgrassloom::caller::v1;

namespace {

std::string describe(const RunAnswer &A) {
  return Outcome_Name(A.outcome()) + " " + Reason_Name(A.reason()) + " " +
         A.message();
}

void expect(const RunAnswer &A, Outcome O, Reason R) {
  CAPTURE(describe(A));
  CHECK(A.outcome() == O);
  CHECK(A.reason() == R);
}

const std::map<UpstreamId, ProxyId> OneEach = {
    {"a", "p1"}, {"b", "p2"}, {"c", "p3"}};

} // namespace

// Guards against a broken whole path: an answer of another request, a missing
// token, or work that is counted as in progress after its answer.
TEST_CASE("a write and a read run on an owned upstream") {
  DataPathFixture W;
  RunAnswer Written = W.run("p1", W.write("w1"));
  expect(Written, OUTCOME_OK, REASON_NONE);
  CHECK(Written.result() == "did w1");
  CHECK(Written.request_id() == "id-w1");
  CHECK(Written.upstream() == "a");
  RunRequest Read = W.read("r1");
  Read.set_token(Written.token());
  RunAnswer Seen = W.run("p1", Read);
  expect(Seen, OUTCOME_OK, REASON_NONE);
  CHECK(Seen.result() == "saw 2");
  CHECK(W.Proxies.at("p1").Path->inProgress() == 0);
}

// Guards against requests that run although they are malformed.
TEST_CASE("malformed requests are refused with a reason") {
  DataPathFixture W;
  auto Refuses = [&](auto Change, Reason Expected) {
    RunRequest R = W.write("bad");
    Change(R);
    expect(W.run("p1", R), OUTCOME_REFUSED_NOT_RUN, Expected);
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
  CHECK(W.upstream("a").executed("bad") == 0);
}

// Guards against an acknowledgement by a replaced primary.
TEST_CASE("a write is not acknowledged once a majority holds a higher term") {
  DataPathFixture W;
  W.upstream("b").Status.RaisedTerm = 2;
  W.upstream("c").Status.RaisedTerm = 2;
  RunAnswer A = W.run("p1", W.write("w1"));
  expect(A, OUTCOME_UNKNOWN, REASON_NOT_CONFIRMED);
  CHECK(W.hasEvent("p1", events::WriteNotConfirmed));
  // One of two other upstreams is enough for a majority.
  W.upstream("b").Status.RaisedTerm = 1;
  expect(W.run("p1", W.write("w2")), OUTCOME_OK, REASON_NONE);
}

// Guards against an acknowledgement without a majority, and against a request
// that hangs longer than its deadline.
TEST_CASE("an unconfirmed write is unknown at its deadline") {
  DataPathFixture W;
  W.upstream("b").Unresponsive = true;
  W.upstream("c").Unresponsive = true;
  RunRequest R = W.write("w1");
  R.set_deadline_ms(500);
  auto Slot = W.start("p1", R);
  W.advance(milliseconds(501));
  REQUIRE(Slot->has_value());
  expect(**Slot, OUTCOME_UNKNOWN, REASON_NOT_CONFIRMED);
}

// Guards against losing an urgent write with its primary.
TEST_CASE("a replicated write waits until a second upstream holds it") {
  DataPathFixture W;
  auto Slot = W.start("p1", W.write("w1", "urgent"));
  W.advance(milliseconds(50));
  CHECK(W.upstream("a").logged("w1") == 1);
  CHECK(!Slot->has_value());
  W.Databases.replicate("a", "c");
  W.advance(milliseconds(20));
  REQUIRE(Slot->has_value());
  expect(**Slot, OUTCOME_OK, REASON_NONE);
}

// Guards against a recorded answer that is acknowledged while its entry can
// still be lost.
TEST_CASE("a recorded answer is confirmed before it is acknowledged") {
  DataPathFixture W;
  RunRequest R = W.write("w1", "urgent");
  R.set_deadline_ms(200);
  expect(W.run("p1", R), OUTCOME_UNKNOWN, REASON_NOT_CONFIRMED);
  expect(W.run("p1", R), OUTCOME_UNKNOWN, REASON_NOT_CONFIRMED);
  W.Databases.replicate("a", "b");
  RunAnswer A = W.run("p1", R);
  expect(A, OUTCOME_OK, REASON_NONE);
  CHECK(A.recorded());
  CHECK(W.upstream("a").logged("w1") == 1);
}

// Guards against a non-idempotent request that is sent a second time.
TEST_CASE("an unanswered non-idempotent write is unknown and never resent") {
  DataPathFixture W;
  W.upstream("a").Unresponsive = true;
  expect(W.run("p1", W.write("w1")), OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
  W.upstream("a").Unresponsive = false;
  W.advance(milliseconds(1000));
  CHECK(W.upstream("a").executed("w1") == 1);
}

// Guards against resending a write that another proxy may have received, and
// against giving up a write that was never sent.
TEST_CASE("a forwarded write is resent only if it was not sent") {
  DataPathFixture W(OneEach);
  W.Peers->Faults["p1:9"] = {PeerCode::NotSent};
  expect(W.run("p2", W.write("w1")), OUTCOME_OK, REASON_NONE);
  CHECK(W.upstream("a").executed("w1") == 1);
  W.Peers->Faults["p1:9"] = {PeerCode::TimedOut};
  RunRequest R = W.write("w2");
  R.set_deadline_ms(300);
  expect(W.run("p2", R), OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
  W.advance(milliseconds(500));
  CHECK(W.upstream("a").executed("w2") == 1);
}

// Guards against replicas that are never used, and against a forwarded read
// whose answer is not checked against the session.
TEST_CASE("reads within their bound use replicas of any owner") {
  DataPathFixture W(OneEach);
  RunAnswer A = W.run("p1", W.read("r", "background"));
  expect(A, OUTCOME_OK, REASON_NONE);
  CHECK(A.role() == types::v1::UPSTREAM_ROLE_REPLICA);
  RunAnswer Written = W.run("p2", W.write("w1"));
  RunRequest R = W.read("r", "background");
  R.set_token(Written.token());
  RunAnswer Own = W.run("p3", R);
  expect(Own, OUTCOME_OK, REASON_NONE);
  CHECK(Own.result() == "saw 2");
}

// Guards against stale data after a failover that lost a write of the session.
TEST_CASE("a lost position is reported and never read around") {
  DataPathFixture W;
  RunAnswer Written = W.run("p1", W.write("w1"));
  W.upstream("a").Unresponsive = true;
  W.upstream("a").AcceptsConnections = false;
  W.upstream("c").Status.RaisedTerm = 2;
  W.Databases.promote("b", 2);
  W.Databases.replicate("b", "c");
  W.State->Groups["db"] = {2, "b", W.upstream("b").Status.History};
  W.publish();
  W.advance(milliseconds(300));
  for (const char *Class : {"normal", "background"}) {
    RunRequest R = W.read("r", Class);
    R.set_token(Written.token());
    expect(W.run("p1", R), OUTCOME_REFUSED_NOT_RUN, REASON_POSITION_LOST);
  }
  expect(W.run("p1", W.read("r")), OUTCOME_OK, REASON_NONE);
}

// Guards against a read of a partitioned primary that misses acknowledged
// writes of its successor.
TEST_CASE("a read at a replaced primary is not answered as current") {
  DataPathFixture W;
  W.upstream("b").Status.RaisedTerm = 2;
  W.upstream("c").Status.RaisedTerm = 2;
  W.advance(milliseconds(200));
  RunAnswer A = W.run("p1", W.read("r"));
  CHECK(A.outcome() != OUTCOME_OK);
}

// Guards against an outage after most connections of an upstream became
// unresponsive while new ones work.
TEST_CASE("full service returns within a second of unresponsive connections") {
  DataPathFixture W;
  for (int I = 0; I < 20; ++I)
    W.run("p1", W.read("warm"));
  W.upstream("a").hangConnections(25);
  std::vector<std::shared_ptr<std::optional<RunAnswer>>> During;
  for (int I = 0; I < 100; ++I) {
    During.push_back(W.start("p1", W.read("r")));
    W.advance(milliseconds(10));
  }
  for (int I = 0; I < 100; ++I) {
    auto Slot = W.start("p1", W.read("r"));
    W.advance(milliseconds(20));
    REQUIRE(Slot->has_value());
    expect(**Slot, OUTCOME_OK, REASON_NONE);
  }
  for (const auto &Slot : During) {
    REQUIRE(Slot->has_value());
    expect(**Slot, OUTCOME_OK, REASON_NONE);
  }
  // Only new connections that fail may raise a suspicion.
  CHECK(W.Proxies.at("p1").FailedConnections.empty());
  CHECK(W.hasEvent("p1", events::ConnectionReplaced));
}

// Guards against an owner that takes more than its share of connections, and
// against more statements at a time than the upstream has slots.
TEST_CASE("connections and slots stay within their limits") {
  DataPathFixture W;
  for (auto &[Address, S] : W.Databases.Upstreams)
    S.ServiceTime = milliseconds(20);
  for (int I = 0; I < 200; ++I)
    W.start("p1", W.read("r"));
  W.advance(milliseconds(3000));
  CHECK(W.upstream("a").MaxRunning <= 5);
  CHECK(W.upstream("a").open() <= 10);
  CHECK(W.Proxies.at("p1").Path->inProgress() == 0);
}

// Guards against a rejected connection that is never retried, and against
// treating the rejection as a fault of the upstream.
TEST_CASE("a rejected connection is retried with backoff") {
  DataPathFixture W;
  FakeUpstream &A = W.upstream("a");
  A.ConnectionLimit = 0;
  for (const auto &Weak : A.Connections)
    if (auto C = Weak.lock())
      C->Unresponsive = true;
  W.advance(milliseconds(600));
  CHECK(W.Proxies.at("p1").FailedConnections.empty());
  A.ConnectionLimit = 30;
  W.advance(milliseconds(1200));
  expect(W.run("p1", W.read("r")), OUTCOME_OK, REASON_NONE);
}

// Guards against an unreachable upstream that looks healthy to the failover.
TEST_CASE("failing new connections are reported") {
  DataPathFixture W;
  FakeUpstream &A = W.upstream("a");
  A.AcceptsConnections = false;
  A.hangConnections(30);
  W.advance(milliseconds(1000));
  CHECK(W.Proxies.at("p1").FailedConnections["a"] >= 3);
  expect(W.run("p1", W.write("w1")), OUTCOME_REFUSED_NOT_RUN,
         REASON_UPSTREAM_UNAVAILABLE);
  CHECK(A.executed("w1") == 0);
}

// Guards against statements of a transaction on several connections, and
// against a session that can't continue it at another proxy.
TEST_CASE("a transaction runs from any proxy on one connection") {
  DataPathFixture W(OneEach);
  RunAnswer Begun = W.run("p2", W.step(STEP_BEGIN));
  expect(Begun, OUTCOME_OK, REASON_NONE);
  for (const char *Proxy : {"p1", "p2", "p3"}) {
    RunRequest R = W.step(STEP_STATEMENT, Begun.transaction());
    R.set_statement(std::string("s-") + Proxy);
    expect(W.run(Proxy, R), OUTCOME_OK, REASON_NONE);
    expect(W.run("p1", W.write(std::string("other-") + Proxy)), OUTCOME_OK,
           REASON_NONE);
  }
  RunRequest Commit = W.step(STEP_COMMIT, Begun.transaction());
  Commit.set_request_id("commit-1");
  Commit.set_issued_at_ms(W.Databases.Time->wallMicros() / 1000);
  Commit.set_non_idempotent(true);
  expect(W.run("p3", Commit), OUTCOME_OK, REASON_NONE);
  CHECK(W.upstream("a").logged("s-p1;s-p2;s-p3;") == 1);
  RunAnswer Again = W.run("p2", Commit);
  expect(Again, OUTCOME_OK, REASON_NONE);
  CHECK(Again.recorded());
  CHECK(W.upstream("a").logged("s-p1;s-p2;s-p3;") == 1);
  CHECK(W.Proxies.at("p1").Path->inProgress() == 0);
}

// Guards against abandoned transactions that keep a connection for ever, and
// against idle ones that keep a slot.
TEST_CASE("an abandoned transaction is rolled back and holds no slot") {
  DataPathFixture W;
  std::vector<std::string> Handles;
  Handles.reserve(4);
  for (int I = 0; I < 4; ++I)
    Handles.push_back(W.run("p1", W.step(STEP_BEGIN)).transaction());
  expect(W.run("p1", W.step(STEP_BEGIN)), OUTCOME_REFUSED_NOT_RUN,
         REASON_OVERLOADED);
  std::vector<std::shared_ptr<std::optional<RunAnswer>>> Slots;
  Slots.reserve(5);
  for (int I = 0; I < 5; ++I)
    Slots.push_back(W.start("p1", W.read("r")));
  W.advance(milliseconds(20));
  for (const auto &Slot : Slots)
    CHECK(Slot->has_value());
  W.advance(std::chrono::seconds(12));
  CHECK(W.hasEvent("p1", events::TransactionRolledBack));
  RunRequest R = W.step(STEP_STATEMENT, Handles[0]);
  expect(W.run("p1", R), OUTCOME_FAILED, REASON_TRANSACTION_LOST);
  RunRequest Commit = W.step(STEP_COMMIT, Handles[0]);
  expect(W.run("p1", Commit), OUTCOME_FAILED, REASON_TRANSACTION_LOST);
  expect(W.run("p1", W.step(STEP_BEGIN)), OUTCOME_OK, REASON_NONE);
}

// Guards against a lost commit that is reported as rolled back.
TEST_CASE("a commit in flight on a lost connection is unknown") {
  DataPathFixture W;
  std::string Handle = W.run("p1", W.step(STEP_BEGIN)).transaction();
  W.upstream("a").Unresponsive = true;
  RunRequest Commit = W.step(STEP_COMMIT, Handle);
  expect(W.run("p1", Commit), OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
  // The proxy of the transaction is gone.
  RunRequest Elsewhere = W.step(STEP_COMMIT, "p9/0123456789abcdef");
  expect(W.run("p1", Elsewhere), OUTCOME_UNKNOWN, REASON_TRANSACTION_LOST);
  Elsewhere.set_step(STEP_STATEMENT);
  expect(W.run("p1", Elsewhere), OUTCOME_FAILED, REASON_TRANSACTION_LOST);
}

// Guards against new work during a shutdown, and against one that interrupts
// requests in progress.
TEST_CASE("a draining proxy refuses new work and finishes the rest") {
  DataPathFixture W;
  std::string Handle = W.run("p1", W.step(STEP_BEGIN)).transaction();
  auto Slot = W.start("p1", W.write("w1"));
  W.State->Draining = true;
  W.publish();
  expect(W.run("p1", W.write("w2")), OUTCOME_REFUSED_NOT_RUN, REASON_DRAINING);
  expect(W.run("p1", W.step(STEP_BEGIN)), OUTCOME_REFUSED_NOT_RUN,
         REASON_DRAINING);
  W.advance(milliseconds(50));
  REQUIRE(Slot->has_value());
  expect(**Slot, OUTCOME_OK, REASON_NONE);
  CHECK(W.Proxies.at("p1").Path->inProgress() == 1);
  expect(W.run("p1", W.step(STEP_COMMIT, Handle)), OUTCOME_OK, REASON_NONE);
  CHECK(W.Proxies.at("p1").Path->inProgress() == 0);
}

// Guards against forwarded work that can only expire in the owner's queue.
TEST_CASE("the entry proxy refuses early when the owner's queue is long") {
  DataPathFixture W(OneEach);
  W.upstream("a").ServiceTime = milliseconds(100);
  std::vector<std::shared_ptr<std::optional<RunAnswer>>> Slots;
  Slots.reserve(100);
  for (int I = 0; I < 100; ++I)
    Slots.push_back(W.start("p2", W.read("r")));
  W.advance(milliseconds(400));
  unsigned Before = W.Peers->Requests;
  RunRequest R = W.read("late");
  R.set_deadline_ms(50);
  RunAnswer A = W.run("p2", R);
  expect(A, OUTCOME_REFUSED_NOT_RUN, REASON_OVERLOADED);
  CHECK(A.retry_after_ms() > 0);
  CHECK(W.Peers->Requests == Before);
  W.advance(milliseconds(6000));
  for (const auto &Slot : Slots)
    CHECK(Slot->has_value());
}

// Guards against work that stays with a proxy after it lost the ownership,
// and against a transaction that is interrupted by the change.
TEST_CASE("a change of ownership moves new work and keeps transactions") {
  DataPathFixture W(OneEach);
  std::string Handle = W.run("p2", W.step(STEP_BEGIN)).transaction();
  W.State->Owners["a"].Owner = "p3";
  W.publish();
  W.advance(milliseconds(100));
  CHECK(W.Proxies.at("p1").Path->owned().empty());
  expect(W.run("p1", W.write("w1")), OUTCOME_OK, REASON_NONE);
  expect(W.run("p2", W.step(STEP_COMMIT, Handle)), OUTCOME_OK, REASON_NONE);
  W.advance(milliseconds(100));
  // Five connections and one probe of the new owner, and the confirmations
  // and primary probes of the others.
  CHECK(W.upstream("a").open() <= 10);
}
