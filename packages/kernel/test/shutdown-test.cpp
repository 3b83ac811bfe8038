#include "kernel/shutdown.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

TEST_CASE("a stop goes through its phases in order") {
  StopOptions O;
  O.Grace = 6s;
  CHECK(stopPhase(O, 0s) == StopPhase::Serving);
  CHECK(stopPhase(O, 2199ms) == StopPhase::Serving);
  CHECK(stopPhase(O, 2200ms) == StopPhase::ClosingIdle);
  CHECK(stopPhase(O, 3s) == StopPhase::EndingTransactions);
  CHECK(stopPhase(O, 4099ms) == StopPhase::EndingTransactions);
  CHECK(stopPhase(O, 4100ms) == StopPhase::Refusing);
  CHECK(stopPhase(O, 5100ms) == StopPhase::Ending);
  CHECK(stopPhase(O, 1h) == StopPhase::Ending);
}

// Guards against requests that are cut because a short grace period has no room
// for refusals and last answers.
TEST_CASE("a short grace period keeps the time for the last answers") {
  StopOptions O;
  O.Grace = 2s;
  CHECK(stopPhase(O, 0ms) == StopPhase::Serving);
  CHECK(stopPhase(O, 100ms) == StopPhase::Refusing);
  CHECK(stopPhase(O, 1100ms) == StopPhase::Ending);
  O.Grace = 500ms;
  CHECK(stopPhase(O, 0ms) == StopPhase::Ending);
}
