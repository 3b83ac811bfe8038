/// \file
/// Answers to unusual requests on a fleet of real processes: texts that are not
/// UTF-8, request ids used twice, and large statements and results.

#include "client.h"
#include "fleet.h"
#include <doctest/doctest.h>
#include <fstream>
#include <future>

using namespace eelgrassloom;
using namespace eelgrassloom::fleet;
using namespace std::chrono_literals;
using namespace eelgrassloom::caller::v1;

namespace {

constexpr std::size_t MiB = std::size_t{1} << 20;
/// Two items of this size exceed the largest result. Larger ones only keep the
/// simulated database busy, which copies whole values under its mutex.
constexpr std::size_t HalfResult = 2 * MiB + MiB / 8;

/// Three proxies, each in the failure domain of one upstream of db1, so that
/// two of three forward a write to the owner of the primary.
Topology threeProxies() {
  Topology T;
  T.Config = makeConfiguration({"d1", "d2", "d3"}, 1, 5);
  T.Proxies = {{"p1", "d1"}, {"p2", "d2"}, {"p3", "d3"}};
  T.Relay = false;
  return T;
}

/// A write that the simulated database rejects with \p Message.
RunRequest failing(const std::string &Message) {
  standin::v1::Statement S;
  S.set_key("k");
  S.set_fail(Message);
  return request("db1", "urgent", S);
}

std::string describe(const RunAnswer &A) {
  return Outcome_Name(A.outcome()) + " " + Reason_Name(A.reason()) + " " +
         A.message().substr(0, 200);
}

void expect(const RunAnswer &A, Outcome O, Reason R) {
  CAPTURE(describe(A));
  CHECK(A.outcome() == O);
  CHECK(A.reason() == R);
}

/// Runs a request on a channel with the default limits of gRPC.
RunAnswer runWithDefaultLimits(Fleet &F, const std::string &Proxy,
                               const RunRequest &Request) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  auto Stub = caller::v1::Caller::NewStub(grpc::CreateCustomChannel(
      F.proxyAddress(Proxy), grpc::InsecureChannelCredentials(), Arguments));
  grpc::ClientContext Context;
  RunAnswer Answer;
  grpc::Status S = Stub->Run(&Context, Request, &Answer);
  CHECK_MESSAGE(S.ok(), S.error_message());
  return Answer;
}

} // namespace

// Guards against an error text of a database that ends a connection or is
// answered as unknown, because a protobuf string rejects what is not UTF-8.
TEST_CASE("an error text that is not UTF-8 reaches the caller unchanged") {
  Fleet F(threeProxies());
  REQUIRE(F.awaitServing(10s));
  const std::string Text("no \xff\xfe table\n\0 x", 15);
  for (const char *Proxy : {"p1", "p2", "p3"}) {
    CallerSession Session(F.proxyAddress(Proxy));
    for (int N = 0; N < 5; ++N) {
      RunAnswer A = Session.run(failing(Text));
      expect(A, OUTCOME_FAILED, REASON_DATABASE_ERROR);
      CHECK(A.message() == Text);
    }
  }
}

// Guards against a gRPC error in place of an answer for a request id that is
// not UTF-8, against a proxy whose timeline can't be read any more because of
// it, and against a forged line in the log.
TEST_CASE("a request id may have any bytes") {
  Fleet F(threeProxies());
  REQUIRE(F.awaitServing(10s));
  const std::string Id = "\xff\nE1 started: forged";
  CallerSession Session(F.proxyAddress("p1"));
  RunRequest Write = request("db1", "urgent", put("k", "v"));
  Write.set_request_id(Id);
  RunAnswer A = Session.run(Write);
  expect(A, OUTCOME_OK, REASON_NONE);
  CHECK(A.request_id() == Id);
  const std::string Token = Session.Token;
  Write.set_issued_at_ms(1);
  expect(Session.run(Write), OUTCOME_UNKNOWN, REASON_ID_EXPIRED);
  CHECK(Session.Token == Token);
  operators::v1::TimelineRequest Request;
  Request.set_request_id(Id);
  using Operator = operators::v1::Operator;
  auto Timeline = F.call<Operator>("p2", &Operator::Stub::Timeline, Request);
  CHECK(Timeline.unreachable_size() == 0);
  REQUIRE(Timeline.events_size() > 0);
  CHECK(Timeline.events(0).request_id() ==
        "\\xff\\nE1\\x20started:\\x20forged");
  std::ifstream Log(F.directory() + "/p1.log");
  unsigned Forged = 0;
  for (std::string Line; std::getline(Log, Line);)
    Forged += Line.rfind("E1 started", 0) == 0 ? 1 : 0;
  CHECK(Forged == 0);
}

// Guards against a caller who gets the answer of another caller, and whose own
// write is dropped, because both use the same request id.
TEST_CASE("a request id of another statement is an error, not its answer") {
  Fleet F(threeProxies());
  REQUIRE(F.awaitServing(10s));
  CallerSession One(F.proxyAddress("p1"));
  CallerSession Two(F.proxyAddress("p2"));
  RunRequest First = request("db1", "urgent", put("mine", "secret"));
  RunAnswer FirstAnswer = One.run(First);
  REQUIRE(FirstAnswer.outcome() == OUTCOME_OK);
  RunRequest Other = request("db1", "urgent", put("other", "x"));
  Other.set_request_id(First.request_id());
  Other.set_issued_at_ms(First.issued_at_ms());
  RunAnswer A = Two.run(Other);
  expect(A, OUTCOME_FAILED, REASON_REQUEST_ID_REUSED);
  CHECK(A.result().empty());
  // The same statement that another caller issued at another time.
  Other = First;
  Other.set_issued_at_ms(First.issued_at_ms() + 1);
  expect(Two.run(Other), OUTCOME_FAILED, REASON_REQUEST_ID_REUSED);
  // A transaction of another caller.
  RunAnswer Begun = Two.run(step("db1", "urgent", STEP_BEGIN));
  expect(Begun, OUTCOME_OK, REASON_NONE);
  REQUIRE(Begun.outcome() == OUTCOME_OK);
  RunRequest InTransaction = request("db1", "urgent", put("other", "y"));
  InTransaction.set_transaction(Begun.transaction());
  REQUIRE(Two.run(InTransaction).outcome() == OUTCOME_OK);
  RunRequest Commit = step("db1", "urgent", STEP_COMMIT, Begun.transaction());
  Commit.set_request_id(First.request_id());
  Commit.set_issued_at_ms(First.issued_at_ms() + 1);
  expect(Two.run(Commit), OUTCOME_FAILED, REASON_REQUEST_ID_REUSED);
  CHECK(valueOf(Two.run(request("db1", "urgent", get("other"))).result())
            .data()
            .empty());
  // A retry gets the recorded answer, also at another proxy.
  RunAnswer Retry = Two.run(First);
  expect(Retry, OUTCOME_OK, REASON_NONE);
  CHECK(Retry.recorded());
  CHECK(Retry.result() == FirstAnswer.result());
}

// Guards against a gRPC error, which means an unknown outcome, in place of an
// answer, and against a large message that ends the work of other callers.
TEST_CASE("statements and results that are too large get a clear answer") {
  Fleet F(threeProxies());
  REQUIRE(F.awaitServing(10s));
  std::atomic<bool> Stop = false;
  auto Others = std::async(std::launch::async, [&] {
    CallerSession Session(F.proxyAddress("p2"));
    unsigned Failed = 0;
    while (!Stop)
      Failed +=
          Session.run(request("db1", "urgent", append("n", "x"))).outcome() ==
                  OUTCOME_OK
              ? 0
              : 1;
    return Failed;
  });
  auto Large = [](const char *Key, std::size_t Bytes) {
    RunRequest R =
        request("db1", "urgent", append(Key, std::string(Bytes, 'x')));
    R.set_deadline_ms(10000);
    return R;
  };
  for (const char *Proxy : {"p1", "p2", "p3"}) {
    std::string Key = std::string("large-") + Proxy;
    // The answer to the second append has both items.
    expect(runWithDefaultLimits(F, Proxy, Large(Key.c_str(), HalfResult)),
           OUTCOME_OK, REASON_NONE);
    expect(runWithDefaultLimits(F, Proxy, Large(Key.c_str(), HalfResult)),
           OUTCOME_UNKNOWN, REASON_TOO_LARGE);
    RunRequest Read = request("db1", "urgent", get(Key));
    Read.set_deadline_ms(10000);
    expect(runWithDefaultLimits(F, Proxy, Read), OUTCOME_FAILED,
           REASON_TOO_LARGE);
    // Sizes around the default limit of gRPC, which counts the whole message.
    for (std::size_t Bytes : {4 * MiB - 300, 4 * MiB - 100, 4 * MiB, 6 * MiB})
      expect(runWithDefaultLimits(F, Proxy, Large("k", Bytes)),
             OUTCOME_REFUSED_NOT_RUN, REASON_TOO_LARGE);
  }
  Stop = true;
  CHECK(Others.get() == 0);
}
