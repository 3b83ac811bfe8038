#include "engine/pool.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

/// A pool whose dials are answered by the test.
struct PoolFixture {
  PoolFixture()
      : Events("test", [this] { return toMillis(Now.time_since_epoch()); }) {
    Hooks.Now = [this] { return Now; };
    ServerEntry Server;
    Server.Id = "p";
    Server.Slots = 6;
    Pool = ServerPool::create(
        Server, 4, Hooks,
        [this](const ServerEntry &, Duration, auto Done) {
          ++Count;
          Answer = std::move(Done);
        },
        Events);
    Pool->setLimits(4, 49, 4);
  }

  void answer(DialOutcome Outcome) {
    auto Done = std::move(Answer);
    Answer = nullptr;
    Done({Outcome, {}, {}});
  }

  Instant Now{100s};
  RuntimeHooks Hooks;
  EventWriter Events;
  std::shared_ptr<ServerPool> Pool;
  std::function<void(DialResult)> Answer;
  unsigned Count = 0;
};

} // namespace

TEST_CASE("a server that refuses connections is unreachable") {
  PoolFixture D;
  for (int I = 0; I < 2; ++I) {
    D.Pool->ensureConnection();
    D.answer(DialOutcome::Refused);
    D.Now += 1s;
  }
  CHECK(D.Pool->unreachable());
}

// Replays a server whose connections are all taken after an outage: 65 proxies
// dialled it without end because each took it for unreachable.
TEST_CASE("a server with too many connections can be reached") {
  PoolFixture D;
  D.Pool->ensureConnection();
  D.answer(DialOutcome::TimedOut);
  D.Now += 1s;
  CHECK(D.Pool->unreachable());
  D.Pool->ensureConnection();
  D.answer(DialOutcome::TooManyConnections);
  CHECK_FALSE(D.Pool->unreachable());
  CHECK_FALSE(D.Pool->failing());
}

TEST_CASE("a crowded server is dialled less and less often") {
  PoolFixture D;
  for (int I = 0; I < 400; ++I) {
    D.Pool->ensureConnection();
    if (D.Answer)
      D.answer(DialOutcome::TooManyConnections);
    D.Now += 10ms;
  }
  CHECK(D.Count <= 12);
  CHECK(D.Count >= 4);
}

// Reports of a proxy that does not run the service's statements must not
// outlive the failure, and it must not dial for them.
TEST_CASE("an unused pool forgets a failure without dialling") {
  PoolFixture D;
  D.Pool->ensureConnection();
  D.answer(DialOutcome::TimedOut);
  D.Now += 1s;
  CHECK(D.Pool->unreachable());
  D.Pool->checkFailure(false);
  CHECK(D.Pool->unreachable());
  D.Now += 3s;
  D.Pool->checkFailure(false);
  CHECK_FALSE(D.Pool->unreachable());
  CHECK(D.Count == 1);
}
