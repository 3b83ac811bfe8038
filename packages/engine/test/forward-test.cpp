#include "engine/forward.h"
#include "proxypair.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<Session> transaction(ProxyPair &P) {
  auto S = P.Entry.open("latest");
  S->submit(simple(StatementKind::Begin, "BEGIN"));
  S->submit(write("a"));
  P.run();
  REQUIRE(P.Entry.last().Signature == "sig");
  return S;
}

} // namespace

TEST_CASE("messages survive encoding") {
  ForwardRequest Request;
  Request.Exchange = 7;
  Request.Kind = JobKind::FirstInTransaction;
  Request.Id = "i\xff";
  Request.Text = "EXEC w_q x";
  Request.State.Variables["v"] = "1";
  Request.Prepared = PreparedStatement{true, "q"};
  Request.Route.Service = "s";
  Request.Route.Reads = ReadConsistency::Bounded;
  Request.Route.WorkPriority = Priority::Background;
  Request.Route.LatencyObjective = 150ms;
  Request.Wrote = true;
  Request.LastCommit = {{3, 4}, 5};
  Request.Age = 12ms;
  auto R = decodeForward(encode(Request));
  REQUIRE(R);
  const auto &Out = std::get<ForwardRequest>(R.value());
  CHECK(Out.Id == Request.Id);
  CHECK(Out.Kind == JobKind::FirstInTransaction);
  CHECK(Out.State.Variables == Request.State.Variables);
  CHECK(Out.Prepared == Request.Prepared);
  CHECK(Out.Route == Request.Route);
  CHECK(Out.Wrote);
  CHECK(Out.LastCommit.Committed == Position{3, 4});
  CHECK(Out.Age == 12ms);

  ForwardAnswer Answer;
  Answer.Reply.Error = ReplyCode::Lagging;
  Answer.Reply.Rows = {"a", "b"};
  Answer.Reply.LogPosition = Position{1, 2};
  Answer.Reply.State = TransactionState::Failed;
  Answer.Unservable = true;
  auto Config = decodeForward(encode(StoredConfig{7, "{}"}));
  CHECK(std::get<StoredConfig>(Config.value()).Revision == 7);
  CHECK(std::get<StoredConfig>(Config.value()).Text == "{}");
  ServersList Known{9, {ServerEntry{}}};
  Known.Servers[0].Id = "i";
  Known.Servers[0].Draining = true;
  Known.Servers[0].ReportedRole = Role::Replica;
  auto Servers = decodeForward(encode(Known));
  CHECK(std::get<ServersList>(Servers.value()).Revision == 9);
  CHECK(std::get<ServersList>(Servers.value()).Servers == Known.Servers);
  auto DecodedRequest = decodeForward(encode(ConfigRequest{}));
  CHECK(std::holds_alternative<ConfigRequest>(DecodedRequest.value()));
  auto A = decodeForward(encode(Answer));
  REQUIRE(A);
  CHECK(std::get<ForwardAnswer>(A.value()).Reply.Rows == Answer.Reply.Rows);
  CHECK(std::get<ForwardAnswer>(A.value()).Reply.Error == ReplyCode::Lagging);
  CHECK(std::get<ForwardAnswer>(A.value()).Unservable);
}

TEST_CASE("malformed messages are rejected with findings") {
  for (const char *Bytes : {"", "x", "\x91\x09", "\x92\x05\xa1x", "\x91\xff"})
    CHECK_FALSE(decodeForward(Bytes));
}

TEST_CASE("a statement runs at the owner and nowhere else") {
  ProxyPair P;
  auto S = P.Entry.open("latest");
  S->submit(write("a"));
  P.run();
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Owner.server("p").count("WRITE a x") == 1);
  CHECK(P.Entry.server("p").count("WRITE a x") == 0);
}

// Guards against stale reads: the owner must learn which commit of the session
// a read must see.
TEST_CASE("reads of a session see its commits through the owner") {
  ProxyPair P;
  auto S = P.Entry.open("session");
  S->submit(write("a"));
  P.run();
  Position Committed = P.Owner.server("p").Log;
  S->submit(read("b"));
  P.advance(200ms);
  CHECK(P.Entry.last().Signature == "sig");
  for (const char *Id : {"r1", "r2"})
    for (const ServerCall &Call : P.Owner.server(Id).Received)
      if (Call.Text == "READ b")
        CHECK(*Call.MinPosition >= Committed);
}

// Guards against a transaction that is spread over connections: all its
// statements run on one connection of the owner.
TEST_CASE("a transaction runs at the owner until its commit") {
  ProxyPair P;
  auto S = transaction(P);
  CHECK(P.OwnerForwarder->servesPeers());
  S->submit(read("b"));
  S->submit(simple(StatementKind::Commit, "COMMIT"));
  P.run();
  CHECK(P.Entry.last().State == TransactionState::None);
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Owner.server("p").count("BEGIN") == 1);
  CHECK(P.Owner.server("p").count("COMMIT") == 1);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
}

TEST_CASE("the transaction of a caller that disconnects is rolled back at the "
          "owner") {
  ProxyPair P;
  transaction(P)->close(SessionEnd::CallerLeft);
  P.run();
  CHECK(P.Owner.server("p").count("ROLLBACK") == 1);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
}

// Guards against a transaction that stays open because the caller disconnects
// just before the answer that opens it.
TEST_CASE("a caller that disconnects during its first statement leaves nothing "
          "open") {
  ProxyPair P;
  auto S = P.Entry.open("latest");
  S->submit(simple(StatementKind::Begin, "BEGIN"));
  S->submit(write("a"));
  P.Network.run();
  P.Owner.run();
  S->close(SessionEnd::CallerLeft);
  P.advance(100ms);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
}

// Guards against a write that runs twice: after the owner has failed, a write
// may have run and is not sent again.
TEST_CASE(
    "with an unresponsive owner no read is lost and no write is repeated") {
  ProxyPair P;
  P.Network.DropsMessages = true;
  P.Entry.open("latest")->submit(read("a"));
  P.Entry.open("latest")->submit(write("w"));
  P.advance(500ms);
  // The read has run here; the owner may still answer the write.
  REQUIRE(P.Entry.Replies.size() == 1);
  CHECK_FALSE(P.Entry.last().Error);
  // Later statements run here until the owner can be reached again.
  P.Entry.open("latest")->submit(write("x"));
  P.run();
  CHECK(P.Entry.last().Signature == "sig");
  P.advance(750ms);
  REQUIRE(P.Entry.Replies.size() == 3);
  CHECK(P.Entry.server("p").count("READ a") == 1);
  CHECK(P.Entry.server("p").count("WRITE w x") == 0);
  CHECK(std::count_if(P.Entry.Replies.begin(), P.Entry.Replies.end(),
                      [](const CallerReply &R) {
                        return R.Error == ReplyCode::Unknown;
                      }) == 1);
  P.Network.DropsMessages = false;
  P.advance(1s);
  P.Entry.open("latest")->submit(write("y"));
  P.run();
  CHECK(P.Owner.server("p").count("WRITE y x") == 1);
}

// Guards against work that is given up although it runs: an owner without
// processor time answers nothing for some tenths of a second.
TEST_CASE("a slow owner loses no write and no transaction") {
  ProxyPair P;
  auto S = transaction(P);
  P.Entry.Replies.clear();
  P.Entry.open("latest")->submit(write("w"));
  S->submit(read("b"));
  P.Network.Paused = true;
  P.advance(800ms);
  CHECK(P.Entry.Replies.empty());
  // New statements do not wait for it.
  P.Entry.open("latest")->submit(write("x"));
  P.run();
  REQUIRE(P.Entry.Replies.size() == 1);
  CHECK(P.Entry.server("p").count("WRITE x x") == 1);
  P.Network.Paused = false;
  P.advance(100ms);
  REQUIRE(P.Entry.Replies.size() == 3);
  for (const CallerReply &R : P.Entry.Replies)
    CHECK(R.Signature == "sig");
  CHECK(P.Owner.server("p").count("WRITE w x") == 1);
  // It is used again as soon as it has answered.
  P.Entry.open("latest")->submit(write("y"));
  S->submit(simple(StatementKind::Commit, "COMMIT"));
  P.run();
  CHECK(P.Owner.server("p").count("WRITE y x") == 1);
  CHECK(P.Owner.server("p").count("COMMIT") == 1);
}

// Guards against reads that run twice in an overload: the owner cancels those
// that were taken back before it runs them.
TEST_CASE("a statement that was taken back is cancelled at the owner") {
  ProxyPair P;
  P.Network.Paused = true;
  P.Entry.open("latest")->submit(read("a"));
  P.advance(400ms);
  REQUIRE(P.Entry.Replies.size() == 1);
  CHECK(P.Entry.server("p").count("READ a") == 1);
  P.Network.Paused = false;
  P.advance(100ms);
  CHECK(P.Entry.Replies.size() == 1);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
}

// Guards against a false ABORTED: this answer promises that nothing is kept,
// which holds because no commit was sent.
TEST_CASE("a transaction whose owner ends is aborted") {
  ProxyPair P;
  auto S = transaction(P);
  P.ServerStreams.back()->close();
  P.run();
  S->submit(read("b"));
  P.run();
  CHECK(P.Entry.last().Error == ReplyCode::Aborted);
  CHECK(P.Owner.server("p").count("COMMIT") == 0);
}

TEST_CASE("the commit of a transaction whose owner ends is unknown") {
  ProxyPair P;
  auto S = transaction(P);
  P.ServerStreams.back()->close();
  P.run();
  S->submit(simple(StatementKind::Commit, "COMMIT"));
  P.run();
  CHECK(P.Entry.last().Error == ReplyCode::Unknown);
}

// Guards against server slots that transactions of a failed proxy occupy.
TEST_CASE("the owner rolls back the transactions of an unresponsive proxy") {
  ProxyPair P;
  transaction(P);
  CHECK(P.OwnerForwarder->servesPeers());
  P.Network.DropsMessages = true;
  P.advance(4s);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
  CHECK(P.Owner.server("p").count("ROLLBACK") == 1);
}

TEST_CASE("a statement that the owner can't run runs here") {
  ProxyPair P;
  P.Owner.SessionEngine->group("s")->dropLease();
  P.Entry.open("latest")->submit(write("a"));
  P.run();
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Entry.server("p").count("WRITE a x") == 1);
}

TEST_CASE("a stopping owner finishes transactions and runs nothing new") {
  ProxyPair P;
  auto S = transaction(P);
  P.OwnerForwarder->leave();
  P.run();
  P.Entry.open("latest")->submit(write("b"));
  P.run();
  CHECK(P.Entry.server("p").count("WRITE b x") == 1);
  S->submit(simple(StatementKind::Commit, "COMMIT"));
  P.run();
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Owner.server("p").count("COMMIT") == 1);
}

// Guards against urgent statements that wait behind others at the server. Load
// pattern: many background reads through many proxies. With a queue at each
// proxy, all reads reach the server, which runs them in order of arrival before
// the urgent work.
TEST_CASE("urgent statements run before background reads of other proxies") {
  ProxyPair P;
  RoutingConfig Config = P.Entry.SessionEngine->config();
  Config.Version = 2;
  for (const char *Name : {"flood", "orders"}) {
    RouteConfig R = Config.Routes["latest"];
    R.Database = Name;
    R.WorkPriority =
        Name == std::string("flood") ? Priority::Background : Priority::Urgent;
    Config.Routes[Name] = R;
  }
  P.Entry.SessionEngine->applyConfig(Config);
  constexpr std::size_t Reads = 40;
  for (std::size_t I = 0; I < Reads; ++I)
    P.Entry.open("flood")->submit(read("f" + std::to_string(I)));
  P.Network.run();
  P.Entry.open("orders")->submit(write("order"));
  P.Network.run();
  P.advance(200ms);
  CHECK(P.Entry.Replies.size() == Reads + 1);
  const auto &Received = P.Owner.server("p").Received;
  auto Order =
      std::find_if(Received.begin(), Received.end(),
                   [](const auto &C) { return C.Text == "WRITE order x"; });
  REQUIRE(Order != Received.end());
  // At most the statements in the slots of the server, and those already sent,
  // run before.
  CHECK(Order - Received.begin() <= 2 * 4);
}

// Failure pattern: a primary that only some proxies can reach.
TEST_CASE(
    "a proxy without a primary lease sends statements to one that has it") {
  ProxyPair P;
  std::vector<ServerEntry> Entries;
  for (const auto &[Id, S] : P.Entry.Servers)
    Entries.push_back(S.Entry);
  // With few proxies no owners are needed.
  for (EngineFixture *Fixture : {&P.Entry, &P.Owner}) {
    Fixture->SessionEngine->setServers(Entries, 1);
    REQUIRE_FALSE(Fixture->SessionEngine->group("s")->usesOwners());
  }
  P.Entry.open("latest")->submit(write("near"));
  P.run();
  CHECK(P.Entry.server("p").count("WRITE near x") == 1);
  P.Entry.SessionEngine->group("s")->dropLease();
  P.Entry.open("latest")->submit(write("far"));
  P.run();
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Owner.server("p").count("WRITE far x") == 1);
}

// Guards against statements that two proxies forward to each other without end.
TEST_CASE("a statement that no proxy can run is refused at once") {
  ProxyPair P;
  P.Entry.SessionEngine->group("s")->dropLease();
  P.Owner.SessionEngine->group("s")->dropLease();
  P.Entry.open("latest")->submit(write("a"));
  P.run();
  CHECK(P.Entry.last().Error == ReplyCode::Busy);
  CHECK(P.Owner.server("p").count("WRITE a x") == 0);
}

// Guards against a promotion that took 12 s. Each refused statement was sent to
// all proxies, and their connections to the replicas kept the promoting proxy
// from querying the positions of the replicas.
TEST_CASE("during a promotion statements wait at the owner only") {
  ProxyPair P;
  auto Publish = [](EngineFixture &Fixture, std::uint64_t Epoch,
                    GroupStage Stage, const char *Primary) {
    Fixture.SessionEngine->group("s")->setPrimaryRecord(
        {"s", Epoch, Stage, Primary});
  };
  Publish(P.Entry, 2, GroupStage::Revoking, "p");
  Publish(P.Owner, 2, GroupStage::Revoking, "p");
  P.advance(TypicalPromotionTime - 500ms);
  std::size_t Before = 0;
  for (const auto &[Id, S] : P.Entry.Servers)
    Before += S.Handshakes;
  P.Entry.open("latest")->submit(read("a"));
  P.advance(300ms);
  CHECK(P.Entry.Replies.empty());
  Publish(P.Owner, 3, GroupStage::Stable, "r1");
  P.Owner.renewLeaseFor(5s);
  P.advance(100ms);
  REQUIRE_FALSE(P.Entry.Replies.empty());
  CHECK_FALSE(P.Entry.last().Error);
  CHECK(P.Owner.server("r1").count("READ a") == 1);
  std::size_t After = 0;
  for (const auto &[Id, S] : P.Entry.Servers)
    After += S.Handshakes;
  CHECK(After == Before);
}

// Guards against a slow promotion while the owner can't be reached: statements
// that waited here are forwarded to the owner later. Otherwise every proxy
// would open connections to the servers for them.
TEST_CASE("waiting statements are forwarded once the owner can run them") {
  ProxyPair P;
  P.Network.DropsMessages = true;
  P.Entry.SessionEngine->group("s")->setPrimaryRecord(
      {"s", 2, GroupStage::Revoking, "p"});
  P.Owner.SessionEngine->group("s")->setPrimaryRecord(
      {"s", 2, GroupStage::Revoking, "p"});
  P.advance(TypicalPromotionTime - 700ms);
  P.Entry.open("latest")->submit(read("a"));
  P.advance(450ms);
  CHECK(P.Entry.Replies.empty());
  P.Network.DropsMessages = false;
  P.advance(200ms);
  for (EngineFixture *Fixture : {&P.Owner, &P.Entry}) {
    Fixture->SessionEngine->group("s")->setPrimaryRecord(
        {"s", 3, GroupStage::Stable, "r1"});
    Fixture->renewLeaseFor(5s);
  }
  P.advance(100ms);
  REQUIRE_FALSE(P.Entry.Replies.empty());
  CHECK_FALSE(P.Entry.last().Error);
  CHECK(P.Owner.server("r1").count("READ a") == 1);
}
