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
             const std::vector<UpstreamView> &Views,
             const std::vector<UpstreamId> &Excluded = {}) {
  return Registry<RoutingPolicy>::find(Policy)->Choose(Request, Views, Excluded,
                                                       Now, {});
}

UpstreamView view(UpstreamId Id, Role R, std::uint64_t Applied) {
  UpstreamView V;
  V.Id = std::move(Id);
  V.UpstreamRole = R;
  V.Line = {{1, 0}};
  V.Applied = {1, Applied};
  V.ObservedAt = Now;
  V.Staleness = 0ms;
  return V;
}

RouteRequest staleRead(Position Seen) {
  RouteRequest R;
  R.Seen = Seen;
  R.StalenessBound = 100ms;
  R.Remaining = 1s;
  return R;
}

/// One of a few lines that promotions may have left behind.
History anyLine() {
  return *rc::gen::elementOf(
      std::vector<History>{{{1, 0}}, {{1, 0}, {2, 5}}, {{1, 0}, {3, 7}}, {}});
}

std::vector<UpstreamView> anyViews() {
  std::vector<UpstreamView> Views;
  for (const char *Id : {"a", "b", "c"}) {
    UpstreamView V;
    V.Id = Id;
    V.UpstreamRole =
        *rc::gen::element(Role::Primary, Role::Replica, Role::Unknown);
    V.Line = anyLine();
    V.Applied = {V.Line.empty() ? 0 : V.Line.back().Term,
                 *rc::gen::inRange<std::uint64_t>(0, 12)};
    V.ObservedAt = Now - *rc::gen::inRange(0, 150) * 1ms;
    V.Staleness = *rc::gen::inRange(0, 150) * 1ms;
    V.Lag = *rc::gen::inRange(0, 100) * 1ms;
    V.QueueWait.fill(*rc::gen::inRange(0, 100) * 1ms);
    V.Suspected = *rc::gen::inRange(0, 5) == 0;
    V.Leaving = *rc::gen::inRange(0, 5) == 0;
    Views.push_back(V);
  }
  return Views;
}

} // namespace

// Guards against stale reads, reads of lost data, writes to a replaced primary
// and work for upstreams that are out of service.
TEST_CASE("a chosen upstream can serve the request") {
  CHECK(rc::check([] {
    auto Views = anyViews();
    RouteRequest Request = staleRead({*rc::gen::inRange<std::uint64_t>(0, 4),
                                      *rc::gen::inRange<std::uint64_t>(0, 12)});
    Request.Write = *rc::gen::arbitrary<bool>();
    Request.StalenessBound = *rc::gen::inRange(0, 3) * 100ms;
    Request.Remaining = *rc::gen::inRange(0, 100) * 1ms;
    std::vector<UpstreamId> Excluded;
    if (*rc::gen::arbitrary<bool>())
      Excluded.push_back("a");
    const char *Policy = *rc::gen::element("causal", "primary-only");
    Route R = choose(Policy, Request, Views, Excluded);
    std::uint64_t Highest = 0;
    for (const UpstreamView &V : Views)
      if (!V.Line.empty())
        Highest = std::max(Highest, V.Line.back().Term);
    if (R.Kind != RouteKind::Send) {
      RC_ASSERT(R.Target.empty());
      return;
    }
    const UpstreamView &U =
        *std::find_if(Views.begin(), Views.end(),
                      [&](const UpstreamView &V) { return V.Id == R.Target; });
    RC_ASSERT(!U.Suspected);
    RC_ASSERT(Excluded.empty() || U.Id != "a");
    RC_ASSERT(lineage(U.Line, Request.Seen) != Lineage::Lost);
    if (R.Wait == Duration::zero() && U.UpstreamRole == Role::Replica)
      RC_ASSERT(contains(U.Line, U.Applied, Request.Seen));
    if (R.Wait == Duration::zero())
      RC_ASSERT(lineage(U.Line, Request.Seen) == Lineage::OnLine);
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
      for (const UpstreamView &V : Views)
        if (V.UpstreamRole == Role::Primary && !V.Line.empty())
          RC_ASSERT(V.Line.back().Term <= U.Line.back().Term);
    }
  }));
}

// Guards against reads that burden the primary although a replica is current.
TEST_CASE("a stale read prefers a replica that needs no wait") {
  std::vector<UpstreamView> Views = {view("p", Role::Primary, 9),
                                     view("r", Role::Replica, 5),
                                     view("s", Role::Replica, 9)};
  CHECK(choose("causal", staleRead({1, 3}), Views).Target == "r");
  Views[1].Lag = 10ms;
  Route R = choose("causal", staleRead({1, 9}), Views);
  CHECK(R.Target == "s");
  CHECK(R.Wait == Duration::zero());
  CHECK(choose("primary-only", staleRead({1, 3}), Views).Target == "p");
}

// Guards against waiting for a replica that is far behind.
TEST_CASE("a short lag is waited for, a long one is not") {
  std::vector<UpstreamView> Views = {view("p", Role::Primary, 9),
                                     view("r", Role::Replica, 5)};
  Views[1].Lag = 10ms;
  Route R = choose("causal", staleRead({1, 9}), Views);
  CHECK(R.Target == "r");
  CHECK(R.Wait == 20ms);
  Views[1].Lag = 200ms;
  CHECK(choose("causal", staleRead({1, 9}), Views).Target == "p");
}

// Guards against reads that queue at saturated replicas beside an idle primary.
TEST_CASE("reads spill to the primary") {
  std::vector<UpstreamView> Views = {view("p", Role::Primary, 9),
                                     view("r", Role::Replica, 9)};
  Views[1].QueueWait.fill(40ms);
  CHECK(choose("causal", staleRead({}), Views).Target == "r");
  Views[1].QueueWait.fill(60ms);
  CHECK(choose("causal", staleRead({}), Views).Target == "p");
  Views[0].Leaving = true;
  CHECK(choose("causal", staleRead({}), Views).Target == "r");
}

// Guards against a lost position being answered with other data.
TEST_CASE("a position lost in a failover is reported") {
  std::vector<UpstreamView> Views = {view("old", Role::Primary, 9),
                                     view("new", Role::Primary, 6)};
  Views[1].Line = {{1, 0}, {2, 5}};
  Views[1].Applied = {2, 6};
  for (const char *Policy : {"causal", "primary-only"}) {
    CHECK(choose(Policy, staleRead({1, 8}), Views).Kind ==
          RouteKind::PositionLost);
    CHECK(choose(Policy, staleRead({1, 5}), Views).Target == "new");
  }
  Views[1].UpstreamRole = Role::Replica;
  Views[0].UpstreamRole = Role::Replica;
  CHECK(choose("causal", staleRead({}), {Views[0], Views[1]}).Target == "new");
}

// Guards against writes to a primary whose successor the session has seen.
TEST_CASE("a newer term than the primary's stops writes") {
  std::vector<UpstreamView> Views = {view("p", Role::Primary, 9)};
  RouteRequest Write = staleRead({2, 10});
  Write.Write = true;
  CHECK(choose("causal", Write, Views).Kind == RouteKind::NoUpstream);
  Write.Write = false;
  CHECK(choose("causal", Write, Views).Wait > Duration::zero());
}

// Guards against an answer that is older than the request allows.
TEST_CASE("an answer is checked against position and bound") {
  RouteRequest R = staleRead({1, 5});
  CHECK(satisfies(R, {{1, 0}}, {1, 5}, 100ms));
  CHECK_FALSE(satisfies(R, {{1, 0}}, {1, 4}, 0ms));
  CHECK_FALSE(satisfies(R, {{1, 0}}, {1, 5}, 101ms));
}
