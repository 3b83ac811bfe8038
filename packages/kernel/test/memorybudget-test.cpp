#include "kernel/memorybudget.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Mb = std::size_t{1} << 20;

} // namespace

// Guards against limits that together exceed the memory of the host, for the
// smallest and the largest hosts.
TEST_CASE("the limits of callers leave room in the memory of the host") {
  for (const HostResources &Host :
       {HostResources{160 * Mb, 4300}, HostResources{512 * Mb, 8192},
        HostResources{48 * Mb, 600}}) {
    CallerLimits L = makeCallerLimits(Host);
    std::size_t Receive = static_cast<std::size_t>(L.ReceiveBufferBytes);
    CHECK(L.TotalBytes + L.Connections * (L.AllowanceBytes + Receive) <
          Host.MemoryBytes * 3 / 4);
    CHECK(L.Connections < Host.Descriptors - 200);
    // A message of the longest length fits, with all its copies.
    CHECK(L.TotalBytes > (2 + StatementCopies) * Mb);
  }
}

TEST_CASE("an unknown host has no limits for all callers") {
  CallerLimits L = makeCallerLimits({});
  CHECK_FALSE(MemoryBudget(L.TotalBytes).exceeded());
  CHECK(L.Connections == std::numeric_limits<std::size_t>::max());
}

TEST_CASE("the budget follows what callers hold") {
  MemoryBudget Budget(100);
  Budget.change(0, 60);
  Budget.change(0, 60);
  CHECK(Budget.exceeded());
  Budget.change(60, 10);
  CHECK_FALSE(Budget.exceeded());
  CHECK(Budget.used() == 70);
}

// Load: callers that each have sent a part of a long message, so that none of
// them can finish.
TEST_CASE("the caller that holds the most is refused after a pause") {
  CallerLimits L;
  std::vector<PausedCaller> Callers = {
      {10, 3s}, {50, 1s}, {30, 2500ms}, {30, 2s}};
  CHECK(chooseRefusal(Callers, L) == 2);
  Callers = {{50, 1s}};
  CHECK_FALSE(chooseRefusal(Callers, L));
}
