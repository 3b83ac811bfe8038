#include "kernel/storeera.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

// Guards against changes that are taken for late answers after the store has
// come back from a copy, because it gives lower revisions out again.
TEST_CASE("revisions of a later era are higher") {
  CHECK(revisionOf(2, 1) > revisionOf(1, 1'000'000));
  CHECK(revisionOf(1, 8) > revisionOf(1, 7));
  CHECK(revisionOf(0, 7) == 7);
  CHECK(revisionOf(3, 0) == 0);
  CHECK(eraOfRevision(revisionOf(3, 17)) == 3);
  CHECK(revisionInStore(revisionOf(3, 17)) == 17);
  static_assert(MaxStoreEra < INT64_MAX / RevisionsPerEra);
}

// Guards against an epoch or a fencing token that is used twice: the store has
// lost that it was given out.
TEST_CASE("numbers of a later era are higher than all that were given out") {
  CHECK(nextNumber(0, 0) == 1);
  CHECK(nextNumber(7, 0) == 8);
  std::uint64_t Lost = nextNumber(nextNumber(0, 1), 1);
  CHECK(nextNumber(0, 2) > Lost);
  CHECK(nextNumber(Lost, 2) == nextNumber(0, 2));
  CHECK(nextNumber(nextNumber(Lost, 2), 2) == nextNumber(Lost, 2) + 1);
}
