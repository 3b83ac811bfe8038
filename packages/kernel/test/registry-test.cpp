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

// Guards against a plug-in that silently replaces another of the same name.
TEST_CASE("a plug-in name can be registered only once") {
  Registry<TestPlugin>::add("one", {[] { return 1; }});
  CHECK_THROWS_AS(Registry<TestPlugin>::add("one", {nullptr}),
                  std::logic_error);
  CHECK(Registry<TestPlugin>::find("one")->Call() == 1);
  CHECK(Registry<TestPlugin>::find("two") == nullptr);
}

// Guards against a policy that the settings offer but no object file registers.
TEST_CASE("the policies are registered") {
  CHECK(Registry<RoutingPolicy>::names() ==
        std::vector<std::string>{"causal", "primary-only"});
  CHECK(Registry<PriorityPolicy>::names() ==
        std::vector<std::string>{"fifo", "shares"});
}
