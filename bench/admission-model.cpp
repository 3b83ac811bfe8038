/// \file
/// Queue model of one upstream: the service of each priority while one priority
/// offers a multiple of its usual load.

#include "kernel/admission.h"
#include "kernel/limit.h"
#include "kernel/registry.h"
#include "policies.h"
#include "simulation.h"
#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassloom {
namespace {

using namespace std::chrono_literals;

constexpr Duration RunTime = 60s;
constexpr std::uint64_t Seed = 20261204;

/// Usual load of one priority.
struct PriorityLoad {
  /// Offered service time as a fraction of the capacity.
  double Load = 0;
  ServiceModel Service;
  Duration Deadline{0};
};

/// An upstream and the usual load of each priority.
struct Scenario {
  const char *Name;
  unsigned Slots;
  std::array<PriorityLoad, PriorityCount> Loads;
  /// Number of statements that run at full speed at the same time; more of them
  /// slow each other down.
  unsigned FastSlots = Slots;
};

/// A policy with its options; AdmissionOptions describes them.
struct Variant {
  const char *Name;
  const char *Policy;
  double MaxWaitShare;
  Duration IdleCredit;
  /// Whether the concurrency limit follows the measured latency.
  bool AdaptiveLimit = false;
};

/// Statements of one priority by how they ended: in time, after the deadline,
/// refused on arrival, or expired in the queue.
struct PriorityResult {
  unsigned Offered = 0, Good = 0, Late = 0, Refused = 0, Expired = 0;
  /// Service time of statements that finished before their deadline.
  Duration GoodWork{0};
  Duration ExpiredWait{0};
  std::vector<Duration> Latencies;

  /// Fraction of the offered statements that finished before their deadline.
  double served() const {
    return Offered == 0 ? 1 : static_cast<double>(Good) / Offered;
  }
};

struct RunResult {
  unsigned Slots = 1;
  std::array<PriorityResult, PriorityCount> Results;

  /// Fraction of the capacity used by statements of the priority that finished
  /// before their deadline.
  double share(std::size_t PriorityIndex) const {
    return seconds(Results[PriorityIndex].GoodWork) /
           (seconds(RunTime) * Slots);
  }
  double goodput() const { return share(0) + share(1) + share(2); }
};

/// Simulates one upstream with its queue and the arriving statements.
class UpstreamModel {
public:
  UpstreamModel(const Scenario &S, const Variant &V)
      : Setup(S), Policy(*Registry<PriorityPolicy>::find(V.Policy)) {
    for (std::size_t PriorityIndex = 0; PriorityIndex < PriorityCount;
         ++PriorityIndex)
      Random[PriorityIndex].seed(Seed + PriorityIndex);
    State.Limit = S.Slots;
    Limit = makeLimit(S.Slots);
    Adaptive = V.AdaptiveLimit;
    State.Options.MaxWaitShare = V.MaxWaitShare;
    State.Options.IdleCredit = V.IdleCredit;
    Out.Slots = S.Slots;
  }

  RunResult run() {
    for (std::size_t PriorityIndex = 0; PriorityIndex < PriorityCount;
         ++PriorityIndex)
      scheduleArrival(PriorityIndex);
    Sim.runUntil(Instant() + RunTime);
    return std::move(Out);
  }

private:
  struct Statement {
    std::size_t PriorityIndex;
    Duration Service;
    Instant Arrived;
    Instant Started;
  };

  void scheduleArrival(std::size_t PriorityIndex) {
    const PriorityLoad &L = Setup.Loads[PriorityIndex];
    Duration Gap(static_cast<Duration::rep>(
        static_cast<double>(L.Service.Mean.count()) / (L.Load * Setup.Slots)));
    Sim.after(exponential(Random[PriorityIndex], Gap), [this, PriorityIndex] {
      arrive(PriorityIndex);
      scheduleArrival(PriorityIndex);
    });
  }

  void arrive(std::size_t PriorityIndex) {
    const PriorityLoad &L = Setup.Loads[PriorityIndex];
    Statement New{
        PriorityIndex, draw(Random[PriorityIndex], L.Service), Sim.now(), {}};
    PriorityResult &R = Out.Results[PriorityIndex];
    ++R.Offered;
    Ticket T{NextId++, static_cast<Priority>(PriorityIndex), Sim.now(),
             Sim.now() + L.Deadline};
    if (Policy.Offer(State, T, Sim.now()) != AdmissionResult::Queued) {
      ++R.Refused;
      return;
    }
    Statements[T.Id] = New;
    schedule();
  }

  void schedule() {
    AdmissionActions Actions = Policy.Schedule(State, Sim.now());
    for (TicketId Id : Actions.Expire) {
      const Statement &S = Statements[Id];
      PriorityResult &R = Out.Results[S.PriorityIndex];
      ++R.Expired;
      R.ExpiredWait += Sim.now() - S.Arrived;
      Statements.erase(Id);
    }
    for (TicketId Id : Actions.Start) {
      Statement &S = Statements[Id];
      S.Started = Sim.now();
      Sim.after(contendedService(S.Service), [this, Id] { finish(Id); });
    }
  }

  /// Service time at the current concurrency. If more statements run than there
  /// are fast slots, all of them share the fast slots, and each statement
  /// beyond that number adds an overhead of 10%.
  Duration contendedService(Duration Service) const {
    if (State.InFlight <= Setup.FastSlots)
      return Service;
    double Factor = static_cast<double>(State.InFlight) / Setup.FastSlots *
                    (1 + 0.1 * (State.InFlight - Setup.FastSlots));
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(Service.count()) * Factor));
  }

  void finish(TicketId Id) {
    Statement Done = Statements[Id];
    Statements.erase(Id);
    PriorityResult &R = Out.Results[Done.PriorityIndex];
    Duration Latency = Sim.now() - Done.Arrived;
    if (Latency <= Setup.Loads[Done.PriorityIndex].Deadline) {
      ++R.Good;
      R.GoodWork += Done.Service;
      R.Latencies.push_back(Latency);
    } else {
      ++R.Late;
    }
    auto DonePriority = static_cast<Priority>(Done.PriorityIndex);
    Duration Took = Sim.now() - Done.Started;
    recordLatency(Limit, DonePriority, Took, Sim.now());
    if (Adaptive)
      State.Limit = limit(Limit);
    Policy.Finish(State, DonePriority, Took, Sim.now());
    schedule();
  }

  Simulation Sim;
  /// One generator per priority, so that the load of a priority does not depend
  /// on the others.
  std::array<Generator, PriorityCount> Random;
  Scenario Setup;
  const PriorityPolicy &Policy;
  AdmissionState State;
  LimitState Limit;
  bool Adaptive = false;
  std::unordered_map<TicketId, Statement> Statements;
  TicketId NextId = 1;
  RunResult Out;
};

/// Runs a scenario with \p Factor times the usual load of one priority.
RunResult run(Scenario S, const Variant &V, std::size_t Overloaded,
              double Factor) {
  S.Loads[Overloaded].Load *= Factor;
  return UpstreamModel(S, V).run();
}

/// Prints one row: the service of each priority, and the fraction of statements
/// served in relation to a run without overload.
void printRun(const Scenario &S, const Variant &V, std::size_t Overloaded,
              double Factor) {
  RunResult Base = run(S, V, 0, 1);
  RunResult R = run(S, V, Overloaded, Factor);
  std::printf("%-13s %-7s %-10s %3.0fx %5.1f", S.Name, V.Name,
              Factor > 1 ? PriorityNames[Overloaded].data() : "none", Factor,
              100 * R.goodput());
  for (std::size_t P = 0; P < PriorityCount; ++P)
    std::printf(" | %5.1f %5.1f %5u %4.0f", 100 * R.share(P),
                100 * R.Results[P].served() / Base.Results[P].served(),
                R.Results[P].Late,
                1e3 * seconds(quantile(R.Results[P].Latencies, 0.99)));
  std::printf("\n");
}

/// Prints the worst figures of a variant over all overloads of a scenario.
void printWorst(const Scenario &S, const Variant &V) {
  RunResult Base = run(S, V, 0, 1);
  double Goodput = 1, Urgent = 1, Others = 1, ExpiredWait = 0;
  unsigned Late = 0, Expired = 0;
  for (std::size_t Overloaded = 0; Overloaded < PriorityCount; ++Overloaded)
    for (double Factor : {10, 20, 50}) {
      RunResult R = run(S, V, Overloaded, Factor);
      Goodput = std::min(Goodput, R.goodput());
      for (std::size_t P = 0; P < PriorityCount; ++P) {
        Late += R.Results[P].Late;
        Expired += R.Results[P].Expired;
        ExpiredWait += seconds(R.Results[P].ExpiredWait);
        if (P == Overloaded)
          continue;
        double &Worst = P == 0 ? Urgent : Others;
        Worst =
            std::min(Worst, R.Results[P].served() / Base.Results[P].served());
      }
    }
  std::printf("%-13s %-18s %5.1f %5.1f %5.1f %5.1f %6u %5.0f\n", S.Name, V.Name,
              100 * Base.goodput(), 100 * Goodput, 100 * Urgent, 100 * Others,
              Late, 1e3 * ExpiredWait / std::max(1U, Expired));
}

/// Compares a fixed and an adaptive concurrency limit on an upstream of which
/// only \p FastSlots of the configured slots run at full speed.
void printLimit(Scenario S, unsigned FastSlots, double Factor) {
  S.FastSlots = FastSlots;
  for (bool Adaptive : {false, true}) {
    Variant V = {"shares", "shares", 0.4, 100ms, Adaptive};
    RunResult R = run(S, V, 2, Factor);
    std::printf("%-13s %4u %3.0fx %-8s %5.1f | %5.1f %5.1f %5.1f | %4.0f\n",
                S.Name, FastSlots, Factor, Adaptive ? "adaptive" : "fixed",
                100 * R.goodput() * S.Slots / FastSlots,
                100 * R.Results[0].served(), 100 * R.Results[1].served(),
                100 * R.Results[2].served(),
                1e3 * seconds(quantile(R.Results[0].Latencies, 0.99)));
  }
}

/// Usual loads are below the guaranteed shares of 60, 25 and 15 percent. In the
/// scenarios "long" and "tight", 2 to 5 percent of the statements take 20 times
/// as long as the others; "tight" also has short deadlines.
const std::vector<Scenario> &scenarios() {
  static const std::vector<Scenario> All = {
      {"verband",
       5,
       {{{0.40, {5ms, 0}, 500ms},
         {0.20, {8ms, 0}, 1s},
         {0.12, {4ms, 0}, 300ms}}}},
      {"verband-long",
       5,
       {{{0.40, {5ms, 0.02}, 500ms},
         {0.20, {8ms, 0.02}, 1s},
         {0.12, {4ms, 0.05}, 300ms}}}},
      {"verband-tight",
       5,
       {{{0.40, {5ms, 0.02}, 100ms},
         {0.20, {8ms, 0.02}, 200ms},
         {0.12, {4ms, 0.05}, 60ms}}}},
      {"unidad",
       2,
       {{{0.50, {8ms, 0}, 1s}, {0.20, {8ms, 0}, 1s}, {0.10, {5ms, 0}, 2s}}}},
      {"unidad-long",
       2,
       {{{0.50, {8ms, 0.02}, 1s},
         {0.20, {8ms, 0.02}, 1s},
         {0.10, {5ms, 0.05}, 2s}}}},
      {"unidad-tight",
       2,
       {{{0.50, {8ms, 0.02}, 250ms},
         {0.20, {8ms, 0.02}, 250ms},
         {0.10, {5ms, 0.05}, 500ms}}}},
  };
  return All;
}

} // namespace

void measureAdmission() {
  const Variant Shares = {"shares", "shares", 0.4, 100ms};
  const Variant Fifo = {"fifo", "fifo", 1, 0ms};
  std::printf("Service by priority in percent of the capacity, percent "
              "of the statements kept\nin relation to no overload, late "
              "statements, 99th percentile of the latency in ms\n"
              "(urgent | normal | background)\n"
              "scenario      policy  overload       good");
  std::printf(" | share  kept  late  p99 | share  kept  late  p99 | share  "
              "kept  late  p99\n");
  for (const Scenario &S : scenarios())
    for (const Variant &V : {Shares, Fifo}) {
      printRun(S, V, 0, 1);
      for (std::size_t PriorityIndex = 0; PriorityIndex < PriorityCount;
           ++PriorityIndex)
        printRun(S, V, PriorityIndex, 10);
    }
  std::printf("\nWorst over overloads of each priority by 10, 20 and 50, in "
              "percent; late statements;\nmean wait of expired statements in "
              "ms\n"
              "scenario      variant             base  good urgnt other   late "
              " wait\n");
  for (const Scenario &S : scenarios())
    for (const Variant &V : {Variant{"wait 1, credit 0", "shares", 1, 0ms},
                             {"wait 0.4, credit 0", "shares", 0.4, 0ms},
                             {"wait 1, credit 100", "shares", 1, 100ms},
                             Shares,
                             Fifo})
      printWorst(S, V);
  std::printf("\nConcurrency limit; background overloaded; goodput in percent "
              "of the fast slots,\nstatements served by priority, 99th "
              "percentile of urgent in ms\n"
              "scenario      fast      limit     good | urgnt normal backgr | "
              " p99\n");
  for (std::size_t I : {1, 4})
    for (double Factor : {1, 10}) {
      const Scenario &S = scenarios()[I];
      printLimit(S, S.Slots, Factor);
      printLimit(S, (S.Slots + 1) / 2, Factor);
    }
}

} // namespace eelgrassloom
