#include "kernel/result.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

// Guards against findings that are not reported to the operator.
TEST_CASE("a failure carries all findings") {
  auto R = Result<int>::failure({{"a", "1", "2"}, {"b", "x", "y"}});
  CHECK_FALSE(R.ok());
  CHECK(R.findings().size() == 2);
  CHECK(toString(R.findings()) == "a: \"1\" is not valid; allowed: 2\n"
                                  "b: \"x\" is not valid; allowed: y");
  CHECK_THROWS_AS(R.value(), std::runtime_error);
}

// Guards against a value of the same type as the findings being taken for
// findings.
TEST_CASE("a success carries its value") {
  auto R = Result<std::vector<Finding>>::success({{"a", "1", "2"}});
  REQUIRE(R.ok());
  CHECK(R.value().size() == 1);
}
