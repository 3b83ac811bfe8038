#include "kernel/health.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

// Guards against a failover because of unresponsive connections while new
// connections work.
TEST_CASE("timeouts of connections never make an upstream suspect") {
  HealthState S = makeHealth(800ms, 100ms);
  for (int I = 0; I < 100; ++I) {
    auto Actions = connectionTimedOut(S, Priority::Urgent);
    CHECK(Actions.Replace);
    CHECK(Actions.ProbeIdle);
    CHECK(Actions.ProbeTimeout > Duration::zero());
  }
  CHECK_FALSE(S.Suspected);
}

// Guards against suspicion before the tolerance has passed without an opened
// connection, and against suspicion that comes much later.
TEST_CASE("suspicion needs failures throughout the tolerance") {
  CHECK(rc::check([] {
    HealthState S = makeHealth(800ms, 100ms);
    Instant Now;
    Instant LastOpened;
    for (int Step : *rc::gen::container<std::vector<int>>(
             rc::gen::weightedOneOf<int>({{20, rc::gen::inRange(1, 200)},
                                          {1, rc::gen::just(0)},
                                          {1, rc::gen::just(5000)}}))) {
      Instant StartedAt = Now;
      Now += Step * 1ms;
      if (Step == 0) {
        connectionOpened(S, Now);
        LastOpened = Now;
        RC_ASSERT(!S.Suspected);
      } else if (connectionFailed(S, StartedAt, Now) ==
                 HealthChange::Suspected) {
        RC_ASSERT(Now - LastOpened >= 800ms);
      }
    }
  }));
  HealthState S = makeHealth(800ms, 100ms);
  Instant Now;
  while (connectionFailed(S, Now, Now) != HealthChange::Suspected) {
    Now += 100ms;
    REQUIRE(Now - Instant() <= 800ms);
  }
  CHECK(connectionOpened(S, Now) == HealthChange::Recovered);
  CHECK(connectionOpened(S, Now) == HealthChange::None);
}

// Guards against a paused proxy that suspects a healthy primary.
TEST_CASE("a pause between failures restarts the tolerance") {
  HealthState S = makeHealth(800ms, 100ms);
  Instant Now;
  connectionFailed(S, Now, Now);
  connectionFailed(S, Now + 100ms, Now + 100ms);
  Now += 10s;
  CHECK(connectionFailed(S, Now, Now) == HealthChange::None);
  CHECK(connectionFailed(S, Now, Now + 5s) == HealthChange::None);
}

// Guards against a request that waits for a lost connection until its deadline.
TEST_CASE("the attempt timeout follows measured latency") {
  HealthState S = makeHealth(800ms, 100ms);
  recordAnswer(S, Priority::Urgent, 30ms);
  CHECK(attemptTimeout(S, Priority::Urgent, 2s, false) == 90ms);
  CHECK(attemptTimeout(S, Priority::Urgent, 100ms, true) == 50ms);
  CHECK(attemptTimeout(S, Priority::Urgent, 20ms, false) == 20ms);
  for (int I = 0; I < 1000; ++I)
    recordAnswer(S, Priority::Urgent, 5ms);
  CHECK(attemptTimeout(S, Priority::Urgent, 2s, false) == S.Options.MinTimeout);
}

// Guards against statements that always fail because they are slower than the
// timeout.
TEST_CASE("timeouts double until an answer arrives") {
  HealthState S = makeHealth(800ms, 100ms);
  Duration First = attemptTimeout(S, Priority::Normal, 60s, false);
  connectionTimedOut(S, Priority::Normal);
  CHECK(attemptTimeout(S, Priority::Normal, 60s, false) == 2 * First);
  for (int I = 0; I < 100; ++I)
    connectionTimedOut(S, Priority::Normal);
  CHECK(attemptTimeout(S, Priority::Normal, 60s, false) ==
        S.Options.MaxTimeout);
  CHECK(attemptTimeout(S, Priority::Urgent, 60s, false) == First);
  recordAnswer(S, Priority::Normal, 100ms);
  CHECK(attemptTimeout(S, Priority::Normal, 60s, false) == 300ms);
}
