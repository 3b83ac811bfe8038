#include "engine/group.h"
#include "fakes.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

void revoke(EngineFixture &W) {
  W.SessionEngine->group("s")->setPrimaryRecord(
      {"s", 2, GroupStage::Revoking, "p"});
}

} // namespace

// STALE: reads of the latest data never go to a server without permission.
TEST_CASE("without permission nothing runs on the primary") {
  EngineFixture W;
  revoke(W);
  W.open("latest")->submit(read("a"));
  W.advance(1s);
  REQUIRE_FALSE(W.Replies.empty());
  CHECK(W.last().Error == ReplyCode::Busy);
  CHECK(W.server("p").count("READ a") == 0);
}

// Replays a promotion: callers try a few times only, so a statement that is
// refused at once is lost although the successor leads a second later.
TEST_CASE("statements wait for the successor of a revoked primary") {
  EngineFixture W;
  revoke(W);
  W.advance(TypicalReplacementTime - 500ms);
  W.open("latest")->submit(read("a"));
  W.advance(300ms);
  CHECK(W.Replies.empty());
  W.SessionEngine->group("s")->setPrimaryRecord(
      {"s", 3, GroupStage::Stable, "r1"});
  W.renewLeaseFor(1s);
  W.advance(100ms);
  REQUIRE_FALSE(W.Replies.empty());
  CHECK_FALSE(W.last().Error);
  CHECK(W.server("p").count("READ a") == 0);
  CHECK(W.server("r1").count("READ a") == 1);
}

// Replays a restart of all proxies: the first permission follows soon.
TEST_CASE("a proxy that has just started lets statements wait") {
  EngineFixture W;
  RoutingConfig Config = W.SessionEngine->config();
  Config.Version = 2;
  Config.Services["new"] = {"new", 10, 0};
  Config.Routes["latest"].Service = "new";
  W.SessionEngine->applyConfig(Config);
  std::vector<ServerEntry> Entries;
  for (const char *Id : {"p", "r1"}) {
    Entries.push_back(W.server(Id).Entry);
    Entries.back().Service = "new";
  }
  W.SessionEngine->setServers(Entries, 1);
  W.open("latest")->submit(read("a"));
  W.advance(300ms);
  CHECK(W.Replies.empty());
  W.SessionEngine->group("new")->setPrimaryRecord(
      {"new", 1, GroupStage::Stable, "p"});
  W.SessionEngine->group("new")->renewLease(1, W.Now + 1s);
  W.advance(100ms);
  REQUIRE_FALSE(W.Replies.empty());
  CHECK_FALSE(W.last().Error);
}

// A caller that would wait in vain is told at once when to return.
TEST_CASE("a replacement that has just begun is not waited for") {
  EngineFixture W;
  revoke(W);
  W.open("latest")->submit(read("a"));
  W.run();
  REQUIRE_FALSE(W.Replies.empty());
  CHECK(W.last().Error == ReplyCode::Busy);
  CHECK(W.last().ErrorText.find("retry after 2") != std::string::npos);
}

TEST_CASE("a replacement that takes too long is not waited for") {
  EngineFixture W;
  revoke(W);
  W.advance(MaxReplacementTime);
  W.open("latest")->submit(read("a"));
  W.run();
  REQUIRE_FALSE(W.Replies.empty());
  CHECK(W.last().Error == ReplyCode::Busy);
}

TEST_CASE("a permission that has ended is not used") {
  EngineFixture W;
  W.Now += 61s;
  W.open("latest")->submit(write("a"));
  W.run();
  CHECK(W.last().Error == ReplyCode::Busy);
  CHECK(W.server("p").count("WRITE a x") == 0);
}

// ONE: a write that was committed after a promotion must not be acknowledged.
TEST_CASE("a write that is answered after the permission ended is unknown") {
  EngineFixture W;
  W.open("latest")->submit(write("a"));
  revoke(W);
  W.run();
  CHECK(W.last().Error == ReplyCode::Unknown);
  CHECK(W.server("p").count("WRITE a x") == 1);
}

// ONE, REFUSED: the commit is not sent, so that nothing is kept.
TEST_CASE("a transaction that wrote is not committed after a revocation") {
  EngineFixture W;
  auto S = W.open("latest");
  S->submit(simple(StatementKind::Begin, "BEGIN"));
  S->submit(write("a"));
  W.run();
  revoke(W);
  S->submit(simple(StatementKind::Commit, "COMMIT"));
  W.run();
  CHECK(W.last().Error == ReplyCode::ReadOnly);
  CHECK(W.server("p").count("COMMIT") == 0);
}

// TWICE: a write without an answer is never sent again.
TEST_CASE("a write without an answer is unknown and sent once") {
  EngineFixture W;
  auto S = W.open("latest");
  S->submit(read("x"));
  W.run();
  W.server("p").Unresponsive = true;
  S->submit(write("a"));
  W.advance(3s);
  CHECK(W.last().Error == ReplyCode::Unknown);
  CHECK(W.server("p").count("WRITE a x") == 1);
}

// STALE: a replica must contain the position.
TEST_CASE("a read within its bound goes to a replica with the position") {
  EngineFixture W;
  W.open("bounded")->submit(read("a"));
  W.run();
  CHECK_FALSE(W.last().Error);
  std::size_t OnReplicas =
      W.server("r1").count("READ a") + W.server("r2").count("READ a");
  CHECK(OnReplicas == 1);
  for (const char *Id : {"r1", "r2"})
    for (const ServerCall &Call : W.server(Id).Received)
      if (Call.Text == "READ a")
        CHECK(Call.MinPosition);
}

TEST_CASE("a session reads its own write from the primary while replicas lag") {
  EngineFixture W;
  auto S = W.open("session");
  S->submit(write("a"));
  W.run();
  S->submit(read("b"));
  W.advance(100ms);
  CHECK_FALSE(W.last().Error);
  CHECK(W.server("p").count("READ b") == 1);
}

TEST_CASE("a failed read is repeated on another server") {
  EngineFixture W;
  ServerReply Failed;
  Failed.Error = ReplyCode::Failed;
  W.server("r1").Answers["READ a"] = Failed;
  W.server("r2").Answers["READ a"] = Failed;
  W.open("bounded")->submit(read("a"));
  W.advance(100ms);
  CHECK_FALSE(W.last().Error);
  CHECK(W.server("p").count("READ a") == 1);
}

// Replays connections that have become silent.
TEST_CASE("a read on a silent connection is sent to another server in time") {
  EngineFixture W;
  auto S = W.open("bounded");
  W.server("r1").Unresponsive = true;
  W.server("r2").Unresponsive = true;
  S->submit(read("a"));
  W.advance(400ms);
  REQUIRE_FALSE(W.Replies.empty());
  CHECK_FALSE(W.last().Error);
}

// DRAIN: no new work for a server that is leaving.
TEST_CASE("a draining replica receives no statement") {
  EngineFixture W;
  std::vector<ServerEntry> Entries;
  for (const char *Id : {"p", "r1", "r2"}) {
    ServerEntry E = W.server(Id).Entry;
    E.Draining = E.Id != "p";
    Entries.push_back(E);
  }
  W.SessionEngine->setServers(Entries, 1);
  W.open("bounded")->submit(read("a"));
  W.run();
  CHECK(W.server("p").count("READ a") == 1);
}

TEST_CASE("a server that can't be reached is reported and found again") {
  EngineFixture W;
  auto G = W.SessionEngine->group("s");
  W.server("p").Unresponsive = true;
  W.open("latest")->submit(read("a"));
  W.advance(4s);
  CHECK(G->unreachableServers() == std::vector<UpstreamId>{"p"});
  W.server("p").Unresponsive = false;
  W.advance(3s);
  CHECK(G->unreachableServers().empty());
}

TEST_CASE("a revoked epoch is quiet once its writes have been answered") {
  EngineFixture W;
  auto G = W.SessionEngine->group("s");
  CHECK(G->quiesced());
  W.open("latest")->submit(write("a"));
  revoke(W);
  CHECK_FALSE(G->quiesced());
  W.run();
  CHECK(G->quiesced());
}
