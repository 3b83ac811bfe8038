#include "kernel/position.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassloom;

// Guards against entries of a discarded log suffix being taken for applied
// ones.
TEST_CASE("a position after a branch point is lost") {
  TermHistory History = {{1, 0}, {2, 5}};
  CHECK(lineage(History, {1, 5}) == Lineage::InHistory);
  CHECK(lineage(History, {1, 6}) == Lineage::Lost);
  CHECK(lineage(History, {2, 6}) == Lineage::InHistory);
  CHECK(lineage(History, {3, 9}) == Lineage::Ahead);
  CHECK(lineage(History, {}) == Lineage::InHistory);
}

// Guards against a term that is not part of the history being accepted.
TEST_CASE("a term that the history skipped is lost") {
  TermHistory History = {{1, 0}, {3, 5}};
  CHECK(lineage(History, {2, 4}) == Lineage::Lost);
  CHECK(lineage(History, {2, 6}) == Lineage::Lost);
}

// Guards against a replica that serves a position that it has not applied.
TEST_CASE("a log contains a position only up to its applied index") {
  TermHistory History = {{1, 0}, {2, 5}};
  CHECK(contains(History, {2, 8}, {2, 8}));
  CHECK_FALSE(contains(History, {2, 7}, {2, 8}));
  CHECK_FALSE(contains(History, {2, 9}, {1, 7}));
}

// Guards against the position of a newly promoted primary without entries of
// its own term being reported as lost.
TEST_CASE("the start of a term and an empty log are in the history") {
  CHECK(lineage({{1, 0}}, {1, 0}) == Lineage::InHistory);
  CHECK(lineage({{1, 0}, {2, 5}}, {2, 5}) == Lineage::InHistory);
  CHECK(lineage({{1, 0}, {2, 5}}, {2, 4}) == Lineage::Lost);
}

// Guards against a lineage that disagrees with the log itself after promotions
// that truncated the log.
TEST_CASE("lineage agrees with a log that is truncated by promotions") {
  CHECK(rc::check([] {
    std::vector<std::uint64_t> Log; // Term of each entry.
    TermHistory History = {{1, 0}};
    std::vector<Position> Written;
    std::vector<TermHistory> Earlier;
    auto Terms = *rc::gen::inRange<std::uint64_t>(1, 8);
    for (std::uint64_t Term = 1; Term <= Terms; ++Term) {
      if (Term > 1) {
        auto Kept = *rc::gen::inRange<std::size_t>(0, Log.size() + 1);
        Log.resize(Kept);
        std::erase_if(History,
                      [&](const TermStart &T) { return T.Start > Kept; });
        History.push_back({Term, Kept});
      }
      auto Entries = *rc::gen::inRange(0, 5);
      for (int I = 0; I < Entries; ++I) {
        Log.push_back(Term);
        Written.push_back({Term, Log.size()});
      }
      Earlier.push_back(History);
    }
    for (Position P : Written) {
      bool Survived = P.Index <= Log.size() && Log[P.Index - 1] == P.Term;
      RC_ASSERT((lineage(History, P) == Lineage::InHistory) == Survived);
      RC_ASSERT((lineage(History, P) == Lineage::Lost) == !Survived);
      RC_ASSERT(contains(History, {0, Log.size()}, P) == Survived);
      for (std::size_t Term = 1; Term < P.Term; ++Term)
        RC_ASSERT(lineage(Earlier[Term - 1], P) == Lineage::Ahead);
    }
  }));
}
