// Transactions that are ended because another customer has no connection.

#include "customerfixture.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// Connections to a server that the proxy of the fixture may open.
constexpr std::size_t ConnectionShare = 9;

/// Opens a transaction with one write for each connection to the primary.
template <typename Advance>
std::vector<std::shared_ptr<Session>> fillWithTransactions(EngineFixture &F,
                                                           Advance Wait) {
  std::vector<std::shared_ptr<Session>> Sessions;
  for (std::size_t I = 0; I < ConnectionShare; ++I) {
    Sessions.push_back(F.open("latest", "kn"));
    Sessions.back()->submit(Begin);
    Sessions.back()->submit(write("t" + std::to_string(I)));
    Wait(20ms);
    REQUIRE(F.last().Signature == "sig");
  }
  return Sessions;
}

/// Sends a write and a commit in each session. Returns the number of
/// transactions that were answered ABORTED, and checks that those were ended
/// as a whole.
template <typename Advance>
std::size_t commitAll(EngineFixture &F, FakeServer &Primary, Advance Wait,
                      std::vector<std::shared_ptr<Session>> &Sessions) {
  std::size_t Aborted = 0;
  for (std::size_t I = 0; I < Sessions.size(); ++I) {
    std::string Id = "u" + std::to_string(I);
    std::size_t Commits = Primary.count("COMMIT");
    Sessions[I]->submit(write(Id));
    Wait(20ms);
    bool Ended = F.last().Error == ReplyCode::Aborted;
    Aborted += Ended ? 1 : 0;
    CHECK(Primary.count("WRITE " + Id + " x") == (Ended ? 0 : 1));
    Sessions[I]->submit(Commit);
    Wait(20ms);
    CHECK((F.last().Error == ReplyCode::Aborted) == Ended);
    CHECK(F.last().State == TransactionState::None);
    CHECK(Primary.count("COMMIT") == Commits + (Ended ? 0 : 1));
  }
  return Aborted;
}

} // namespace

// Load: callers that stay idle inside transactions and hold all connections.
// Guards against other customers that are refused until the idle timeout, and
// against an ended transaction of which a part is kept.
TEST_CASE("a transaction at rest is ended for another customer") {
  EngineFixture F;
  setNorthAndSouth(F);
  auto Wait = [&](Duration D) { F.advance(D); };
  auto Sessions = fillWithTransactions(F, Wait);
  FakeServer &Primary = F.server("p");
  F.advance(600ms);
  std::size_t Answered = F.Replies.size();
  SUBCASE("once it has rested for a second") {
    F.open("latest", "ks")->submit(read("s"));
    F.advance(100ms);
    CHECK(F.Replies.size() == Answered);
    CHECK(Primary.ClosedInTransaction == 0);
    F.advance(200ms);
    REQUIRE(F.Replies.size() == Answered + 1);
    CHECK(F.last().Signature == "sig");
    CHECK(Primary.ClosedInTransaction == 1);
    CHECK(commitAll(F, Primary, Wait, Sessions) == 1);
  }
  // Guards against a statement of the large customer that takes the place.
  SUBCASE("and its place goes to that customer") {
    Primary.Dialed.clear();
    F.open("latest", "kn")->submit(read("n"));
    F.open("latest", "ks")->submit(read("s"));
    F.advance(300ms);
    REQUIRE(F.Replies.size() == Answered + 2);
    CHECK(Primary.Dialed.front() == "south");
    CHECK(Primary.ClosedInTransaction == 1);
  }
  SUBCASE("not for its own customer") {
    F.open("latest", "kn")->submit(read("n"));
    F.advance(500ms);
    CHECK(F.Replies.size() == Answered);
    CHECK(commitAll(F, Primary, Wait, Sessions) == 0);
  }
  SUBCASE("not while nobody waits") {
    F.advance(900ms);
    CHECK(commitAll(F, Primary, Wait, Sessions) == 0);
  }
  SUBCASE("not while a statement of it is in progress") {
    Primary.Unresponsive = true;
    for (const auto &S : Sessions)
      S->submit(write("slow"));
    F.open("latest", "ks")->submit(read("s"));
    F.advance(500ms);
    CHECK(Primary.ClosedInTransaction == 0);
  }
}

// The same for transactions that another proxy holds. Guards against an owner
// that considers only the sessions of its own callers.
TEST_CASE("a forwarded transaction at rest is ended for another customer") {
  ProxyPair P;
  setNorthAndSouth(P.Entry);
  setNorthAndSouth(P.Owner);
  P.advance(500ms);
  auto Wait = [&](Duration D) { P.advance(D); };
  auto Sessions = fillWithTransactions(P.Entry, Wait);
  FakeServer &Primary = P.Owner.server("p");
  P.advance(600ms);
  std::size_t Answered = P.Entry.Replies.size();
  P.Entry.open("latest", "ks")->submit(read("s"));
  P.advance(100ms);
  CHECK(P.Entry.Replies.size() == Answered);
  CHECK(Primary.ClosedInTransaction == 0);
  P.advance(250ms);
  REQUIRE(P.Entry.Replies.size() == Answered + 1);
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(Primary.count("READ s") == 1);
  CHECK(Primary.ClosedInTransaction == 1);
  CHECK(commitAll(P.Entry, Primary, Wait, Sessions) == 1);
}
