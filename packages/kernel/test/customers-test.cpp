#include "kernel/customers.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

// Guards against a key that is attributed to a customer which has been removed.
TEST_CASE("a key identifies a customer only while both are configured") {
  CustomerTable Table;
  Table.ByName["north"] = {"north", {"k1", "k2"}, {}};
  Table.ByKey = {{"k1", "north"}, {"k2", "north"}, {"k3", "south"}};
  REQUIRE(customerOfKey(Table, "k2") != nullptr);
  CHECK(customerOfKey(Table, "k2")->Name == "north");
  CHECK(customerOfKey(Table, "k3") == nullptr);
  CHECK(customerOfKey(Table, "") == nullptr);
}

// Guards against keys that differ only behind a NUL byte.
TEST_CASE("the hash of a key covers all of its bytes") {
  CHECK(hashOfKey({"a\0b", 3}) != hashOfKey({"a\0c", 3}));
  CHECK(hashOfKey("a") == hashOfKey("a"));
}
