#include "kernel/fairshare.h"
#include "kernel/placement.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

const Instant Start{100s};

} // namespace

TEST_CASE("server time is forgotten within seconds") {
  ServerTimeUse Use;
  recordServerTime(Use, "a", 100ms, Start);
  recordServerTime(Use, "a", 100ms, Start);
  CHECK(recentServerTime(Use, "a", Start) == doctest::Approx(0.2));
  CHECK(recentServerTime(Use, "a", Start + 1s) ==
        doctest::Approx(0.0736).epsilon(0.001));
  CHECK(recentServerTime(Use, "b", Start) == 0);
  recordServerTime(Use, "b", 1ms, Start + 20s);
  CHECK(Use.ByCustomer.size() == 1);
}

// Guards against a sum that differs from the server time of the last second, by
// which shares are meant.
TEST_CASE("a steady load counts with its server time in a second") {
  ServerTimeUse Use;
  for (int I = 0; I < 1000; ++I)
    recordServerTime(Use, "a", 5ms, Start + I * 10ms);
  CHECK(recentServerTime(Use, "a", Start + 10s) ==
        doctest::Approx(0.5).epsilon(0.02));
}

TEST_CASE("shares are equal parts of those with waiting statements") {
  ServerTimeUse Use;
  recordServerTime(Use, "large", 900ms, Start);
  recordServerTime(Use, "middle", 200ms, Start);
  recordServerTime(Use, "small", 10ms, Start);
  CHECK(customersAboveShare(Use, {{"large", 1}, {"small", 9}, {"new", 1}},
                            Start) == CustomerSet{"large"});
  CHECK(customersAboveShare(Use, {{"middle", 1}, {"small", 9}}, Start) ==
        CustomerSet{"middle"});
}

// Guards against a customer that waits behind others only because it is large,
// or because of rounding, while nobody has used less.
TEST_CASE("nobody is above its share alone or among equals") {
  ServerTimeUse Use;
  recordServerTime(Use, "large", 900ms, Start);
  CHECK(customersAboveShare(Use, {{"large", 50}}, Start).empty());
  WaitingByCustomer Equal;
  for (int I = 0; I < 7; ++I) {
    std::string Name = "e" + std::to_string(I);
    recordServerTime(Use, Name, 100ms, Start);
    Equal[Name] = 1;
  }
  CHECK(customersAboveShare(Use, Equal, Start + 333ms).empty());
  CHECK(customersAboveShare({}, {{"a", 1}, {"b", 1}}, Start).empty());
}

// Guards against a large customer that overtakes statements of a higher
// priority or in time, and against one whose backlog makes the others run
// newest first.
TEST_CASE("a statement above its share waits behind its priority only") {
  Instant Now(10s);
  std::vector<WaitingStatement> Waiting = {
      {Priority::Normal, Now - 150ms, 400ms, 10ms, true},
      {Priority::Normal, Now - 20ms, 400ms, 10ms, false},
      {Priority::Normal, Now - 30ms, 400ms, 10ms, false},
      {Priority::Background, Now - 90ms, 400ms, 10ms, false},
      {Priority::Normal, Now - 500ms, 400ms, 10ms, false},
      {Priority::Urgent, Now, 200ms, 10ms, true},
      {Priority::Normal, Now - 140ms, 400ms, 10ms, true}};
  CHECK(waitOrder(Waiting, Now) ==
        std::vector<std::size_t>{5, 2, 1, 6, 0, 4, 3});
}

namespace {

struct LoadResult {
  /// Mean waiting time and share of refused statements of the customers with
  /// their usual load, and of customer 0.
  double OthersWaitMs = 0;
  double OthersRefused = 0;
  double FirstWaitMs = 0;
  double FirstRefused = 0;
};

struct LoadOptions {
  /// Load of customer 0 as a multiple of its usual load.
  double Factor = 1;
  bool Fair = true;
  int Customers = 8;
  /// Arrivals of each customer in a second.
  double Rate = 23;
};

/// Simulates 20 s of random arrivals of customers with equal usual load at 4
/// slots, with statements of 7 to 21 ms. At the usual load of 8 customers the
/// slots are used to 0.64.
LoadResult simulate(const LoadOptions &Options) {
  constexpr unsigned Slots = 4;
  constexpr Duration MeanRun = 14ms;
  std::mt19937_64 Random(7);
  std::vector<Instant> Next(static_cast<std::size_t>(Options.Customers), Start);
  std::vector<WaitingStatement> Waiting;
  std::vector<int> Owners;
  std::vector<std::pair<Instant, Duration>> Running(Slots);
  std::vector<int> RunningFor(Slots, -1);
  ServerTimeUse Use;
  std::array<unsigned, 2> Arrived{};
  std::array<unsigned, 2> Refused{};
  std::array<double, 2> WaitMs{};
  auto Erase = [&](std::size_t I) {
    Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(I));
    Owners.erase(Owners.begin() + static_cast<std::ptrdiff_t>(I));
  };
  for (Instant Now = Start; Now < Start + 20s; Now += 1ms) {
    for (std::size_t C = 0; C < Next.size(); ++C) {
      double Rate = Options.Rate * (C == 0 ? Options.Factor : 1);
      for (; Next[C] <= Now;
           Next[C] +=
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
               std::exponential_distribution<>(Rate)(Random)))) {
        Waiting.push_back({Priority::Normal, Next[C], 250ms, MeanRun, false});
        Owners.push_back(static_cast<int>(C));
        ++Arrived[C == 0 ? 0 : 1];
      }
    }
    for (std::size_t I = Waiting.size(); I-- > 0;)
      if (Now - Waiting[I].FirstTry >= maxWait(800ms)) {
        ++Refused[Owners[I] == 0 ? 0 : 1];
        Erase(I);
      }
    for (std::size_t Slot = 0; Slot < Slots; ++Slot) {
      auto &[Until, Took] = Running[Slot];
      if (RunningFor[Slot] >= 0 && Until <= Now) {
        recordServerTime(Use, "c" + std::to_string(RunningFor[Slot]), Took,
                         Now);
        RunningFor[Slot] = -1;
      }
      if (RunningFor[Slot] >= 0 || Waiting.empty())
        continue;
      WaitingByCustomer Counts;
      for (int Owner : Owners)
        ++Counts["c" + std::to_string(Owner)];
      CustomerSet Above = customersAboveShare(Use, Counts, Now);
      for (std::size_t I = 0; I < Waiting.size(); ++I)
        Waiting[I].AboveShare =
            Options.Fair && Above.count("c" + std::to_string(Owners[I])) != 0;
      std::size_t First = waitOrder(Waiting, Now).front();
      WaitMs[Owners[First] == 0 ? 0 : 1] +=
          std::chrono::duration<double, std::milli>(Now -
                                                    Waiting[First].FirstTry)
              .count();
      RunningFor[Slot] = Owners[First];
      Took = MeanRun * std::uniform_int_distribution<>(50, 150)(Random) / 100;
      Until = Now + Took;
      Erase(First);
    }
  }
  auto Ratio = [](double Sum, unsigned Count) {
    return Count == 0 ? 0 : Sum / Count;
  };
  return {
      Ratio(WaitMs[1], Arrived[1] - Refused[1]), Ratio(Refused[1], Arrived[1]),
      Ratio(WaitMs[0], Arrived[0] - Refused[0]), Ratio(Refused[0], Arrived[0])};
}

} // namespace

// Load: one of 8 customers at 7.5 times its usual load, which the slots can't
// serve (1.17 of their time). Guards against others that pay for it. One
// statement in progress may delay them, because it is not interrupted.
TEST_CASE("one customer at 7.5 times its load leaves the others their waits") {
  LoadResult Usual = simulate({});
  LoadResult Burst = simulate({.Factor = 7.5});
  LoadResult Unfair = simulate({.Factor = 7.5, .Fair = false});
  MESSAGE("waits of the others in ms: usual ", Usual.OthersWaitMs, ", burst ",
          Burst.OthersWaitMs, ", without shares ", Unfair.OthersWaitMs,
          "; refused without shares ", Unfair.OthersRefused);
  CHECK(Burst.OthersWaitMs < Usual.OthersWaitMs + 14);
  CHECK(Burst.OthersRefused == 0);
  // The simulation shows the fault without the shares.
  CHECK(Unfair.OthersRefused > 0.1);
}

// Guards against a customer that is slowed down although nobody else waits, and
// against one that gets less than its own share in a burst.
TEST_CASE("a customer alone in the queue loses nothing") {
  LoadOptions Alone{.Factor = 1, .Fair = true, .Customers = 1, .Rate = 270};
  LoadResult Fair = simulate(Alone);
  Alone.Fair = false;
  LoadResult Plain = simulate(Alone);
  CHECK(Fair.FirstWaitMs == Plain.FirstWaitMs);
  CHECK(Fair.FirstRefused == Plain.FirstRefused);
  LoadResult Burst = simulate({.Factor = 7.5});
  MESSAGE("refused of the burst: ", Burst.FirstRefused);
  // The others use 0.56 of the slots, so that 125 of its 172 statements in a
  // second fit, 0.27 less than all of them.
  CHECK(Burst.FirstRefused < 0.35);
}
