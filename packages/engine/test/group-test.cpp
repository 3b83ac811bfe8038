#include "engine/group.h"
#include "fakes.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

void revoke(EngineFixture &F) {
  F.SessionEngine->group("s")->setPrimaryRecord(
      {"s", 2, GroupStage::Revoking, "p"});
}

} // namespace

// Guards against stale reads: without a lease another server may have become
// primary, so a read of the latest data must not go to the old one.
TEST_CASE("without a primary lease nothing runs on the primary") {
  EngineFixture F;
  revoke(F);
  F.open("latest")->submit(read("a"));
  F.advance(1s);
  REQUIRE_FALSE(F.Replies.empty());
  CHECK(F.last().Error == ReplyCode::Busy);
  CHECK(F.server("p").count("READ a") == 0);
}

// Guards against statements that are lost during a promotion: callers try a few
// times only, so a statement that is refused at once is lost although the
// successor is primary a second later.
TEST_CASE("statements wait for the successor of a revoked primary") {
  EngineFixture F;
  revoke(F);
  F.advance(TypicalPromotionTime - 500ms);
  F.open("latest")->submit(read("a"));
  F.advance(300ms);
  CHECK(F.Replies.empty());
  F.SessionEngine->group("s")->setPrimaryRecord(
      {"s", 3, GroupStage::Stable, "r1"});
  F.renewLeaseFor(1s);
  F.advance(100ms);
  REQUIRE_FALSE(F.Replies.empty());
  CHECK_FALSE(F.last().Error);
  CHECK(F.server("p").count("READ a") == 0);
  CHECK(F.server("r1").count("READ a") == 1);
}

// Guards against writes that become unknown on all proxies at once after the
// store has come back from a copy and its records are confirmed.
TEST_CASE("a confirmed record keeps the lease and the writes in progress") {
  EngineFixture F;
  F.server("p").AnswerTime = 100ms;
  F.open("latest")->submit(write("a"));
  F.advance(50ms);
  PrimaryRecord Confirmed = F.SessionEngine->group("s")->primaryRecord();
  Confirmed.Era = 2;
  F.SessionEngine->group("s")->setPrimaryRecord(Confirmed);
  CHECK(F.SessionEngine->group("s")->hasLease());
  F.advance(100ms);
  REQUIRE_FALSE(F.Replies.empty());
  CHECK_FALSE(F.last().Error);
}

// Guards against two primaries in use: this proxy knows a promotion that the
// store, and the proxies in touch with it, have lost.
TEST_CASE("a record of a later era replaces one with a higher epoch") {
  EngineFixture F;
  auto G = F.SessionEngine->group("s");
  G->setPrimaryRecord({"s", 7, GroupStage::Stable, "r1", 2, 1});
  F.renewLeaseFor(60s);
  G->setPrimaryRecord({"s", 5, GroupStage::Stable, "p", 1, 1});
  CHECK(G->primaryRecord().Primary == "r1");
  G->setPrimaryRecord({"s", 5, GroupStage::Stable, "p", 1, 2});
  CHECK(G->primaryRecord().Primary == "p");
  CHECK_FALSE(G->hasLease());
  G->setPrimaryRecord({"s", 7, GroupStage::Stable, "r1", 2, 1});
  CHECK(G->primaryRecord().Primary == "p");
}

// Guards against refusals after a restart of all proxies: the first primary
// lease follows soon.
TEST_CASE(
    "statements wait for the first lease of a proxy that has just started") {
  EngineFixture F;
  RoutingConfig Config = F.SessionEngine->config();
  Config.Version = 2;
  Config.Services["new"] = {"new", 10, 0};
  Config.Routes["latest"].Service = "new";
  F.SessionEngine->applyConfig(Config);
  std::vector<ServerEntry> Entries;
  for (const char *Id : {"p", "r1"}) {
    Entries.push_back(F.server(Id).Entry);
    Entries.back().Service = "new";
  }
  F.SessionEngine->setServers(Entries, 1);
  F.open("latest")->submit(read("a"));
  F.advance(300ms);
  CHECK(F.Replies.empty());
  F.SessionEngine->group("new")->setPrimaryRecord(
      {"new", 1, GroupStage::Stable, "p"});
  F.SessionEngine->group("new")->renewLease(1, F.Now + 1s);
  F.advance(100ms);
  REQUIRE_FALSE(F.Replies.empty());
  CHECK_FALSE(F.last().Error);
}

// Guards against a caller that waits in vain: it is refused at once with the
// time after which it should try again.
TEST_CASE("a promotion that has just begun is not waited for") {
  EngineFixture F;
  revoke(F);
  F.open("latest")->submit(read("a"));
  F.run();
  REQUIRE_FALSE(F.Replies.empty());
  CHECK(F.last().Error == ReplyCode::Busy);
  CHECK(F.last().ErrorText.find("retry after 2") != std::string::npos);
}

TEST_CASE("a promotion that takes too long is not waited for") {
  EngineFixture F;
  revoke(F);
  F.advance(MaxPromotionTime);
  F.open("latest")->submit(read("a"));
  F.run();
  REQUIRE_FALSE(F.Replies.empty());
  CHECK(F.last().Error == ReplyCode::Busy);
}

TEST_CASE("a primary lease that has ended is not used") {
  EngineFixture F;
  F.Now += 61s;
  F.open("latest")->submit(write("a"));
  F.run();
  CHECK(F.last().Error == ReplyCode::Busy);
  CHECK(F.server("p").count("WRITE a x") == 0);
}

// Guards against an acknowledged write that is lost: the server may have
// committed it after another server was promoted.
TEST_CASE("a write that is answered after the lease has ended is unknown") {
  EngineFixture F;
  F.open("latest")->submit(write("a"));
  revoke(F);
  F.run();
  CHECK(F.last().Error == ReplyCode::Unknown);
  CHECK(F.server("p").count("WRITE a x") == 1);
}

// Guards against a commit on a server that is no longer primary: it is not
// sent, so that nothing of the transaction is kept.
TEST_CASE("a transaction that wrote is not committed after a revocation") {
  EngineFixture F;
  auto S = F.open("latest");
  S->submit(simple(StatementKind::Begin, "BEGIN"));
  S->submit(write("a"));
  F.run();
  revoke(F);
  S->submit(simple(StatementKind::Commit, "COMMIT"));
  F.run();
  CHECK(F.last().Error == ReplyCode::ReadOnly);
  CHECK(F.server("p").count("COMMIT") == 0);
}

// Guards against a write that runs twice: one without an answer may have run
// and is never sent again.
TEST_CASE("a write without an answer is unknown and sent once") {
  EngineFixture F;
  auto S = F.open("latest");
  S->submit(read("x"));
  F.run();
  F.server("p").Unresponsive = true;
  S->submit(write("a"));
  F.advance(3s);
  CHECK(F.last().Error == ReplyCode::Unknown);
  CHECK(F.server("p").count("WRITE a x") == 1);
}

// Guards against stale reads on a replica: the server must check that it holds
// the required position.
TEST_CASE("a read within its bound goes to a replica with the position") {
  EngineFixture F;
  F.open("bounded")->submit(read("a"));
  F.run();
  CHECK_FALSE(F.last().Error);
  std::size_t OnReplicas =
      F.server("r1").count("READ a") + F.server("r2").count("READ a");
  CHECK(OnReplicas == 1);
  for (const char *Id : {"r1", "r2"})
    for (const ServerCall &Call : F.server(Id).Received)
      if (Call.Text == "READ a")
        CHECK(Call.MinPosition);
}

TEST_CASE("a session reads its own write from the primary while replicas lag") {
  EngineFixture F;
  auto S = F.open("session");
  S->submit(write("a"));
  F.run();
  S->submit(read("b"));
  F.advance(100ms);
  CHECK_FALSE(F.last().Error);
  CHECK(F.server("p").count("READ b") == 1);
}

TEST_CASE("a failed read is repeated on another server") {
  EngineFixture F;
  ServerReply Failed;
  Failed.Error = ReplyCode::Failed;
  F.server("r1").Answers["READ a"] = Failed;
  F.server("r2").Answers["READ a"] = Failed;
  F.open("bounded")->submit(read("a"));
  F.advance(100ms);
  CHECK_FALSE(F.last().Error);
  CHECK(F.server("p").count("READ a") == 1);
}

// Guards against reads that wait for the statement timeout on connections that
// no longer answer.
TEST_CASE(
    "a read on an unresponsive connection is sent to another server in time") {
  EngineFixture F;
  auto S = F.open("bounded");
  F.server("r1").Unresponsive = true;
  F.server("r2").Unresponsive = true;
  S->submit(read("a"));
  F.advance(400ms);
  REQUIRE_FALSE(F.Replies.empty());
  CHECK_FALSE(F.last().Error);
}

// Guards against a proxy that has no processor time left for its peers. Load
// pattern: hundreds of statements wait for servers that are all busy. The work
// for an arrival, an answer or a tick must not grow with the queue.
TEST_CASE("a long queue before busy servers costs no time") {
  auto ClockReads = [](std::size_t Queued) {
    EngineFixture F;
    std::vector<ServerEntry> Entries;
    for (const char *Id : {"p", "r1", "r2"}) {
      F.open("bounded")->submit(read("open connections"));
      F.open("latest")->submit(read("open connections"));
      F.advance(20ms);
      Entries.push_back(F.server(Id).Entry);
      Entries.back().Slots = 1;
    }
    F.SessionEngine->setServers(Entries, 1);
    for (const char *Id : {"p", "r1", "r2"})
      F.server(Id).Unresponsive = true;
    for (std::size_t I = 0; I < Queued; ++I)
      F.open("latest")->submit(read("q" + std::to_string(I)));
    F.advance(50ms);
    // The clock is read at least once for each server that is considered.
    std::size_t Reads = 0;
    F.Hooks.Now = [&] {
      ++Reads;
      return F.Now;
    };
    F.open("latest")->submit(read("last"));
    F.SessionEngine->tick();
    return Reads;
  };
  CHECK(ClockReads(300) <= 2 * ClockReads(20));
}

// Guards against slots that second attempts take from waiting statements. Load
// pattern: reads are slow because of the load, so that all of them would be
// hedged.
TEST_CASE(
    "a slow read is not hedged while others wait and its server answers") {
  EngineFixture F;
  F.server("r2").RefusesConnections = true;
  F.open("bounded")->submit(read("opens a connection"));
  F.advance(300ms);
  F.Replies.clear();
  F.server("r1").Unresponsive = true;
  F.open("bounded")->submit(read("slow"));
  F.run();
  F.server("r1").Unresponsive = false;
  F.server("p").Unresponsive = true;
  for (int I = 0; I < 10; ++I)
    F.open("latest")->submit(read("waits"));
  for (int I = 0; I < 10; ++I) {
    F.open("bounded")->submit(read("other"));
    F.advance(20ms);
  }
  CHECK(F.Replies.size() == 10);
  CHECK(F.server("r1").count("READ slow") + F.server("p").count("READ slow") ==
        1);
}

// Guards against a partition that is noticed late: statements wait on open
// connections to the primary, which will never answer.
TEST_CASE("a primary that stops to answer is dialed soon") {
  EngineFixture F;
  F.open("latest")->submit(read("a"));
  F.run();
  F.advance(20ms);
  std::size_t Before = F.server("p").Handshakes;
  F.server("p").Unresponsive = true;
  F.open("latest")->submit(write("b"));
  F.advance(400ms);
  CHECK(F.server("p").Handshakes > Before);
  CHECK(F.SessionEngine->group("s")->unreachableServers().empty());
  F.advance(750ms);
  CHECK(F.SessionEngine->group("s")->unreachableServers() ==
        std::vector<UpstreamId>{"p"});
}

// Guards against new statements on a server that is about to stop.
TEST_CASE("a draining replica receives no statement") {
  EngineFixture F;
  std::vector<ServerEntry> Entries;
  for (const char *Id : {"p", "r1", "r2"}) {
    ServerEntry E = F.server(Id).Entry;
    E.Draining = E.Id != "p";
    Entries.push_back(E);
  }
  F.SessionEngine->setServers(Entries, 1);
  F.open("bounded")->submit(read("a"));
  F.run();
  CHECK(F.server("p").count("READ a") == 1);
}

TEST_CASE("a server is reported as unreachable until it answers again") {
  EngineFixture F;
  auto G = F.SessionEngine->group("s");
  F.server("p").Unresponsive = true;
  F.open("latest")->submit(read("a"));
  F.advance(4s);
  CHECK(G->unreachableServers() == std::vector<UpstreamId>{"p"});
  F.server("p").Unresponsive = false;
  F.advance(3s);
  CHECK(G->unreachableServers().empty());
}

TEST_CASE("a revoked epoch is quiesced once its writes have been answered") {
  EngineFixture F;
  auto G = F.SessionEngine->group("s");
  CHECK(G->quiesced());
  F.open("latest")->submit(write("a"));
  revoke(F);
  CHECK_FALSE(G->quiesced());
  F.run();
  CHECK(G->quiesced());
}
