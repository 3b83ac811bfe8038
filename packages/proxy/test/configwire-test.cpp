#include "proxy/configwire.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

// Guards against a field that is lost in the conversion between the kernel's
// type and the message.
TEST_CASE(
    "a configuration is unchanged after conversion to a message and back") {
  Configuration C;
  C.Version = 4;
  C.Classes = {
      {"orders", Priority::Urgent, Duration{0}, Durability::Replicated},
      {"catalogue", Priority::Background, std::chrono::seconds(2),
       Durability::TermCheck}};
  C.Databases = {{"db",
                  {{"a", "127.0.0.1:1", "fd1", 5, 30, false},
                   {"b", "127.0.0.1:2", "fd2", 2, 9, true},
                   {"c", "127.0.0.1:3", "fd3", 5, 30, false}}}};
  C.Shares = {50, 30, 20};
  auto Back = configwire::configuration(configwire::toWire(C));
  REQUIRE(Back.ok());
  CHECK(Back.value() == C);
}

// Guards against an absent staleness bound that is read as zero.
TEST_CASE("an intent keeps absent fields absent") {
  operators::v1::Intent Wire;
  Wire.add_classes()->set_name("orders");
  auto I = configwire::intent(Wire);
  REQUIRE(I.ok());
  CHECK_FALSE(I.value().Classes[0].StalenessBound.has_value());
  CHECK_FALSE(I.value().Classes[0].WorkPriority.has_value());
  Wire.mutable_classes(0)->set_priority(static_cast<types::v1::Priority>(9));
  CHECK_FALSE(configwire::intent(Wire).ok());
}

// Guards against a record of an unfinished promotion that is read as stable.
TEST_CASE(
    "a primary record is unchanged after conversion to a message and back") {
  GroupRecord R{"db", 7, GroupPhase::Electing, "", "p1", 99, {{1, 0}, {7, 3}}};
  CHECK(configwire::group(configwire::toWire(R)) == R);
}
