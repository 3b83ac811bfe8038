#include "kernel/admission.h"
#include "kernel/registry.h"
#include "kernel/routing.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

namespace {

struct TestPlugin {
  int (*Call)();
};

} // namespace

// Guards against one plug-in silently replacing another.
TEST_CASE("a name is registered once") {
  Registry<TestPlugin>::add("one", {[] { return 1; }});
  CHECK_THROWS_AS(Registry<TestPlugin>::add("one", {nullptr}),
                  std::logic_error);
  CHECK(Registry<TestPlugin>::find("one")->Call() == 1);
  CHECK(Registry<TestPlugin>::find("two") == nullptr);
}

// Guards against a policy that the settings name but no object registers.
TEST_CASE("the policies are registered") {
  CHECK(Registry<RoutingPolicy>::names() ==
        std::vector<std::string>{"causal", "primary-only"});
  CHECK(Registry<PriorityPolicy>::names() ==
        std::vector<std::string>{"fifo", "shares"});
}
