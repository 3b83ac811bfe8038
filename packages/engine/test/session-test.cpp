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

} // namespace

TEST_CASE("a read is answered with the server's signature") {
  EngineFixture W;
  W.open("latest")->submit(read("a"));
  W.run();
  CHECK_FALSE(W.last().Error);
  CHECK(W.last().Signature == "sig");
  CHECK(W.server("p").count("READ a") == 1);
}

TEST_CASE("an unknown database has no session") {
  EngineFixture W;
  CHECK(W.open("other") == nullptr);
}

// PINNED: values of one session must not be seen by another.
TEST_CASE("values are established on whichever connection is used") {
  EngineFixture W;
  auto A = W.open("latest");
  auto B = W.open("latest");
  A->submit(set("x", "1"));
  A->submit(read("a"));
  W.run();
  CHECK(W.server("p").count("SET x 1") == 1);
  B->submit(read("b"));
  W.run();
  CHECK(W.server("p").count("RESET") == 1);
  CHECK_FALSE(W.last().Error);
}

// PINNED: a prepared name runs the shape that this session has prepared.
TEST_CASE("prepared statements of two sessions do not collide") {
  EngineFixture W;
  auto A = W.open("latest");
  auto B = W.open("latest");
  A->submit(prepare("n", "one"));
  B->submit(prepare("n", "two"));
  A->submit(execute("n", "k"));
  W.run();
  B->submit(execute("n", "k"));
  W.run();
  CHECK(W.server("p").count("EXEC r_one k") == 1);
  CHECK(W.server("p").count("EXEC r_two k") == 1);
  B->submit(execute("unknown", "k"));
  W.run();
  CHECK(W.last().Error == ReplyCode::NoStatement);
}

TEST_CASE("a transaction stays on one connection and commits there") {
  EngineFixture W;
  auto S = W.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  S->submit(read("b"));
  S->submit(Commit);
  W.run();
  REQUIRE(W.Replies.size() == 4);
  CHECK(W.Replies[1].State == TransactionState::Open);
  CHECK(W.last().State == TransactionState::None);
  CHECK(W.last().Signature == "sig");
}

// PINNED: the statement must not run when its transaction did not begin.
TEST_CASE("a statement is not sent before BEGIN has succeeded") {
  EngineFixture W;
  ServerReply No;
  No.Error = ReplyCode::ReadOnly;
  W.server("p").Answers["BEGIN"] = No;
  auto S = W.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  W.advance(50ms);
  CHECK(W.server("p").count("BEGIN") >= 1);
  CHECK(W.server("p").count("WRITE a x") == 0);
}

TEST_CASE("a rollback is answered at once and sent to the server") {
  EngineFixture W;
  auto S = W.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  W.run();
  S->submit(Rollback);
  W.run();
  CHECK(W.last().State == TransactionState::None);
  CHECK(W.server("p").count("ROLLBACK") == 1);
}

TEST_CASE("a caller that leaves ends its transaction") {
  EngineFixture W;
  auto S = W.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  W.run();
  S->close();
  W.run();
  CHECK(W.server("p").count("ROLLBACK") == 1);
  CHECK(W.SessionEngine->sessionCount() == 0);
}

// REFUSED: the promise that nothing is kept must be true.
TEST_CASE("an idle transaction is rolled back before it is called aborted") {
  EngineFixture W;
  auto S = W.open("latest");
  S->submit(Begin);
  S->submit(write("a"));
  W.run();
  W.advance(4s);
  CHECK(W.server("p").count("ROLLBACK") == 1);
  std::size_t Before = W.Replies.size();
  S->submit(Commit);
  W.run();
  REQUIRE(W.Replies.size() == Before + 1);
  CHECK(W.last().Error == ReplyCode::Aborted);
  CHECK(W.server("p").count("COMMIT") == 0);
}

TEST_CASE("after an error only the end of the transaction is accepted") {
  EngineFixture W;
  ServerReply Failed;
  Failed.Error = ReplyCode::Failed;
  auto S = W.open("latest");
  S->submit(Begin);
  S->submit(read("a"));
  W.run();
  W.server("p").Answers["READ b"] = Failed;
  S->submit(read("b"));
  S->submit(read("c"));
  W.run();
  CHECK(W.last().Error == ReplyCode::Malformed);
  S->submit(Rollback);
  W.run();
  CHECK_FALSE(W.last().Error);
  CHECK(W.last().State == TransactionState::None);
}

TEST_CASE("what is not a statement is refused without a server") {
  EngineFixture W;
  auto S = W.open("latest");
  S->submit(simple(StatementKind::Invalid, "DROP"));
  W.run();
  CHECK(W.last().Error == ReplyCode::Malformed);
  S->submit(Commit);
  W.run();
  CHECK(W.last().Error == ReplyCode::Malformed);
}
