#include "kernel/isolation.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

// Guards against a fleet that turns its callers away in an outage of the store,
// and against a proxy that turns them away because many other proxies have
// failed. An isolated proxy is not ready and closes idle connections.
TEST_CASE("a proxy is isolated only if store and proxies both time out") {
  Instant Now(100s);
  CHECK(isolated({true, Now - 2s, Now - 2s}, Now));
  CHECK(isolated({true, Now - 1s, Now - 1s}, Now));
  CHECK_FALSE(isolated({true, Now - 2s, Now - 900ms}, Now));
  // What the proxy knows is old while its poller does not answer.
  CHECK_FALSE(isolated({true, Now - 1s, Now - 1400ms, false}, Now));
  CHECK(isolated({true, Now - 2s, Now - 2s, false}, Now));
  CHECK_FALSE(isolated({true, Now - 100ms, Now - 60s}, Now));
  CHECK_FALSE(isolated({false, Now - 60s, Now - 60s}, Now));
}
