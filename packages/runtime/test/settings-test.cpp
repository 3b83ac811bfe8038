#include "runtime/settings.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;

namespace {

Result<ParsedSettings> parse(std::vector<const char *> Args,
                             const Environment &Env) {
  Args.insert(Args.begin(), "eelgrassloom");
  Args.push_back(nullptr);
  return parseSettings(static_cast<int>(Args.size() - 1), Args.data(), Env);
}

const std::vector<const char *> Minimal = {
    "--id=a", "--failure-domain=north", "--listen=127.0.0.1:1",
    "--peer-listen=127.0.0.1:2", "--platform=127.0.0.1:3"};

} // namespace

// Guards against reporting only the first invalid setting.
TEST_CASE("all findings are reported together with their flag or variable") {
  auto R = parse(
      {"--id=a b", "--listen=here", "--probe-interval-ms=0"},
      {{"EELGRASSLOOM_PLATFORM", "nowhere"}, {"EELGRASSLOOM_NO_SUCH", "1"}});
  REQUIRE_FALSE(R.ok());
  std::vector<std::string> Places;
  for (const Finding &F : R.findings())
    Places.push_back(F.Place);
  for (const char *Place : {"--id", "--listen", "--probe-interval-ms",
                            "EELGRASSLOOM_PLATFORM", "EELGRASSLOOM_NO_SUCH",
                            "--failure-domain or EELGRASSLOOM_FAILURE_DOMAIN"})
    CHECK_MESSAGE(std::count(Places.begin(), Places.end(), Place) == 1, Place);
}

// Guards against the environment overriding an explicit flag.
TEST_CASE("a flag takes precedence over its variable") {
  auto R = parse(Minimal, {{"EELGRASSLOOM_ID", "b"}});
  REQUIRE(R.ok());
  CHECK(R.value().Values.Id == "a");
}

// Guards against a list that is accepted although one of its entries is
// invalid.
TEST_CASE("peers and address maps are parsed completely or rejected") {
  auto Args = Minimal;
  Args.push_back("--peers=b/127.0.0.1:5/south,c/127.0.0.1:6/north");
  Args.push_back("--address-map=127.0.0.1:5=127.0.0.1:7");
  auto R = parse(Args, {});
  REQUIRE(R.ok());
  CHECK(R.value().Values.Peers.size() == 2);
  CHECK(translateAddress(R.value().Values, "127.0.0.1:5") == "127.0.0.1:7");
  Args.back() = "--address-map=127.0.0.1:5";
  CHECK_FALSE(parse(Args, {}).ok());
}

// Guards against an unknown flag that hides the other findings.
TEST_CASE("an unknown flag is one finding among others") {
  auto R = parse({"--no-such-flag", "--listen=here"}, {});
  REQUIRE_FALSE(R.ok());
  CHECK(R.findings().size() == 6);
}

// Guards against a profile that has no effect, or that overrides a flag or
// variable.
TEST_CASE("a profile changes defaults but no given values") {
  auto Args = Minimal;
  Args.push_back("--profile=unidad");
  auto R = parse(Args, {{"EELGRASSLOOM_REPLICA_WAIT_MS", "7"}});
  REQUIRE(R.ok());
  CHECK(toMillis(R.value().Values.FailoverTolerance) == 600);
  CHECK(toMillis(R.value().Values.ReplicaWait) == 7);
}
