#include "controlfakes.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a proxy that serves requests without a configuration, and
// against a status that does not mention the missing configuration.
TEST_CASE("without a configuration nothing is served and status says so") {
  ControlFixture F;
  F.Platform->Down = true;
  F.run(seconds(2));
  CHECK(F.Snapshots->load()->Config.Version == 0);
  auto Status = F.status();
  REQUIRE(!Status.notes().empty());
  CHECK(Status.notes(0).find("serves nothing") != std::string::npos);
  CHECK(F.count(events::PlatformUnreachable) == 1);
}

// Guards against a proxy that never reads the configuration because the
// platform was unreachable when the proxy started.
TEST_CASE("the configuration is read once the platform answers") {
  ControlFixture F;
  F.Platform->Down = true;
  F.storeConfiguration(3);
  F.run(seconds(2));
  F.Platform->Down = false;
  F.run(seconds(2));
  CHECK(F.Snapshots->load()->Config.Version == 3);
  CHECK(F.count(events::PlatformReachable) == 1);
}

// Guards against a return to an older version after a stale read.
TEST_CASE("an older configuration changes nothing") {
  ControlFixture F;
  F.storeConfiguration(5);
  F.run(seconds(2));
  F.storeConfiguration(4);
  F.run(seconds(5));
  CHECK(F.Snapshots->load()->Config.Version == 5);
  CHECK(F.count(events::ConfigurationAccepted) == 1);
}

// Guards against a malformed value that replaces the configuration in force or
// goes unreported.
TEST_CASE("a malformed configuration is reported and not used") {
  ControlFixture F;
  F.storeConfiguration(5);
  F.run(seconds(2));
  F.Platform->put("config", "\xff\xff");
  F.run(seconds(5));
  CHECK(F.Snapshots->load()->Config.Version == 5);
  auto Status = F.status();
  REQUIRE(!Status.notes().empty());
  CHECK(Status.notes(0).find("malformed") != std::string::npos);
}

// Guards against a database that has no primary, and so refuses writes, until a
// record exists on the platform.
TEST_CASE("without a record the primary is learned from its status") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(milliseconds(1500));
  F.Platform->Down = true;
  F.run(seconds(1));
  CHECK(F.primary() == "a");
  CHECK(F.Snapshots->load()->Owners.at("a").Owner == "p1");
}

// Guards against a promotion that never starts, or whose result is not stored
// on the platform.
TEST_CASE("an unreachable primary causes a promotion that is recorded") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(seconds(4));
  REQUIRE(F.primary() == "a");
  F.upstream("a").Down = true;
  F.run(seconds(3));
  CHECK(F.primary() != "a");
  CHECK(!F.primary().empty());
  CHECK(F.count(events::PrimaryUnreachable) == 1);
  config::v1::GroupRecord R;
  REQUIRE(R.ParseFromString(F.Platform->Entries.at("group/db").Value));
  CHECK(R.state() == config::v1::GROUP_STATE_STABLE);
  CHECK(R.primary() == F.primary());
}

// Guards against a second attempt at a promotion after the response to a
// compare-and-swap was lost although the write took effect.
TEST_CASE("a lost compare-and-swap response is read back") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(seconds(4));
  std::uint64_t Term = F.Snapshots->load()->Groups.at("db").Term;
  F.Platform->LoseSwapResponses = true;
  F.upstream("a").Down = true;
  F.run(seconds(3));
  CHECK(F.primary() != "a");
  CHECK(!F.primary().empty());
  CHECK(F.Snapshots->load()->Groups.at("db").Term == Term + 1);
}

// Guards against a promotion because of an interruption that is shorter than
// the failover tolerance.
TEST_CASE("a primary that answers again within the tolerance is kept") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(seconds(4));
  std::uint64_t Term = F.Snapshots->load()->Groups.at("db").Term;
  F.upstream("a").Down = true;
  F.run(milliseconds(600));
  F.upstream("a").Down = false;
  F.run(seconds(3));
  CHECK(F.primary() == "a");
  CHECK(F.Snapshots->load()->Groups.at("db").Term == Term);
}

// Guards against decisions that are based on upstream failures from before a
// pause of this process.
TEST_CASE("a pause is detected and starts no promotion by itself") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(seconds(4));
  std::uint64_t Term = F.Snapshots->load()->Groups.at("db").Term;
  F.upstream("a").Down = true;
  F.run(milliseconds(300));
  F.pause(seconds(5));
  F.upstream("a").Down = false;
  F.run(seconds(3));
  CHECK(F.count(events::PauseDetected) == 1);
  CHECK(F.Snapshots->load()->Groups.at("db").Term == Term);
}

// Guards against a promotion that the operators' primary record on the platform
// does not show.
TEST_CASE("no promotion starts while the platform is down") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(seconds(4));
  std::uint64_t Term = F.Snapshots->load()->Groups.at("db").Term;
  F.Platform->Down = true;
  F.run(seconds(4));
  F.upstream("a").Down = true;
  F.run(seconds(4));
  CHECK(F.Snapshots->load()->Groups.at("db").Term == Term);
  CHECK(F.upstream("b").Status.RaisedTerm == Term);
}

// Guards against a former primary that keeps its own log after a promotion
// instead of following the new primary.
TEST_CASE("a former primary is told to follow the current one") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(seconds(4));
  F.upstream("a").Down = true;
  F.run(seconds(3));
  REQUIRE(F.primary() != "a");
  F.upstream("a").Down = false;
  UpstreamStatus Old = F.upstream("a").Status;
  F.Controller->observer().StatusObserved("db", Old);
  F.run(seconds(3));
  CHECK(F.upstream("a").Status.UpstreamRole == Role::Replica);
  CHECK(F.upstream("a").Status.RaisedTerm ==
        F.Snapshots->load()->Groups.at("db").Term);
}

// Guards against new work for an upstream whose host is leaving.
TEST_CASE("a leaving host takes its upstream out of service") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(seconds(4));
  F.Platform->Hosts = {{"b", "127.0.0.1:2", "fd", true}};
  F.run(seconds(3));
  CHECK(F.Snapshots->load()->Leaving.contains("b"));
  CHECK_FALSE(F.Snapshots->load()->Leaving.contains("c"));
  CHECK(F.count(events::UpstreamLeaving) == 1);
}

// Guards against a leaving primary that keeps its role, and against refused
// writes before another upstream has been promoted.
TEST_CASE("a leaving primary stays in service until another is promoted") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(seconds(4));
  UpstreamStatus Leaving = F.upstream("a").Status;
  Leaving.Leaving = true;
  F.upstream("a").Status = Leaving;
  F.Controller->observer().StatusObserved("db", Leaving);
  F.run(milliseconds(50));
  CHECK_FALSE(F.Snapshots->load()->Leaving.contains("a"));
  F.run(seconds(10));
  CHECK(F.primary() != "a");
  CHECK(F.Snapshots->load()->Leaving.contains("a"));
}

// Guards against a draining proxy that still accepts new requests because its
// snapshot does not say that it is draining.
TEST_CASE("draining is published in the snapshot") {
  ControlFixture F;
  F.storeConfiguration(1);
  F.run(seconds(2));
  F.Controller->drain();
  F.run(milliseconds(100));
  CHECK(F.Snapshots->load()->Draining);
}
