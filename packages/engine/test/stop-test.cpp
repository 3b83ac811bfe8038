// What callers and other proxies are told while a proxy stops.

#include "proxypair.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

const Statement Begin = simple(StatementKind::Begin, "BEGIN");
const Statement Commit = simple(StatementKind::Commit, "COMMIT");
const Statement Rollback = simple(StatementKind::Rollback, "ROLLBACK");

/// Sends \p S to a server that never answers, and stops the proxy.
ReplyCode answerAtEnd(EngineFixture &F, const std::shared_ptr<Session> &Caller,
                      const Statement &S) {
  F.server("p").Unresponsive = true;
  std::size_t Answers = F.Replies.size();
  Caller->submit(S);
  F.run();
  REQUIRE(F.Replies.size() == Answers);
  F.SessionEngine->applyStop(StopPhase::Ending);
  REQUIRE(F.Replies.size() == Answers + 1);
  REQUIRE(F.last().Error);
  return *F.last().Error;
}

} // namespace

// Guards against requests that are cut at the end of a stop, because the proxy
// took them until the end (review case 4).
TEST_CASE("a proxy that is about to end refuses new statements") {
  EngineFixture F;
  auto Caller = F.open("latest");
  F.SessionEngine->applyStop(StopPhase::ClosingIdle);
  Caller->submit(write("a"));
  F.run();
  CHECK_FALSE(F.last().Error);
  CHECK_FALSE(Caller->refusedByStop());
  F.SessionEngine->applyStop(StopPhase::Refusing);
  for (const Statement &S : {read("b"), write("c"), Begin}) {
    Caller->submit(S);
    CHECK(F.last().Error == ReplyCode::Busy);
    CHECK(F.last().State == TransactionState::None);
  }
  F.run();
  CHECK(Caller->refusedByStop());
  CHECK(F.server("p").count("READ b") == 0);
  CHECK(F.server("p").count("WRITE c x") == 0);
  CHECK(F.Counters->text().find("outcome=\"refused\",priority=\"normal\"} 3") !=
        std::string::npos);
}

// Guards against a write that runs alone after its BEGIN was refused with the
// promise that nothing of the operation is kept.
TEST_CASE("nothing that follows a refused statement runs") {
  EngineFixture F;
  auto Caller = F.open("latest");
  Caller->submit(read("x"));
  for (const Statement &S : {Begin, write("a"), Commit})
    Caller->submit(S);
  F.SessionEngine->applyStop(StopPhase::EndingTransactions);
  F.run();
  REQUIRE(F.Replies.size() == 4);
  CHECK_FALSE(F.Replies[0].Error);
  CHECK(F.Replies[1].Error == ReplyCode::Busy);
  CHECK(F.Replies[2].Error == ReplyCode::Busy);
  CHECK(F.Replies[3].Error == ReplyCode::Malformed);
  CHECK(F.server("p").count("WRITE a x") == 0);
}

TEST_CASE("a proxy that ends transactions begins none") {
  EngineFixture F;
  auto Open = F.open("latest");
  Open->submit(Begin);
  Open->submit(write("a"));
  F.run();
  F.SessionEngine->applyStop(StopPhase::EndingTransactions);
  Open->submit(Commit);
  CHECK(F.last().Error == ReplyCode::Aborted);
  auto Late = F.open("latest");
  Late->submit(Begin);
  CHECK(F.last().Error == ReplyCode::Busy);
  Late->submit(read("b"));
  F.run();
  CHECK_FALSE(F.last().Error);
  CHECK(F.server("p").count("COMMIT") == 0);
}

TEST_CASE("at the end each statement gets the answer that is known") {
  EngineFixture F;
  CHECK(answerAtEnd(F, F.open("latest"), read("a")) == ReplyCode::Timeout);
  EngineFixture G;
  CHECK(answerAtEnd(G, G.open("latest"), write("a")) == ReplyCode::Unknown);
}

TEST_CASE("at the end a transaction is rolled back and its commit unknown") {
  EngineFixture F;
  auto Caller = F.open("latest");
  Caller->submit(Begin);
  Caller->submit(write("a"));
  F.run();
  CHECK(answerAtEnd(F, Caller, write("b")) == ReplyCode::Aborted);
  EngineFixture G;
  Caller = G.open("latest");
  Caller->submit(Begin);
  Caller->submit(write("a"));
  G.run();
  CHECK(answerAtEnd(G, Caller, Commit) == ReplyCode::Unknown);
}

// Guards against a write that runs after its caller was told that it did not.
TEST_CASE("a statement that was not sent is refused and never sent") {
  EngineFixture F;
  F.SessionEngine->group("s")->close(); // No connection is left.
  CHECK(answerAtEnd(F, F.open("latest"), write("a")) == ReplyCode::Busy);
  F.server("p").Unresponsive = false;
  F.advance(5s);
  CHECK(F.server("p").count("WRITE a x") == 0);
  CHECK(F.Replies.size() == 1);
}

TEST_CASE("statements that wait behind another one are answered as well") {
  EngineFixture F;
  F.server("p").Unresponsive = true;
  auto Caller = F.open("latest");
  for (const char *Id : {"a", "b", "c"})
    Caller->submit(write(Id));
  F.SessionEngine->applyStop(StopPhase::Ending);
  REQUIRE(F.Replies.size() == 3);
  CHECK(F.Replies[1].Error == ReplyCode::Busy);
  CHECK(F.Replies[2].Error == ReplyCode::Busy);
}

// Guards against commits of other proxies that are cut at the end of a stop:
// their transactions have the same time as those of callers.
TEST_CASE("a stopping owner ends the transactions of other proxies") {
  ProxyPair P;
  auto Caller = P.Entry.open("latest");
  Caller->submit(Begin);
  Caller->submit(write("a"));
  P.run();
  P.OwnerForwarder->leave();
  P.OwnerForwarder->applyStop(StopPhase::ClosingIdle);
  CHECK(P.OwnerForwarder->servesPeers());
  P.OwnerForwarder->applyStop(StopPhase::EndingTransactions);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
  Caller->submit(Commit);
  P.run();
  CHECK(P.Entry.last().Error == ReplyCode::Aborted);
  CHECK(P.Owner.server("p").count("COMMIT") == 0);
}

// Guards against a write that is unknown although it was never sent.
TEST_CASE("a stopping owner returns what it has not sent to a server") {
  ProxyPair P;
  P.Owner.SessionEngine->group("s")->close(); // No connection is left.
  P.Owner.server("p").Unresponsive = true;
  P.Entry.open("latest")->submit(write("a"));
  P.run();
  REQUIRE(P.OwnerForwarder->servesPeers());
  P.OwnerForwarder->leave();
  P.OwnerForwarder->applyStop(StopPhase::Ending);
  P.run();
  REQUIRE(P.Entry.Replies.size() == 1);
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Entry.server("p").count("WRITE a x") == 1);
}

// The entry stops while the owner runs the statements of its callers.
TEST_CASE("at the end forwarded statements are answered as well") {
  ProxyPair P;
  P.Owner.server("p").Unresponsive = true;
  P.Entry.open("latest")->submit(write("a"));
  P.Entry.open("latest")->submit(read("b"));
  P.run();
  REQUIRE(P.Entry.Replies.empty());
  P.Entry.SessionEngine->applyStop(StopPhase::Ending);
  REQUIRE(P.Entry.Replies.size() == 2);
  CHECK(P.Entry.Replies[0].Error == ReplyCode::Unknown);
  CHECK(P.Entry.Replies[1].Error == ReplyCode::Timeout);
  P.run();
  CHECK(P.Entry.Replies.size() == 2);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
}

// Guards against a request without an answer that no log names (incident of
// 2026-12-06).
TEST_CASE("a statement that gets no answer is logged with the reason") {
  ProxyPair P;
  P.Owner.server("p").Unresponsive = true;
  auto Forwarded = P.Entry.open("latest");
  Forwarded->submit(write("a"));
  Forwarded->submit(write("b"));
  P.run();
  P.Entry.Events.take();
  P.Entry.advance(30ms);
  Forwarded->close(SessionEnd::ProxyEnds);
  std::string Lines = P.Entry.Events.take();
  CHECK(Lines.find("\"name\":\"statement-cut\",\"id\":\"a\"") !=
        std::string::npos);
  CHECK(Lines.find("\"reason\":\"proxy-ends\",\"owner\":\"" + P.OwnerId +
                   "\",\"sent\":1,\"after_ms\":30,\"queued\":1") !=
        std::string::npos);
  auto Idle = P.Entry.open("latest");
  Idle->close(SessionEnd::CallerLeft);
  CHECK(P.Entry.Events.take().find("statement-cut") == std::string::npos);
}

TEST_CASE("at the end a forwarded transaction is rolled back at its owner") {
  ProxyPair P;
  auto Caller = P.Entry.open("latest");
  Caller->submit(Begin);
  Caller->submit(write("a"));
  P.run();
  P.Owner.server("p").Unresponsive = true;
  Caller->submit(write("b"));
  P.run();
  P.Entry.SessionEngine->applyStop(StopPhase::Ending);
  CHECK(P.Entry.last().Error == ReplyCode::Aborted);
  P.run();
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
}
