#include "kernel/connectioncache.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

const Instant Start{100s};

} // namespace

TEST_CASE("the connection of the customer with the least use is closed first") {
  CustomerUse Use;
  for (int I = 0; I < 3; ++I)
    recordUse(Use, "large", Start);
  recordUse(Use, "small", Start);
  std::vector<CachedConnection> Open = {{"large", false, Start - 5s},
                                        {"small", false, Start}};
  CHECK(chooseEviction(Open, Use, {"new", nullptr}, Start) == 1);
}

TEST_CASE("among equals the connection that was used longest ago is closed") {
  std::vector<CachedConnection> Open = {{"a", false, Start - 1s},
                                        {"b", false, Start - 2s}};
  CHECK(chooseEviction(Open, {}, {"new", nullptr}, Start) == 1);
}

// Guards against a large customer whose second connection lies idle while
// others open one for each statement.
TEST_CASE("a second idle connection of a customer is closed first") {
  CustomerUse Use;
  for (int I = 0; I < 9; ++I)
    recordUse(Use, "large", Start);
  std::vector<CachedConnection> Open = {{"large", false, Start - 1s},
                                        {"large", false, Start},
                                        {"small", false, Start - 9s}};
  CHECK(chooseEviction(Open, Use, {"new", nullptr}, Start) == 0);
}

// Guards against a transaction whose connection is closed for another customer,
// and against a statement that loses its connection just before it runs.
TEST_CASE("connections in use, wanted or of the same customer are kept") {
  std::vector<CachedConnection> Open = {
      {"busy", true, Start}, {"waiting", false, Start}, {"new", false, Start}};
  WaitingByCustomer Waiting = {{"waiting", 1}, {"new", 1}};
  CHECK_FALSE(chooseEviction(Open, {}, {"new", &Waiting}, Start));
  CHECK(chooseEviction(Open, {}, {"new", nullptr}, Start) == 1);
}

// Guards against a customer that loses its connection to a status query.
TEST_CASE("nothing is closed for a request of the proxy itself") {
  std::vector<CachedConnection> Open = {{"a", false, Start}};
  CHECK_FALSE(chooseEviction(Open, {}, requestOfProxy(), Start));
}

// Guards against a server that goes on refusing connections because those
// without a customer are never closed.
TEST_CASE("any idle connection is closed if there are too many") {
  std::vector<CachedConnection> Open = {{"busy", true, Start},
                                        {"", false, Start}};
  CHECK(chooseToClose(Open, {}, Start) == 1);
  Open.pop_back();
  CHECK_FALSE(chooseToClose(Open, {}, Start));
}

TEST_CASE("uses are forgotten with time") {
  CustomerUse Use;
  recordUse(Use, "a", Start);
  CHECK(recentUse(Use, "a", Start + 10s) == doctest::Approx(0.5));
  recordUse(Use, "b", Start + 2min);
  CHECK(Use.Rates.count("a") == 0);
}

// Guards against owners that together use up the connections of a server, so
// that the server refuses the next proxy.
TEST_CASE("the shares of all owners leave the reserve free") {
  for (unsigned Cap : {1U, 9U, 46U, 56U, 82U})
    for (std::size_t Sharers : {1, 3, 4}) {
      unsigned Share = customerConnectionShare(Cap, Sharers);
      CHECK(Share >= 1);
      if (Cap > 2 * Sharers)
        CHECK(Share * Sharers + connectionReserve(Cap) <= Cap);
    }
  CHECK(customerConnectionShare(56, 3) == 16);
}

// Load: 87 customers whose loads fall with their rank, 16 connections. Each
// miss costs a slot of the server. Least recently used alone keeps connections
// of customers that come once.
TEST_CASE("customers with most of the load keep their connections") {
  std::vector<double> Weights;
  Weights.reserve(87);
  for (int I = 0; I < 87; ++I)
    Weights.push_back(1.0 / (1 + I));
  std::mt19937 Random(1);
  std::discrete_distribution<int> Draw(Weights.begin(), Weights.end());
  std::vector<CachedConnection> Open;
  CustomerUse Use;
  Instant Now = Start;
  unsigned Misses = 0;
  constexpr unsigned Statements = 5000;
  for (unsigned I = 0; I < Statements; ++I) {
    Now += 20ms;
    CustomerId Customer = "c" + std::to_string(Draw(Random));
    recordUse(Use, Customer, Now);
    auto Hit =
        std::find_if(Open.begin(), Open.end(), [&](const CachedConnection &C) {
          return C.Customer == Customer;
        });
    if (Hit != Open.end()) {
      Hit->LastUsed = Now;
      continue;
    }
    ++Misses;
    if (Open.size() == 16)
      Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(*chooseEviction(
                                    Open, Use, {Customer, nullptr}, Now)));
    Open.push_back({Customer, false, Now});
  }
  // The 16 largest have two thirds of the load.
  CHECK(Misses < Statements * 45 / 100);
}

// Guards against a customer that spreads over all replicas and needs a
// connection to each.
TEST_CASE("each customer prefers the servers in an order of its own") {
  std::set<std::string> First;
  for (int I = 0; I < 50; ++I) {
    std::string Customer = "c" + std::to_string(I);
    First.insert(affinityRank(Customer, "r1") < affinityRank(Customer, "r2")
                     ? "r1"
                     : "r2");
    CHECK(affinityRank(Customer, "r1") == affinityRank(Customer, "r1"));
  }
  CHECK(First.size() == 2);
}

// Guards against a small customer that pays for the idle callers of a large
// one.
TEST_CASE("the customer with the most resting transactions gives one up") {
  std::vector<RestingTransaction> Resting = {{"small", "p", Start - 9s},
                                             {"large", "p", Start - 2s},
                                             {"large", "p", Start - 3s},
                                             {"large", "p", Start - 1500ms}};
  using Chosen = std::vector<TransactionToEnd>;
  CHECK(chooseTransactionsToEnd(Resting, {{"a", {"p"}}}, Start) ==
        Chosen{{2, "a"}});
  CHECK(chooseTransactionsToEnd(Resting, {{"a", {"p"}}, {"b", {"p"}}}, Start) ==
        Chosen{{2, "a"}, {1, "b"}});
  // Both hold one then, and the oldest is ended.
  CHECK(chooseTransactionsToEnd(Resting,
                                {{"a", {"p"}}, {"b", {"p"}}, {"c", {"p"}}},
                                Start) == Chosen{{2, "a"}, {1, "b"}, {0, "c"}});
  CHECK(chooseTransactionsToEnd(Resting, {}, Start).empty());
}

// Guards against transactions that are ended although they rest for a moment
// only, or without use for the statement that waits.
TEST_CASE("transactions that rest briefly or elsewhere are kept") {
  std::vector<RestingTransaction> Resting = {{"own", "p", Start - 2s},
                                             {"brief", "p", Start - 1s},
                                             {"other", "r", Start - 2s}};
  CHECK(chooseTransactionsToEnd(Resting, {{"own", {"p"}}}, Start).empty());
  CHECK(chooseTransactionsToEnd(Resting, {{"own", {"p"}}}, Start + 1ms) ==
        std::vector<TransactionToEnd>{{1, "own"}});
  CHECK(chooseTransactionsToEnd(Resting, {{"own", {"p", "r"}}}, Start) ==
        std::vector<TransactionToEnd>{{2, "own"}});
}
