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

/// Promotes b in term 2 without the log of a. The record names b, but not the
/// start of its term.
void failOverWithoutStart(DataPathFixture &F) {
  F.upstream("a").Unresponsive = true;
  F.upstream("a").AcceptsConnections = false;
  F.upstream("c").Status.RaisedTerm = 2;
  F.Databases.promote("b", 2);
  F.Databases.replicate("b", "c");
  F.State->Groups["db"] = {2, "b", {{1, 0}}};
  F.publish();
}

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

// Guards against replicas that are never used, and against the answer to a
// forwarded read that is older than the session's own writes.
TEST_CASE("reads within their bound use replicas of any owner") {
  DataPathFixture F(OneEach);
  RunAnswer A = F.run("p1", F.read("r", "background"));
  expect(A, OUTCOME_OK, REASON_NONE);
  CHECK(A.role() == types::v1::UPSTREAM_ROLE_REPLICA);
  RunAnswer Written = F.run("p2", F.write("w1"));
  RunRequest R = F.read("r", "background");
  R.set_token(Written.token());
  RunAnswer Own = F.run("p3", R);
  expect(Own, OUTCOME_OK, REASON_NONE);
  CHECK(Own.result() == "saw 2");
}

// Guards against reads that return a state without a write of the session after
// a failover lost that write.
TEST_CASE("a lost position is reported and no older state is returned") {
  DataPathFixture F;
  RunAnswer Written = F.run("p1", F.write("w1"));
  F.upstream("a").Unresponsive = true;
  F.upstream("a").AcceptsConnections = false;
  F.upstream("c").Status.RaisedTerm = 2;
  F.Databases.promote("b", 2);
  F.Databases.replicate("b", "c");
  F.State->Groups["db"] = {2, "b", F.upstream("b").Status.History};
  F.publish();
  F.advance(milliseconds(300));
  for (const char *Class : {"normal", "background"}) {
    RunRequest R = F.read("r", Class);
    R.set_token(Written.token());
    expect(F.run("p1", R), OUTCOME_REFUSED_NOT_RUN, REASON_POSITION_LOST);
  }
  expect(F.run("p1", F.read("r")), OUTCOME_OK, REASON_NONE);
}

// Guards against a write that runs in a later term after the failover lost a
// write of its session: its position would replace the lost one in the token,
// and the session would never be told. The record does not name the start of
// the new term yet, so routing can't tell that the position is lost.
TEST_CASE("a write of a session that lost a write does not run") {
  DataPathFixture F;
  RunAnswer Lost = F.run("p1", F.write("w1"));
  failOverWithoutStart(F);
  RunRequest R = F.write("w2");
  R.set_token(Lost.token());
  RunAnswer A = F.run("p1", R);
  expect(A, OUTCOME_REFUSED_NOT_RUN, REASON_POSITION_LOST);
  CHECK(F.upstream("b").logged("w2") == 0);
  expect(F.run("p1", F.write("w3")), OUTCOME_OK, REASON_NONE);
}

// Guards against a recorded answer from a later term that replaces the lost
// position of the session in its token.
TEST_CASE("a recorded answer does not hide that a position was lost") {
  DataPathFixture F;
  RunAnswer Lost = F.run("p1", F.write("w1"));
  failOverWithoutStart(F);
  F.upstream("b").RecordedRequests["id-w2"] = {{2, 2}, "w2"};
  RunRequest R = F.write("w2");
  R.set_token(Lost.token());
  RunAnswer Recorded = F.run("p1", R);
  expect(Recorded, OUTCOME_OK, REASON_NONE);
  CHECK(Recorded.recorded());
  RunRequest Next = F.read("r");
  Next.set_token(Recorded.token());
  expect(F.run("p1", Next), OUTCOME_REFUSED_NOT_RUN, REASON_POSITION_LOST);
}

// Guards against a read of a partitioned primary that misses acknowledged
// writes of its successor.
TEST_CASE("a read at a former primary is not answered as current") {
  DataPathFixture F;
  F.upstream("b").Status.RaisedTerm = 2;
  F.upstream("c").Status.RaisedTerm = 2;
  F.advance(milliseconds(200));
  RunAnswer A = F.run("p1", F.read("r"));
  CHECK(A.outcome() != OUTCOME_OK);
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

// Guards against statements of a transaction on several connections, and
// against a transaction that can't continue at another proxy.
TEST_CASE("a transaction runs from any proxy on one connection") {
  DataPathFixture F(OneEach);
  RunAnswer Begun = F.run("p2", F.step(STEP_BEGIN));
  expect(Begun, OUTCOME_OK, REASON_NONE);
  for (const char *Proxy : {"p1", "p2", "p3"}) {
    RunRequest R = F.step(STEP_STATEMENT, Begun.transaction());
    R.set_statement(std::string("s-") + Proxy);
    expect(F.run(Proxy, R), OUTCOME_OK, REASON_NONE);
    expect(F.run("p1", F.write(std::string("other-") + Proxy)), OUTCOME_OK,
           REASON_NONE);
  }
  RunRequest Commit = F.step(STEP_COMMIT, Begun.transaction());
  Commit.set_request_id("commit-1");
  Commit.set_issued_at_ms(F.Databases.Time->wallMicros() / 1000);
  Commit.set_non_idempotent(true);
  expect(F.run("p3", Commit), OUTCOME_OK, REASON_NONE);
  CHECK(F.upstream("a").logged("s-p1;s-p2;s-p3;") == 1);
  RunAnswer Again = F.run("p2", Commit);
  expect(Again, OUTCOME_OK, REASON_NONE);
  CHECK(Again.recorded());
  CHECK(F.upstream("a").logged("s-p1;s-p2;s-p3;") == 1);
  CHECK(F.Proxies.at("p1").Path->inProgress() == 0);
}

// Guards against abandoned transactions that pin a connection forever, and
// against idle transactions that occupy a slot.
TEST_CASE("an abandoned transaction is rolled back and holds no slot") {
  DataPathFixture F;
  std::vector<std::string> Handles;
  Handles.reserve(4);
  for (int I = 0; I < 4; ++I)
    Handles.push_back(F.run("p1", F.step(STEP_BEGIN)).transaction());
  expect(F.run("p1", F.step(STEP_BEGIN)), OUTCOME_REFUSED_NOT_RUN,
         REASON_OVERLOADED);
  std::vector<std::shared_ptr<std::optional<RunAnswer>>> Answers;
  Answers.reserve(5);
  for (int I = 0; I < 5; ++I)
    Answers.push_back(F.start("p1", F.read("r")));
  F.advance(milliseconds(20));
  for (const auto &Answer : Answers)
    CHECK(Answer->has_value());
  F.advance(std::chrono::seconds(12));
  CHECK(F.hasEvent("p1", events::TransactionRolledBack));
  RunRequest R = F.step(STEP_STATEMENT, Handles[0]);
  expect(F.run("p1", R), OUTCOME_FAILED, REASON_TRANSACTION_LOST);
  RunRequest Commit = F.step(STEP_COMMIT, Handles[0]);
  expect(F.run("p1", Commit), OUTCOME_FAILED, REASON_TRANSACTION_LOST);
  expect(F.run("p1", F.step(STEP_BEGIN)), OUTCOME_OK, REASON_NONE);
}

// Guards against a commit that is reported as rolled back although it may have
// run.
TEST_CASE("a commit in flight on a lost connection is unknown") {
  DataPathFixture F;
  std::string Handle = F.run("p1", F.step(STEP_BEGIN)).transaction();
  F.upstream("a").Unresponsive = true;
  RunRequest Commit = F.step(STEP_COMMIT, Handle);
  expect(F.run("p1", Commit), OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
  // The proxy that holds this transaction is not a member.
  RunRequest Elsewhere = F.step(STEP_COMMIT, "p9/0123456789abcdef");
  expect(F.run("p1", Elsewhere), OUTCOME_UNKNOWN, REASON_TRANSACTION_LOST);
  Elsewhere.set_step(STEP_STATEMENT);
  expect(F.run("p1", Elsewhere), OUTCOME_FAILED, REASON_TRANSACTION_LOST);
}

// Guards against new work during a drain, and against a drain that interrupts
// requests in progress.
TEST_CASE("a draining proxy refuses new work and finishes the rest") {
  DataPathFixture F;
  std::string Handle = F.run("p1", F.step(STEP_BEGIN)).transaction();
  auto Answer = F.start("p1", F.write("w1"));
  F.State->Draining = true;
  F.publish();
  expect(F.run("p1", F.write("w2")), OUTCOME_REFUSED_NOT_RUN, REASON_DRAINING);
  expect(F.run("p1", F.step(STEP_BEGIN)), OUTCOME_REFUSED_NOT_RUN,
         REASON_DRAINING);
  F.advance(milliseconds(50));
  REQUIRE(Answer->has_value());
  expect(**Answer, OUTCOME_OK, REASON_NONE);
  CHECK(F.Proxies.at("p1").Path->inProgress() == 1);
  expect(F.run("p1", F.step(STEP_COMMIT, Handle)), OUTCOME_OK, REASON_NONE);
  CHECK(F.Proxies.at("p1").Path->inProgress() == 0);
}

// Guards against forwarding a request that can only expire in the queue of the
// owner.
TEST_CASE("the receiving proxy refuses early when the owner's queue is long") {
  DataPathFixture F(OneEach);
  F.upstream("a").ServiceTime = milliseconds(100);
  std::vector<std::shared_ptr<std::optional<RunAnswer>>> Answers;
  Answers.reserve(100);
  for (int I = 0; I < 100; ++I)
    Answers.push_back(F.start("p2", F.read("r")));
  F.advance(milliseconds(400));
  unsigned Before = F.Peers->Requests;
  RunRequest R = F.read("late");
  R.set_deadline_ms(50);
  RunAnswer A = F.run("p2", R);
  expect(A, OUTCOME_REFUSED_NOT_RUN, REASON_OVERLOADED);
  CHECK(A.retry_after_ms() > 0);
  CHECK(F.Peers->Requests == Before);
  F.advance(milliseconds(6000));
  for (const auto &Answer : Answers)
    CHECK(Answer->has_value());
}

// Guards against requests that the former owner still runs after the ownership
// changed, and against a transaction that the change interrupts.
TEST_CASE("a change of ownership moves new work and keeps transactions") {
  DataPathFixture F(OneEach);
  std::string Handle = F.run("p2", F.step(STEP_BEGIN)).transaction();
  F.State->Owners["a"].Owner = "p3";
  F.publish();
  F.advance(milliseconds(100));
  CHECK(F.Proxies.at("p1").Path->owned().empty());
  expect(F.run("p1", F.write("w1")), OUTCOME_OK, REASON_NONE);
  expect(F.run("p2", F.step(STEP_COMMIT, Handle)), OUTCOME_OK, REASON_NONE);
  F.advance(milliseconds(100));
  // The new owner has five connections and one probe; the others have
  // connections for confirmations and for probes of the primary.
  CHECK(F.upstream("a").open() <= 10);
}
