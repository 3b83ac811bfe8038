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

// Guards against a customer list that is applied although it is ambiguous, and
// against findings that reveal a key.
TEST_CASE("an invalid customer has a finding without its key") {
  using List = std::vector<CustomerConfig>;
  OperationLimit Negative;
  Negative.Burst = -1;
  for (const List &Customers : std::initializer_list<List>{
           {{"", {"secret"}, {}}},
           {{"two words", {"secret"}, {}}},
           {{"a", {"secret"}, {}}, {"a", {"other"}, {}}},
           {{"a", {"secret"}, {}}, {"b", {"secret"}, {}}},
           {{"a", {""}, {}}},
           {{"a", {"secret\r\n"}, {}}},
           {{"a", {"secret"}, Negative}}}) {
    auto Table = makeCustomerTable(Customers);
    REQUIRE_FALSE(Table);
    CHECK(Table.findings().size() == 1);
    CHECK(toString(Table.findings()).find("secret") == std::string::npos);
  }
}

TEST_CASE("keys of any other bytes are accepted") {
  auto Table = makeCustomerTable({{"a", {"\xff \n", "k"}, OperationLimit{}}});
  REQUIRE(Table);
  CHECK(identifyCaller(Table.value(), false, "\xff \n").Customer == "a");
  CHECK_FALSE(identifyCaller(Table.value(), false, "x").Authorized);
  CHECK(identifyCaller(Table.value(), true, "x").Authorized);
  CHECK(identifyCaller({}, false, "x").Authorized);
}
