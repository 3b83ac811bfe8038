#include "kernel/serverpace.h"
#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

/// One proxy's view of the servers of a service.
struct View {
  explicit View(std::size_t Count) : Servers(Count) {}

  PaceChange answer(std::size_t Server, Duration Time,
                    ServerOutcome Outcome = ServerOutcome::Answered,
                    Priority P = Priority::Normal) {
    return answerTo(Server, Now - Time, Outcome, P);
  }
  PaceChange answerTo(std::size_t Server, Instant SentAt, ServerOutcome Outcome,
                      Priority P = Priority::Normal) {
    std::vector<const ServerPace *> Siblings;
    for (std::size_t I = 0; I < Servers.size(); ++I)
      if (I != Server)
        Siblings.push_back(&Servers[I]);
    return recordAnswer(Servers[Server], {Outcome, P, true, SentAt, Now},
                        Siblings, NormalLimit);
  }
  /// Every server answers a statement each 20 ms for a second.
  void warmUp() {
    for (int I = 0; I < 50; ++I, Now += 20ms)
      for (std::size_t S = 0; S < Servers.size(); ++S)
        answer(S, 14ms);
  }
  unsigned degraded() const {
    return static_cast<unsigned>(
        std::count_if(Servers.begin(), Servers.end(),
                      [](const ServerPace &S) { return S.Degraded; }));
  }

  Instant Now{100s};
  unsigned NormalLimit = 8;
  std::vector<ServerPace> Servers;
};

/// A server with four slots that serves statements in order of arrival, and
/// proxies that always have statements waiting for it.
struct SharedServer {
  struct Sent {
    std::size_t Proxy;
    Instant At;
  };

  SharedServer(std::size_t Proxies, unsigned NormalLimit)
      : Views(Proxies, View(2)), InFlight(Proxies) {
    for (View &V : Views) {
      V.NormalLimit = NormalLimit;
      V.warmUp();
      Now = V.Now;
      beginPace(V.Servers[0], Now);
    }
  }

  bool maySend(std::size_t P) const {
    const ServerPace &Server = Views[P].Servers[0];
    return InFlight[P] < pacedLimit(Server, Views[P].NormalLimit) &&
           (!Server.Degraded || trialDue(Server, Now));
  }

  /// Runs the server for \p Time in steps of 1 ms; a statement takes \p Work.
  void run(Duration Time, Duration Work) {
    for (Instant Until = Now + Time; Now < Until; Now += 1ms) {
      for (std::size_t P = 0; P < Views.size(); ++P) {
        Views[P].Now = Now;
        // The sibling goes on answering.
        Views[P].answer(1, 14ms);
        for (; maySend(P); ++InFlight[P]) {
          Queue.push_back({P, Now});
          recordTrial(Views[P].Servers[0], Now);
        }
      }
      Peak = std::max(Peak, Queue.size() + Running.size());
      std::erase_if(Running, [&](const auto &R) {
        if (R.second > Now)
          return false;
        Views[R.first.Proxy].answerTo(0, R.first.At, ServerOutcome::Answered);
        --InFlight[R.first.Proxy];
        return true;
      });
      for (; Running.size() < 4 && !Queue.empty(); Queue.pop_front())
        Running.push_back({Queue.front(), Now + Work});
    }
  }

  std::vector<View> Views;
  std::vector<unsigned> InFlight;
  std::deque<Sent> Queue;
  std::vector<std::pair<Sent, Instant>> Running;
  std::size_t Peak = 0;
  Instant Now;
};

} // namespace

// Guards against a server that is flooded when it has just started: its first
// answers are slow, and the backlog of all proxies would fill its queue.
TEST_CASE("a server that has just started gets one statement at first") {
  View V(3);
  V.warmUp();
  beginPace(V.Servers[0], V.Now);
  CHECK(pacedLimit(V.Servers[0], 8) == 1);
  for (int I = 0; I < 20; ++I, V.Now += 20ms) {
    V.answer(1, 14ms);
    V.answer(0, 35ms);
    CHECK(pacedLimit(V.Servers[0], 8) == 1);
  }
  CHECK_FALSE(V.Servers[0].Degraded);
}

// Guards against a ramp that keeps a fast server idle while statements wait.
TEST_CASE("fast answers double the limit with each round") {
  View V(3);
  V.warmUp();
  beginPace(V.Servers[0], V.Now);
  for (unsigned Limit : {2U, 4U, 8U}) {
    for (unsigned I = Limit / 2; I > 0; --I)
      V.answer(0, 14ms);
    V.Now += 14ms;
    CHECK(pacedLimit(V.Servers[0], 8) == Limit);
  }
  CHECK_FALSE(V.Servers[0].Limit);
  CHECK(V.Now - V.Servers[0].HalvedAt < 1s);
}

// Guards against a limit that drops to one because of one slow moment of the
// server, which all statements in progress see.
TEST_CASE("slow or refused answers halve the limit once in a round") {
  View V(3);
  V.warmUp();
  beginPace(V.Servers[0], V.Now);
  V.NormalLimit = 64;
  for (int I = 0; I < 15; ++I)
    V.answer(0, 14ms);
  REQUIRE(pacedLimit(V.Servers[0], 64) == 16);
  V.Now += 40ms;
  for (int I = 0; I < 3; ++I)
    V.answer(0, 35ms);
  CHECK(pacedLimit(V.Servers[0], 64) == 8);
  V.Now += 40ms;
  V.answer(0, 5ms, ServerOutcome::Refused);
  V.answer(0, 5ms, ServerOutcome::Refused);
  CHECK(pacedLimit(V.Servers[0], 64) == 4);
}

// Guards against a pace without end: only the primary runs some workloads, so
// that no sibling tells how long they take.
TEST_CASE("a server without siblings to compare with leaves the pace") {
  View V(1);
  beginPace(V.Servers[0], V.Now);
  for (int I = 0; I < 6; ++I)
    CHECK(V.answer(0, 14ms) == PaceChange::None);
  CHECK(V.answer(0, 14ms) == PaceChange::PaceEnded);
}

// Guards against the sum of the limits of many proxies that do not know of each
// other: 24 proxies with a normal limit of 8 may send 192 statements to a
// server with four slots and a queue of 32.
TEST_CASE("many proxies together do not flood a server that has started") {
  SharedServer Server(24, 8);
  Server.run(2s, 14ms);
  // One statement of each proxy, and one more after each early fast answer: no
  // more than the slots and the queue hold.
  CHECK(Server.Peak <= 36);
  CHECK(Server.Peak >= 24);
}

// Guards against proxies that hold each other at a small limit although the
// server could serve all of them.
TEST_CASE("a few proxies reach their normal limit within a second") {
  SharedServer Server(3, 3);
  Server.run(1s, 14ms);
  for (const View &V : Server.Views)
    CHECK_FALSE(V.Servers[0].Limit);
}

// Guards against a server that is 7.5 times slower than the others and reports
// good health: its statements miss their objectives.
TEST_CASE("a slow server is degraded, gets trials only, and comes back") {
  View V(3);
  V.warmUp();
  int Answers = 0;
  for (; V.degraded() == 0 && Answers < 100; ++Answers, V.Now += 20ms) {
    V.answer(1, 14ms);
    V.answer(2, 14ms);
    V.answer(0, 105ms);
  }
  CHECK(Answers < 12);
  REQUIRE(V.Servers[0].Degraded);
  CHECK_FALSE(trialDue(V.Servers[0], V.Now));
  unsigned Trials = 0;
  bool Recovered = false;
  for (int I = 0; I < 500 && !Recovered; ++I, V.Now += 20ms) {
    V.answer(1, 14ms);
    if (!trialDue(V.Servers[0], V.Now))
      continue;
    ++Trials;
    recordTrial(V.Servers[0], V.Now);
    Instant SentAt = V.Now;
    // The server is fast again after 5 s.
    Duration Time = I < 250 ? 105ms : 14ms;
    V.Now += Time;
    V.answer(1, 14ms);
    Recovered =
        V.answerTo(0, SentAt, ServerOutcome::Answered) == PaceChange::Recovered;
  }
  CHECK(Recovered);
  CHECK(Trials >= 10);
  CHECK(Trials <= 16);
  CHECK(pacedLimit(V.Servers[0], 8) == 1);
}

// Guards against a server that fails statements at once and therefore attracts
// more of them than its siblings.
TEST_CASE("a server that fails more than a fifth is degraded") {
  View V(3);
  V.warmUp();
  for (int I = 0; I < 300; ++I, V.Now += 10ms) {
    V.answer(1, 14ms);
    if (I % 3 == 0)
      V.answer(0, 2ms, ServerOutcome::Failed);
    else
      V.answer(0, 14ms);
  }
  CHECK(V.Servers[0].Degraded);
  // One in ten is retried elsewhere, which costs less than the server's slots.
  CHECK_FALSE(V.Servers[1].Degraded);
  for (int I = 0; I < 300; ++I, V.Now += 10ms)
    V.answer(1, 14ms,
             I % 10 == 0 ? ServerOutcome::Failed : ServerOutcome::Answered);
  CHECK_FALSE(V.Servers[1].Degraded);
}

// Guards against a server that fails a third of its statements and passes a few
// trials by chance again and again.
TEST_CASE("a server that relapses needs more trials") {
  View V(2);
  V.warmUp();
  auto Degrade = [&] {
    for (int I = 0; I < 100 && !V.Servers[0].Degraded; ++I, V.Now += 10ms)
      V.answer(0, 2ms, ServerOutcome::Failed);
    REQUIRE(V.Servers[0].Degraded);
  };
  auto TrialsToRecover = [&] {
    int Trials = 0;
    PaceChange Change = PaceChange::None;
    for (; Change == PaceChange::None && Trials < 50; ++Trials) {
      V.Now += TrialInterval;
      V.answer(1, 14ms);
      Change = V.answer(0, 14ms);
    }
    CHECK(Change == PaceChange::Recovered);
    return Trials;
  };
  Degrade();
  int First = TrialsToRecover();
  Degrade();
  CHECK(TrialsToRecover() == 2 * First);
}

// Guards against a service that loses its servers when all of them become slow
// together, for example because of a burst: the first slow answers come from
// one of them, the other ones follow.
TEST_CASE("servers that become slow together are not degraded") {
  View V(3);
  V.warmUp();
  Instant Slow = V.Now;
  // Server 2 has little traffic, and the answers of server 0 come first.
  for (int I = 0; I < 400; ++I, V.Now += 10ms) {
    Duration Since = V.Now - Slow;
    if (Since >= 105ms) {
      V.answer(0, 105ms);
      if (I % 2 == 0)
        V.answer(1, 120ms);
      if (I % 20 == 0)
        V.answer(2, 110ms);
    }
    CHECK(V.degraded() == 0);
  }
}

// Guards against taking the server that answers first after a common stall,
// such as a network that loses everything for a moment, for the slow one.
TEST_CASE("the first server to answer after a stall is not degraded") {
  View V(3);
  V.warmUp();
  Instant Stalled = V.Now;
  V.Now += 500ms;
  for (int I = 0; I < 8; ++I) {
    V.answerTo(0, Stalled, ServerOutcome::Answered);
    CHECK(V.degraded() == 0);
  }
}

// Guards against taking the server with the most traffic for the slow one when
// all become slow: the means of the others follow with fewer samples.
TEST_CASE("siblings with little traffic that become slow as well count") {
  View V(3);
  V.warmUp();
  for (int I = 0; I < 200; ++I, V.Now += 10ms) {
    if (I % 10 == 0) {
      V.answer(1, 105ms);
      V.answer(2, 105ms);
    }
    V.answer(0, 105ms);
    CHECK(V.degraded() == 0);
  }
}

// Guards against taking load for a fault: a server that refuses statements as
// overloaded is slow because its queue is full.
TEST_CASE("a busy server is not degraded") {
  View V(3);
  V.warmUp();
  for (int I = 0; I < 300; ++I, V.Now += 10ms) {
    V.answer(1, 14ms);
    V.answer(2, 14ms);
    V.answer(0, I % 10 == 0 ? 2ms : 120ms,
             I % 10 == 0 ? ServerOutcome::Refused : ServerOutcome::Answered);
  }
  CHECK(V.degraded() == 0);
}

// Guards against one pause of a server, such as a checkpoint, that all its
// statements in progress see.
TEST_CASE("three very slow answers are no degradation") {
  View V(3);
  V.warmUp();
  for (int I = 0; I < 3; ++I) {
    V.answer(1, 14ms);
    V.answer(0, 500ms);
    CHECK(V.degraded() == 0);
  }
  for (int I = 0; I < 20; ++I, V.Now += 20ms) {
    V.answer(1, 14ms);
    V.answer(0, 14ms);
    CHECK(V.degraded() == 0);
  }
}

// Guards against a workload with long statements that makes a server look slow:
// times are compared within a priority.
TEST_CASE("a server with the longer workload is not degraded") {
  View V(3);
  for (int I = 0; I < 200; ++I, V.Now += 10ms) {
    for (std::size_t S = 0; S < 3; ++S) {
      // Server 0 runs nine long statements for each short one.
      bool Long = S == 0 ? I % 10 != 0 : I % 10 == 0;
      V.answer(S, Long ? 80ms : 14ms, ServerOutcome::Answered,
               Long ? Priority::Background : Priority::Normal);
    }
  }
  CHECK(V.degraded() == 0);
}

// Guards against a primary that has just started, is slow and gets all waiting
// writes at once: nothing else can run them, whether it is degraded or not.
TEST_CASE("a server that becomes degraded keeps the limit of its pace") {
  View V(3);
  V.warmUp();
  beginPace(V.Servers[0], V.Now);
  for (int I = 0; I < 100 && V.degraded() == 0; ++I, V.Now += 20ms) {
    V.answer(1, 14ms);
    V.answer(0, 105ms);
  }
  REQUIRE(V.Servers[0].Degraded);
  CHECK(pacedLimit(V.Servers[0], 8) == 1);
}

// Guards against the remaining server being overloaded: two of three servers
// out of use leave the service with one.
TEST_CASE("at most half of the servers are degraded") {
  View V(3);
  V.warmUp();
  for (int I = 0; I < 300; ++I, V.Now += 10ms) {
    V.answer(0, 14ms, ServerOutcome::Failed);
    V.answer(1, 14ms, ServerOutcome::Failed);
    V.answer(2, 14ms);
  }
  CHECK(V.degraded() == 1);
}

// Guards against one unusually fast server, for example one without load, that
// makes the others look slow.
TEST_CASE("a server that is faster than all others degrades none of them") {
  View V(3);
  V.warmUp();
  for (int I = 0; I < 300; ++I, V.Now += 10ms) {
    V.answer(0, 14ms);
    V.answer(1, 14ms);
    V.answer(2, 3ms);
  }
  CHECK(V.degraded() == 0);
}
