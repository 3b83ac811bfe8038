#include "engine/forward.h"
#include "proxypair.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MiB = std::size_t{1} << 20;

/// Lets the owner's primary answer READ a with \p Count rows of \p Length.
void setRows(ProxyPair &P, std::size_t Count, std::size_t Length) {
  ServerReply Reply;
  Reply.Signature = "sig";
  Reply.Rows.assign(Count, std::string(Length, 'x'));
  P.Owner.server("p").Answers["READ a"] = std::move(Reply);
}

} // namespace

// Guards against answers and statements that end the stream, and with it the
// statements of all other callers on it.
TEST_CASE("the longest answers and statements fit into a message") {
  ForwardAnswer Answer;
  Answer.Reply.Rows.assign(16 * MiB, "x");
  CHECK(encode(Answer).size() <= MaxForwardBytes);
  ForwardRequest Request;
  Request.Text.assign(MiB, 'x');
  Request.Prepared = PreparedStatement{true, std::string(MiB, 'x')};
  for (std::size_t I = 0; I < 2 * MiB; ++I)
    Request.State.Variables[std::to_string(I)] = "x";
  CHECK(encode(Request).size() <= MaxForwardBytes);
}

TEST_CASE("an answer of 16 MiB is forwarded") {
  ProxyPair P;
  setRows(P, 16, MiB);
  P.Entry.open("latest")->submit(read("a"));
  P.run();
  REQUIRE(P.Entry.Replies.size() == 1);
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Entry.last().Rows ==
        std::vector<std::string>(16, std::string(MiB, 'x')));
}

TEST_CASE("an answer that is too long is an error and the stream lives") {
  ProxyPair P;
  setRows(P, 40, MiB);
  auto S = P.Entry.open("latest");
  S->submit(read("a"));
  P.run();
  REQUIRE(P.Entry.Replies.size() == 1);
  CHECK(P.Entry.last().Error == ReplyCode::Failed);
  CHECK(P.Entry.last().Rows.empty());
  CHECK(P.Network.LongestMessage <= MaxForwardBytes);
  S->submit(write("w"));
  P.run();
  CHECK(P.Owner.server("p").count("WRITE w x") == 1);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
}

// The rest of the transaction is refused, and nothing of it is kept.
TEST_CASE("a long answer fails a transaction, which can be rolled back") {
  ProxyPair P;
  setRows(P, 40, MiB);
  auto S = P.Entry.open("latest");
  S->submit(simple(StatementKind::Begin, "BEGIN"));
  S->submit(read("a"));
  P.run();
  CHECK(P.Entry.last().Error == ReplyCode::Failed);
  CHECK(P.Entry.last().State == TransactionState::Failed);
  S->submit(simple(StatementKind::Rollback, "ROLLBACK"));
  P.run();
  CHECK(P.Entry.last().State == TransactionState::None);
  CHECK(P.Owner.server("p").count("ROLLBACK") == 1);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
}

TEST_CASE("a statement that is too long to be forwarded runs here") {
  ProxyPair P;
  std::string Long(40 * MiB, 'x');
  P.Entry.open("latest")->submit(write(Long));
  P.run();
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Entry.server("p").count("WRITE " + Long + " x") == 1);
  CHECK(P.Network.LongestMessage <= MaxForwardBytes);
}

TEST_CASE("a statement that is too long aborts a transaction of the owner") {
  ProxyPair P;
  auto S = P.Entry.open("latest");
  S->submit(simple(StatementKind::Begin, "BEGIN"));
  S->submit(write("a"));
  P.run();
  S->submit(write(std::string(40 * MiB, 'x')));
  P.run();
  CHECK(P.Entry.last().Error == ReplyCode::Aborted);
  CHECK(P.Network.LongestMessage <= MaxForwardBytes);
  CHECK(P.Owner.server("p").count("ROLLBACK") == 1);
  CHECK_FALSE(P.OwnerForwarder->servesPeers());
  S->submit(simple(StatementKind::Rollback, "ROLLBACK"));
  P.Entry.open("latest")->submit(write("b"));
  P.run();
  CHECK(P.Owner.server("p").count("WRITE b x") == 1);
}

// Guards against a connection that is given up as silent while a long answer
// arrives on it: the answer to the ping waits behind it.
TEST_CASE("a connection on which bytes arrive is not silent") {
  ProxyPair P;
  RoutingConfig Config = P.Entry.SessionEngine->config();
  Config.Version = 2;
  Config.Routes["latest"].StatementTimeout = 5s;
  P.Entry.SessionEngine->applyConfig(Config);
  P.Entry.open("latest")->submit(write("w"));
  P.Network.run();
  P.Network.Paused = true;
  P.Network.BytesArrive = true;
  P.advance(800ms);
  P.Network.BytesArrive = false;
  P.advance(800ms);
  P.Network.Paused = false;
  P.advance(100ms);
  REQUIRE(P.Entry.Replies.size() == 1);
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Owner.server("p").count("WRITE w x") == 1);
}
