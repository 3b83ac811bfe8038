#include "fakestore.h"
#include <doctest/doctest.h>
#include <sstream>

// How long a replacement waits for permissions of proxies that do not answer.

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// The lines of all proxies that contain \p Text.
std::string logged(Fleet &F, const std::string &Text) {
  std::string Found;
  for (auto &P : F.Members) {
    std::istringstream Lines(P->Events->take());
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.find(Text) != std::string::npos)
        Found += Line + '\n';
  }
  return Found;
}

/// A server that no longer leads may be used by some proxy.
bool formerPrimaryLeased(Fleet &F) {
  for (std::size_t I = 0; I < F.Members.size(); ++I)
    if (!F.proxy(I).KeyValueStore->Dead && F.hasLease(I) &&
        F.proxy(I).SessionEngine->group("s")->primaryRecord().Primary !=
            F.Primary)
      return true;
  return false;
}

template <class Set, class Value>
void flip(Set &S, const Value &V, std::mt19937_64 &Random) {
  if (Random() % 2 == 0)
    S.insert(V);
  else
    S.erase(V);
}

/// Starts the proxy again, at once or after it has left in order.
void restart(Fleet &F, FakeProxy &P, bool InOrder) {
  if (!InOrder) {
    P.kill();
    F.addProxy(P.Id, P.Domain);
    return;
  }
  P.Control->prepareToLeave();
  F.Time.after(1500ms, [&F, &P] {
    if (P.KeyValueStore->Dead)
      return;
    P.Control->leave([] {});
    F.Time.after(20ms, [&F, &P] {
      P.kill();
      F.addProxy(P.Id, P.Domain);
    });
  });
}

/// Changes one fault, of all or one proxy or failure domain.
void changeFault(Fleet &F, std::mt19937_64 &Random) {
  FakeProxy &P = F.proxy(Random() % F.Members.size());
  if (P.KeyValueStore->Dead)
    return;
  switch (Random() % 8) {
  case 0:
  case 1:
    flip(F.Keys.PartitionedProxies, P.Id, Random);
    break;
  case 2:
    flip(F.WithoutDatagrams, P.Id, Random);
    break;
  case 3:
    Random() % 2 == 0 ? F.cutDomain(P.Domain) : F.healDomain(P.Domain);
    break;
  case 4:
    P.Stopped = Random() % 4 == 0;
    break;
  case 5:
  case 6:
    restart(F, P, Random() % 2 == 0);
    break;
  default:
    F.Keys.DropResponses = Random() % 4 == 0;
  }
}

} // namespace

// Failure pattern: the failure domain of the primary is cut off. Its proxies
// can't acknowledge, but their permissions have long ended.
TEST_CASE("a failure domain that is cut off delays no promotion") {
  Fleet F(9, 3);
  F.advance(12s);
  REQUIRE_FALSE(F.proxy(1).Control->holdsPromotionLock());
  F.cutDomain("zone1");
  F.advance(1500ms);
  F.Keys.put("servers/a", "draining");
  CHECK(F.timeToPromotion(5s) < 2200ms);
  CHECK_FALSE(formerPrimaryLeased(F));
  CHECK(logged(F, "permissions-ended").find("\"reason\":\"checks\"") !=
        std::string::npos);
  F.healDomain("zone1");
  F.advance(3s);
  for (std::size_t I = 0; I < F.Members.size(); ++I)
    CHECK(F.hasLease(I));
}

// ONE: what is cut off in the moment of the revocation holds permissions: one
// proxy from another one, also if it had lost the store before, or a failure
// domain from the check of one of its proxies.
TEST_CASE("a permission that has just been given is waited for") {
  enum class What { Proxy, ProxyWithoutStore, FailureDomain };
  for (What Lost :
       {What::Proxy, What::ProxyWithoutStore, What::FailureDomain}) {
    for (std::size_t Cut = 0; Cut < 9; ++Cut) {
      CAPTURE(static_cast<int>(Lost));
      CAPTURE(Cut);
      Fleet F(9, 3);
      F.advance(6s + Cut * 31ms);
      FakeProxy &P = F.proxy(Cut);
      if (F.proxy(F.holder()).Domain == P.Domain)
        continue;
      if (Lost == What::ProxyWithoutStore)
        F.Keys.PartitionedProxies.insert(P.Id);
      F.advance(3s);
      F.Keys.put("servers/a", "draining");
      while (F.record().Stage == GroupStage::Stable)
        F.advance(F.Step);
      REQUIRE(F.hasLease(Cut));
      if (Lost == What::FailureDomain) {
        F.cutDomain(P.Domain);
      } else {
        F.Keys.PartitionedProxies.insert(P.Id);
        F.WithoutDatagrams.insert(P.Id);
      }
      F.timeToPromotion(5s);
      REQUIRE(F.Promotions.size() == 1);
      CHECK_FALSE(formerPrimaryLeased(F));
    }
  }
}

// Failure pattern: most proxies have lost the store but not each other. They
// can't store that they no longer use the primary.
TEST_CASE("proxies without the store acknowledge to the duty holder") {
  Fleet F(9, 3);
  F.advance(12s);
  for (auto &P : F.Members)
    if (!P->Control->holdsPromotionLock() && P->Id != "p0")
      F.Keys.PartitionedProxies.insert(P->Id);
  F.advance(3s);
  F.Keys.put("servers/a", "draining");
  CHECK(F.timeToPromotion(8s) < 2200ms);
  CHECK_FALSE(formerPrimaryLeased(F));
  CHECK(logged(F, "permissions-ended").find("\"reason\":\"acknowledged\"") !=
        std::string::npos);
}

// Failure pattern: proxies are restarted one after the other while a failure
// domain is cut off. One that has just started must not be the reason to wait
// for a lease, unless its earlier run ended without leaving.
TEST_CASE("a proxy that restarts in order delays no promotion") {
  for (bool InOrder : {true, false}) {
    CAPTURE(InOrder);
    Fleet F(9, 3);
    F.advance(12s);
    std::size_t Restarted = F.proxy(0).Control->holdsPromotionLock() ? 3 : 0;
    FakeProxy &Old = F.proxy(Restarted);
    F.cutDomain("zone1");
    if (InOrder)
      Old.Control->prepareToLeave();
    F.advance(1500ms);
    if (InOrder)
      Old.Control->leave([] {});
    F.advance(20ms);
    Old.kill();
    F.Keys.put("servers/a", "draining");
    while (F.record().Stage == GroupStage::Stable)
      F.advance(F.Step);
    F.addProxy(Old.Id, Old.Domain);
    CHECK((F.timeToPromotion(5s) < 1200ms) == InOrder);
    CHECK_FALSE(formerPrimaryLeased(F));
  }
}

TEST_CASE("a stopping proxy extends no permissions but acknowledges") {
  Fleet F(5);
  F.advance(6s);
  std::size_t Holder = F.holder();
  std::size_t Alone = Holder == 0 ? 1 : 0;
  F.Keys.PartitionedProxies.insert(F.proxy(Alone).Id);
  F.advance(2s);
  CHECK(F.hasLease(Alone));
  for (std::size_t I = 0; I < 5; ++I)
    if (I != Holder && I != Alone)
      F.proxy(I).Control->prepareToLeave();
  F.proxy(Holder).PeerProxies->stopExtending();
  F.advance(2s);
  CHECK_FALSE(F.hasLease(Alone));
  // They have lost the store, but not the duty holder.
  for (std::size_t I = 0; I < 5; ++I)
    if (I != Holder)
      F.Keys.PartitionedProxies.insert(F.proxy(I).Id);
  F.Keys.put("servers/a", "draining");
  CHECK(F.timeToPromotion(5s) < 2200ms);
}

// Failure pattern: a rolling restart stops the duty holder in the middle of a
// replacement.
TEST_CASE("a stopping duty holder finishes what it has begun") {
  Fleet F(5);
  F.advance(6s);
  std::size_t Holder = F.holder();
  F.Keys.put("servers/a", "draining");
  while (F.record().Stage == GroupStage::Stable)
    F.advance(F.Step);
  F.proxy(Holder).Control->prepareToLeave();
  CHECK(F.timeToPromotion(8s) < 800ms);
  F.advance(1s);
  CHECK(F.record().Primary == F.Primary);
  CHECK_FALSE(F.proxy(Holder).Control->holdsPromotionLock());
  F.advance(2s);
  // It begins nothing new and takes the duty no more.
  CHECK_FALSE(F.proxy(Holder).Control->holdsPromotionLock());
}

TEST_CASE("a stopping duty holder gives up what it can't finish") {
  Fleet F(5);
  F.advance(6s);
  std::size_t Holder = F.holder();
  F.Reachable.clear();
  F.Keys.put("servers/a", "draining");
  while (F.record().Stage == GroupStage::Stable)
    F.advance(F.Step);
  F.proxy(Holder).Control->prepareToLeave();
  F.advance(2200ms);
  CHECK_FALSE(F.proxy(Holder).Control->holdsPromotionLock());
}

// Failure pattern: the fleet is split. The smaller part has the store and the
// duty, the larger one the primary; it can't be replaced before they meet.
TEST_CASE("a minority does not revoke a primary that others use") {
  Fleet F(12, 3);
  F.advance(12s);
  std::size_t Holder = F.holder();
  for (std::size_t I = 0; I < 12; ++I) {
    const std::string &Id = F.proxy(I).Id;
    if ((I + 12 - Holder) % 12 < 5) {
      F.Partition.insert(Id);
      F.Blocked[Id].insert("a");
    } else {
      F.Keys.PartitionedProxies.insert(Id);
    }
  }
  F.advance(7s);
  CHECK(F.record().Stage == GroupStage::Stable);
  F.Partition.clear();
  CHECK(F.timeToPromotion(5s) < 1500ms);
  CHECK_FALSE(formerPrimaryLeased(F));
}

// Failure pattern: the duty holder alone has lost the store and hears from
// peers that its successor revokes a primary, which it would restore.
TEST_CASE("a duty holder without the store changes nothing") {
  Fleet F(6, 3);
  F.advance(12s);
  std::size_t Holder = F.holder();
  F.Keys.PartitionedProxies.insert(F.proxy(Holder).Id);
  F.Keys.Rejecting = true;
  F.advance(2s);
  F.Keys.put("servers/a", "draining");
  F.Keys.Calls.clear();
  CHECK(F.timeToPromotion(8s) < 4s);
  F.advance(2s);
  CHECK(logged(F, "primary-published").find("rejected") == std::string::npos);
  // Nor does it go on when it can reach the store again.
  F.Keys.PartitionedProxies.clear();
  F.advance(1s);
  CHECK_FALSE(F.proxy(Holder).Control->holdsPromotionLock());
  CHECK(logged(F, "primary-published").empty());
  CHECK(F.record().Primary == F.Primary);
}

TEST_CASE("the log says what a promotion is waiting for") {
  Fleet F(4);
  F.advance(5s);
  F.Reachable.clear();
  F.Keys.put("servers/a", "draining");
  F.advance(4s);
  CHECK(F.Promotions.empty());
  std::string Lines = logged(F, "promotion-waiting");
  CHECK(Lines.find("\"acknowledged\":4,\"proxies\":4,\"checked_lately\":0,"
                   "\"answered_lately\":0,\"permissions_ended\":"
                   "\"acknowledged\",\"replicas_answering\":0") !=
        std::string::npos);
}

// ONE: under any of these faults nobody may use a primary once another server
// was promoted.
TEST_CASE("no permission outlasts a promotion under random faults") {
  std::size_t Promotions = 0;
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    Fleet F(9, 3);
    F.advance(4s);
    // Faults that may hide who holds permissions, then one more close to the
    // revocation, which follows when the registry is read.
    for (unsigned Faults = Random() % 4; Faults > 0; --Faults) {
      changeFault(F, Random);
      F.advance(F.Step * (1 + Random() % 200));
    }
    F.Keys.put("servers/a", "draining");
    F.advance(F.Step * (1 + Random() % 300));
    Random() % 2 == 0 ? F.cutDomain(F.proxy(Random() % 3).Domain)
                      : changeFault(F, Random);
    for (unsigned Steps = 0; Steps < 600; ++Steps) {
      F.advance(F.Step);
      REQUIRE_FALSE(formerPrimaryLeased(F));
    }
    Promotions += F.Promotions.size();
  }
  CHECK(Promotions > 100);
}
