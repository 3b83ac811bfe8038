#include "kernel/sessionstate.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassloom;

namespace {

ConnectionState after(ConnectionState C, const std::vector<SetupStep> &Steps) {
  for (const SetupStep &Step : Steps)
    apply(C, Step);
  return C;
}

} // namespace

// Guards against variables of another session on a pooled connection.
TEST_CASE("after the setup a connection has exactly the session's variables") {
  CHECK(rc::check([](std::map<std::string, std::string> Before,
                     std::map<std::string, std::string> Wanted, bool Prepare) {
    ConnectionState C;
    C.Variables.insert(Before.begin(), Before.end());
    SessionState S;
    S.Variables.insert(Wanted.begin(), Wanted.end());
    PreparedStatement P{true, "q1"};
    ConnectionState Next = after(C, setupSteps(C, S, Prepare ? &P : nullptr));
    RC_ASSERT(Next.Variables == S.Variables);
    RC_ASSERT(!Prepare || Next.Prepared.count(serverStatementName(P)) == 1);
  }));
}

TEST_CASE("a connection in the right state needs no setup") {
  ConnectionState C;
  SessionState S;
  S.Variables["a"] = "1";
  PreparedStatement P{false, "q"};
  C = after(C, setupSteps(C, S, &P));
  CHECK(setupSteps(C, S, &P).empty());
}

TEST_CASE("after a reset a needed statement is prepared again") {
  ConnectionState C;
  SessionState S;
  PreparedStatement P{false, "q"};
  C = after(C, setupSteps(C, S, &P));
  C.Variables["other"] = "1";
  auto Steps = setupSteps(C, S, &P);
  REQUIRE(Steps.size() == 2);
  CHECK(Steps[0].Kind == SetupKind::Reset);
  CHECK(Steps[1].Kind == SetupKind::Prepare);
}

TEST_CASE("statements that differ have different names") {
  CHECK(serverStatementName({true, "q"}) != serverStatementName({false, "q"}));
  CHECK(serverStatementName({true, "q"}) != serverStatementName({true, "r"}));
}
