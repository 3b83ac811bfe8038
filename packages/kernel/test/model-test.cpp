#include "kernel/model.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

// Guards against printed names that can't be parsed.
TEST_CASE("names are parsed as they are printed") {
  for (Priority P : {Priority::Urgent, Priority::Normal, Priority::Background})
    CHECK(parsePriority(name(P)) == P);
  for (Durability D : {Durability::TermCheck, Durability::Replicated})
    CHECK(parseDurability(name(D)) == D);
  CHECK_FALSE(parsePriority("Urgent").has_value());
  CHECK_FALSE(parseDurability("").has_value());
}

// Guards against a lookup that returns an entry with a similar name.
TEST_CASE("entries are found by their exact name") {
  Configuration C;
  C.Classes = {{"a", Priority::Urgent, {}, {}}, {"ab", {}, {}, {}}};
  C.Databases = {{"d", {{"u1", "", "", 1, 1, false}}}};
  CHECK(findClass(C, "ab") == &C.Classes[1]);
  CHECK(findClass(C, "b") == nullptr);
  CHECK(findDatabase(C, "") == nullptr);
  CHECK(findUpstream(*findDatabase(C, "d"), "u1") != nullptr);
  CHECK(findUpstream(*findDatabase(C, "d"), "u2") == nullptr);
}

// Guards against two disjoint majorities.
TEST_CASE("two majorities share an upstream") {
  for (std::size_t N = 1; N < 10; ++N)
    CHECK(2 * majority(N) > N);
}
