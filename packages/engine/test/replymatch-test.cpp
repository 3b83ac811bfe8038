#include "engine/replymatch.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

namespace {

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
  return startHistory(Opening);
}

} // namespace

// Guards against a caller that gets the answer to the statement before.
TEST_CASE(
    "an answer that comes again is not the answer to the next statement") {
  ReplyHistory H = opened();
  ServerCall First = statement("READ a");
  ServerCall Second = statement("READ b");
  CHECK(matchReply(H, &First, success("s1")) == ReplyMatch::Answer);
  CHECK(matchReply(H, &Second, success("s1")) == ReplyMatch::Repeated);
  CHECK(matchReply(H, &Second, success("s2")) == ReplyMatch::Answer);
  CHECK(matchReply(H, nullptr, success("s1")) == ReplyMatch::Repeated);
  CHECK(matchReply(H, nullptr, success("s3")) == ReplyMatch::Unrequested);
}

TEST_CASE(
    "the answer to an earlier statement is recognized after many others") {
  ReplyHistory H = opened();
  ServerCall Call = statement("READ a");
  for (std::size_t I = 0; I < 10 * MaxRememberedReplies; ++I)
    CHECK(matchReply(H, &Call, success("s" + std::to_string(I))) ==
          ReplyMatch::Answer);
  std::size_t Oldest = 9 * MaxRememberedReplies;
  CHECK(matchReply(H, &Call, success("s" + std::to_string(Oldest))) ==
        ReplyMatch::Repeated);
  CHECK(H.Seen.size() == MaxRememberedReplies);
}

// Guards against a read that is answered with a success that no server signed.
TEST_CASE("a statement of a caller needs a signature") {
  ReplyHistory H = opened();
  ServerCall Read = statement("READ a");
  CHECK(matchReply(H, &Read, success("")) == ReplyMatch::Unsigned);
}

// Guards against the second answer to a SET or BEGIN that ends the statement
// behind it.
TEST_CASE("the second answer to a setup is found by the next statement") {
  ReplyHistory H = opened();
  ServerCall Setup = makeCall(ServerCommand::Setup);
  ServerCall Read = statement("READ a");
  CHECK(matchReply(H, &Setup, success("")) == ReplyMatch::Answer);
  CHECK(matchReply(H, &Read, success("")) == ReplyMatch::Repeated);
  CHECK(matchReply(H, &Read, success("s1")) == ReplyMatch::Answer);
  CHECK(matchReply(H, nullptr, success("")) == ReplyMatch::Repeated);
}

// Guards against a statement that runs outside of the transaction that a
// repeated answer seemed to begin.
TEST_CASE("an answer to BEGIN tells that a transaction is open") {
  ReplyHistory H = opened();
  ServerCall Setup = makeCall(ServerCommand::Setup);
  ServerCall Begin = makeCall(ServerCommand::Begin);
  ServerCall RollBack = makeCall(ServerCommand::RollBack);
  CHECK(matchReply(H, &Setup, success("")) == ReplyMatch::Answer);
  CHECK(matchReply(H, &Begin, success("")) == ReplyMatch::Repeated);
  CHECK(matchReply(H, &Begin, success("", TransactionState::Open)) ==
        ReplyMatch::Answer);
  CHECK(matchReply(H, &Setup, success("")) == ReplyMatch::Repeated);
  CHECK(matchReply(H, &Setup, success("", TransactionState::Open)) ==
        ReplyMatch::Answer);
  CHECK(matchReply(H, &RollBack, success("", TransactionState::Open)) ==
        ReplyMatch::Repeated);
  CHECK(matchReply(H, &RollBack, success("")) == ReplyMatch::Answer);
  CHECK(matchReply(H, &Begin, success("", TransactionState::Failed)) ==
        ReplyMatch::Impossible);
}

TEST_CASE("a request of the proxy gets no signed answer and no rows") {
  ReplyHistory H = opened();
  ServerCall Setup = makeCall(ServerCommand::Setup);
  CHECK(matchReply(H, &Setup, success("s1")) == ReplyMatch::Impossible);
  ServerReply Row = success("");
  Row.Rows = {"primary 1 1.1"};
  CHECK(matchReply(H, &Setup, Row) == ReplyMatch::Impossible);
  ServerCall Status = makeCall(ServerCommand::Status);
  CHECK(matchReply(H, &Status, success("")) == ReplyMatch::Impossible);
  CHECK(matchReply(H, &Status, Row) == ReplyMatch::Answer);
  CHECK(matchReply(H, &Status, Row) == ReplyMatch::Ambiguous);
}

TEST_CASE("the answer to the opening of a connection answers no request") {
  ReplyHistory H = opened();
  ServerReply Opening = success("");
  Opening.Result = false;
  ServerCall Setup = makeCall(ServerCommand::Setup);
  CHECK(matchReply(H, &Setup, Opening) == ReplyMatch::Repeated);
  CHECK(matchReply(H, nullptr, Opening) == ReplyMatch::Repeated);
  Opening.LogPosition = Position{9, 9};
  CHECK(matchReply(H, &Setup, Opening) == ReplyMatch::Unrequested);
}

TEST_CASE("an error answers any request") {
  ReplyHistory H = opened();
  ServerReply Error;
  Error.Error = ReplyCode::Busy;
  ServerCall Read = statement("READ a");
  CHECK(matchReply(H, &Read, Error) == ReplyMatch::Answer);
  CHECK(matchReply(H, nullptr, Error) == ReplyMatch::Unrequested);
}
