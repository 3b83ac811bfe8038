#include "kernel/position.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

// Guards against a lost log suffix being taken for applied history.
TEST_CASE("a position after a branch point is lost") {
  History Line = {{1, 0}, {2, 5}};
  CHECK(lineage(Line, {1, 5}) == Lineage::OnLine);
  CHECK(lineage(Line, {1, 6}) == Lineage::Lost);
  CHECK(lineage(Line, {2, 6}) == Lineage::OnLine);
  CHECK(lineage(Line, {3, 9}) == Lineage::NotYet);
  CHECK(lineage(Line, {}) == Lineage::OnLine);
}

// Guards against a term that is not part of the line being accepted.
TEST_CASE("a term that the line skipped is lost") {
  History Line = {{1, 0}, {3, 5}};
  CHECK(lineage(Line, {2, 4}) == Lineage::Lost);
  CHECK(lineage(Line, {2, 6}) == Lineage::Lost);
}

// Guards against a replica that has not applied a position serving it.
TEST_CASE("containment needs the applied index") {
  History Line = {{1, 0}, {2, 5}};
  CHECK(contains(Line, {2, 8}, {2, 8}));
  CHECK_FALSE(contains(Line, {2, 7}, {2, 8}));
  CHECK_FALSE(contains(Line, {2, 9}, {1, 7}));
}
