#include "control/coordinator.h"
#include "fakestore.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// Number of store calls of the proxies that are not pollers.
std::size_t nonPollerCalls(Fleet &F) {
  std::size_t Calls = 0;
  for (auto &P : F.Members)
    if (!P->PeerProxies->isPoller())
      Calls += F.Keys.Calls[P->Id];
  return Calls;
}

std::size_t nonPollerCount(Fleet &F) {
  std::size_t Count = 0;
  for (auto &P : F.Members)
    Count += P->PeerProxies->isPoller() ? 0 : 1;
  return Count;
}

} // namespace

// Guards against store calls that grow with the number of proxies.
TEST_CASE("one proxy of a failure domain polls the store for the others") {
  // Idle processes run their timers less often, so the answers they relay are
  // older.
  for (Duration Step : {5ms, 100ms}) {
    Fleet F(12);
    F.advance(10s);
    REQUIRE(nonPollerCount(F) == 11);
    F.Step = Step;
    F.Keys.Calls.clear();
    for (int I = 0; I < 40; ++I) {
      F.advance(500ms);
      CHECK(F.leaseCount() == 12);
    }
    // In 20 s each of them makes two polls of its own and reads the list of
    // servers. One of them may hold the promotion lock, whose holder also reads
    // the registrations.
    std::size_t Holder = 20000 / 400 + 20000 / 600;
    CHECK(nonPollerCalls(F) <= nonPollerCount(F) * 8 + Holder);
  }
}

// Guards against requests to proxies of other failure domains, and promotions
// that wait for leases which such a request may have extended. Load pattern:
// hundreds of idle proxies, whose timers run late.
TEST_CASE("proxies ask only their poller while it polls in time") {
  Fleet F(12, 3);
  F.advance(10s);
  F.Step = 50ms;
  for (int I = 0; I < 40; ++I) {
    F.advance(500ms);
    for (auto &P : F.Members)
      for (const ProxyId &Id : P->PeerProxies->answeredSince(F.Time.Now - 1s))
        CHECK(F.find(Id)->Domain == P->Domain);
  }
}

// A proxy that seldom polls the store itself must still apply a new
// configuration in time.
TEST_CASE("relayed polls announce a new configuration") {
  Fleet F(12);
  F.advance(10s);
  F.Keys.put("rules", "2");
  F.advance(2s);
  for (auto &P : F.Members)
    CHECK(P->SessionEngine->config().Version == 2);
}

// Guards against many calls during an outage of the store, when every refused
// call costs.
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
    // A poll and a watch a second for each proxy, and one more poll for the
    // poller.
    CHECK(All <= 6 * (2 * 12 + 1));
    F.Keys.Down = false;
    F.advance(3s);
    CHECK(F.leaseCount() == 12);
  }
}

// Guards against two primaries in use, and against stale reads: a lease that a
// relayed poll has extended must end before the promotion, at whatever time the
// revocation comes.
TEST_CASE("a promotion never overlaps with a lease from a relayed poll") {
  for (int Offset = 0; Offset < 20; ++Offset) {
    Fleet F(8);
    F.advance(8s + Offset * 97ms);
    F.Keys.put("servers/a", "draining");
    F.timeToPromotion(10s);
    REQUIRE(F.Promotions.size() == 1);
    CHECK(F.leaseCount() == 0);
  }
}

// Guards against two primaries in use: the list of proxies that the promotion
// waits for may lack one that has just registered, so that proxy must not get a
// primary lease from its peers.
TEST_CASE("a proxy that registers during a promotion gets no primary lease") {
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

// Guards against two primaries in use: a proxy that was evicted and reaches
// only its peers must lose its primary leases before the promotion stops
// waiting for it.
TEST_CASE("relayed polls do not keep the leases of an evicted proxy") {
  Fleet F(8);
  F.advance(10s);
  std::size_t EvictedProxy = 0;
  while (F.proxy(EvictedProxy).PeerProxies->isPoller())
    ++EvictedProxy;
  std::string Id = F.proxy(EvictedProxy).Id;
  F.Keys.PartitionedProxies.insert(Id);
  ProxyRecord Evicted;
  Evicted.Id = Id;
  Evicted.Evicted = true;
  F.Keys.put(proxyKey(Id), encode(Evicted));
  F.advance(EvictedLeaseTime);
  CHECK_FALSE(F.hasLease(EvictedProxy));
}

// A failure domain is partitioned while callers still reach its proxies.
TEST_CASE("only a partitioned failure domain is isolated") {
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

TEST_CASE("an outage of the store isolates no proxy") {
  Fleet F(8, 4);
  F.advance(10s);
  F.Keys.Down = true;
  for (int I = 0; I < 40; ++I) {
    F.advance(200ms);
    for (auto &P : F.Members)
      CHECK_FALSE(P->Control->isolated());
  }
}

// Most proxies fail at once.
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

// Guards against two primaries in use: promotions do not wait for a proxy that
// has left or was evicted, so its peers must not extend its primary leases when
// it no longer polls the store.
TEST_CASE("peers do not extend leases of a proxy that was evicted") {
  Fleet F(5);
  F.advance(8s);
  ProxyRecord Evicted;
  Evicted.Id = "p2";
  Evicted.Evicted = true;
  F.Keys.put(proxyKey("p2"), encode(Evicted));
  F.advance(11s); // By now its own poll has found the eviction.
  F.Keys.put(proxyKey("p2"), encode(Evicted));
  F.proxy(2).Control->leave([] {});
  F.Keys.Down = true;
  for (int I = 0; I < 30; ++I) {
    F.advance(100ms);
    CHECK_FALSE(F.hasLease(2));
  }
}

// Guards against a second poller that takes its own answers for those of the
// first one: it would neither ask its peers nor ping other failure domains.
TEST_CASE(
    "a failure domain that lost its poller keeps its leases in an outage") {
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

// A third of the proxies lose the store and half of them are also partitioned
// from the others. No quorum of peers is left for the ones that still reach a
// proxy with the store.
TEST_CASE("any proxy with the store extends leases of a proxy without it") {
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

// Guards against two primaries in use, and against stale reads: what a proxy
// learns from any peer must not keep a primary lease alive after a revocation,
// at whatever time that comes.
TEST_CASE("a promotion never overlaps with leases extended by any proxy") {
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

// A promotion of one group must not end the primary leases of all other groups.
TEST_CASE("a proxy without the store keeps the leases of other groups") {
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

// Guards against load: each change of a primary record once cost every proxy a
// watch, two polls and a write.
TEST_CASE("a promotion costs a proxy one call besides its poller's") {
  Fleet F(12, 3);
  F.advance(25s);
  F.Keys.Calls.clear();
  F.Keys.put("servers/a", "draining");
  F.advance(5s);
  REQUIRE(F.record().Stage == GroupStage::Stable);
  REQUIRE(F.record().Primary != "a");
  CHECK(F.leaseCount() == 12);
  // One write for the acknowledgement, and a poll of its own by every fourth
  // proxy in these 5 s. The holder of the promotion lock, which may be one of
  // them, makes 10 calls a second.
  CHECK(nonPollerCalls(F) <= nonPollerCount(F) * 3 / 2 + 50);
}

// A server that leaves must be noticed although few proxies read the list of
// servers.
TEST_CASE("changes of the servers reach proxies that do not read them") {
  Fleet F(12, 3);
  F.advance(25s);
  F.Keys.Items.erase("servers/c");
  ++F.Keys.Revision;
  F.advance(5s);
  for (auto &P : F.Members)
    CHECK(P->Control->serverCount() == 2);
}

// Guards against two primaries in use, and against stale reads: a proxy that
// has a record only from its peers must be waited for when that record is
// revoked.
TEST_CASE("leases for records of peers never outlast their revocation") {
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

// A restarted proxy does not know what it acknowledged before, so it must
// ignore records from peers until it has read the store.
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
