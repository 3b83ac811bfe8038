#include "kernel/placement.h"
#include "kernel/resend.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

constexpr Duration LatencyObjective = 400ms;
constexpr Duration Run = 30ms;
/// Slots of the servers: 200 statements a second.
constexpr unsigned Slots = 6;
/// Pause of a caller between a refusal and its next try.
constexpr Duration CallerPause = 80ms;
constexpr unsigned CallerRetries = 2;

struct Operation {
  Instant Began;
  Instant Arrived;
  std::optional<RefusedOperation> Refused;
  unsigned Tries = 0;
};

/// Outcome of 8 s of load, of which the middle 4 s exceed the capacity by half.
struct Outcome {
  unsigned InTime = 0;
  unsigned Began = 0;
};

/// \p Recognised: the proxy recognises operations that callers send again.
Outcome playBurst(bool Recognised) {
  std::vector<Operation> Waiting;
  std::vector<Operation> Pausing;
  std::vector<Instant> FreeAt(Slots);
  Outcome O;
  Instant NextArrival;
  for (Instant Now; Now < Instant(8s); Now += 1ms) {
    bool Burst = Now >= Instant(2s) && Now < Instant(6s);
    for (; NextArrival <= Now; NextArrival += Burst ? 3333us : 8ms) {
      Waiting.push_back({NextArrival, NextArrival, {}, 1});
      ++O.Began;
    }
    std::erase_if(Pausing, [&](Operation &Op) {
      if (Now - Op.Refused->RefusedAt < CallerPause)
        return false;
      Op.Arrived = Now;
      ++Op.Tries;
      Waiting.push_back(Op);
      return true;
    });
    for (Instant &Free : FreeAt) {
      if (Free > Now || Waiting.empty())
        continue;
      std::vector<WaitingStatement> Statements;
      Statements.reserve(Waiting.size());
      for (const Operation &Op : Waiting)
        Statements.push_back(
            {Priority::Normal,
             Recognised ? firstTry(Op.Refused, Op.Arrived) : Op.Arrived,
             LatencyObjective, Run});
      auto First = static_cast<std::ptrdiff_t>(waitOrder(Statements, Now)[0]);
      Free = Now + Run;
      bool InTime = Free <= Waiting[First].Began + LatencyObjective;
      O.InTime += InTime ? 1 : 0;
      Waiting.erase(Waiting.begin() + First);
    }
    std::erase_if(Waiting, [&](Operation &Op) {
      if (Now - Op.Arrived < maxWait(1s))
        return false;
      Op.Refused = RefusedOperation{firstTry(Op.Refused, Op.Arrived), Now};
      if (Op.Tries <= CallerRetries)
        Pausing.push_back(Op);
      return true;
    });
  }
  return O;
}

} // namespace

// Guards against a burst in which most answers come too late: callers that were
// refused after a wait come back, and their operations took the place of those
// that could still be answered in time.
TEST_CASE("operations that were refused do not displace new ones") {
  Outcome O = playBurst(true);
  // Before and after the burst everything is in time: 4 s of 125 a second.
  // In the burst 200 of 300 a second can be.
  double Possible = 4 * 125 + 4 * 200;
  CHECK(O.InTime > 0.95 * Possible);
  CHECK(playBurst(false).InTime < 0.85 * Possible);
}

TEST_CASE("an operation counts from the first of its tries") {
  Instant Now(10s);
  CHECK(firstTry({}, Now) == Now);
  CHECK(firstTry(RefusedOperation{Now - 900ms, Now - 80ms}, Now) ==
        Now - 900ms);
  CHECK(firstTry(RefusedOperation{Now - 900ms, Now - ResendWindow - 1ms},
                 Now) == Now);
}
