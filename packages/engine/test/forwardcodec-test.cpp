#include "engine/forward.h"
#include "mutation.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Mutations = 5000;

template <class T> T any() { return *rc::gen::arbitrary<T>(); }

/// Any time that a message may hold, in microseconds.
Duration anyAge() {
  return std::chrono::microseconds(
      *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 50));
}

ForwardRequest anyRequest() {
  ForwardRequest M;
  M.Exchange = any<std::uint64_t>();
  M.Kind = *rc::gen::element(JobKind::Autocommit, JobKind::FirstInTransaction,
                             JobKind::InTransaction, JobKind::Commit);
  M.Id = any<std::string>();
  M.Text = any<std::string>();
  M.Session = any<std::uint64_t>();
  M.State.Variables = any<decltype(M.State.Variables)>();
  if (any<bool>())
    M.Prepared = PreparedStatement{any<bool>(), any<std::string>()};
  M.Route.Service = any<std::string>();
  M.Route.StalenessBound = anyAge();
  M.Route.Public = any<bool>();
  M.Write = any<bool>();
  M.Transaction = any<std::uint64_t>();
  M.LastCommit = {{any<std::uint64_t>(), any<std::uint64_t>()}, 5};
  M.Age = anyAge();
  M.OperationAge = anyAge();
  M.FirstTryAge = anyAge();
  M.Customer = any<std::string>();
  M.KeyHash = any<std::uint64_t>();
  M.ConfigVersion = any<std::uint64_t>();
  return M;
}

ForwardAnswer anyAnswer() {
  ForwardAnswer M;
  M.Exchange = any<std::uint64_t>();
  if (any<bool>())
    M.Reply.Error = *rc::gen::element(ReplyCode::Busy, ReplyCode::Other);
  M.Reply.ErrorText = any<std::string>();
  M.Reply.Rows = any<std::vector<std::string>>();
  M.Reply.Signature = any<std::string>();
  M.Reply.State =
      *rc::gen::element(TransactionState::None, TransactionState::Failed);
  M.Transaction = any<std::uint64_t>();
  M.Epoch = any<std::uint64_t>();
  return M;
}

template <class T> T reencoded(const T &Message) {
  auto Decoded = decodeForward(encode(Message));
  RC_ASSERT(static_cast<bool>(Decoded));
  RC_ASSERT(std::holds_alternative<T>(Decoded.value()));
  return std::get<T>(std::move(Decoded).value());
}

ServersList serversList() {
  ServerEntry Entry;
  Entry.Id = "i-1";
  Entry.Service = "s";
  Entry.Address = "10.0.0.1:80";
  return {9, {Entry, Entry}};
}

} // namespace

// Guards against bytes that are changed on the way through another proxy.
TEST_CASE("a request with any bytes survives encoding") {
  CHECK(rc::check([] {
    ForwardRequest M = anyRequest();
    ForwardRequest Out = reencoded(M);
    RC_ASSERT(Out.Exchange == M.Exchange);
    RC_ASSERT(Out.Kind == M.Kind);
    RC_ASSERT(Out.Id == M.Id);
    RC_ASSERT(Out.Text == M.Text);
    RC_ASSERT(Out.Session == M.Session);
    RC_ASSERT(Out.State.Variables == M.State.Variables);
    RC_ASSERT(Out.Prepared == M.Prepared);
    RC_ASSERT(Out.Route == M.Route);
    RC_ASSERT(Out.Write == M.Write);
    RC_ASSERT(Out.Transaction == M.Transaction);
    RC_ASSERT(Out.LastCommit.Committed == M.LastCommit.Committed);
    RC_ASSERT(Out.Age == M.Age);
    RC_ASSERT(Out.OperationAge == M.OperationAge);
    RC_ASSERT(Out.FirstTryAge == M.FirstTryAge);
    RC_ASSERT(Out.Customer == M.Customer);
    RC_ASSERT(Out.KeyHash == M.KeyHash);
    RC_ASSERT(Out.ConfigVersion == M.ConfigVersion);
  }));
}

TEST_CASE("an answer with any bytes survives encoding") {
  CHECK(rc::check([] {
    ForwardAnswer M = anyAnswer();
    ForwardAnswer Out = reencoded(M);
    RC_ASSERT(Out.Exchange == M.Exchange);
    RC_ASSERT(Out.Reply.Error == M.Reply.Error);
    RC_ASSERT(Out.Reply.ErrorText == M.Reply.ErrorText);
    RC_ASSERT(Out.Reply.Rows == M.Reply.Rows);
    RC_ASSERT(Out.Reply.Signature == M.Reply.Signature);
    RC_ASSERT(Out.Reply.State == M.Reply.State);
    RC_ASSERT(Out.Transaction == M.Transaction);
    RC_ASSERT(Out.Epoch == M.Epoch);
  }));
}

// Lengths at which MessagePack changes the format of a text.
TEST_CASE("texts of any length survive encoding") {
  for (std::size_t Length : {0U, 1U, 31U, 32U, 255U, 256U, 65535U, 65536U}) {
    ForwardRequest M;
    M.Text = std::string(Length, '\0');
    M.State.Variables[std::string(Length, '\xff')] = M.Text;
    auto Out = decodeForward(encode(M));
    REQUIRE(Out);
    CHECK(std::get<ForwardRequest>(Out.value()).Text == M.Text);
    CHECK(std::get<ForwardRequest>(Out.value()).State.Variables ==
          M.State.Variables);
  }
}

TEST_CASE("arbitrary bytes do not crash the decoder") {
  CHECK(rc::check([](const std::string &Bytes) {
    (void)decodeForward(Bytes);
    for (char Tag = 0; Tag < 10; ++Tag)
      (void)decodeForward(std::string("\x9c") + Tag + Bytes);
  }));
}

// One message of nested arrays overflowed the stack of the decoder.
TEST_CASE("a message that is nested deep is rejected") {
  constexpr std::size_t Length = std::size_t{4} << 20;
  CHECK_FALSE(decodeForward(std::string(Length, '\x91')));
  CHECK_FALSE(decodeForward(std::string(Length, '\x81')));
}

// Guards against times whose sum with the clock overflows, and against numbers
// that are converted to others.
TEST_CASE("numbers out of range are rejected") {
  for (Duration Age : {Duration::min(), Duration::max()}) {
    ForwardRequest M;
    M.Age = Age;
    CHECK_FALSE(decodeForward(encode(M)));
  }
  // A cancellation with the exchange -1, 1.5 and true.
  for (const char *Bytes :
       {"\x92\x02\xff", "\x92\x02\xca\x3f\xc0", "\x92\x02\xc3"})
    CHECK_FALSE(decodeForward(Bytes));
}

TEST_CASE("changed messages do not crash the decoder") {
  ForwardRequest Request;
  Request.Id = "id";
  Request.Text = "READ a";
  Request.State.Variables = {{"a", "1"}, {"b", "2"}};
  Request.Prepared = PreparedStatement{true, "q"};
  Request.LastCommit = {{3, 400}, 5};
  Request.Age = 12ms;
  ForwardAnswer Answer;
  Answer.Reply.Rows = {"a", std::string(300, 'b')};
  Answer.Reply.LogPosition = Position{1, 70000};
  Answer.Reply.Error = ReplyCode::Lagging;
  test::Random Source(34);
  std::size_t Decoded = 0;
  for (const ForwardMessage &M :
       {ForwardMessage(Request), ForwardMessage(Answer),
        ForwardMessage(serversList()), ForwardMessage(StoredConfig{7, "{}"})}) {
    std::string Bytes = encode(M);
    for (unsigned I = 0; I < Mutations; ++I) {
      auto Out = decodeForward(test::mutated(Bytes, Source));
      if (!Out)
        continue;
      ++Decoded;
      REQUIRE(decodeForward(encode(Out.value())));
    }
  }
  // Most changes hit a text or a number and leave a valid message.
  CHECK(Decoded > Mutations / 10);
}
