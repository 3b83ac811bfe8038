#include "kernel/candidate.h"
#include "promotionfixture.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

TEST_CASE("when all have acknowledged the best replica is promoted at once") {
  PromotionFixture X;
  X.revoke();
  X.acknowledge(7);
  X.Statuses["a"] = {}; // Does not answer.
  X.tick();
  X.status("b", Role::Replica, 5);
  X.status("c", Role::Replica, 7);
  UpstreamId Chosen;
  for (int I = 0; I < 5 && Chosen.empty(); ++I)
    Chosen = X.promoted(X.tick());
  CHECK(Chosen == "c");
}

TEST_CASE("a leaving primary is replaced by a replica that has caught up") {
  PromotionFixture X;
  X.In.Servers[0].Draining = true;
  REQUIRE(X.stored(X.tick(500ms)));
  X.acknowledge(7);
  X.tick();
  X.tick();
  X.status("a", Role::Primary, 9);
  X.status("b", Role::Replica, 8);
  CHECK(X.promoted(X.tick()).empty());
  X.status("a", Role::Primary, 9);
  X.status("b", Role::Replica, 9);
  CHECK(X.promoted(X.tick()) == "b");
}

// Guards against a promotion that waits for the status query of the old
// primary, which takes long to fail if the failure domain of the primary is
// partitioned.
TEST_CASE("a lost primary is replaced once both replicas have answered") {
  PromotionFixture X;
  X.revoke();
  X.acknowledge(7);
  X.tick();
  REQUIRE(X.S.LeasesEndedAt);
  X.status("b", Role::Replica, 8);
  CHECK(X.promoted(X.tick()).empty());
  X.status("b", Role::Replica, 8);
  X.status("c", Role::Replica, 9);
  CHECK(X.promoted(X.tick(10ms)) == "c");
}

TEST_CASE("a replica that does not answer delays a promotion only briefly") {
  PromotionFixture X;
  X.revoke();
  X.acknowledge(7);
  X.tick();
  X.status("b", Role::Replica, 8);
  CHECK(X.promoted(X.tick(300ms)) == "b");
}

// Guards against the loss of a commit that only one replica has received.
TEST_CASE("with synchronous replication all replicas must answer") {
  PromotionFixture X;
  X.In.SyncReplicas = 1;
  X.revoke();
  X.acknowledge(7);
  X.tick();
  for (int I = 0; I < 30; ++I) {
    X.status("b", Role::Replica, 8);
    CHECK(X.promoted(X.tick()).empty());
  }
  X.status("b", Role::Replica, 8);
  X.status("c", Role::Replica, 9);
  CHECK(X.promoted(X.tick()) == "c");
}

// Guards against the loss of commits that only one replica has: the platform
// turned its promotion away once, and another one was promoted
// (review/other/turned-away).
TEST_CASE("a promotion that was turned away is called again") {
  PromotionFixture X;
  X.revoke();
  X.acknowledge(7);
  X.tick();
  X.tick(500ms);
  X.status("b", Role::Replica, 9);
  X.status("c", Role::Replica, 8);
  REQUIRE(X.promoted(X.tick()) == "b");
  promotionTurnedAway(X.S, X.Now);
  X.status("b", Role::Replica, 9);
  X.status("c", Role::Replica, 8);
  CHECK(X.promoted(X.tick()).empty());
  CHECK(X.promoted(X.tick(X.S.Options.TurnedAwayDelay)) == "b");
}

TEST_CASE("a server that refused the promotion is passed over") {
  PromotionFixture X;
  X.revoke();
  X.acknowledge(7);
  X.tick();
  X.tick(500ms);
  X.status("b", Role::Replica, 9);
  X.status("c", Role::Replica, 8);
  REQUIRE(X.promoted(X.tick()) == "b");
  promotionRefused(X.S, "b", X.Now);
  X.status("b", Role::Replica, 9);
  X.status("c", Role::Replica, 8);
  CHECK(X.promoted(X.tick()) == "c");
}

namespace {

/// The primary "b" of term 2 is lost. "a", its predecessor, can be reached
/// again, but has not followed it: its log ends in term 1.
struct FormerPrimaryFixture : PromotionFixture {
  FormerPrimaryFixture() {
    In.Record = {"s", 3, GroupStage::Stable, "b", 2};
    for (auto &P : Proxies)
      P.Unreachable.insert("b");
    tick();
    REQUIRE(stored(tick(400ms)));
    acknowledge(7);
    Statuses["b"] = {}; // Does not answer.
    tick();
    tick();
    REQUIRE(S.LeasesEndedAt);
  }

  /// Ticks for \p Time with answers of "a"; the first server promoted.
  UpstreamId promotedWithin(Duration Time) {
    UpstreamId First;
    for (Instant End = Now + Time; Now < End && First.empty();) {
      status("a", Role::Primary, 90, 1);
      First = promoted(tick());
    }
    return First;
  }
};

} // namespace

// Guards against the loss of all commits of a term, and against stale reads: a
// former primary that had not followed its successor was promoted again with
// its old log when the successor was lost (review case 2).
TEST_CASE("a former primary that has not followed its successor must wait") {
  FormerPrimaryFixture X;
  CHECK(X.promotedWithin(10s).empty());
  // Once it follows, it is as good as any replica.
  X.status("a", Role::Replica, 5, 2);
  CHECK(X.promoted(X.tick()) == "a");
}

TEST_CASE("a replica of the lost primary goes before its predecessor") {
  FormerPrimaryFixture X;
  X.status("a", Role::Primary, 90, 1);
  X.status("c", Role::Replica, 20, 2);
  CHECK(X.promoted(X.tick()) == "c");
}

TEST_CASE("a lost primary that answers again keeps its commits") {
  FormerPrimaryFixture X;
  REQUIRE(X.promotedWithin(5s).empty());
  for (auto &P : X.Proxies)
    P.Unreachable.clear();
  X.status("b", Role::Primary, 20, 2);
  REQUIRE(X.stored(X.tick()));
  CHECK(X.In.Record.Stage == GroupStage::Stable);
  CHECK(X.In.Record.Primary == "b");
  CHECK(X.In.Record.Term == 2);
}

// Guards against a group that stays without a primary because the servers that
// have its last term are lost for good.
TEST_CASE("a server with an older log is promoted when nothing else is left") {
  FormerPrimaryFixture X;
  CHECK(X.promotedWithin(X.S.Options.OlderTermDelay + 1s) == "a");
  CHECK(X.Now - *X.S.LeasesEndedAt >= X.S.Options.OlderTermDelay);
}

// Guards against the loss of commits that only a replica has which is about to
// stop: it was never a candidate (review case 2,
// review/other/draining-replica).
TEST_CASE("a draining replica is promoted if it alone has the last commits") {
  PromotionFixture X;
  X.In.Servers[1].Draining = true;
  X.revoke();
  X.acknowledge(7);
  X.Statuses["a"] = {}; // Does not answer.
  X.tick();
  X.tick();
  X.status("b", Role::Replica, 9);
  X.status("c", Role::Replica, 8);
  CHECK(X.promoted(X.tick()) == "b");
}

TEST_CASE("a replica that stays goes before a draining one with the same log") {
  for (int Draining : {1, 2}) {
    PromotionFixture X;
    X.In.Servers[Draining].Draining = true;
    X.revoke();
    X.acknowledge(7);
    X.Statuses["a"] = {}; // Does not answer.
    X.tick();
    X.tick();
    X.status("b", Role::Replica, 9);
    X.status("c", Role::Replica, 9);
    CHECK(X.promoted(X.tick()) == (Draining == 1 ? "c" : "b"));
  }
}

// Guards against a second promotion right after the first: a replica that stays
// receives the last commits from a primary that still answers.
TEST_CASE("while the old primary answers, a draining replica is no candidate") {
  PromotionFixture X;
  X.In.Servers[0].Draining = true;
  X.In.Servers[1].Draining = true;
  REQUIRE(X.stored(X.tick(500ms)));
  X.acknowledge(7);
  X.tick();
  X.tick();
  X.status("a", Role::Primary, 9);
  X.status("b", Role::Replica, 9);
  X.status("c", Role::Replica, 8);
  CHECK(X.promoted(X.tick()).empty());
  X.status("a", Role::Primary, 9);
  X.status("b", Role::Replica, 9);
  X.status("c", Role::Replica, 9);
  CHECK(X.promoted(X.tick()) == "c");
}

// Guards against a group without a primary while its only other server, which
// is about to stop, has all commits.
TEST_CASE("a lost primary is replaced by a draining server if there is no "
          "other") {
  PromotionFixture X;
  X.In.Servers[1].Draining = true;
  X.In.Servers.pop_back();
  X.revoke();
  X.acknowledge(7);
  X.Statuses["a"] = {}; // Does not answer.
  X.tick();
  X.tick();
  X.status("b", Role::Replica, 9);
  CHECK(X.promoted(X.tick()) == "b");
}
