#include "fakes.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

struct PaceFixture : EngineFixture {
  /// Submits reads each 10 ms for \p Time, more than one server may run at
  /// once. Returns how many of them server r1 has received.
  std::size_t load(Duration Time, int ReadsPerStep = 10) {
    std::size_t Before = received("r1");
    for (Instant Until = Now + Time; Now < Until;) {
      for (int I = 0; I < ReadsPerStep; ++I) {
        Opened.push_back(open("bounded", Keys[Opened.size() % Keys.size()]));
        Opened.back()->submit(read(std::to_string(Opened.size())));
      }
      advance(10ms);
    }
    return received("r1") - Before;
  }
  /// All reads fail at the server from now on.
  void failAll(const std::string &Id) {
    ServerReply Failure;
    Failure.Error = ReplyCode::Failed;
    for (int I = 1; I < 10000; ++I)
      server(Id).Answers["READ " + std::to_string(I)] = Failure;
  }
  std::size_t received(const std::string &Id) {
    std::size_t Count = 0;
    for (const ServerCall &Call : server(Id).Received)
      Count += Call.Text.starts_with("READ") ? 1 : 0;
    return Count;
  }
  std::string limitOf(const std::string &Id) {
    SessionEngine->updateConnectionMetrics();
    std::string Text = Counters->text();
    std::string Name = "eelgrassloom_server_limit{server=\"" + Id + "\"} ";
    std::size_t At = Text.find(Name);
    return At == std::string::npos
               ? ""
               : Text.substr(At + Name.size(),
                             Text.find('\n', At) - At - Name.size());
  }
  std::size_t errors() const {
    std::size_t Count = 0;
    for (const CallerReply &Reply : Replies)
      Count += Reply.Error ? 1 : 0;
    return Count;
  }
  /// Registers r1 as started again at \p Millis.
  void restart(std::int64_t Millis) {
    server("r1").Entry.StartedAt = Millis;
    std::vector<ServerEntry> Entries;
    for (const auto &Entry : Servers)
      Entries.push_back(Entry.second.Entry);
    SessionEngine->setServers(Entries, 1);
  }

  std::vector<std::string> Keys = {""};
  std::vector<std::shared_ptr<Session>> Opened;
};

} // namespace

// Guards against a server that fails its statements while it reports good
// health: half of the reads would have to be retried.
TEST_CASE("a degraded server gets a trial each half second and comes back") {
  PaceFixture F;
  F.SessionEngine->enablePace();
  F.load(500ms);
  F.failAll("r1");
  F.load(1s);
  REQUIRE(F.Events.take().find("server-degraded") != std::string::npos);
  std::size_t Trials = F.load(3s);
  CHECK(Trials >= 4);
  CHECK(Trials <= 7);
  F.server("r1").Answers.clear();
  F.load(3s);
  std::string Log = F.Events.take();
  CHECK(Log.find("server-recovered") != std::string::npos);
  CHECK(Log.find("server-pace-ended") != std::string::npos);
  CHECK(F.load(1s) > 20);
  CHECK(F.errors() == 0);
}

// Guards against a server that is 7.5 times slower than the others and fails
// nothing. Load: each proxy has more reads than one server runs at once.
TEST_CASE("a slow server gets trials only") {
  PaceFixture F;
  F.SessionEngine->enablePace();
  for (const char *Id : {"p", "r1", "r2"})
    F.server(Id).AnswerTime = 20ms;
  F.load(1s, 4);
  F.server("r1").AnswerTime = 150ms;
  F.load(1s, 4);
  REQUIRE(F.Events.take().find("server-degraded") != std::string::npos);
  std::size_t Trials = F.load(3s, 4);
  CHECK(Trials >= 3);
  CHECK(Trials <= 7);
  F.server("r1").AnswerTime = 20ms;
  F.load(3s, 4);
  CHECK(F.Events.take().find("server-pace-ended") != std::string::npos);
  CHECK(F.limitOf("r1") == "4");
}

// Guards against a degraded server without trials: the statement of a customer
// runs only on a connection of that customer, and there may be none.
TEST_CASE("a degraded server gets trials of customers") {
  PaceFixture F;
  F.SessionEngine->enablePace();
  RoutingConfig Config = F.SessionEngine->config();
  ++Config.Version;
  Config.Customers =
      makeCustomerTable({{"north", {"kn"}, {}}, {"south", {"ks"}, {}}}).value();
  REQUIRE(F.SessionEngine->applyConfig(Config));
  F.Keys = {"kn", "ks"};
  F.load(500ms);
  F.failAll("r1");
  F.load(1s);
  REQUIRE(F.Events.take().find("server-degraded") != std::string::npos);
  std::size_t Trials = F.load(3s);
  CHECK(Trials >= 3);
  CHECK(Trials <= 7);
  F.server("r1").Answers.clear();
  F.load(4s);
  CHECK(F.Events.take().find("server-pace-ended") != std::string::npos);
}

// Guards against a service that loses its servers when all of them become slow
// together.
TEST_CASE("servers that become slow together go on as before") {
  PaceFixture F;
  F.SessionEngine->enablePace();
  for (const char *Id : {"p", "r1", "r2"})
    F.server(Id).AnswerTime = 20ms;
  F.load(1s, 4);
  for (const char *Id : {"p", "r1", "r2"})
    F.server(Id).AnswerTime = 150ms;
  F.load(3s, 4);
  CHECK(F.Events.take().find("server-degraded") == std::string::npos);
}

// Guards against refusals of statements that only the degraded server can run.
TEST_CASE("a degraded primary still runs writes") {
  PaceFixture F;
  F.SessionEngine->enablePace();
  F.load(200ms);
  ServerReply Failure;
  Failure.Error = ReplyCode::Failed;
  for (int I = 0; I < 10; ++I) {
    std::string Id = "w" + std::to_string(I);
    F.server("p").Answers["WRITE " + Id + " x"] = Failure;
    auto S = F.open("latest");
    S->submit(write(Id));
    F.advance(50ms);
  }
  REQUIRE(F.Events.take().find("server-degraded") != std::string::npos);
  auto S = F.open("latest");
  S->submit(write("last"));
  F.advance(50ms);
  CHECK_FALSE(F.last().Error);
  CHECK(F.server("p").count("WRITE last x") == 1);
}

// Guards against the backlog of all proxies being sent to a server that has
// just started.
TEST_CASE("a server that has started again begins with one statement") {
  PaceFixture F;
  F.SessionEngine->enablePace();
  F.restart(1000);
  F.load(200ms);
  CHECK(F.limitOf("r1") == "4");
  F.restart(2000);
  CHECK(F.limitOf("r1") == "1");
  CHECK(F.limitOf("r2") == "4");
  F.load(1s);
  CHECK(F.limitOf("r1") == "4");
}

// Guards against the same flood after an outage of the server or its network.
TEST_CASE("a server that can be reached again begins with one statement") {
  PaceFixture F;
  F.SessionEngine->enablePace();
  F.load(200ms);
  F.server("r1").ConnectionsLost = true;
  F.server("r1").RefusesConnections = true;
  auto Pool = [&] { return F.SessionEngine->group("s"); };
  for (int I = 0; I < 100 && Pool()->unreachableServers().empty(); ++I)
    F.load(50ms);
  REQUIRE(Pool()->unreachableServers() == std::vector<UpstreamId>{"r1"});
  F.server("r1").ConnectionsLost = false;
  F.server("r1").RefusesConnections = false;
  for (int I = 0; I < 200 && !Pool()->unreachableServers().empty(); ++I)
    F.advance(10ms);
  CHECK(F.limitOf("r1") == "1");
}

// Guards against a change of deployments whose settings do not name it.
TEST_CASE("without the switch servers are neither paced nor degraded") {
  PaceFixture F;
  F.restart(1000);
  F.load(500ms);
  F.restart(2000);
  F.failAll("r1");
  // A failed exchange makes the server suspected, as before, but no trials are
  // sent and nothing is reported.
  F.load(2s);
  std::string Log = F.Events.take();
  CHECK(Log.find("server-degraded") == std::string::npos);
  CHECK(Log.find("server-pace-ended") == std::string::npos);
  CHECK(F.limitOf("r1").empty());
}
