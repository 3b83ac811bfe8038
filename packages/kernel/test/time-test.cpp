#include "kernel/time.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

// Guards against a remaining time that is rounded up to beyond the deadline.
TEST_CASE("milliseconds are rounded down") {
  CHECK(toMillis(1999us) == 1);
  CHECK(toMillis(2ms) == 2);
}
