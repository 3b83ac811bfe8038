// What a session reads, and what it is told of a position that was lost.

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

// Guards against a session that forgets its own writes because the answer to a
// malformed request returns a token without positions.
TEST_CASE("a refused request does not reset the session") {
  DataPathFixture F;
  RunAnswer Written = F.run("p1", F.write("w1"));
  RunRequest Bad = F.write("w2");
  Bad.set_token(Written.token());
  Bad.clear_access();
  RunAnswer Refused = F.run("p1", Bad);
  expect(Refused, OUTCOME_REFUSED_NOT_RUN, REASON_BAD_REQUEST);
  CHECK(Refused.token() == Written.token());
}

// Guards against a caller who gets the answer of another caller, because both
// chose the same request id, and against a retry of such a request.
TEST_CASE("a request id of another statement is an error") {
  DataPathFixture F(OneEach);
  RunRequest First = F.write("w1");
  expect(F.run("p1", First), OUTCOME_OK, REASON_NONE);
  RunRequest Other = F.write("w2");
  Other.set_request_id(First.request_id());
  Other.set_non_idempotent(false);
  RunAnswer A = F.run("p2", Other);
  expect(A, OUTCOME_FAILED, REASON_REQUEST_ID_REUSED);
  CHECK(A.result().empty());
  CHECK(F.upstream("a").executed("w2") == 1);
  CHECK(F.upstream("a").logged("w2") == 0);
  CHECK(F.run("p2", First).recorded());
}

// Guards against a message that a caller or an upstream can't receive, which
// ends as an unknown outcome or with a closed connection.
TEST_CASE("a request or a result that is too large gets a clear answer") {
  DataPathFixture F(OneEach);
  RunRequest Large = F.write(std::string(4 << 20, 'x'));
  Large.set_request_id("large");
  for (const char *Proxy : {"p1", "p2"})
    expect(F.run(Proxy, Large), OUTCOME_REFUSED_NOT_RUN, REASON_TOO_LARGE);
  F.upstream("a").ResultBytes = 5 << 20;
  for (const char *Proxy : {"p1", "p2"}) {
    RunRequest Write = F.write(std::string("w-") + Proxy);
    RunAnswer A = F.run(Proxy, Write);
    expect(A, OUTCOME_UNKNOWN, REASON_TOO_LARGE);
    CHECK(A.result().empty());
    CHECK(F.upstream("a").logged(Write.statement()) == 1);
    // The session has the position of the write.
    CHECK(A.token() != F.run(Proxy, F.read("r")).token());
    expect(F.run(Proxy, F.read("r")), OUTCOME_FAILED, REASON_TOO_LARGE);
  }
  RunRequest Named = F.read("r");
  Named.set_database(std::string(1000, 'd'));
  RunAnswer A = F.run("p1", Named);
  expect(A, OUTCOME_REFUSED_NOT_RUN, REASON_BAD_REQUEST);
  CHECK(A.message().size() < 200);
}
