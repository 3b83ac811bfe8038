#include "control/configreader.h"
#include "fakestore.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// Bound for rules to be in force everywhere, see Fleet::addProxy.
constexpr Duration ConfigApplyTime = 3s;

bool allHave(Fleet &F, std::uint64_t Version) {
  return std::all_of(F.Members.begin(), F.Members.end(), [&](const auto &P) {
    return P->SessionEngine->config().Version >= Version;
  });
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Without these lines a proxy that was never told of newer rules looks like one
// that could not read them.
TEST_CASE("each step to newer rules leaves a line") {
  Fleet F(6, 1);
  F.advance(10s);
  std::size_t I = F.relayedProxy();
  F.proxy(I).Events->take();
  F.Keys.put("rules", "2");
  F.advance(2s);
  std::string Lines = F.proxy(I).Events->take();
  CHECK(contains(Lines, "\"configuration-heard\""));
  CHECK(contains(Lines, "\"configuration-read\",\"source\":\"store\","
                        "\"outcome\":\"ok\""));
  CHECK(contains(Lines, "\"configuration-applied\",\"version\":2"));
  CHECK(F.proxy(I).Control->configStatus().Version == 2);
  CHECK_FALSE(F.proxy(I).Control->configStatus().Outdated);
}

// CONFIG: rules must not come back older.
TEST_CASE("rules whose version is not newer are rejected with a line") {
  Fleet F(1);
  F.advance(2s);
  F.Keys.put("rules", "5");
  F.advance(2s);
  F.proxy(0).Events->take();
  F.Keys.put("rules", "4");
  F.advance(2s);
  CHECK(F.proxy(0).SessionEngine->config().Version == 5);
  CHECK(contains(F.proxy(0).Events->take(),
                 "\"configuration-rejected\",\"version\":4,\"in_force\":5"));
  F.Keys.put("rules", "6");
  F.advance(2s);
  CHECK(F.proxy(0).SessionEngine->config().Version == 6);
}

TEST_CASE("a refused database leaves a line with the version in force") {
  Fleet F(1);
  F.advance(2s);
  F.proxy(0).Events->take();
  CHECK(F.proxy(0).SessionEngine->open("unknown", {}) == nullptr);
  CHECK(contains(F.proxy(0).Events->take(),
                 "\"database-refused\",\"id\":\"\",\"database\":\"unknown\","
                 "\"version\":1"));
}

// CONFIG: a read of newer rules over a connection that had gone silent waited
// for longer than the bound, and no other one was begun meanwhile.
TEST_CASE("rules are in force in time after connections went silent") {
  for (int Offset = 0; Offset < 24; ++Offset) {
    Fleet F(8, 4);
    F.advance(10s + Offset * 37ms);
    for (auto &P : F.Members)
      F.Keys.HungConnections.insert(P->Id);
    F.advance(Offset * 97ms);
    F.Keys.put("rules", "2");
    F.advance(ConfigApplyTime);
    CHECK(allHave(F, 2));
  }
}

// CONFIG: proxies that the store turns away were told by others that there are
// newer rules, but never which.
TEST_CASE("rules reach proxies that the store turns away") {
  using Ids = std::vector<std::string>;
  for (const Ids &TurnedAway :
       {Ids{"p0"}, Ids{"p1", "p5"}, Ids{"p0", "p2", "p5", "p7"},
        Ids{"p1", "p2", "p3", "p4", "p5", "p6", "p7"}}) {
    for (bool Rejecting : {false, true}) {
      Fleet F(8, 4);
      F.advance(10s);
      F.Keys.PartitionedProxies = {TurnedAway.begin(), TurnedAway.end()};
      F.Keys.Rejecting = Rejecting;
      for (std::uint64_t Version = 2; Version < 8; ++Version) {
        F.advance(Version * 430ms);
        F.Keys.put("rules", std::to_string(Version));
        F.advance(ConfigApplyTime);
        CHECK(allHave(F, Version));
      }
    }
  }
}

// Load pattern: rules that change often must not be sent between proxies while
// the store answers.
TEST_CASE("proxies ask the store for newer rules while it answers") {
  Fleet F(8, 4);
  F.advance(10s);
  for (auto &P : F.Members)
    P->Events->take();
  for (int Version = 2; Version < 12; ++Version) {
    F.Keys.put("rules", std::to_string(Version));
    F.advance(600ms);
  }
  for (auto &P : F.Members)
    CHECK_FALSE(contains(P->Events->take(), "\"source\":\"p"));
}

// CONFIG: what could not be decoded was taken as the newest rules.
TEST_CASE("invalid rules leave those in force") {
  for (const std::string &Bad :
       {std::string(InvalidConfig), std::string(UselessConfig) + "3"}) {
    Fleet F(8, 4);
    F.advance(10s);
    F.Keys.put("rules", "2");
    F.advance(ConfigApplyTime);
    std::uint64_t Valid = F.proxy(0).Control->currentConfig().Revision;
    F.Keys.ConfigsSent.clear();
    F.Keys.put("rules", Bad);
    for (int I = 0; I < 20; ++I) {
      F.advance(500ms);
      CHECK(F.leaseCount() == 8);
    }
    for (auto &P : F.Members) {
      CHECK(P->SessionEngine->config().Version == 2);
      CHECK(P->Control->currentConfig().Revision == Valid);
      CHECK_FALSE(P->Control->configStatus().Outdated);
      CHECK(contains(P->Events->take(), "\"configuration-rejected\""));
      // Not read again and again.
      CHECK(F.Keys.ConfigsSent[P->Id] <= 3);
    }
    F.Keys.put("rules", "4");
    F.advance(ConfigApplyTime);
    CHECK(allHave(F, 4));
  }
}

// A proxy that starts while the stored rules are invalid would serve nothing.
TEST_CASE("a proxy that starts takes the last valid rules from others") {
  Fleet F(8, 4);
  F.advance(10s);
  F.Keys.put("rules", "2");
  F.advance(ConfigApplyTime);
  F.Keys.put("rules", InvalidConfig);
  F.advance(1s);
  F.addProxy("late");
  F.advance(ConfigApplyTime);
  CHECK(allHave(F, 2));
}

// CONFIG: checks whose condition on the rules never held ended all permissions.
TEST_CASE("rules that are removed and written again") {
  Fleet F(8, 4);
  F.advance(10s);
  F.Keys.Items.erase("rules");
  ++F.Keys.Revision;
  for (int I = 0; I < 10; ++I) {
    F.advance(500ms);
    CHECK(F.leaseCount() == 8);
    CHECK(allHave(F, 1));
  }
  F.Keys.put("rules", "2");
  F.advance(ConfigApplyTime);
  CHECK(allHave(F, 2));
}

// A proxy that started between the two writes knows another revision than the
// others, which must not take it for news for ever.
TEST_CASE("rules that are written again with an old version are no news") {
  for (const char *Again : {"5", "4"}) {
    Fleet F(3);
    F.advance(10s);
    F.Keys.put("rules", "5");
    F.advance(ConfigApplyTime);
    F.Keys.put("rules", Again);
    F.advance(ConfigApplyTime);
    std::size_t Late = 0;
    while (Late == 0 || !F.Members.back()->PeerProxies->isPoller()) {
      F.addProxy("late" + std::to_string(Late++));
      F.advance(5s);
    }
    F.advance(8s);
    for (auto &P : F.Members) {
      ConfigStatus State = P->Control->configStatus();
      CHECK_FALSE(State.Outdated);
      CHECK(State.PollAge < 2s);
    }
    CHECK(F.leaseCount() == 3 + Late);
  }
}
