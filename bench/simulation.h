/// \file
/// Event loop with virtual time, and random distributions, for the queue models
/// of the benchmarks.

#ifndef EELGRASSLOOM_BENCH_SIMULATION_H
#define EELGRASSLOOM_BENCH_SIMULATION_H

#include "kernel/time.h"
#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace eelgrassloom {

/// Runs actions in the order of their instants; actions of the same instant run
/// in the order in which they were scheduled.
class Simulation {
public:
  Instant now() const { return Now; }

  /// Schedules \p Action at now() plus \p Delay.
  void after(Duration Delay, std::function<void()> Action) {
    Events.push({Now + Delay, Next++, std::move(Action)});
  }

  /// Runs all actions that are due up to \p End and sets the time to \p End.
  void runUntil(Instant End) {
    while (!Events.empty() && Events.top().At <= End) {
      Event E = Events.top();
      Events.pop();
      Now = E.At;
      E.Action();
    }
    Now = End;
  }

private:
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Action;

    /// Inverted, because std::priority_queue returns the largest element first.
    bool operator<(const Event &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };

  std::priority_queue<Event> Events;
  Instant Now;
  std::uint64_t Next = 0;
};

inline double seconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

/// Quantile of unsorted samples; 0 if there are none.
inline Duration quantile(std::vector<Duration> Samples, double Q) {
  if (Samples.empty())
    return Duration::zero();
  auto Nth = Samples.begin() + static_cast<std::ptrdiff_t>(
                                   Q * static_cast<double>(Samples.size() - 1));
  std::nth_element(Samples.begin(), Nth, Samples.end());
  return *Nth;
}

using Generator = std::mt19937_64;

/// Uniform in [0, 1).
inline double uniform(Generator &G) {
  return std::uniform_real_distribution<double>(0, 1)(G);
}

inline Duration exponential(Generator &G, Duration Mean) {
  return Duration(
      static_cast<Duration::rep>(std::exponential_distribution<double>(
          1.0 / static_cast<double>(Mean.count()))(G)));
}

/// Distribution of service times: a fraction LongShare of the statements takes
/// 20 times as long as the others; Mean is the mean over all statements.
struct ServiceModel {
  Duration Mean;
  double LongShare = 0;
};

/// Draws a service time, spread by a uniform factor of 0.5 to 1.5.
inline Duration draw(Generator &G, const ServiceModel &M) {
  constexpr double LongFactor = 20;
  double Short = static_cast<double>(M.Mean.count()) /
                 (1 + M.LongShare * (LongFactor - 1));
  double Factor = uniform(G) < M.LongShare ? LongFactor : 1;
  return Duration(
      static_cast<Duration::rep>(Short * Factor * (0.5 + uniform(G))));
}

} // namespace eelgrassloom

#endif // EELGRASSLOOM_BENCH_SIMULATION_H
