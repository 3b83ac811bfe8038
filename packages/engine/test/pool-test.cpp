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
        Server, Hooks,
        [this](const DialRequest &, auto Done) {
          ++Dials;
          AnswerDial = std::move(Done);
        },
        Events);
    Pool->setLimits({4, 49, 4, false});
  }

  void answer(DialOutcome Outcome) {
    auto Done = std::move(AnswerDial);
    AnswerDial = nullptr;
    Done({Outcome, {}, {}});
  }

  Instant Now{100s};
  RuntimeHooks Hooks;
  EventWriter Events;
  std::shared_ptr<ServerPool> Pool;
  std::function<void(DialResult)> AnswerDial;
  unsigned Dials = 0;
};

/// A connection whose usability the test sets.
struct StubConnection : ServerConnection {
  void exchange(std::vector<ServerCall>, ReplyHandler) override {}
  bool usable() const override { return Usable; }
  void close() override {}
  bool Usable = true;
};

} // namespace

TEST_CASE("a server that refuses connections is unreachable") {
  PoolFixture F;
  for (int I = 0; I < 2; ++I) {
    F.Pool->ensureConnection({});
    F.answer(DialOutcome::Refused);
    F.Now += 1s;
  }
  CHECK(F.Pool->unreachable());
}

// Guards against dialing without end: after an outage all connections of a
// server were taken, and 65 proxies went on dialing because each took the
// server for unreachable.
TEST_CASE("a server with too many connections is not unreachable") {
  PoolFixture F;
  F.Pool->ensureConnection({});
  F.answer(DialOutcome::TimedOut);
  F.Now += 1s;
  CHECK(F.Pool->unreachable());
  F.Pool->ensureConnection({});
  F.answer(DialOutcome::TooManyConnections);
  CHECK_FALSE(F.Pool->unreachable());
  CHECK_FALSE(F.Pool->failing());
}

TEST_CASE("a server with too many connections is dialed less and less often") {
  PoolFixture F;
  for (int I = 0; I < 400; ++I) {
    F.Pool->ensureConnection({});
    if (F.AnswerDial)
      F.answer(DialOutcome::TooManyConnections);
    F.Now += 10ms;
  }
  CHECK(F.Dials <= 12);
  CHECK(F.Dials >= 4);
}

// Guards against reports that outlive the failure: a proxy that does not run
// statements of the service must neither repeat such a report nor dial to check
// it.
TEST_CASE("an unused pool forgets a failure without dialing") {
  PoolFixture F;
  F.Pool->ensureConnection({});
  F.answer(DialOutcome::TimedOut);
  F.Now += 1s;
  CHECK(F.Pool->unreachable());
  F.Pool->checkFailure(false);
  CHECK(F.Pool->unreachable());
  F.Now += 3s;
  F.Pool->checkFailure(false);
  CHECK_FALSE(F.Pool->unreachable());
  CHECK(F.Dials == 1);
}

// Guards against statements that wait, until idle connections are looked
// through, for connections that nobody may use.
TEST_CASE("idle connections that became unusable do not fill the pool") {
  PoolFixture F;
  std::vector<std::shared_ptr<StubConnection>> Open;
  for (int I = 0; I < 4; ++I) {
    F.Pool->openAnother({});
    auto Done = std::move(F.AnswerDial);
    Open.push_back(std::make_shared<StubConnection>());
    Done({DialOutcome::Connected, Open.back(), {}});
  }
  CHECK(F.Pool->available({}));
  for (const auto &Connection : Open)
    Connection->Usable = false;
  CHECK(F.Pool->available({}));
}

// Guards against a pool that stays above a limit that was lowered, because it
// opened a connection for each one that it closed.
TEST_CASE("a pool above its limit closes connections before it opens one") {
  PoolFixture F;
  F.Pool->setLimits({4, 49, 4, true});
  for (const char *Customer : {"a", "b", "c", "d"}) {
    F.Pool->ensureConnection({Customer, nullptr});
    F.AnswerDial(
        {DialOutcome::Connected, std::make_shared<StubConnection>(), {}});
  }
  REQUIRE(F.Pool->connections() == 4);
  F.Pool->setLimits({2, 49, 4, true});
  F.Pool->ensureConnection({"e", nullptr});
  CHECK(F.Dials == 5);
  CHECK(F.Pool->connections() == 1);
}

// Guards against a cache of connections that is lost with each slow statement:
// its connections belong to many customers and have seldom answered lately.
TEST_CASE("one slow statement does not close the connections of customers") {
  PoolFixture F;
  F.Pool->setLimits({4, 49, 4, true});
  for (const char *Customer : {"a", "b", "c"}) {
    F.Pool->ensureConnection({Customer, nullptr});
    F.AnswerDial(
        {DialOutcome::Connected, std::make_shared<StubConnection>(), {}});
  }
  F.Now += 1s;
  Instant SentAt = F.Now;
  F.Now += 1s;
  SUBCASE("while the server answers others") {
    F.Pool->AppliedAt = F.Now;
    F.Pool->exchangeTimedOut(SentAt);
    CHECK(F.Pool->connections() == 3);
    F.Pool->exchangeTimedOut(SentAt);
    CHECK(F.Pool->connections() == 0);
  }
  SUBCASE("unless the server answers nobody") {
    F.Pool->exchangeTimedOut(SentAt);
    CHECK(F.Pool->connections() == 0);
  }
}

// Guards against a customer that loses its connection to a dial of the proxy,
// which only asks whether the server can be reached again.
TEST_CASE("a dial after a failure closes no connection of a customer") {
  PoolFixture F;
  F.Pool->setLimits({2, 49, 4, true});
  for (const char *Customer : {"a", "b"}) {
    F.Pool->ensureConnection({Customer, nullptr});
    F.AnswerDial(
        {DialOutcome::Connected, std::make_shared<StubConnection>(), {}});
  }
  F.Pool->setLimits({3, 49, 4, true});
  F.Pool->ensureConnection({"c", nullptr});
  F.answer(DialOutcome::TimedOut);
  F.Pool->setLimits({2, 49, 4, true});
  F.Now += 1s;
  F.Pool->checkFailure(true);
  CHECK(F.Pool->connections() == 2);
}

// Guards against a proxy that holds connections which the server lacks for
// others, because they belong to no customer.
TEST_CASE("a refusal for too many connections closes one without a customer") {
  PoolFixture F;
  F.Pool->setLimits({4, 49, 4, true});
  F.Pool->ensureConnection({"", nullptr});
  F.AnswerDial(
      {DialOutcome::Connected, std::make_shared<StubConnection>(), {}});
  REQUIRE(F.Pool->connections() == 1);
  F.Pool->ensureConnection({"a", nullptr});
  F.answer(DialOutcome::TooManyConnections);
  CHECK(F.Pool->connections() == 0);
}

// Guards against a former owner that keeps the connections which the proxy that
// runs statements in its place needs.
TEST_CASE("a pool without statements gives up the connections of customers") {
  PoolFixture F;
  F.Pool->setLimits({4, 49, 4, true});
  for (const char *Customer : {"a", "b", "c"}) {
    F.Pool->ensureConnection({Customer, nullptr});
    F.AnswerDial(
        {DialOutcome::Connected, std::make_shared<StubConnection>(), {}});
    F.Pool->release(F.Pool->acquire(1, Customer), true);
  }
  F.Now += 1s;
  F.Pool->closeIdle(true);
  CHECK(F.Pool->connections() == 3);
  F.Now += 2s;
  F.Pool->closeIdle(true);
  CHECK(F.Pool->connections() == 0);
}
