#include "kernel/primary.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

TEST_CASE("a lease expires") {
  PrimaryLease Lease{1, "p", Instant(2s)};
  CHECK(valid(Lease, Instant(1s)));
  CHECK_FALSE(valid(Lease, Instant(2s)));
  CHECK_FALSE(valid(PrimaryLease(), Instant(0s)));
}

// Guards against a read that misses a commit acknowledged before its bound.
TEST_CASE("a replica needs the oldest position within the bound") {
  PrimaryPositions P;
  addPosition(P, {Instant(1s), {1, 10}, 1});
  addPosition(P, {Instant(2s), {1, 20}, 1});
  addPosition(P, {Instant(3s), {1, 30}, 1});
  CHECK(requiredPosition(P, Instant(3s), 1s) == Position{1, 20});
  CHECK(requiredPosition(P, Instant(3s), 1500ms) == Position{1, 20});
  CHECK_FALSE(requiredPosition(P, Instant(5s), 1s));
}

TEST_CASE("answers out of order and of an older primary add nothing") {
  PrimaryPositions P;
  addPosition(P, {Instant(2s), {2, 20}, 2});
  addPosition(P, {Instant(1s), {2, 10}, 2});
  addPosition(P, {Instant(3s), {1, 40}, 1});
  CHECK(P.Recent.size() == 1);
}

TEST_CASE("old samples are dropped") {
  PrimaryPositions P;
  addPosition(P, {Instant(1s), {1, 1}, 1});
  addPosition(P, {Instant(1s) + PositionRetention + 1s, {1, 2}, 1});
  CHECK(P.Recent.size() == 1);
}

// Guards against a session that misses its own write after a promotion, and
// against one that waits forever for a write that was rolled back.
TEST_CASE("after a promotion a session needs a position of the new primary") {
  PrimaryPositions P;
  addPosition(P, {Instant(1s), {1, 10}, 1});
  SessionCommit C{{1, 12}, 1};
  CHECK(requiredForSession(P, C, 1) == Position{1, 12});
  CHECK_FALSE(requiredForSession(P, C, 2));
  addPosition(P, {Instant(2s), {2, 11}, 2});
  CHECK(requiredForSession(P, C, 2) == Position{2, 11});
  CHECK(requiredForSession(P, {}, 2) == Position{});
}
