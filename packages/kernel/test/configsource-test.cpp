#include "kernel/configsource.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

// Guards against load between proxies from a configuration that changes often
// while the store answers.
TEST_CASE("only the store is read while it answers") {
  ConfigReads R = planConfigReads({0ms, false, false, false});
  CHECK(R.Store);
  CHECK_FALSE(R.Proxy);
}

TEST_CASE("another proxy is read if the store is unreachable or slow") {
  CHECK(planConfigReads({0ms, true, false, false}).Proxy);
  CHECK(planConfigReads({ProxyReadDelay, false, true, false}).Proxy);
  // The store may answer again at any time.
  CHECK(planConfigReads({0ms, true, false, true}).Store);
}

TEST_CASE("at most one read of each source is in flight") {
  ConfigReads R = planConfigReads({5s, true, true, true});
  CHECK_FALSE(R.Store);
  CHECK_FALSE(R.Proxy);
}
