/// \file
/// Virtual time and fixed seeds for tests and benchmarks of the kernel.

#ifndef EELGRASSLOOM_KERNEL_TEST_SCHEDULE_H
#define EELGRASSLOOM_KERNEL_TEST_SCHEDULE_H

#include "kernel/time.h"
#include <cstdint>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <rapidcheck.h>
#include <vector>

namespace eelgrassloom {

/// Calls functions in the order of virtual time. Functions that are due at the
/// same time run in the order in which they were added.
class Schedule {
public:
  using Call = std::function<void()>;

  /// Calls \p F once \p D has passed.
  void after(Duration D, Call F) {
    Queue.push({Now + D, Next++, std::move(F)});
  }

  /// Calls everything that is due up to \p End and sets Now to it.
  void runUntil(Instant End) {
    while (!Queue.empty() && Queue.top().At <= End) {
      Entry E = std::move(const_cast<Entry &>(Queue.top()));
      Queue.pop();
      Now = E.At;
      E.F();
    }
    Now = End;
  }
  void runFor(Duration D) { runUntil(Now + D); }

  /// Does not start at zero, because an instant of zero means "never" in some
  /// states.
  Instant Now = Instant(std::chrono::hours(1));

private:
  struct Entry {
    Instant At;
    std::uint64_t Order;
    Call F;
    bool operator<(const Entry &Other) const {
      return At != Other.At ? At > Other.At : Order > Other.Order;
    }
  };
  std::priority_queue<Entry> Queue;
  std::uint64_t Next = 0;
};

/// True with the given probability.
inline bool chance(std::mt19937_64 &Random, double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
}

/// A random duration from \p Low to \p High, both included.
inline Duration between(std::mt19937_64 &Random, Duration Low, Duration High) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      Low.count(), High.count())(Random));
}

/// Checks \p P, a property of a seed, with \p Runs seeds that are generated
/// from \p Seed. Returns false and prints the failure if one of them violates
/// it.
template <class Property>
bool checkProperty(std::uint64_t Seed, int Runs, Property P) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Runs;
  Params.disableShrinking = true;
  auto OfSeed = [&] {
    // RapidCheck starts with small sizes, at which most generated numbers would
    // be equal.
    P(*rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
  };
  auto Result =
      rc::detail::checkTestable(OfSeed, rc::detail::TestMetadata(), Params);
  if (Result.template is<rc::detail::SuccessResult>())
    return true;
  rc::detail::printResultMessage(Result, std::cerr);
  std::cerr << std::endl;
  return false;
}

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_TEST_SCHEDULE_H
