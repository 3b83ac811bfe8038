#include "proxy/timer.h"
#include <atomic>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace eelgrassloom;
using std::chrono::milliseconds;

// Guards against functions that run early, out of order or after cancel().
TEST_CASE("functions run in the order of their instants") {
  auto Time = Clock::paused();
  auto T = Timer::manual(Time);
  std::vector<int> Ran;
  T->after(milliseconds(2), [&] { Ran.push_back(2); });
  T->after(milliseconds(1), [&] { Ran.push_back(1); });
  auto Cancelled = T->after(milliseconds(1), [&] { Ran.push_back(9); });
  T->cancel(Cancelled);
  CHECK(T->runDue() == 0);
  Time->advance(milliseconds(1));
  CHECK(T->runDue() == 1);
  Time->advance(milliseconds(1));
  CHECK(T->runDue() == 1);
  CHECK(Ran == std::vector<int>{1, 2});
}

// Guards against a timer thread that does not wake up for an earlier instant
// while it waits for a later one, and against a deadlock when a function holds
// the last reference to its timer.
TEST_CASE("the thread wakes up for a new earliest function") {
  auto Time = Clock::paused();
  auto T = Timer::create(Time);
  std::atomic<int> Ran = 0;
  T->after(std::chrono::hours(1), [&] { Ran = -1; });
  T->after(milliseconds(5), [&, Own = T] { ++Ran; });
  T.reset();
  Time->advance(milliseconds(5));
  for (int I = 0; I < 5000 && Ran == 0; ++I)
    std::this_thread::sleep_for(milliseconds(1));
  CHECK(Ran == 1);
}
