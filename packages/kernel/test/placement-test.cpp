#include "kernel/placement.h"
#include <array>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

ServerLoad server(const char *Id, bool Primary) {
  ServerLoad Load;
  Load.Id = Id;
  Load.Primary = Primary;
  Load.Available = true;
  Load.Connected = true;
  Load.Applied = {1, 10};
  return Load;
}

} // namespace

// Guards against reads that take the primary's slots from urgent work.
TEST_CASE("a read goes to a replica that contains the position") {
  std::vector<ServerLoad> Servers = {server("p", true), server("r", false)};
  PlacementRequest Request;
  Request.Required = Position{1, 10};
  CHECK(chooseServer(Request, Servers, Instant(1s)) == 1U);
  Request.Required = Position{1, 11};
  Servers[1].AppliedAt = Instant(1s);
  CHECK(chooseServer(Request, Servers, Instant(1s)) == 0U);
}

// Guards against a stale answer when nothing proves the position.
TEST_CASE("without a known position only the primary qualifies") {
  std::vector<ServerLoad> Servers = {server("r", false)};
  PlacementRequest Request;
  CHECK_FALSE(chooseServer(Request, Servers, Instant(1s)));
  CHECK_FALSE(servable(Request, Servers));
}

// Guards against a lagging replica that is tried again and again.
TEST_CASE("a replica that lacked a position is tried again after a delay") {
  std::vector<ServerLoad> Servers = {server("r", false)};
  Servers[0].AppliedAt = Instant(1s);
  PlacementRequest Request;
  Request.Required = Position{1, 11};
  CHECK_FALSE(chooseServer(Request, Servers, Instant(1s) + LagRetryDelay / 2));
  CHECK(chooseServer(Request, Servers, Instant(1s) + LagRetryDelay));
}

TEST_CASE("urgent work may use one more than the limit") {
  std::vector<ServerLoad> Servers = {server("p", true)};
  Servers[0].InFlight = 1;
  PlacementRequest Request;
  Request.PrimaryOnly = true;
  Request.WorkPriority = Priority::Normal;
  CHECK_FALSE(chooseServer(Request, Servers, Instant(1s)));
  Request.WorkPriority = Priority::Urgent;
  CHECK(chooseServer(Request, Servers, Instant(1s)));
}

// Guards against reads that overflow to a degraded server while a healthy one
// is full for a moment, and against statements that nothing runs.
TEST_CASE("a degraded server runs only what no other server can run") {
  std::vector<ServerLoad> Servers = {server("p", true), server("r1", false),
                                     server("r2", false)};
  Servers[1].Degraded = true;
  PlacementRequest Read;
  Read.Required = Position{1, 10};
  Read.TrialAllowed = true;
  CHECK(chooseServer(Read, Servers, Instant(1s)) == 2U);
  Servers[0].InFlight = Servers[2].InFlight = 1;
  CHECK_FALSE(chooseServer(Read, Servers, Instant(1s)));
  CHECK_FALSE(anyFree(Servers, Priority::Normal));
  Servers[0].Unreachable = Servers[2].Unreachable = true;
  CHECK(anyFree(Servers, Priority::Normal));
  CHECK(chooseServer(Read, Servers, Instant(1s)) == 1U);
  // A suspected server may be lost.
  Servers[0].Unreachable = Servers[2].Unreachable = false;
  Servers[0].Suspected = Servers[2].Suspected = true;
  CHECK(chooseServer(Read, Servers, Instant(1s)) == 1U);
  Servers[2].InFlight = 0;
  CHECK(chooseServer(Read, Servers, Instant(1s)) == 2U);
}

// Guards against a degraded server that never gets a trial because others are
// preferred, and against writes and retries as trials.
TEST_CASE("a trial goes to the degraded server before others") {
  std::vector<ServerLoad> Servers = {server("p", true), server("r1", false),
                                     server("r2", false)};
  Servers[1].Degraded = Servers[1].TrialDue = true;
  PlacementRequest Read;
  Read.Required = Position{1, 10};
  CHECK(chooseServer(Read, Servers, Instant(1s)) == 2U);
  Read.TrialAllowed = true;
  CHECK(chooseServer(Read, Servers, Instant(1s)) == 1U);
  // A statement does not wait for a handshake of a degraded server.
  Servers[1].Connected = false;
  CHECK(chooseServer(Read, Servers, Instant(1s)) == 2U);
  Servers[1].Connected = true;
  PlacementRequest Write;
  Write.PrimaryOnly = true;
  CHECK(chooseServer(Write, Servers, Instant(1s)) == 0U);
}

// Guards against background work that delays normal work on an overloaded
// primary. The fault occurred when replicas were 3 s behind, so that the
// primary served all reads of its group.
TEST_CASE("overdue background work does not overtake normal work") {
  WaitKey Background{false, Priority::Background, Instant(1s)};
  WaitKey Normal{false, Priority::Normal, Instant(2s)};
  WaitKey LateNormal{true, Priority::Normal, Instant(1s)};
  CHECK(before(Normal, Background));
  CHECK(before(LateNormal, Background));
  CHECK(before(Normal, LateNormal));
}

namespace {

/// Simulates 10 s of arrivals on \p Slots slots in the order of waitOrder() and
/// returns the fraction that was answered within the latency objective. The
/// service times are half, all and one and a half of \p Run.
double shareInTime(Duration Gap, unsigned Slots, Duration Run,
                   Duration LatencyObjective) {
  const std::array<Duration, 3> Runs = {Run / 2, Run, Run + Run / 2};
  std::vector<WaitingStatement> Waiting;
  std::vector<Instant> FreeAt(Slots);
  unsigned Arrived = 0;
  unsigned Started = 0;
  unsigned InTime = 0;
  Instant NextArrival;
  for (Instant Now; Now < Instant(10s); Now += 1ms) {
    for (; NextArrival <= Now; NextArrival += Gap, ++Arrived)
      Waiting.push_back({Priority::Normal, NextArrival, LatencyObjective, Run});
    for (Instant &Free : FreeAt) {
      if (Free > Now || Waiting.empty())
        continue;
      std::size_t First = waitOrder(Waiting, Now).front();
      Free = Now + Runs[Started++ % Runs.size()];
      InTime += Free <= Waiting[First].FirstTry + LatencyObjective ? 1 : 0;
      Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(First));
    }
    std::erase_if(Waiting, [&](const WaitingStatement &W) {
      return Now - W.FirstTry >= maxWait(1s);
    });
  }
  return static_cast<double>(InTime) / Arrived;
}

} // namespace

// Guards against an overload in which nearly all answers are late. The fault
// occurred when replicas lagged for seconds: the reads of a service needed 1.6
// times the slots of its primary.
TEST_CASE("under overload answers are in time up to the capacity") {
  // 6 slots at 120 ms run 50 statements a second of 80 that arrive.
  CHECK(shareInTime(12500us, 6, 120ms, 400ms) > 0.95 * 50 / 80);
  // Without overload nearly all are in time.
  CHECK(shareInTime(25ms, 6, 120ms, 400ms) > 0.98);
}

TEST_CASE("a server is free for a priority below the limit of that priority") {
  ServerLoad Full;
  Full.Available = true;
  Full.Limit = 2;
  Full.InFlight = 2;
  CHECK_FALSE(anyFree({Full}, Priority::Normal));
  CHECK(anyFree({Full}, Priority::Urgent));
  Full.InFlight = 3;
  CHECK_FALSE(anyFree({Full}, Priority::Urgent));
  ServerLoad Unavailable;
  CHECK_FALSE(anyFree({Full, Unavailable}, Priority::Urgent));
}

TEST_CASE("late statements wait behind others of their priority") {
  Instant Now(10s);
  std::vector<WaitingStatement> Waiting = {
      {Priority::Normal, Now - 350ms, 400ms, 100ms},
      {Priority::Normal, Now - 50ms, 400ms, 100ms},
      {Priority::Background, Now - 50ms, 400ms, 100ms},
      {Priority::Urgent, Now, 200ms, 50ms}};
  CHECK(waitOrder(Waiting, Now) == std::vector<std::size_t>{3, 1, 0, 2});
}

// Guards against statements that wait for a primary that this proxy can't
// reach, although the caller could use another proxy.
TEST_CASE("a write is not servable while the primary can't be reached") {
  std::vector<ServerLoad> Servers = {server("p", true), server("r", false)};
  PlacementRequest Request;
  Request.PrimaryOnly = true;
  CHECK(servable(Request, Servers));
  Servers[0].InFlight = 100;
  CHECK(servable(Request, Servers));
  Servers[0].Unreachable = true;
  CHECK_FALSE(servable(Request, Servers));
}

// Guards against queues at a server that all proxies together overload.
TEST_CASE("the limits of all proxies stay near the slots") {
  CHECK(proxyLimit(5, 7) == 2U);
  CHECK(proxyLimit(2, 8) == 1U);
  CHECK(proxyLimit(6, 65) == 1U);
  CHECK(proxyLimit(5, 1) == 5U);
  CHECK(proxyLimit(0, 0) == 1U);
}

TEST_CASE("a statement waits for a fraction of its timeout") {
  CHECK(maxWait(1s) < 1s);
  CHECK(maxWait(1s) > 0s);
}

// Guards against a queue at the server that ignores priorities: 65 proxies
// share 6 slots and 49 connections, so one statement of each proxy is more than
// ten times the slots.
TEST_CASE("owners are needed if many proxies share few slots") {
  CHECK(ownersNeeded(6, 49, 65));
  CHECK(ownersNeeded(4, 151, 69));
  CHECK_FALSE(ownersNeeded(5, 33, 7));
  // Enough slots, but too few connections for each proxy to keep its own.
  CHECK(ownersNeeded(64, 30, 16));
  constexpr unsigned Domains = 4;
  constexpr unsigned Slots = 6;
  CHECK(proxyLimit(Slots, Domains) * Domains <= 3 * Slots);
}

TEST_CASE("only owners use the share of their failure domain") {
  CHECK(sharingProxies(true, 4, 65) == 4);
  CHECK(sharingProxies(false, 4, 65) == 65);
}

TEST_CASE("statements wait for a successor that is likely to lead in time") {
  CHECK(successorExpected({true, TypicalPromotionTime - 500ms}, 750ms));
  CHECK_FALSE(successorExpected({true, 100ms}, 750ms));
  CHECK(successorExpected({true, 100ms}, 2250ms));
  CHECK_FALSE(successorExpected({true, MaxPromotionTime}, 2250ms));
}

TEST_CASE("statements wait for the first lease on a new primary") {
  CHECK(successorExpected({false, 100ms}, 750ms));
  CHECK_FALSE(successorExpected({false, FirstLeaseTime}, 750ms));
  CHECK_FALSE(successorExpected({false, std::nullopt}, 750ms));
}

// Guards against transactions that are ended for a statement that waits for
// something else than a connection.
TEST_CASE("a statement lacks a connection where all are in use") {
  std::vector<ServerLoad> Servers = {server("p", true), server("r", false)};
  for (ServerLoad &Server : Servers) {
    Server.Available = false;
    Server.Connected = false;
    Server.Exhausted = true;
  }
  PlacementRequest Request;
  Request.PrimaryOnly = true;
  using Ids = std::vector<UpstreamId>;
  CHECK(serversLackingConnection(Request, Servers, Instant(1s)) == Ids{"p"});
  Request.PrimaryOnly = false;
  Request.Required = Position{1, 10};
  CHECK(serversLackingConnection(Request, Servers, Instant(1s)) ==
        Ids{"p", "r"});
  SUBCASE("not if another server can run it") {
    Servers[1].Available = true;
    Servers[1].Exhausted = false;
    CHECK(serversLackingConnection(Request, Servers, Instant(1s)).empty());
  }
  SUBCASE("not at a server without a free slot or out of reach") {
    Servers[0].InFlight = 1;
    Servers[1].Unreachable = true;
    CHECK(serversLackingConnection(Request, Servers, Instant(1s)).empty());
  }
  SUBCASE("not at a replica that lags") {
    Request.Required = Position{1, 11};
    Servers[1].AppliedAt = Instant(1s);
    CHECK(serversLackingConnection(Request, Servers, Instant(1s)) == Ids{"p"});
  }
}
