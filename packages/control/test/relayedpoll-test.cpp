#include "control/coordinator.h"
#include "fakestore.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// Calls of the proxies for which others check the store.
std::size_t relayedCalls(Fleet &F) {
  std::size_t Calls = 0;
  for (auto &P : F.Members)
    if (!P->PeerProxies->isPoller())
      Calls += F.Keys.Calls[P->Id];
  return Calls;
}

std::size_t relayedProxies(Fleet &F) {
  std::size_t Count = 0;
  for (auto &P : F.Members)
    Count += P->PeerProxies->isPoller() ? 0 : 1;
  return Count;
}

} // namespace

// Load pattern: calls to the store that grow with the number of proxies.
TEST_CASE("one proxy of a failure domain checks the store for the others") {
  // Idle processes run their timers less often, so that answers get older.
  for (Duration Step : {5ms, 100ms}) {
    Fleet F(12);
    F.advance(10s);
    REQUIRE(relayedProxies(F) == 11);
    F.Step = Step;
    F.Keys.Calls.clear();
    for (int I = 0; I < 40; ++I) {
      F.advance(500ms);
      CHECK(F.leaseCount() == 12);
    }
    // In 20 s two own checks of each, and reads of the registry; the holder of
    // the duty, which may be one of them, reads the proxies' records.
    std::size_t Holder = 20000 / 400 + 20000 / 600;
    CHECK(relayedCalls(F) <= relayedProxies(F) * 8 + Holder);
  }
}

// CONFIG: a proxy that seldom checks the store itself hears of new rules.
TEST_CASE("relayed checks announce a new configuration") {
  Fleet F(12);
  F.advance(10s);
  F.Keys.put("rules", "2");
  F.advance(2s);
  for (auto &P : F.Members)
    CHECK(P->SessionEngine->config().Version == 2);
}

// Load pattern: an outage of the store, in which every refused call costs.
TEST_CASE("an outage of the store costs few calls") {
  for (bool Rejecting : {false, true}) {
    Fleet F(12);
    F.advance(10s);
    F.Keys.Calls.clear();
    F.Keys.Down = true;
    F.Keys.Rejecting = Rejecting;
    F.advance(6s);
    std::size_t All = 0;
    for (const auto &Entry : F.Keys.Calls)
      All += Entry.second;
    CHECK(F.leaseCount() == 12);
    // A check and a watch a second for each proxy, one more check for the
    // checker.
    CHECK(All <= 6 * (2 * 12 + 1));
    F.Keys.Down = false;
    F.advance(3s);
    CHECK(F.leaseCount() == 12);
  }
}

// ONE, STALE: relayed checks never outlast a revocation, whenever it comes.
TEST_CASE("a promotion never overlaps with a relayed permission") {
  for (int Offset = 0; Offset < 20; ++Offset) {
    Fleet F(8);
    F.advance(8s + Offset * 97ms);
    F.Keys.put("servers/a", "draining");
    F.timeToPromotion(10s);
    REQUIRE(F.Promotions.size() == 1);
    CHECK(F.leaseCount() == 0);
  }
}

// ONE: the list of proxies that the duty holder waits for may lack one that
// has just registered; that one must not get a permission from others.
TEST_CASE("a proxy that registers during a promotion gets no permission") {
  for (int Offset = 0; Offset < 24; ++Offset) {
    Fleet F(8);
    F.advance(8s);
    F.Keys.put("servers/a", "draining");
    F.advance(Offset * 60ms);
    if (!F.Promotions.empty())
      break;
    F.addProxy("late");
    F.timeToPromotion(10s);
    REQUIRE(F.Promotions.size() == 1);
    CHECK(F.leaseCount() == 0);
  }
}

// ONE: a proxy that was evicted and reaches only its peers must lose its
// permissions before it is no longer waited for.
TEST_CASE("an evicted proxy does not live on relayed checks") {
  Fleet F(8);
  F.advance(10s);
  std::size_t Victim = 0;
  while (F.proxy(Victim).PeerProxies->isPoller())
    ++Victim;
  std::string Id = F.proxy(Victim).Id;
  F.Keys.PartitionedProxies.insert(Id);
  ProxyRecord Evicted;
  Evicted.Id = Id;
  Evicted.Evicted = true;
  F.Keys.put(proxyKey(Id), encode(Evicted));
  F.advance(EvictedLeaseTime);
  CHECK_FALSE(F.hasLease(Victim));
}

// Failure pattern: a failure domain is cut off while callers still reach it.
TEST_CASE("only a failure domain that is cut off sends its callers away") {
  Fleet F(8, 4);
  F.advance(10s);
  for (int Offset = 0; Offset < 5; ++Offset) {
    for (const char *Id : {"p1", "p5"}) {
      F.Keys.PartitionedProxies.insert(Id);
      F.WithoutDatagrams.insert(Id);
    }
    F.advance(2s);
    for (auto &P : F.Members)
      CHECK(P->Control->isolated() == (P->Id == "p1" || P->Id == "p5"));
    F.Keys.PartitionedProxies.clear();
    F.WithoutDatagrams.clear();
    F.advance(1s);
    for (auto &P : F.Members)
      CHECK_FALSE(P->Control->isolated());
    F.advance(3s + Offset * 230ms);
  }
}

TEST_CASE("an outage of the store isolates nobody") {
  Fleet F(8, 4);
  F.advance(10s);
  F.Keys.Down = true;
  for (int I = 0; I < 40; ++I) {
    F.advance(200ms);
    for (auto &P : F.Members)
      CHECK_FALSE(P->Control->isolated());
  }
}

// Failure pattern: most proxies die at once.
TEST_CASE("a proxy that survives many others is not isolated") {
  Fleet F(8, 4);
  F.advance(10s);
  for (std::size_t I = 1; I < 8; ++I)
    F.proxy(I).Stopped = true;
  for (int I = 0; I < 40; ++I) {
    F.advance(200ms);
    CHECK_FALSE(F.proxy(0).Control->isolated());
  }
}

// ONE: nobody waits for a proxy that has left or was evicted, so its peers must
// not extend its permissions when it no longer checks the store.
TEST_CASE("peers do not extend permissions of a proxy that was evicted") {
  Fleet F(5);
  F.advance(8s);
  ProxyRecord Evicted;
  Evicted.Id = "p2";
  Evicted.Evicted = true;
  F.Keys.put(proxyKey("p2"), encode(Evicted));
  F.advance(11s); // Its own check at the latest.
  F.Keys.put(proxyKey("p2"), encode(Evicted));
  F.proxy(2).Control->leave([] {});
  F.Keys.Down = true;
  for (int I = 0; I < 30; ++I) {
    F.advance(100ms);
    CHECK_FALSE(F.hasLease(2));
  }
}

// Guards against a stand-in that takes its own answers for those of its
// checker: it would neither ask its peers nor probe other failure domains.
TEST_CASE("a failure domain that lost its checker bears an outage") {
  for (std::size_t Domains : {1U, 4U}) {
    Fleet F(12, Domains);
    F.advance(10s);
    for (auto &P : F.Members)
      P->Stopped = P->PeerProxies->isPoller() && P->Id != "p0";
    std::size_t Running = 0;
    for (auto &P : F.Members)
      Running += P->Stopped ? 0 : 1;
    F.advance(3s);
    F.Keys.Down = true;
    for (int I = 0; I < 25; ++I) {
      F.advance(200ms);
      std::size_t Leased = 0;
      for (auto &P : F.Members) {
        if (P->Stopped)
          continue;
        CHECK_FALSE(P->Control->isolated());
        Leased += P->SessionEngine->group("s")->hasLease() ? 1 : 0;
      }
      CHECK(Leased == Running);
    }
  }
}

// Replays trouble-1 of both grown deployments: a third of the proxies lose the
// store and half of them are cut off from the others, so that no quorum of
// peers is left for those that still reach a proxy with the store.
TEST_CASE("a proxy without the store is served by any proxy that has it") {
  Fleet F(9, 3);
  F.advance(10s);
  for (const char *Id : {"p0", "p3", "p6", "p1", "p2"})
    F.Keys.PartitionedProxies.insert(Id);
  for (const char *Id : {"p3", "p6", "p1", "p2"})
    F.WithoutDatagrams.insert(Id);
  F.advance(2s);
  for (int I = 0; I < 20; ++I) {
    F.advance(200ms);
    CHECK(F.hasLease(0));
  }
}

// ONE, STALE: what others know never outlasts a revocation, whenever it comes.
TEST_CASE("a promotion never overlaps with permissions from any proxy") {
  for (int Offset = 0; Offset < 20; ++Offset) {
    Fleet F(9, 3);
    F.advance(10s);
    for (const char *Id : {"p0", "p3", "p6"})
      F.Keys.PartitionedProxies.insert(Id);
    for (const char *Id : {"p3", "p6"})
      F.WithoutDatagrams.insert(Id);
    F.advance(4s + Offset * 97ms);
    CHECK(F.hasLease(0));
    F.Keys.put("servers/a", "draining");
    F.timeToPromotion(10s);
    REQUIRE(F.Promotions.size() == 1);
    CHECK(F.leaseCount() == 0);
  }
}

// A promotion of one group must not end the permissions for all others.
TEST_CASE("a proxy without the store keeps what a promotion does not touch") {
  Fleet F(6, 3);
  F.advance(10s);
  F.Keys.PartitionedProxies.insert("p0");
  for (const char *Id : {"p1", "p2", "p3"})
    F.WithoutDatagrams.insert(Id);
  F.advance(2s);
  PrimaryRecord Other;
  Other.Service = "other";
  Other.Epoch = 1;
  Other.Primary = "x";
  F.Keys.put(groupKey("other"), encode(Other));
  F.Keys.put("rules", "2");
  for (int I = 0; I < 15; ++I) {
    F.advance(200ms);
    CHECK(F.hasLease(0));
  }
}

// Load pattern: each change of a group record once cost every proxy a watch,
// two checks and a write.
TEST_CASE("a promotion costs a proxy one call besides its checker's") {
  Fleet F(12, 3);
  F.advance(25s);
  F.Keys.Calls.clear();
  F.Keys.put("servers/a", "draining");
  F.advance(5s);
  REQUIRE(F.record().Stage == GroupStage::Stable);
  REQUIRE(F.record().Primary != "a");
  CHECK(F.leaseCount() == 12);
  // The acknowledgement, and every fourth proxy's own check in these 5 s; the
  // holder of the duty, which may be one of them, calls 10 times a second.
  CHECK(relayedCalls(F) <= relayedProxies(F) * 3 / 2 + 50);
}

// DRAIN: a server that leaves is noticed although few proxies read the
// registry.
TEST_CASE("changes of the registry reach proxies that do not read it") {
  Fleet F(12, 3);
  F.advance(25s);
  F.Keys.Items.erase("servers/c");
  ++F.Keys.Revision;
  F.advance(5s);
  for (auto &P : F.Members)
    CHECK(P->Control->serverCount() == 2);
}

// ONE, STALE: a proxy that knows a record only from others is waited for when
// that record is replaced.
TEST_CASE("permissions for records of peers never outlast their revocation") {
  for (int Offset = 0; Offset < 12; ++Offset) {
    Fleet F(9, 3);
    F.advance(10s);
    F.Keys.PartitionedProxies.insert("p0");
    F.advance(2s);
    F.Keys.put("servers/a", "draining");
    F.advance(6s);
    REQUIRE(F.Promotions.size() == 1);
    CHECK(F.hasLease(0));
    F.advance(Offset * 97ms);
    F.Keys.put("servers/" + F.Primary, "draining");
    F.timeToPromotion(10s, 1);
    REQUIRE(F.Promotions.size() == 2);
    CHECK(F.leaseCount() == 0);
  }
}

// A restarted proxy has forgotten what it acknowledged, so it takes no record
// from peers before it has read the store.
TEST_CASE("a proxy that has not read the store takes no records from peers") {
  Fleet F(6, 3);
  F.advance(8s);
  F.Keys.PartitionedProxies.insert("late");
  F.addProxy("late");
  PeerMessage M;
  M.IsRequest = false;
  M.Records = {{F.record(), 1000}};
  F.Members.back()->PeerProxies->received("p0", encode(M));
  F.advance(2s);
  CHECK_FALSE(F.hasLease(6));
  CHECK(F.Members.back()->SessionEngine->group("s") == nullptr);
}
