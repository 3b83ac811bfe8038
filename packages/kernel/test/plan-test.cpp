#include "kernel/plan.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

namespace {

Configuration base() {
  Configuration C;
  C.Version = 7;
  C.Classes = {{"druck", Priority::Urgent, Duration(0), Durability::Replicated},
               {"katalog", Priority::Background, std::chrono::seconds(2),
                Durability::TermCheck}};
  for (const char *Name : {"lager", "katalog"}) {
    Database D{Name, {}};
    for (int I = 1; I <= 3; ++I)
      D.Upstreams.push_back({std::string(Name) + std::to_string(I),
                             "127.0.0.1:700" + std::to_string(I), "muenchen", 5,
                             30, false});
    C.Databases.push_back(D);
  }
  return C;
}

bool hasFinding(const Intent &I, const std::string &Text) {
  auto R = makePlan(base(), I);
  return !R.ok() && toString(R.findings()).find(Text) != std::string::npos;
}

} // namespace

// Guards against a plan that changes more or less than the intent says.
TEST_CASE("a plan lists place, before, after and reason") {
  Intent I;
  I.Classes = {{"katalog", {}, std::chrono::seconds(1), {}}};
  I.UpstreamsLeaving = {"lager2"};
  Plan P = makePlan(base(), I).value();
  CHECK(P.BaseVersion == 7);
  CHECK(P.Target.Version == 8);
  REQUIRE(P.Changes.size() == 2);
  CHECK(P.Changes[0].Place == "classes/katalog");
  CHECK(P.Changes[0].Before.find("2000 ms") != std::string::npos);
  CHECK(P.Changes[0].After.find("1000 ms") != std::string::npos);
  CHECK(P.Changes[1].Place == "databases/lager/upstreams/lager2");
  for (const Change &C : P.Changes)
    CHECK_FALSE(C.Reason.empty());
  CHECK(findUpstream(P.Target.Databases[0], "lager2")->Leaving);
  CHECK(P.Target.Classes[1].WorkPriority == Priority::Background);
}

// Guards against invalid intents that are accepted or reported without place.
TEST_CASE("invalid intents give findings") {
  Intent I;
  I.Classes = {{"drukc", {}, std::chrono::seconds(1), {}}};
  CHECK(hasFinding(I, "drukc"));
  I = Intent();
  I.UpstreamsLeaving = {"lager9"};
  CHECK(hasFinding(I, "lager9"));
  I = Intent();
  I.Shares = {{Priority::Urgent, 70}};
  CHECK(hasFinding(I, "110%"));
  I = Intent();
  I.UpstreamsLeaving = {"lager1", "lager2"};
  CHECK(hasFinding(I, "1 in service"));
  I = Intent();
  I.UpstreamsLeaving = {"lager1"};
  I.UpstreamsEntering = {"lager1"};
  CHECK(hasFinding(I, "once"));
  I = Intent();
  I.Databases = {base().Databases[1]};
  I.Databases[0].Name = "neu";
  CHECK(hasFinding(I, "no other upstream"));
  CHECK(hasFinding(Intent(), "no change"));
}

// Guards against two successive configurations whose majorities don't share an
// upstream: a promotion could then miss acknowledged writes.
TEST_CASE("one plan adds or removes at most one upstream of a database") {
  Database D = base().Databases[0];
  D.Upstreams[0].Id = "new1";
  D.Upstreams[0].Leaving = false;
  Intent I;
  I.Databases = {D};
  CHECK(hasFinding(I, "at most one"));
  CHECK(hasFinding(I, "marked as leaving"));
  D = base().Databases[0];
  D.Upstreams.push_back({"lager4", "127.0.0.1:7004", "augsburg", 5, 30, false});
  I.Databases = {D};
  CHECK(makePlan(base(), I).ok());
}

// Guards against all findings but the first being dropped.
TEST_CASE("all findings are reported together") {
  Intent I;
  I.Classes = {{"drukc", {}, {}, {}}};
  I.UpstreamsLeaving = {"lager9"};
  I.Shares = {{Priority::Normal, 1}};
  CHECK(makePlan(base(), I).findings().size() == 3);
}

// Guards against two different plans with one id.
TEST_CASE("the plan id follows content and base version") {
  Intent I;
  I.UpstreamsLeaving = {"lager2"};
  Plan P = makePlan(base(), I).value();
  CHECK(P.Id == makePlan(base(), I).value().Id);
  CHECK(P.Id.size() == 16);
  Configuration Later = base();
  Later.Version = 8;
  CHECK(P.Id != makePlan(Later, I).value().Id);
  I.UpstreamsLeaving = {"lager3"};
  CHECK(P.Id != makePlan(base(), I).value().Id);
}

// Guards against a rejected confirmation that does not say what has changed.
TEST_CASE("a conflict lists the changes accepted since the base") {
  Configuration Base = base();
  Intent Leave;
  Leave.UpstreamsLeaving = {"lager2"};
  Intent Shares;
  Shares.Shares = {{Priority::Urgent, 50}, {Priority::Normal, 35}};
  Plan First = makePlan(Base, Leave).value();
  Plan Second = makePlan(Base, Shares).value();
  CHECK_FALSE(conflictOf(First, &Base, Base));
  auto C = conflictOf(Second, &Base, First.Target);
  REQUIRE(C);
  CHECK(C->CurrentVersion == 8);
  REQUIRE(C->Since.size() == 1);
  CHECK(C->Since[0].Place == "databases/lager/upstreams/lager2");
  CHECK(C->Overlapping.empty());
  Leave.UpstreamsLeaving = {"lager2", "katalog1"};
  auto Overlap = conflictOf(makePlan(Base, Leave).value(), &Base, First.Target);
  REQUIRE(Overlap);
  CHECK(Overlap->Overlapping.size() == 1);
  CHECK(conflictOf(Second, nullptr, First.Target)->Since.empty());
}
