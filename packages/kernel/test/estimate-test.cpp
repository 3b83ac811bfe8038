#include "kernel/estimate.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

TEST_CASE("an estimate starts with its first sample") {
  TimeEstimate E;
  CHECK(upperEstimate(E) == 0ms);
  addSample(E, 100ms);
  CHECK(E.Mean == 100ms);
  CHECK(upperEstimate(E) == 150ms);
}

TEST_CASE("an estimate follows its samples") {
  TimeEstimate E;
  for (int I = 0; I < 100; ++I)
    addSample(E, 100ms);
  CHECK(upperEstimate(E) < 110ms);
  for (int I = 0; I < 100; ++I)
    addSample(E, I % 2 == 0 ? 20ms : 60ms);
  CHECK(E.Mean > 30ms);
  CHECK(E.Mean < 50ms);
  CHECK(upperEstimate(E) > 50ms);
}
