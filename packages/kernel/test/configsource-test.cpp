#include "kernel/configsource.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

// Load pattern: rules that change often must not be sent between proxies while
// the store answers.
TEST_CASE("a store that answers is read alone") {
  ConfigReads R = planConfigReads({0ms, false, false, false});
  CHECK(R.Store);
  CHECK_FALSE(R.Proxy);
}

TEST_CASE("another proxy is asked if the store is lost or slow") {
  CHECK(planConfigReads({0ms, true, false, false}).Proxy);
  CHECK(planConfigReads({ProxyReadDelay, false, true, false}).Proxy);
  // The store may answer again at any time.
  CHECK(planConfigReads({0ms, true, false, true}).Store);
}

TEST_CASE("one read of each source at a time") {
  ConfigReads R = planConfigReads({5s, true, true, true});
  CHECK_FALSE(R.Store);
  CHECK_FALSE(R.Proxy);
}
