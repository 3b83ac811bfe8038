// Transactions, draining and changes of ownership on the data path.

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

// Guards against a statement that runs in another database than its caller
// named, because the owner of the upstream has another configuration.
TEST_CASE("a statement runs only on an upstream of its database") {
  DataPathFixture F;
  F.State->Config.Databases.push_back({"db2", {}});
  F.State->Groups["db2"] = {1, "a", {{1, 0}}};
  F.publish();
  peer::v1::Forward Request;
  *Request.mutable_request() = F.write("w1");
  Request.mutable_request()->set_database("db2");
  Request.set_upstream("a");
  Request.set_term(1);
  Request.set_deadline_us(1'000'000);
  std::optional<peer::v1::ForwardAnswer> Answer;
  F.Proxies.at("p1").Path->runForwarded(
      Request, [&](peer::v1::ForwardAnswer A) { Answer = std::move(A); });
  F.advance(milliseconds(100));
  REQUIRE(Answer);
  expect(Answer->answer(), OUTCOME_REFUSED_NOT_RUN,
         REASON_UPSTREAM_UNAVAILABLE);
  CHECK(Answer->not_owner());
  CHECK(F.upstream("a").executed("w1") == 0);
}

// Guards against connections that were opened for another database.
TEST_CASE("an upstream that moves to another database gets new connections") {
  DataPathFixture F;
  F.advance(milliseconds(100));
  const unsigned Before = F.upstream("c").open();
  auto &Databases = F.State->Config.Databases;
  Upstream Moved = Databases[0].Upstreams.back();
  Databases[0].Upstreams.pop_back();
  Databases.push_back({"db2", {Moved}});
  const unsigned Opened = F.upstream("c").ConnectionsOpened;
  F.publish();
  F.advance(milliseconds(100));
  CHECK(F.upstream("c").ConnectionsOpened >= Opened + 5);
  CHECK(F.upstream("c").open() == Before);
}
