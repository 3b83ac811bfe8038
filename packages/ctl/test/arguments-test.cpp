#include "ctl/arguments.h"
#include "ctl/ctl.h"
#include <doctest/doctest.h>
#include <sstream>

using namespace eelgrassloom;

namespace {

Result<CtlArguments> parse(std::vector<const char *> Arguments) {
  Arguments.insert(Arguments.begin(), "eelgrassctl");
  Arguments.push_back(nullptr);
  return parseCtlArguments(static_cast<int>(Arguments.size() - 1),
                           Arguments.data(),
                           {{"EELGRASSCTL_PROXY", "127.0.0.1:1"}});
}

} // namespace

// Guards against flags that change the wrong class.
TEST_CASE("flags of a class apply to the class before them") {
  auto A = parse({"plan", "--class", "x", "--priority", "urgent", "--class",
                  "y", "--staleness-ms", "50", "--leave", "u1"});
  REQUIRE(A.ok());
  const auto &I = A.value().Intent;
  REQUIRE(I.classes_size() == 2);
  CHECK(I.classes(0).priority() == types::v1::PRIORITY_URGENT);
  CHECK_FALSE(I.classes(0).has_staleness_bound_ms());
  CHECK(I.classes(1).staleness_bound_ms() == 50);
  CHECK(I.upstreams_leaving(0) == "u1");
}

// Guards against reporting only the first invalid argument.
TEST_CASE("all findings are reported together") {
  auto A = parse({"plan", "--priority", "urgent", "--class", "x",
                  "--durability", "never", "--staleness-ms", "-1"});
  REQUIRE_FALSE(A.ok());
  CHECK(A.findings().size() == 3);
}

// Guards against commands that run with missing, unknown or surplus arguments.
TEST_CASE("invalid arguments are rejected") {
  CHECK_FALSE(parse({}).ok());
  CHECK_FALSE(parse({"fly"}).ok());
  CHECK_FALSE(parse({"confirm"}).ok());
  CHECK_FALSE(parse({"status", "now"}).ok());
  CHECK_FALSE(parse({"status", "--leave", "u1"}).ok());
  CHECK_FALSE(parse({"plan"}).ok());
  CHECK_FALSE(parse({"plan", "/nonexistent/intent.json"}).ok());
  CHECK_FALSE(parse({"timeline", "--limit", "0"}).ok());
  CHECK_FALSE(parse({"status", "--proxy", "nowhere"}).ok());
}

// Guards against exit codes that mislead operators' scripts.
TEST_CASE("exit codes follow the outcome") {
  std::ostringstream Out;
  std::ostringstream Err;
  const char *Bad[] = {"eelgrassctl", "fly", nullptr};
  CHECK(runCtl(2, Bad, {}, Out, Err) == CtlExit::BadUsage);
  const char *Help[] = {"eelgrassctl", "--help", nullptr};
  CHECK(runCtl(2, Help, {}, Out, Err) == CtlExit::Done);
  const char *Settings[] = {"eelgrassctl", "check-settings", nullptr};
  CHECK(runCtl(2, Settings, {}, Out, Err) == CtlExit::BadUsage);
  // Nothing listens at this port.
  const char *Status[] = {"eelgrassctl", "--proxy", "127.0.0.1:1", "status",
                          nullptr};
  CHECK(runCtl(4, Status, {}, Out, Err) == CtlExit::Failed);
}
