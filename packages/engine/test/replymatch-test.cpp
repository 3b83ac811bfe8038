#include "engine/replymatch.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};

ServerCall statement(const std::string &Text) { return {"i", Text, {}}; }

ServerReply success(const std::string &Signature,
                    TransactionState State = TransactionState::None) {
  ServerReply R;
  R.Signature = Signature;
  R.State = State;
  R.LogPosition = Position{1, 1};
  return R;
}

ReplyHistory opened() {
  ServerReply Opening = success("");
  Opening.Result = false;
  return startHistory(Opening, Start);
}

ReplyMatch match(ReplyHistory &H, const ServerCall *Request,
                 const ServerReply &Reply, Duration After = 0s) {
  return matchReply(H, Request, Reply, Start + After);
}

} // namespace

// Guards against a caller that gets the answer to the statement before.
TEST_CASE(
    "an answer that comes again is not the answer to the next statement") {
  ReplyHistory H = opened();
  ServerCall First = statement("READ a");
  ServerCall Second = statement("READ b");
  CHECK(match(H, &First, success("s1")) == ReplyMatch::Answer);
  CHECK(match(H, &Second, success("s1")) == ReplyMatch::Repeated);
  CHECK(match(H, &Second, success("s2")) == ReplyMatch::Answer);
  CHECK(match(H, nullptr, success("s1")) == ReplyMatch::Repeated);
  CHECK(match(H, nullptr, success("s3")) == ReplyMatch::Unrequested);
}

TEST_CASE("an answer that comes again is recognized for ten seconds") {
  ReplyHistory H = opened();
  ServerCall Call = statement("READ a");
  constexpr Duration Interval = 1ms;
  for (int I = 0; I < 100000; ++I)
    REQUIRE(match(H, &Call, success("s" + std::to_string(I)), Interval * I) ==
            ReplyMatch::Answer);
  for (int Age : {1, 1000, 9999})
    CHECK(match(H, &Call, success("s" + std::to_string(99999 - Age)), 100s) ==
          ReplyMatch::Repeated);
  CHECK(H.Recent.size() + H.Older.size() <=
        static_cast<std::size_t>(2 * ReplyMemory / Interval + 2));
}

// Guards against a statement that seems to have run in a transaction that the
// server does not know.
TEST_CASE("a statement of a transaction leaves it open") {
  ReplyHistory H = opened();
  ServerCall Begin = makeCall(ServerCommand::Begin);
  ServerCall Write = statement("WRITE a x");
  ServerCall Commit = statement("COMMIT");
  CHECK(match(H, &Begin, success("", TransactionState::Open)) ==
        ReplyMatch::Answer);
  CHECK(match(H, &Write, success("s1", TransactionState::Open)) ==
        ReplyMatch::Answer);
  CHECK(match(H, &Write, success("s2")) == ReplyMatch::Impossible);
  ServerCall Execute = Commit;
  Execute.Command = ServerCommand::Execute;
  CHECK(match(H, &Execute, success("s2")) == ReplyMatch::Impossible);
  CHECK(match(H, &Commit, success("s3")) == ReplyMatch::Answer);
}

// Guards against a read that is answered with a success that no server signed.
TEST_CASE("a statement of a caller needs a signature") {
  ReplyHistory H = opened();
  ServerCall Read = statement("READ a");
  CHECK(match(H, &Read, success("")) == ReplyMatch::Unsigned);
}

// Guards against the second answer to a SET or BEGIN that ends the statement
// behind it.
TEST_CASE("the second answer to a setup is found by the next statement") {
  ReplyHistory H = opened();
  ServerCall Setup = makeCall(ServerCommand::Setup);
  ServerCall Read = statement("READ a");
  CHECK(match(H, &Setup, success("")) == ReplyMatch::Answer);
  CHECK(match(H, &Read, success("")) == ReplyMatch::Repeated);
  CHECK(match(H, &Read, success("s1")) == ReplyMatch::Answer);
  CHECK(match(H, nullptr, success("")) == ReplyMatch::Repeated);
}

// Guards against a statement that runs outside of the transaction that a
// repeated answer seemed to begin.
TEST_CASE("an answer to BEGIN tells that a transaction is open") {
  ReplyHistory H = opened();
  ServerCall Setup = makeCall(ServerCommand::Setup);
  ServerCall Begin = makeCall(ServerCommand::Begin);
  ServerCall RollBack = makeCall(ServerCommand::RollBack);
  CHECK(match(H, &Setup, success("")) == ReplyMatch::Answer);
  CHECK(match(H, &Begin, success("")) == ReplyMatch::Repeated);
  CHECK(match(H, &Begin, success("", TransactionState::Open)) ==
        ReplyMatch::Answer);
  CHECK(match(H, &Setup, success("")) == ReplyMatch::Repeated);
  CHECK(match(H, &Setup, success("", TransactionState::Open)) ==
        ReplyMatch::Answer);
  CHECK(match(H, &RollBack, success("", TransactionState::Open)) ==
        ReplyMatch::Repeated);
  CHECK(match(H, &RollBack, success("")) == ReplyMatch::Answer);
  CHECK(match(H, &Begin, success("", TransactionState::Failed)) ==
        ReplyMatch::Impossible);
}

TEST_CASE("a request of the proxy gets no signed answer and no rows") {
  ReplyHistory H = opened();
  ServerCall Setup = makeCall(ServerCommand::Setup);
  CHECK(match(H, &Setup, success("s1")) == ReplyMatch::Impossible);
  ServerReply Row = success("");
  Row.Rows = {"primary 1 1.1"};
  CHECK(match(H, &Setup, Row) == ReplyMatch::Impossible);
  ServerCall Status = makeCall(ServerCommand::Status);
  CHECK(match(H, &Status, success("")) == ReplyMatch::Impossible);
  CHECK(match(H, &Status, Row) == ReplyMatch::Answer);
  CHECK(match(H, &Status, Row) == ReplyMatch::Ambiguous);
}

TEST_CASE("the answer to the opening of a connection answers no request") {
  ReplyHistory H = opened();
  ServerReply Opening = success("");
  Opening.Result = false;
  ServerCall Setup = makeCall(ServerCommand::Setup);
  CHECK(match(H, &Setup, Opening) == ReplyMatch::Repeated);
  CHECK(match(H, nullptr, Opening) == ReplyMatch::Repeated);
  Opening.LogPosition = Position{9, 9};
  CHECK(match(H, &Setup, Opening) == ReplyMatch::Unrequested);
}

TEST_CASE("an error answers any request") {
  ReplyHistory H = opened();
  ServerReply Error;
  Error.Error = ReplyCode::Busy;
  ServerCall Read = statement("READ a");
  CHECK(match(H, &Read, Error) == ReplyMatch::Answer);
  CHECK(match(H, nullptr, Error) == ReplyMatch::Unrequested);
}
