#include "kernel/limit.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

void record(LimitState &S, Duration Latency, unsigned Count, Instant &Now) {
  for (unsigned I = 0; I < Count; ++I) {
    Now += Latency;
    recordLatency(S, Priority::Normal, Latency, Now);
  }
}

} // namespace

// Guards against a limit of zero, which stops an upstream, and against one that
// exceeds the slots.
TEST_CASE("the limit stays between one and the slots") {
  CHECK(rc::check([] {
    auto Slots = *rc::gen::inRange(0U, 20U);
    LimitState S = makeLimit(Slots);
    Instant Now;
    for (auto Millis :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(-5, 500))) {
      Now += 1ms;
      if (Millis < 0)
        recordOverload(S);
      else
        recordLatency(S, Priority::Urgent, Millis * 1ms, Now);
      RC_ASSERT(limit(S) >= 1U);
      RC_ASSERT(limit(S) <= std::max(1U, Slots));
    }
  }));
}

// Guards against a slow upstream receiving its full concurrency, and against
// a limit that stays low after the upstream has recovered.
TEST_CASE("the limit falls with contention and recovers") {
  LimitState S = makeLimit(5);
  Instant Now;
  record(S, 5ms, 40, Now);
  CHECK(limit(S) == 5);
  record(S, 40ms, 100, Now);
  CHECK(limit(S) == 1);
  record(S, 5ms, 200, Now);
  CHECK(limit(S) == 5);
}

// Guards against long statements that are mistaken for contention.
TEST_CASE("single slow statements do not lower the limit") {
  LimitState S = makeLimit(5);
  Instant Now;
  for (int I = 0; I < 200; ++I) {
    record(S, 5ms, 9, Now);
    record(S, 100ms, 1, Now);
    REQUIRE(limit(S) == 5);
  }
}

// Guards against a permanently slower upstream that stays limited to one slot.
TEST_CASE("an old minimum is measured again") {
  LimitState S = makeLimit(5);
  Instant Now;
  record(S, 5ms, 40, Now);
  record(S, 40ms, 3000, Now);
  CHECK(limit(S) == 5);
}

// Guards against a changed configuration that has no effect.
TEST_CASE("a limit follows changed slots") {
  LimitState S = makeLimit(2);
  setSlots(S, 5);
  CHECK(limit(S) == 5);
  recordOverload(S);
  CHECK(limit(S) == 2);
  setSlots(S, 1);
  CHECK(limit(S) == 1);
}
