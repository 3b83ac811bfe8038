#include "kernel/sessionstate.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

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
    RC_ASSERT(!Prepare || Next.Prepared.count(P) == 1);
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

// Guards against a statement that runs under the name of another one.
TEST_CASE("statements that differ have different names on a connection") {
  ConnectionState C;
  std::set<std::string> Names;
  for (std::size_t I = 0; I < MaxPreparedPerConnection; ++I) {
    PreparedStatement P{I % 2 == 0, "q" + std::to_string(I / 2)};
    auto Steps = setupSteps(C, {}, &P);
    REQUIRE(Steps.size() == 1);
    CHECK(Names.insert(Steps.back().Name).second);
    C = after(C, Steps);
  }
  PreparedStatement Last{true, "last"};
  CHECK(setupSteps(C, {}, &Last).front().Kind == SetupKind::Reset);
}

// Guards against shapes with blanks or line ends that change the words of
// PREPARE and EXEC.
TEST_CASE("the name of a statement does not depend on the bytes of its shape") {
  CHECK(rc::check([](const std::string &Shape, bool Write) {
    PreparedStatement P{Write, Shape};
    auto Steps = setupSteps({}, {}, &P);
    RC_ASSERT(Steps.back().Name == "a");
    RC_ASSERT(Steps.back().Prepared == P);
  }));
}

TEST_CASE("a connection is reset before its shapes take too much memory") {
  PreparedStatement Long{false, std::string(MaxShapeBytesPerConnection, 'x')};
  ConnectionState C = after({}, setupSteps({}, {}, &Long));
  PreparedStatement P{false, "q"};
  auto Steps = setupSteps(C, {}, &P);
  REQUIRE(Steps.size() == 2);
  CHECK(Steps[0].Kind == SetupKind::Reset);
  CHECK(after(C, Steps).ShapeBytes == 1);
  // A reset could end an open transaction.
  Steps = setupSteps(C, {}, &P, true);
  REQUIRE(Steps.size() == 1);
  CHECK(Steps[0].Kind == SetupKind::Prepare);
}
