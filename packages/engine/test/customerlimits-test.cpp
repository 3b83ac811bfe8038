// Limits of customers: the permission that an operation needs.

#include "customerfixture.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// A limiter that admits the given number of operations.
struct CountingLimiter {
  explicit CountingLimiter(EngineFixture &F, unsigned Admit) : Left(Admit) {
    F.SessionEngine->setLimiter({[this](const CustomerId &, auto Done) {
                                   ++Asked;
                                   if (Deferred)
                                     Pending.push_back(Done);
                                   else if (Left == 0)
                                     Done({false, 300ms});
                                   else
                                     Done({true, (--Left, 0ms)});
                                 },
                                 [this](const CustomerId &) { ++GivenBack; }});
  }

  unsigned Left;
  unsigned Asked = 0;
  unsigned GivenBack = 0;
  bool Deferred = false;
  std::vector<std::function<void(OperationPermit)>> Pending;
};

} // namespace

TEST_CASE("a limit refuses the operations beyond it and not their statements") {
  EngineFixture F;
  setNorthAndSouth(F);
  CountingLimiter Limiter(F, 1);
  auto S = F.open("latest", "kn");
  S->submit(Begin);
  S->submit(write("a"));
  S->submit(write("b"));
  S->submit(Commit);
  F.advance(100ms);
  CHECK(Limiter.Asked == 1);
  CHECK(F.last().Signature == "sig");
  S->submit(read("c"));
  F.advance(100ms);
  CHECK(F.last().Error == ReplyCode::Busy);
  CHECK(F.last().ErrorText.ends_with("retry after 300 ms"));
  CHECK(F.server("p").count("READ c") == 0);
}

// Guards against permissions that are lost with operations that did not run.
TEST_CASE("an operation that did not run returns its permission") {
  EngineFixture F;
  setNorthAndSouth(F);
  CountingLimiter Limiter(F, 5);
  F.server("p").RefusesConnections = true;
  F.open("latest", "kn")->submit(read("a"));
  F.advance(3s);
  REQUIRE(F.last().Error == ReplyCode::Busy);
  CHECK(Limiter.GivenBack == 1);
}

// Guards against a statement that runs for a caller that has left while its
// operation waited for permission.
TEST_CASE("a caller that leaves before the permission runs nothing") {
  EngineFixture F;
  setNorthAndSouth(F);
  CountingLimiter Limiter(F, 5);
  Limiter.Deferred = true;
  auto S = F.open("latest", "kn");
  S->submit(read("a"));
  S->close(SessionEnd::CallerLeft);
  REQUIRE(Limiter.Pending.size() == 1);
  Limiter.Pending.front()({true, {}});
  F.advance(100ms);
  CHECK(F.server("p").count("READ a") == 0);
  CHECK(Limiter.GivenBack == 1);
}

// Guards against a statement that runs because its key was removed while its
// operation waited for permission.
TEST_CASE("a key that is removed before the permission runs nothing") {
  EngineFixture F;
  setNorthAndSouth(F);
  CountingLimiter Limiter(F, 5);
  Limiter.Deferred = true;
  F.open("latest", "kn")->submit(read("a"));
  REQUIRE(Limiter.Pending.size() == 1);
  setCustomers(F, {{"south", {"ks"}, {}}});
  Limiter.Pending.front()({true, {}});
  F.advance(100ms);
  REQUIRE(F.Replies.size() == 1);
  CHECK(F.last().Error == ReplyCode::NotAuthorized);
  CHECK(F.server("p").count("READ a") == 0);
}

// Guards against operations beyond the limit: a permission was returned
// although a server had received the operation through the owner.
TEST_CASE("an operation that reached a server keeps its permission") {
  ProxyPair P;
  setNorthAndSouth(P.Entry);
  setNorthAndSouth(P.Owner);
  CountingLimiter Limiter(P.Entry, 5);
  ServerReply Busy;
  Busy.Error = ReplyCode::Busy;
  P.Owner.server("p").Answers["READ a"] = Busy;
  P.Entry.open("latest", "kn")->submit(read("a"));
  P.advance(3s);
  REQUIRE(P.Owner.server("p").count("READ a") != 0);
  REQUIRE(P.Entry.last().Error == ReplyCode::Busy);
  CHECK(Limiter.GivenBack == 0);
}
