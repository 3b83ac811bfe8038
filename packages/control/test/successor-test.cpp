// Which server the holder of the promotion lock promotes.

#include "control/coordinator.h"
#include "fakestore.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// "b" has replaced "a", and nobody else could follow it. Now "b" is lost, and
/// "a" is back with its log of the first term.
void losePrimaryAfterPredecessor(Fleet &F) {
  F.advance(5s);
  F.Reachable.erase("c");
  F.Keys.put("servers/a", "draining");
  F.timeToPromotion(8s);
  REQUIRE(F.Primary == "b");
  F.FormerPrimaries["a"] = 1;
  F.advance(1s);
  REQUIRE(F.record().Primary == "b");
  REQUIRE(F.record().Term == 2);
  F.Keys.put("servers/a", "up");
  F.Reachable.erase("b");
  F.Keys.put("servers/b", "draining");
}

} // namespace

// Guards against the loss of all commits of a term, and against stale reads: a
// former primary that had not followed its successor was promoted again with
// its old log when the successor was lost (review case 2).
TEST_CASE("no former primary replaces the successor that it did not follow") {
  Fleet F(4);
  losePrimaryAfterPredecessor(F);
  CHECK(F.timeToPromotion(12s, 1) == 12s);
  CHECK(F.record().Stage == GroupStage::Revoking);
  F.Reachable.insert("b");
  F.Keys.put("servers/b", "up");
  F.advance(4s);
  CHECK(F.Promotions.size() == 1);
  CHECK(F.record().Stage == GroupStage::Stable);
  CHECK(F.record().Primary == "b");
}

TEST_CASE("a former primary that follows its successor may replace it") {
  Fleet F(4);
  losePrimaryAfterPredecessor(F);
  F.advance(6s);
  F.FormerPrimaries.clear();
  CHECK(F.timeToPromotion(3s, 1) < 1s);
  CHECK(F.Primary == "a");
}
