/// \file
/// Virtual time and recorded seeds for tests and measurements of the kernel.

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

/// Calls functions in order of virtual time.
class Schedule {
public:
  using Call = std::function<void()>;

  void after(Duration D, Call F) {
    Queue.push({Now + D, Next++, std::move(F)});
  }

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

  /// Starts above zero, which stands for "never" in some states.
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

inline bool chance(std::mt19937_64 &Random, double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
}

inline Duration between(std::mt19937_64 &Random, Duration Low, Duration High) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      Low.count(), High.count())(Random));
}

/// Runs a property of a seed for \p Runs cases from a recorded seed.
template <class Property>
bool checkProperty(std::uint64_t Seed, int Runs, Property P) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Runs;
  Params.disableShrinking = true;
  auto OfSeed = [&] {
    // At small sizes most generated numbers would be equal.
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
