/// \file
/// Random durations, which keep proxies from acting at the same moment.

#ifndef EELGRASSLOOM_KERNEL_SRC_RANDOMTIME_H
#define EELGRASSLOOM_KERNEL_SRC_RANDOMTIME_H

#include "kernel/time.h"
#include <random>

namespace eelgrassloom::detail {

/// A random duration from zero up to, but not including, \p Below; zero if that
/// is not positive.
inline Duration uniform(Duration Below, std::mt19937_64 &Random) {
  if (Below <= Duration::zero())
    return Duration::zero();
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, Below.count() - 1)(Random));
}

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_KERNEL_SRC_RANDOMTIME_H
