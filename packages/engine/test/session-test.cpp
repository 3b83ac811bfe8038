#include "engine/session.h"
#include "fakes.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

Statement set(const std::string &Name, const std::string &Value) {
  Statement S = simple(StatementKind::Set, "SET " + Name + " " + Value);
  S.Name = Name;
  S.Argument = Value;
  return S;
}

Statement execute(const std::string &Name, const std::string &Rest) {
  Statement S = simple(StatementKind::Execute, "EXEC " + Name + " " + Rest);
  S.Name = Name;
  S.Argument = Rest;
  return S;
}

Statement prepare(const std::string &Name, const std::string &Shape) {
  Statement S = simple(StatementKind::Prepare, "PREPARE " + Name);
  S.Name = Name;
  S.Argument = Shape;
  return S;
}

const Statement Begin = simple(StatementKind::Begin, "BEGIN");
const Statement Commit = simple(StatementKind::Commit, "COMMIT");
const Statement Rollback = simple(StatementKind::Rollback, "ROLLBACK");

/// Gives the route "session" to the service: "s", or "t" with the servers q and
/// q1, whose log is shorter.
void routeSessionTo(EngineFixture &F, const std::string &Service) {
  RoutingConfig Config = F.SessionEngine->config();
  ++Config.Version;
  Config.Services["t"] = {"t", 10, 0};
  Config.Routes["session"].Service = Service;
  std::vector<ServerEntry> Entries;
  for (const char *Id : {"q", "q1"}) {
    FakeServer &S = F.Servers[Id];
    S.Entry = F.server("p").Entry;
    S.Entry.Id = Id;
    S.Entry.Service = "t";
    S.Log = {1, 3};
  }
  for (const auto &Entry : F.Servers)
    Entries.push_back(Entry.second.Entry);
  F.SessionEngine->applyConfig(Config);
  F.SessionEngine->setServers(Entries, 1);
  auto G = F.SessionEngine->group("t");
  G->setPrimaryRecord({"t", 1, GroupStage::Stable, "q"});
  G->renewLease(1, F.Now + 60s);
  F.advance(100ms);
}

} // namespace

// Guards against reads that lack a write of their own session (review/8): the
// route has gone to another service and back, and the position of the other
// service's log was taken for one of this log.
TEST_CASE("a session reads its own write after its route was elsewhere") {
  for (bool InTransaction : {false, true}) {
    EngineFixture F;
    auto S = F.open("session");
    auto Write = [&] {
      if (InTransaction)
        S->submit(Begin);
      S->submit(write("a"));
      if (InTransaction)
        S->submit(Commit);
      F.advance(100ms);
      REQUIRE_FALSE(F.last().Error);
    };
    Write();
    routeSessionTo(F, "t");
    Write();
    CHECK(F.server("q").count("WRITE a x") == 1);
    routeSessionTo(F, "s");
    S->submit(read("b"));
    F.advance(100ms);
    REQUIRE_FALSE(F.last().Error);
    CHECK(F.server("p").count("READ b") == 1);
  }
}

// Guards against reads that no replica may run, because the position of another
// service's log is required of them.
TEST_CASE("a write at one service requires nothing of another service") {
  EngineFixture F;
  auto S = F.open("session");
  S->submit(write("a"));
  F.advance(100ms);
  routeSessionTo(F, "t");
  S->submit(read("b"));
  F.advance(100ms);
  S->submit(read("c"));
  F.advance(100ms);
  REQUIRE_FALSE(F.last().Error);
  CHECK(F.server("q1").count("READ c") == 1);
}

TEST_CASE("a read is answered with the server's signature") {
  EngineFixture F;
  F.open("latest")->submit(read("a"));
  F.run();
  CHECK_FALSE(F.last().Error);
  CHECK(F.last().Signature == "sig");
  CHECK(F.server("p").count("READ a") == 1);
}

TEST_CASE("an unknown database has no session") {
  EngineFixture F;
  CHECK(F.open("other") == nullptr);
}

// Guards against variables of one session that another sees on the same pooled
// connection.
TEST_CASE("session variables are set on whichever connection is used") {
  EngineFixture F;
  auto A = F.open("latest");
  auto B = F.open("latest");
  A->submit(set("x", "1"));
  A->submit(read("a"));
  F.run();
  CHECK(F.server("p").count("SET x 1") == 1);
  B->submit(read("b"));
  F.run();
  CHECK(F.server("p").count("RESET") == 1);
  CHECK_FALSE(F.last().Error);
}

// Guards against a session that runs the statement that another session has
// prepared under the same name.
TEST_CASE("prepared statements of two sessions do not collide") {
  EngineFixture F;
  auto A = F.open("latest");
  auto B = F.open("latest");
  A->submit(prepare("n", "one"));
  B->submit(prepare("n", "two"));
  A->submit(execute("n", "k"));
  F.run();
  B->submit(execute("n", "k"));
  F.run();
  CHECK(F.server("p").count("PREPARE a READ one") == 1);
  CHECK(F.server("p").count("EXEC a k") == 1);
  CHECK(F.server("p").count("PREPARE b READ two") == 1);
  CHECK(F.server("p").count("EXEC b k") == 1);
  B->submit(execute("unknown", "k"));
  F.run();
  CHECK(F.last().Error == ReplyCode::NoStatement);
}

TEST_CASE("a transaction stays on one connection and commits there") {
  EngineFixture F;
  auto S = F.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  S->submit(read("b"));
  S->submit(Commit);
  F.run();
  REQUIRE(F.Replies.size() == 4);
  CHECK(F.Replies[1].State == TransactionState::Open);
  CHECK(F.last().State == TransactionState::None);
  CHECK(F.last().Signature == "sig");
}

// Guards against a statement that runs outside of its transaction because BEGIN
// failed.
TEST_CASE("a statement is not sent before BEGIN has succeeded") {
  EngineFixture F;
  ServerReply No;
  No.Error = ReplyCode::ReadOnly;
  F.server("p").Answers["BEGIN"] = No;
  auto S = F.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  F.advance(50ms);
  CHECK(F.server("p").count("BEGIN") >= 1);
  CHECK(F.server("p").count("WRITE a x") == 0);
}

// Guards against a write that runs twice in a transaction because an overloaded
// server answers its refusal twice.
TEST_CASE("a transaction ends when a server refuses one of its statements") {
  EngineFixture F;
  ServerReply Busy;
  Busy.Error = ReplyCode::Busy;
  F.server("p").Answers["WRITE b x"] = Busy;
  auto S = F.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  F.run();
  S->submit(write("b"));
  F.advance(1s);
  CHECK(F.last().Error == ReplyCode::Aborted);
  CHECK(F.server("p").count("WRITE b x") == 1);
  S->submit(Commit);
  F.run();
  CHECK(F.last().Error == ReplyCode::Aborted);
  CHECK(F.server("p").count("COMMIT") == 0);
}

// Guards against a statement that is sent without end because no server accepts
// a variable or a prepared statement of its session.
TEST_CASE("an error of the setup is passed on") {
  EngineFixture F;
  ServerReply Malformed;
  Malformed.Error = ReplyCode::Malformed;
  F.server("p").Answers["SET x 1"] = Malformed;
  auto S = F.open("latest");
  Statement Set = simple(StatementKind::Set, "SET x 1");
  Set.Name = "x";
  Set.Argument = "1";
  S->submit(Set);
  S->submit(write("a"));
  F.advance(100ms);
  CHECK(F.last().Error == ReplyCode::Malformed);
  CHECK(F.server("p").count("SET x 1") == 1);
  CHECK(F.server("p").count("WRITE a x") == 0);
}

// Guards against a session whose variables take all memory of the process.
TEST_CASE("a session with too many variables is told so") {
  EngineFixture F;
  auto S = F.open("latest");
  const std::string Value(MaxSessionStateBytes / 4, 'v');
  for (unsigned I = 0; I < 5; ++I) {
    Statement Set = simple(StatementKind::Set, "SET");
    Set.Name = "n" + std::to_string(I);
    Set.Argument = Value;
    S->submit(Set);
  }
  REQUIRE(F.Replies.size() == 5);
  CHECK_FALSE(F.Replies[2].Error);
  CHECK(F.Replies[4].Error == ReplyCode::TooBig);
  S->submit(write("a"));
  F.run();
  CHECK_FALSE(F.last().Error);
}

TEST_CASE("a rollback is answered at once and sent to the server") {
  EngineFixture F;
  auto S = F.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  F.run();
  S->submit(Rollback);
  F.run();
  CHECK(F.last().State == TransactionState::None);
  CHECK(F.server("p").count("ROLLBACK") == 1);
}

TEST_CASE("the transaction of a caller that disconnects is rolled back") {
  EngineFixture F;
  auto S = F.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  F.run();
  S->close(SessionEnd::CallerLeft);
  F.run();
  CHECK(F.server("p").count("ROLLBACK") == 1);
  CHECK(F.SessionEngine->sessionCount() == 0);
}

// Guards against a false ABORTED: this answer promises that nothing of the
// transaction is kept.
TEST_CASE(
    "an idle transaction is rolled back before it is reported as aborted") {
  EngineFixture F;
  auto S = F.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  F.run();
  F.advance(4s);
  CHECK(F.server("p").count("ROLLBACK") == 1);
  std::size_t Before = F.Replies.size();
  S->submit(Commit);
  F.run();
  REQUIRE(F.Replies.size() == Before + 1);
  CHECK(F.last().Error == ReplyCode::Aborted);
  CHECK(F.server("p").count("COMMIT") == 0);
}

TEST_CASE("after an error only the end of the transaction is accepted") {
  EngineFixture F;
  ServerReply Failed;
  Failed.Error = ReplyCode::Failed;
  auto S = F.open("latest");
  S->submit(Begin);
  S->submit(read("a"));
  F.run();
  F.server("p").Answers["READ b"] = Failed;
  S->submit(read("b"));
  S->submit(read("c"));
  F.run();
  CHECK(F.last().Error == ReplyCode::Malformed);
  S->submit(Rollback);
  F.run();
  CHECK_FALSE(F.last().Error);
  CHECK(F.last().State == TransactionState::None);
}

TEST_CASE("an invalid statement is refused without a server") {
  EngineFixture F;
  auto S = F.open("latest");
  S->submit(simple(StatementKind::Invalid, "DROP"));
  F.run();
  CHECK(F.last().Error == ReplyCode::Malformed);
  S->submit(Commit);
  F.run();
  CHECK(F.last().Error == ReplyCode::Malformed);
}

// Guards against connections that stay reserved for ever because the answer to
// a ROLLBACK was lost.
TEST_CASE("a connection whose ROLLBACK has no answer is closed") {
  EngineFixture F;
  for (int I = 0; I < 10; ++I) {
    auto S = F.open("latest");
    S->submit(Begin);
    S->submit(read("a"));
    F.advance(1s);
    REQUIRE_FALSE(F.last().Error);
    F.server("p").Unresponsive = true;
    S->submit(Rollback);
    F.run();
    F.server("p").Unresponsive = false;
  }
  F.advance(10s);
  F.open("latest")->submit(read("b"));
  F.advance(5s);
  CHECK_FALSE(F.last().Error);
  CHECK(F.server("p").count("READ b") == 1);
}

// Guards against an operation that its caller may not repeat although nothing
// of it is kept: the connection of the transaction ended before the COMMIT.
TEST_CASE("a COMMIT that was not sent is not answered as unknown") {
  EngineFixture F;
  auto S = F.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  F.run();
  REQUIRE_FALSE(F.last().Error);
  F.server("p").ConnectionsLost = true;
  S->submit(Commit);
  F.run();
  CHECK(F.server("p").count("COMMIT") == 0);
  CHECK(F.last().Error == ReplyCode::Aborted);
}
