#include "fakestore.h"
#include <doctest/doctest.h>
#include <sstream>

// How long a promotion waits for the primary leases of proxies that do not
// answer.

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// Returns the log lines of all proxies that contain \p Text.
std::string logLines(Fleet &F, const std::string &Text) {
  std::string Found;
  for (auto &P : F.Members) {
    std::istringstream Lines(P->Events->take());
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.find(Text) != std::string::npos)
        Found += Line + '\n';
  }
  return Found;
}

/// True if some proxy may use a server that is no longer the primary.
bool formerPrimaryLeased(Fleet &F) {
  for (std::size_t I = 0; I < F.Members.size(); ++I)
    if (!F.proxy(I).KeyValueStore->Dead && F.hasLease(I) &&
        F.proxy(I).SessionEngine->group("s")->primaryRecord().Primary !=
            F.Primary)
      return true;
  return false;
}

template <class Set, class Value>
void addOrRemove(Set &S, const Value &V, std::mt19937_64 &Random) {
  if (Random() % 2 == 0)
    S.insert(V);
  else
    S.erase(V);
}

/// Restarts the proxy, either at once or after an orderly shutdown.
void restart(Fleet &F, FakeProxy &P, bool Orderly) {
  if (!Orderly) {
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

/// Changes one fault: of the store, of one proxy or of one failure domain.
void changeFault(Fleet &F, std::mt19937_64 &Random) {
  FakeProxy &P = F.proxy(Random() % F.Members.size());
  if (P.KeyValueStore->Dead)
    return;
  switch (Random() % 8) {
  case 0:
  case 1:
    addOrRemove(F.Keys.PartitionedProxies, P.Id, Random);
    break;
  case 2:
    addOrRemove(F.WithoutDatagrams, P.Id, Random);
    break;
  case 3:
    Random() % 2 == 0 ? F.partitionDomain(P.Domain) : F.healDomain(P.Domain);
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

// The failure domain of the primary is partitioned. Its proxies can't
// acknowledge the revocation, but their primary leases have expired long ago.
TEST_CASE("a partitioned failure domain delays no promotion") {
  Fleet F(9, 3);
  F.advance(12s);
  REQUIRE_FALSE(F.proxy(1).Control->holdsPromotionLock());
  F.partitionDomain("zone1");
  F.advance(1500ms);
  F.Keys.put("servers/a", "draining");
  CHECK(F.timeToPromotion(5s) < 2200ms);
  CHECK_FALSE(formerPrimaryLeased(F));
  CHECK(logLines(F, "permissions-ended").find("\"reason\":\"checks\"") !=
        std::string::npos);
  F.healDomain("zone1");
  F.advance(3s);
  for (std::size_t I = 0; I < F.Members.size(); ++I)
    CHECK(F.hasLease(I));
}

// The failure domain of the lock holder is partitioned. Its successor reads the
// heartbeats for the first time, and must not take them for new ones.
TEST_CASE("the successor of a lost lock holder waits for no ended lease") {
  // One round of acknowledgements, its read, and the queries of the replicas.
  CoordinatorOptions Times;
  Duration Needed = Times.AcknowledgementInterval +
                    Times.RevokingProxiesInterval +
                    2 * PromotionOptions().StatusInterval + 4 * AnswerTime;
  for (int Offset = 0; Offset < 8; ++Offset) {
    Fleet F(9, 3);
    F.advance(12s + Offset * 70ms);
    F.partitionDomain(F.proxy(F.lockHolder()).Domain);
    F.Keys.put("servers/a", "draining");
    while (F.record().Stage == GroupStage::Stable)
      F.advance(F.Step);
    CHECK(F.timeToPromotion(5s) <= Needed);
    CHECK_FALSE(formerPrimaryLeased(F));
  }
}

// Guards against two primaries in use. A proxy or failure domain that is
// partitioned right after the revocation still holds primary leases: a proxy
// may have got one from a peer, also if it had lost the store before, and the
// proxies of a failure domain from the poll of one of them.
TEST_CASE("a promotion waits for a primary lease that was just given") {
  enum class LostPart { Proxy, ProxyWithoutStore, FailureDomain };
  for (LostPart Lost : {LostPart::Proxy, LostPart::ProxyWithoutStore,
                        LostPart::FailureDomain}) {
    for (std::size_t Index = 0; Index < 9; ++Index) {
      CAPTURE(static_cast<int>(Lost));
      CAPTURE(Index);
      Fleet F(9, 3);
      F.advance(6s + Index * 31ms);
      FakeProxy &P = F.proxy(Index);
      if (F.proxy(F.lockHolder()).Domain == P.Domain)
        continue;
      if (Lost == LostPart::ProxyWithoutStore)
        F.Keys.PartitionedProxies.insert(P.Id);
      F.advance(3s);
      F.Keys.put("servers/a", "draining");
      while (F.record().Stage == GroupStage::Stable)
        F.advance(F.Step);
      REQUIRE(F.hasLease(Index));
      if (Lost == LostPart::FailureDomain) {
        F.partitionDomain(P.Domain);
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

// Most proxies can reach each other but not the store, so they can't write
// their acknowledgements there.
TEST_CASE("proxies without the store acknowledge to the lock holder") {
  Fleet F(9, 3);
  F.advance(12s);
  for (auto &P : F.Members)
    if (!P->Control->holdsPromotionLock() && P->Id != "p0")
      F.Keys.PartitionedProxies.insert(P->Id);
  F.advance(3s);
  F.Keys.put("servers/a", "draining");
  CHECK(F.timeToPromotion(8s) < 2200ms);
  CHECK_FALSE(formerPrimaryLeased(F));
  CHECK(logLines(F, "permissions-ended").find("\"reason\":\"acknowledged\"") !=
        std::string::npos);
}

// Proxies are restarted one after the other while a failure domain is
// partitioned. A proxy that has just started must not make the promotion wait
// for a lease duration, unless its earlier run ended without an orderly
// shutdown.
TEST_CASE("a proxy that restarts in an orderly way delays no promotion") {
  for (bool Orderly : {true, false}) {
    CAPTURE(Orderly);
    Fleet F(9, 3);
    F.advance(12s);
    std::size_t Restarted = F.proxy(0).Control->holdsPromotionLock() ? 3 : 0;
    FakeProxy &Old = F.proxy(Restarted);
    F.partitionDomain("zone1");
    if (Orderly)
      Old.Control->prepareToLeave();
    F.advance(1500ms);
    if (Orderly)
      Old.Control->leave([] {});
    F.advance(20ms);
    Old.kill();
    F.Keys.put("servers/a", "draining");
    while (F.record().Stage == GroupStage::Stable)
      F.advance(F.Step);
    F.addProxy(Old.Id, Old.Domain);
    CHECK((F.timeToPromotion(5s) < 1200ms) == Orderly);
    CHECK_FALSE(formerPrimaryLeased(F));
  }
}

TEST_CASE("a stopping proxy extends no primary leases but acknowledges") {
  Fleet F(5);
  F.advance(6s);
  std::size_t Holder = F.lockHolder();
  std::size_t WithoutStore = Holder == 0 ? 1 : 0;
  F.Keys.PartitionedProxies.insert(F.proxy(WithoutStore).Id);
  F.advance(2s);
  CHECK(F.hasLease(WithoutStore));
  for (std::size_t I = 0; I < 5; ++I)
    if (I != Holder && I != WithoutStore)
      F.proxy(I).Control->prepareToLeave();
  F.proxy(Holder).PeerProxies->stopExtending();
  F.advance(2s);
  CHECK_FALSE(F.hasLease(WithoutStore));
  // These proxies can't reach the store, but they can reach the lock holder.
  for (std::size_t I = 0; I < 5; ++I)
    if (I != Holder)
      F.Keys.PartitionedProxies.insert(F.proxy(I).Id);
  F.Keys.put("servers/a", "draining");
  CHECK(F.timeToPromotion(5s) < 2200ms);
}

// A rolling restart stops the holder of the promotion lock during a promotion.
TEST_CASE("a stopping lock holder finishes the promotion in progress") {
  Fleet F(5);
  F.advance(6s);
  std::size_t Holder = F.lockHolder();
  F.Keys.put("servers/a", "draining");
  while (F.record().Stage == GroupStage::Stable)
    F.advance(F.Step);
  F.proxy(Holder).Control->prepareToLeave();
  CHECK(F.timeToPromotion(8s) < 800ms);
  F.advance(1s);
  CHECK(F.record().Primary == F.Primary);
  CHECK_FALSE(F.proxy(Holder).Control->holdsPromotionLock());
  F.advance(2s);
  // A proxy that is shutting down starts no promotions and does not acquire the
  // promotion lock again.
  CHECK_FALSE(F.proxy(Holder).Control->holdsPromotionLock());
}

// Guards against a lock holder that can't finish a promotion, because no server
// answers, and keeps the promotion lock until its process ends.
TEST_CASE("a stopping lock holder releases the lock after the time limit") {
  Fleet F(5);
  F.advance(6s);
  std::size_t Holder = F.lockHolder();
  F.Reachable.clear();
  F.Keys.put("servers/a", "draining");
  while (F.record().Stage == GroupStage::Stable)
    F.advance(F.Step);
  F.proxy(Holder).Control->prepareToLeave();
  F.advance(2200ms);
  CHECK_FALSE(F.proxy(Holder).Control->holdsPromotionLock());
}

// The fleet is partitioned. The smaller part has the store and the promotion
// lock, the larger one the primary. A revocation would take the primary from
// the proxies that use it, and no promotion could follow before the partition
// ends.
TEST_CASE("a minority does not revoke a primary that others use") {
  Fleet F(12, 3);
  F.advance(12s);
  std::size_t Holder = F.lockHolder();
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

// Only the holder of the promotion lock has lost the store. It learns from its
// peers that its successor has revoked a primary, and must not restore that
// primary.
TEST_CASE("a lock holder without the store changes nothing") {
  Fleet F(6, 3);
  F.advance(12s);
  std::size_t Holder = F.lockHolder();
  F.Keys.PartitionedProxies.insert(F.proxy(Holder).Id);
  F.Keys.Rejecting = true;
  F.advance(2s);
  F.Keys.put("servers/a", "draining");
  F.Keys.Calls.clear();
  CHECK(F.timeToPromotion(8s) < 4s);
  F.advance(2s);
  CHECK(logLines(F, "primary-published").find("rejected") == std::string::npos);
  // The former holder does not continue when it can reach the store again.
  F.Keys.PartitionedProxies.clear();
  F.advance(1s);
  CHECK_FALSE(F.proxy(Holder).Control->holdsPromotionLock());
  CHECK(logLines(F, "primary-published").empty());
  CHECK(F.record().Primary == F.Primary);
}

TEST_CASE("the log says what a promotion is waiting for") {
  Fleet F(4);
  F.advance(5s);
  F.Reachable.clear();
  F.Keys.put("servers/a", "draining");
  F.advance(4s);
  CHECK(F.Promotions.empty());
  std::string Lines = logLines(F, "promotion-waiting");
  CHECK(Lines.find("\"acknowledged\":4,\"proxies\":4,\"checked_lately\":0,"
                   "\"answered_lately\":0,\"permissions_ended\":"
                   "\"acknowledged\",\"replicas_answering\":0") !=
        std::string::npos);
}

// Guards against a promotion whose choice can't be explained afterwards: why
// each server was or was not a candidate.
TEST_CASE("the log says what each server offered to a promotion") {
  Fleet F(4);
  F.advance(5s);
  F.Reachable.erase("b");
  F.Keys.put("servers/a", "draining");
  F.advance(4s);
  REQUIRE_FALSE(F.Promotions.empty());
  std::string Lines = logLines(F, "promotion-candidate");
  for (const char *Line :
       {"\"server\":\"a\",\"state\":\"revoked\"",
        "\"server\":\"b\",\"state\":\"unanswered\",\"reachable\":0",
        "\"server\":\"c\",\"state\":\"usable\",\"reachable\":1,\"role\":"
        "\"replica\",\"term\":1,\"received\":\"1.5\""})
    CHECK_MESSAGE(Lines.find(Line) != std::string::npos, Line);
}

// Guards against two primaries in use: under any of these faults, no proxy may
// use a primary once another server was promoted.
TEST_CASE("no primary lease outlasts a promotion under random faults") {
  std::size_t Promotions = 0;
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    Fleet F(9, 3);
    F.advance(4s);
    // First come faults that may hide which proxies hold primary leases, then
    // one more close to the revocation, which follows when the list of servers
    // is read.
    for (unsigned Faults = Random() % 4; Faults > 0; --Faults) {
      changeFault(F, Random);
      F.advance(F.Step * (1 + Random() % 200));
    }
    F.Keys.put("servers/a", "draining");
    F.advance(F.Step * (1 + Random() % 300));
    Random() % 2 == 0 ? F.partitionDomain(F.proxy(Random() % 3).Domain)
                      : changeFault(F, Random);
    for (unsigned Steps = 0; Steps < 600; ++Steps) {
      F.advance(F.Step);
      REQUIRE_FALSE(formerPrimaryLeased(F));
    }
    Promotions += F.Promotions.size();
  }
  CHECK(Promotions > 100);
}
