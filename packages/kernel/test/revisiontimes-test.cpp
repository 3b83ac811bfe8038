#include "kernel/revisiontimes.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

TEST_CASE("a change was made by the first answer with its revision or more") {
  RevisionTimes Times;
  CHECK_FALSE(madeBy(Times, 5));
  addRevision(Times, 10, Instant(1s));
  addRevision(Times, 20, Instant(2s));
  CHECK(madeBy(Times, 5) == Instant(1s));
  CHECK(madeBy(Times, 10) == Instant(1s));
  CHECK(madeBy(Times, 11) == Instant(2s));
  CHECK_FALSE(madeBy(Times, 21));
}

// A stale answer must not make a later change look older than it is.
TEST_CASE("an answer with an older revision adds nothing") {
  RevisionTimes Times;
  addRevision(Times, 20, Instant(1s));
  addRevision(Times, 10, Instant(2s));
  addRevision(Times, 0, Instant(3s));
  CHECK(Times.Samples.size() == 1);
  CHECK(madeBy(Times, 15) == Instant(1s));
}

TEST_CASE("old samples are dropped and old revisions keep a bound") {
  RevisionTimes Times;
  for (std::uint64_t I = 1; I <= 100; ++I)
    addRevision(Times, I, Instant(I * 500ms));
  CHECK(Times.Samples.size() <= 12);
  auto Bound = madeBy(Times, 1);
  REQUIRE(Bound);
  CHECK(*Bound >= Instant(500ms));
  CHECK(*Bound <= Instant(50s) - RevisionRetention);
}
