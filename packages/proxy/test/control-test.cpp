#include "controlfakes.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against serving without rules, and against silence about it.
TEST_CASE("without a configuration nothing is served and status says so") {
  ControlFixture W;
  W.Platform->Down = true;
  W.run(seconds(2));
  CHECK(W.Snapshots->load()->Config.Version == 0);
  auto Status = W.status();
  REQUIRE(!Status.notes().empty());
  CHECK(Status.notes(0).find("serves nothing") != std::string::npos);
  CHECK(W.count(events::PlatformUnreachable) == 1);
}

// Guards against a proxy that stays without configuration after an outage at
// its start.
TEST_CASE("the configuration is read once the platform answers") {
  ControlFixture W;
  W.Platform->Down = true;
  W.storeConfiguration(3);
  W.run(seconds(2));
  W.Platform->Down = false;
  W.run(seconds(2));
  CHECK(W.Snapshots->load()->Config.Version == 3);
  CHECK(W.count(events::PlatformReachable) == 1);
}

// Guards against a version that goes back after a stale read.
TEST_CASE("an older configuration changes nothing") {
  ControlFixture W;
  W.storeConfiguration(5);
  W.run(seconds(2));
  W.storeConfiguration(4);
  W.run(seconds(5));
  CHECK(W.Snapshots->load()->Config.Version == 5);
  CHECK(W.count(events::ConfigurationAccepted) == 1);
}

// Guards against a damaged value that replaces or hides the accepted one.
TEST_CASE("a malformed configuration is reported and not used") {
  ControlFixture W;
  W.storeConfiguration(5);
  W.run(seconds(2));
  W.Platform->put("config", "\xff\xff");
  W.run(seconds(5));
  CHECK(W.Snapshots->load()->Config.Version == 5);
  auto Status = W.status();
  REQUIRE(!Status.notes().empty());
  CHECK(Status.notes(0).find("malformed") != std::string::npos);
}

// Guards against a group that has no primary until a record exists.
TEST_CASE("without a record the primary is learned from its status") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(milliseconds(1500));
  W.Platform->Down = true;
  W.run(seconds(1));
  CHECK(W.primary() == "a");
  CHECK(W.Snapshots->load()->Owners.at("a").Owner == "p1");
}

// Guards against a promotion that never comes, or that loses the record of it.
TEST_CASE("an unreachable primary is replaced and recorded") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(seconds(4));
  REQUIRE(W.primary() == "a");
  W.upstream("a").Down = true;
  W.run(seconds(3));
  CHECK(W.primary() != "a");
  CHECK(!W.primary().empty());
  CHECK(W.count(events::PrimaryUnreachable) == 1);
  config::v1::GroupRecord R;
  REQUIRE(R.ParseFromString(W.Platform->Entries.at("group/db").Value));
  CHECK(R.state() == config::v1::GROUP_STATE_STABLE);
  CHECK(R.primary() == W.primary());
}

// Guards against a second election of the same term after a lost response.
TEST_CASE("a lost compare-and-swap response is read back") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(seconds(4));
  std::uint64_t Term = W.Snapshots->load()->Groups.at("db").Term;
  W.Platform->LoseSwapResponses = true;
  W.upstream("a").Down = true;
  W.run(seconds(3));
  CHECK(W.primary() != "a");
  CHECK(!W.primary().empty());
  CHECK(W.Snapshots->load()->Groups.at("db").Term == Term + 1);
}

// Guards against a promotion for a stall that is shorter than the tolerance.
TEST_CASE("a primary that is back within the tolerance is kept") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(seconds(4));
  std::uint64_t Term = W.Snapshots->load()->Groups.at("db").Term;
  W.upstream("a").Down = true;
  W.run(milliseconds(600));
  W.upstream("a").Down = false;
  W.run(seconds(3));
  CHECK(W.primary() == "a");
  CHECK(W.Snapshots->load()->Groups.at("db").Term == Term);
}

// Guards against decisions on health that was observed before a pause.
TEST_CASE("a pause is noticed and starts no promotion by itself") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(seconds(4));
  std::uint64_t Term = W.Snapshots->load()->Groups.at("db").Term;
  W.upstream("a").Down = true;
  W.run(milliseconds(300));
  W.pause(seconds(5));
  W.upstream("a").Down = false;
  W.run(seconds(3));
  CHECK(W.count(events::PauseDetected) == 1);
  CHECK(W.Snapshots->load()->Groups.at("db").Term == Term);
}

// Guards against promotions that the operators' record would not show.
TEST_CASE("no promotion starts while the platform is down") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(seconds(4));
  std::uint64_t Term = W.Snapshots->load()->Groups.at("db").Term;
  W.Platform->Down = true;
  W.run(seconds(4));
  W.upstream("a").Down = true;
  W.run(seconds(4));
  CHECK(W.Snapshots->load()->Groups.at("db").Term == Term);
  CHECK(W.upstream("b").Status.RaisedTerm == Term);
}

// Guards against a replica that stays on the log of a replaced primary.
TEST_CASE("a former primary is told to follow the present one") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(seconds(4));
  W.upstream("a").Down = true;
  W.run(seconds(3));
  REQUIRE(W.primary() != "a");
  W.upstream("a").Down = false;
  UpstreamStatus Old = W.upstream("a").Status;
  W.Controller->observer().StatusObserved("db", Old);
  W.run(seconds(3));
  CHECK(W.upstream("a").Status.UpstreamRole == Role::Replica);
  CHECK(W.upstream("a").Status.RaisedTerm ==
        W.Snapshots->load()->Groups.at("db").Term);
}

// Guards against new work on an upstream whose host is leaving.
TEST_CASE("a host that leaves takes its upstream out of service") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(seconds(4));
  W.Platform->Hosts = {{"b", "127.0.0.1:2", "fd", true}};
  W.run(seconds(3));
  CHECK(W.Snapshots->load()->Leaving.contains("b"));
  CHECK_FALSE(W.Snapshots->load()->Leaving.contains("c"));
  CHECK(W.count(events::UpstreamLeaving) == 1);
}

// Guards against a leaving primary that keeps its role, or whose writes are
// refused before there is another primary.
TEST_CASE("a leaving primary is replaced first") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(seconds(4));
  UpstreamStatus Leaving = W.upstream("a").Status;
  Leaving.Leaving = true;
  W.upstream("a").Status = Leaving;
  W.Controller->observer().StatusObserved("db", Leaving);
  W.run(milliseconds(50));
  CHECK_FALSE(W.Snapshots->load()->Leaving.contains("a"));
  W.run(seconds(10));
  CHECK(W.primary() != "a");
  CHECK(W.Snapshots->load()->Leaving.contains("a"));
}

// Guards against new requests on a proxy that drains.
TEST_CASE("a drain is published") {
  ControlFixture W;
  W.storeConfiguration(1);
  W.run(seconds(2));
  W.Controller->drain();
  W.run(milliseconds(100));
  CHECK(W.Snapshots->load()->Draining);
}
