#include "runtime/clock.h"
#include <doctest/doctest.h>
#include <thread>

using namespace eelgrassloom;

// Guards against a paused clock that moves by itself, and against a system
// clock that a test advances by mistake.
TEST_CASE("a paused clock moves only when it is advanced") {
  auto C = Clock::paused();
  Instant Start = C->now();
  CHECK(C->now() == Start);
  C->advance(std::chrono::seconds(5));
  CHECK(C->now() - Start == std::chrono::seconds(5));
  CHECK_THROWS(Clock::system()->advance(std::chrono::seconds(1)));
}

// Guards against a waiter that blocks forever because it misses an advance.
TEST_CASE("a waiter returns when the clock reaches its instant") {
  auto C = Clock::paused();
  std::mutex Mutex;
  std::condition_variable Condition;
  std::thread Advancer([&] { C->advance(std::chrono::seconds(2)); });
  std::unique_lock<std::mutex> Lock(Mutex);
  CHECK_FALSE(C->waitUntil(Lock, Condition, Instant(std::chrono::seconds(1)),
                           [] { return false; }));
  Advancer.join();
}
