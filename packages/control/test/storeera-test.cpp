#include "control/coordinator.h"
#include "fakestore.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// Time that the store is away before it comes back from its copy.
constexpr Duration AwayTime = 1s;
/// Time after its return in which all proxies hold primary leases again, and a
/// new configuration is in force.
constexpr Duration ReturnTime = 5s;
constexpr std::size_t ProxyCount = 6;
constexpr std::size_t Domains = 3;

/// A fleet on a store that names its era.
struct EraFleet : Fleet {
  EraFleet() : Fleet(0) {
    Keys.beginEra();
    for (std::size_t I = 0; I < ProxyCount; ++I)
      addProxy("p" + std::to_string(I), "zone" + std::to_string(I % Domains));
    advance(8s);
  }

  /// The store is away and comes back from its copy.
  void drill() {
    Keys.Down = true;
    advance(AwayTime);
    Keys.returnFromCopy();
    Keys.Down = false;
  }

  /// The registry shows the server as leaving, and another one is promoted.
  void replacePrimary() {
    std::size_t Earlier = Promotions.size();
    Keys.put("servers/" + Primary, "draining");
    timeToPromotion(10s, Earlier);
    REQUIRE(Promotions.size() == Earlier + 1);
    while (record().Primary != Primary)
      advance(Step);
  }

  /// True if a proxy holds a lease on another server than the primary.
  bool usesFormerPrimary() {
    return std::any_of(Members.begin(), Members.end(), [this](const auto &P) {
      auto G = P->SessionEngine->group("s");
      return !P->Stopped && G && G->hasLease() &&
             G->primaryRecord().Primary != Primary;
    });
  }

  /// Advances and checks at each step that nobody uses a former primary.
  void advanceWithOnePrimary(Duration D) {
    Instant Until = Time.Now + D;
    while (Time.Now < Until) {
      advance(Step);
      if (usesFormerPrimary()) {
        CHECK_FALSE(usesFormerPrimary());
        return;
      }
    }
  }

  std::size_t liveLeases() {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < Members.size(); ++I)
      Count += !proxy(I).Stopped && hasLease(I) ? 1 : 0;
    return Count;
  }
};

} // namespace

// Guards against configurations that are ignored for good after the store has
// come back from a copy (review/6): their revisions are lower than known ones.
TEST_CASE("a configuration is applied after the store came back from a copy") {
  EraFleet F;
  F.Keys.takeCopy();
  F.advance(3s);
  F.Keys.put("rules", "2");
  F.advance(1s);
  F.drill();
  F.Keys.put("rules", "2"); // The operator writes it again.
  F.advance(2s);
  F.Keys.put("rules", "3");
  F.advance(ReturnTime);
  for (auto &P : F.Members)
    CHECK(P->SessionEngine->config().Version == 3);
}

// Guards against proxies that serve nothing that needs a primary any more
// (review/6): the conditions of their polls were on revisions that are lost.
TEST_CASE("primary leases outlast a return of the store from a copy") {
  for (int Offset = 0; Offset < 5; ++Offset) {
    EraFleet F;
    F.Keys.takeCopy();
    F.advance(3s + Offset * 110ms);
    F.drill();
    for (int I = 0; I < 100; ++I) {
      F.advance(100ms);
      REQUIRE(F.leaseCount() == ProxyCount);
    }
    CHECK(F.record().Era == F.Keys.Era);
    CHECK(F.Promotions.empty());
  }
}

// Guards against the use of a replaced primary: the store has lost that it was
// replaced, and proxies that have just started know it from nobody else.
TEST_CASE("a promotion that the store has lost is not undone") {
  for (bool Restart : {false, true}) {
    EraFleet F;
    F.Keys.takeCopy();
    F.advance(1s);
    F.replacePrimary();
    F.advance(500ms);
    F.drill();
    if (Restart) {
      F.proxy(1).kill();
      F.addProxy("p1", "zone1");
    }
    F.advanceWithOnePrimary(ReturnTime);
    CHECK(F.record().Primary == F.Primary);
    CHECK(F.Promotions.size() == 1);
    CHECK(F.liveLeases() == ProxyCount);
  }
}

// The same for a proxy that was cut off while the primary was replaced, and
// whose knowledge equals the copy.
TEST_CASE("a proxy that missed a lost promotion does not use the old primary") {
  EraFleet F;
  F.Keys.takeCopy();
  F.Keys.PartitionedProxies.insert("p2");
  F.WithoutDatagrams.insert("p2");
  F.advance(500ms);
  F.replacePrimary();
  F.drill();
  F.Keys.PartitionedProxies.clear();
  F.WithoutDatagrams.clear();
  F.advanceWithOnePrimary(ReturnTime);
  CHECK(F.record().Primary == F.Primary);
  CHECK(F.liveLeases() == ProxyCount);
}

// Guards against a revocation that the store has lost while the promotion goes
// on, so that the old primary is used again beside the new one.
TEST_CASE("a promotion that is interrupted by the return of the store ends") {
  for (int Offset = 0; Offset < 12; ++Offset) {
    EraFleet F;
    F.Keys.takeCopy();
    F.advance(1s);
    F.Keys.put("servers/a", "draining");
    F.advance(Offset * 60ms);
    F.drill();
    F.Keys.put("servers/a", "draining"); // The server writes it again.
    F.advanceWithOnePrimary(12s);
    CHECK(F.Primary != "a");
    CHECK(F.record().Primary == F.Primary);
    CHECK(F.liveLeases() == ProxyCount);
  }
}

// Guards against a fencing token that two holders use (review/7): the store has
// lost the last change of the holder.
TEST_CASE("fencing tokens rise although the store has lost the last one") {
  EraFleet F;
  F.Keys.takeCopy();
  F.proxy(F.lockHolder()).kill();
  F.advance(4s);
  F.replacePrimary();
  F.proxy(F.lockHolder()).kill();
  F.drill();
  F.advance(ReturnTime);
  F.replacePrimary();
  REQUIRE(F.Promotions.size() == 2);
  CHECK(F.Promotions[1].second > F.Promotions[0].second);
}

// Guards against a revocation that does not wait for a proxy whose registration
// the store has lost.
TEST_CASE("a proxy whose registration is lost registers again") {
  EraFleet F;
  F.Keys.takeCopy();
  F.addProxy("late", "zone1");
  F.advance(3s);
  REQUIRE(F.hasLease(ProxyCount));
  F.drill();
  F.advance(ReturnTime);
  CHECK(F.Keys.Items.count(proxyKey("late")) == 1);
  CHECK(F.hasLease(ProxyCount));
}

// Guards against leases that are extended by a quorum of the few proxies that
// the copy names, while a promotion does not wait for them.
TEST_CASE("the list of proxies is complete again before a promotion begins") {
  EraFleet F;
  F.Keys.takeCopy();
  for (int I = 0; I < 6; ++I)
    F.addProxy("late" + std::to_string(I), "zone1");
  F.advance(3s);
  F.drill();
  F.Keys.put("servers/a", "draining");
  std::vector<std::size_t> Known(F.Members.size());
  for (std::size_t I = 0; I < F.Members.size(); ++I)
    F.proxy(I).PeerProxies->onPeers(
        [&Known, I](const std::vector<PeerInfo> &List) {
          Known[I] = List.size();
        });
  while (F.Promotions.empty())
    F.advanceWithOnePrimary(F.Step);
  for (std::size_t Count : Known)
    CHECK(Count == F.Members.size());
  F.advanceWithOnePrimary(ReturnTime);
  CHECK(F.liveLeases() == F.Members.size());
}

// Guards against work for a server that drains: the copy is older than that.
TEST_CASE("a server stays draining when the store has lost that") {
  EraFleet F;
  F.Keys.takeCopy();
  F.Keys.put("servers/c", "draining");
  F.advance(3s);
  F.drill();
  F.advance(1s);
  for (auto &P : F.Members)
    for (const ServerEntry &E : P->Control->currentServers().Servers)
      if (E.Id == "c")
        CHECK(E.Draining);
}

// Guards against a proxy that waits for its poller, which is in an era that
// this proxy can't read anything of, in place of asking a quorum of peers.
TEST_CASE("a proxy that only lost the store keeps its lease over a return") {
  for (bool PollerLost : {false, true}) {
    EraFleet F;
    std::size_t Lost = 0;
    while (F.proxy(Lost).PeerProxies->isPoller() != PollerLost)
      ++Lost;
    F.Keys.takeCopy();
    F.Keys.PartitionedProxies.insert(F.proxy(Lost).Id);
    F.advance(2s);
    F.drill();
    for (int I = 0; I < 100; ++I) {
      F.advance(100ms);
      REQUIRE(F.liveLeases() == ProxyCount);
    }
  }
}

// Guards against one fault of the store that hides another one.
TEST_CASE("the store may come back from copies in series") {
  EraFleet F;
  F.Keys.takeCopy();
  F.advance(2s);
  F.replacePrimary();
  for (int I = 0; I < 3; ++I) {
    F.drill();
    F.advanceWithOnePrimary(I * 1500ms);
  }
  F.advanceWithOnePrimary(ReturnTime);
  CHECK(F.record().Primary == F.Primary);
  CHECK(F.liveLeases() == ProxyCount);
}
