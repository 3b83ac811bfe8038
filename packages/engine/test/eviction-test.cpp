#include "fakes.h"
#include <array>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

// Guards against a process that ends because a statement gets a connection that
// was closed for another customer while waiting statements were looked at.
TEST_CASE(
    "a connection that was just closed for another customer is not used") {
  EngineFixture F;
  RoutingConfig Config = F.SessionEngine->config();
  ++Config.Version;
  Config.Services["s"].ConnectionCap = 1;
  Config.Customers =
      makeCustomerTable(
          {{"north", {"kn"}, {}}, {"south", {"ks"}, {}}, {"west", {"kw"}, {}}})
          .value();
  F.SessionEngine->applyConfig(Config);
  F.SessionEngine->setServers({F.server("p").Entry, F.server("r1").Entry}, 1);
  F.advance(10s);
  F.renewLeaseFor(60s);
  // Most of the server time, so that the others are not above their share.
  F.server("r1").AnswerTime = 500ms;
  F.open("bounded", "kw")->submit(read("long"));
  F.advance(600ms);
  F.server("r1").AnswerTime = 90ms;
  F.open("latest", "kn")->submit(read("a"));
  F.advance(100ms);
  REQUIRE(F.Replies.size() == 2);
  F.server("p").Unresponsive = true;
  F.open("latest", "kn")->submit(read("b"));
  F.open("bounded", "kn")->submit(read("d"));
  F.advance(20ms);
  REQUIRE(F.server("r1").count("READ d") == 1);
  F.open("latest", "kw")->submit(read("c"));
  // The newest of these comes first, because they have waited long when the
  // connection to the replica becomes idle. It waits for the primary. The next
  // one closes that connection, which the last one has seen idle.
  for (auto [Database, Key, Text] :
       {std::array{"bounded", "kn", "e"}, std::array{"bounded", "ks", "f"},
        std::array{"latest", "kn", "g"}}) {
    F.open(Database, Key)->submit(read(Text));
    F.advance(10ms);
  }
  REQUIRE(F.Replies.size() == 2);
  F.advance(500ms);
  CHECK(F.server("r1").count("READ e") == 1);
  CHECK(F.server("r1").count("READ f") == 1);
}
