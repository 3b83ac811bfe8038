#include "kernel/registry.h"
#include "kernel/routing.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

const Instant Now = Instant() + 1h;

Route choose(const char *Policy, const RouteRequest &Request,
             const std::vector<UpstreamSnapshot> &Snapshots,
             const std::vector<UpstreamId> &Excluded = {}) {
  return Registry<RoutingPolicy>::find(Policy)->Choose(Request, Snapshots,
                                                       Excluded, Now, {});
}

UpstreamSnapshot snapshot(UpstreamId Id, Role R, std::uint64_t Applied) {
  UpstreamSnapshot V;
  V.Id = std::move(Id);
  V.UpstreamRole = R;
  V.History = {{1, 0}};
  V.Applied = {1, Applied};
  V.ObservedAt = Now;
  V.Staleness = 0ms;
  return V;
}

RouteRequest staleRead(Position SessionPosition) {
  RouteRequest R;
  R.SessionPosition = SessionPosition;
  R.StalenessBound = 100ms;
  R.Remaining = 1s;
  return R;
}

/// One of a few term histories that promotions may have produced.
TermHistory anyHistory() {
  return *rc::gen::elementOf(std::vector<TermHistory>{
      {{1, 0}}, {{1, 0}, {2, 5}}, {{1, 0}, {3, 7}}, {}});
}

std::vector<UpstreamSnapshot> anySnapshots() {
  std::vector<UpstreamSnapshot> Snapshots;
  for (const char *Id : {"a", "b", "c"}) {
    UpstreamSnapshot V;
    V.Id = Id;
    V.UpstreamRole =
        *rc::gen::element(Role::Primary, Role::Replica, Role::Unknown);
    V.History = anyHistory();
    V.Applied = {V.History.empty() ? 0 : V.History.back().Term,
                 *rc::gen::inRange<std::uint64_t>(0, 12)};
    V.ObservedAt = Now - *rc::gen::inRange(0, 150) * 1ms;
    V.Staleness = *rc::gen::inRange(0, 150) * 1ms;
    V.Lag = *rc::gen::inRange(0, 100) * 1ms;
    V.QueueWait.fill(*rc::gen::inRange(0, 100) * 1ms);
    V.Suspected = *rc::gen::inRange(0, 5) == 0;
    V.Leaving = *rc::gen::inRange(0, 5) == 0;
    Snapshots.push_back(V);
  }
  return Snapshots;
}

} // namespace

// Guards against stale reads, reads of lost data, writes to a replaced primary
// and work for upstreams that are out of service.
TEST_CASE("a chosen upstream can serve the request") {
  CHECK(rc::check([] {
    auto Snapshots = anySnapshots();
    RouteRequest Request = staleRead({*rc::gen::inRange<std::uint64_t>(0, 4),
                                      *rc::gen::inRange<std::uint64_t>(0, 12)});
    Request.Write = *rc::gen::arbitrary<bool>();
    Request.StalenessBound = *rc::gen::inRange(0, 3) * 100ms;
    Request.Remaining = *rc::gen::inRange(0, 100) * 1ms;
    std::vector<UpstreamId> Excluded;
    if (*rc::gen::arbitrary<bool>())
      Excluded.push_back("a");
    const char *Policy = *rc::gen::element("causal", "primary-only");
    Route R = choose(Policy, Request, Snapshots, Excluded);
    std::uint64_t Highest = 0;
    for (const UpstreamSnapshot &V : Snapshots)
      if (!V.History.empty())
        Highest = std::max(Highest, V.History.back().Term);
    if (R.Kind != RouteKind::Send) {
      RC_ASSERT(R.Target.empty());
      return;
    }
    const UpstreamSnapshot &U = *std::find_if(
        Snapshots.begin(), Snapshots.end(),
        [&](const UpstreamSnapshot &V) { return V.Id == R.Target; });
    RC_ASSERT(!U.Suspected);
    RC_ASSERT(Excluded.empty() || U.Id != "a");
    RC_ASSERT(lineage(U.History, Request.SessionPosition) != Lineage::Lost);
    if (R.Wait == Duration::zero() && U.UpstreamRole == Role::Replica)
      RC_ASSERT(contains(U.History, U.Applied, Request.SessionPosition));
    if (R.Wait == Duration::zero())
      RC_ASSERT(lineage(U.History, Request.SessionPosition) ==
                Lineage::InHistory);
    if (Request.Write)
      RC_ASSERT(R.Wait == Duration::zero());
    if (U.UpstreamRole == Role::Replica) {
      RC_ASSERT(Policy == std::string("causal"));
      RC_ASSERT(!Request.Write);
      RC_ASSERT(!U.Leaving);
      RC_ASSERT(U.Staleness + (Now - U.ObservedAt) <= Request.StalenessBound);
      RC_ASSERT(R.Wait <= Request.Remaining);
    } else {
      RC_ASSERT(U.UpstreamRole == Role::Primary);
      for (const UpstreamSnapshot &V : Snapshots)
        if (V.UpstreamRole == Role::Primary && !V.History.empty())
          RC_ASSERT(V.History.back().Term <= U.History.back().Term);
    }
  }));
}

// Guards against reads that load the primary although a replica is current.
TEST_CASE("a stale read prefers a replica that needs no wait") {
  std::vector<UpstreamSnapshot> Snapshots = {snapshot("p", Role::Primary, 9),
                                             snapshot("r", Role::Replica, 5),
                                             snapshot("s", Role::Replica, 9)};
  CHECK(choose("causal", staleRead({1, 3}), Snapshots).Target == "r");
  Snapshots[1].Lag = 10ms;
  Route R = choose("causal", staleRead({1, 9}), Snapshots);
  CHECK(R.Target == "s");
  CHECK(R.Wait == Duration::zero());
  CHECK(choose("primary-only", staleRead({1, 3}), Snapshots).Target == "p");
}

// Guards against a status report that counts as fresh however old it is.
TEST_CASE("the staleness grows while a snapshot ages") {
  std::vector<UpstreamSnapshot> Snapshots = {snapshot("p", Role::Primary, 9),
                                             snapshot("r", Role::Replica, 9)};
  Snapshots[1].Staleness = 60ms;
  Snapshots[1].ObservedAt = Now - 40ms;
  CHECK(choose("causal", staleRead({}), Snapshots).Target == "r");
  Snapshots[1].ObservedAt = Now - 41ms;
  CHECK(choose("causal", staleRead({}), Snapshots).Target == "p");
}

// Guards against waiting for a replica that is far behind.
TEST_CASE("a read waits for a replica only if its lag is short") {
  std::vector<UpstreamSnapshot> Snapshots = {snapshot("p", Role::Primary, 9),
                                             snapshot("r", Role::Replica, 5)};
  Snapshots[1].Lag = 10ms;
  Route R = choose("causal", staleRead({1, 9}), Snapshots);
  CHECK(R.Target == "r");
  CHECK(R.Wait == 20ms);
  Snapshots[1].Lag = 200ms;
  CHECK(choose("causal", staleRead({1, 9}), Snapshots).Target == "p");
}

// Guards against reads that queue at saturated replicas while the primary is
// idle.
TEST_CASE("reads spill over to the primary") {
  std::vector<UpstreamSnapshot> Snapshots = {snapshot("p", Role::Primary, 9),
                                             snapshot("r", Role::Replica, 9)};
  Snapshots[1].QueueWait.fill(40ms);
  CHECK(choose("causal", staleRead({}), Snapshots).Target == "r");
  Snapshots[1].QueueWait.fill(60ms);
  CHECK(choose("causal", staleRead({}), Snapshots).Target == "p");
  Snapshots[0].Leaving = true;
  CHECK(choose("causal", staleRead({}), Snapshots).Target == "r");
}

// Guards against other data being returned for a lost position.
TEST_CASE("a position lost in a failover is reported") {
  std::vector<UpstreamSnapshot> Snapshots = {snapshot("old", Role::Primary, 9),
                                             snapshot("new", Role::Primary, 6)};
  Snapshots[1].History = {{1, 0}, {2, 5}};
  Snapshots[1].Applied = {2, 6};
  for (const char *Policy : {"causal", "primary-only"}) {
    CHECK(choose(Policy, staleRead({1, 8}), Snapshots).Kind ==
          RouteKind::PositionLost);
    CHECK(choose(Policy, staleRead({1, 5}), Snapshots).Target == "new");
  }
  Snapshots[1].UpstreamRole = Role::Replica;
  Snapshots[0].UpstreamRole = Role::Replica;
  CHECK(choose("causal", staleRead({}), {Snapshots[0], Snapshots[1]}).Target ==
        "new");
}

// Guards against writes to a primary whose successor the session has observed.
TEST_CASE("no write is sent to a primary of an older term") {
  std::vector<UpstreamSnapshot> Snapshots = {snapshot("p", Role::Primary, 9)};
  RouteRequest Write = staleRead({2, 10});
  Write.Write = true;
  CHECK(choose("causal", Write, Snapshots).Kind == RouteKind::NoUpstream);
  Write.Write = false;
  CHECK(choose("causal", Write, Snapshots).Wait > Duration::zero());
}

// Guards against an answer that is older than the request allows.
TEST_CASE("an answer is checked against position and bound") {
  RouteRequest R = staleRead({1, 5});
  CHECK(satisfies(R, {{1, 0}}, {1, 5}, 100ms));
  CHECK_FALSE(satisfies(R, {{1, 0}}, {1, 4}, 0ms));
  CHECK_FALSE(satisfies(R, {{1, 0}}, {1, 5}, 101ms));
}
