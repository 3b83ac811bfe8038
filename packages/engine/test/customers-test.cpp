// Keys of customers, and connections that belong to one of them.

#include "customerfixture.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

TEST_CASE("a session with an unknown key is not opened") {
  EngineFixture F;
  setNorthAndSouth(F);
  CHECK(F.open("latest", "kn") != nullptr);
  CHECK(F.open("latest", "unknown") == nullptr);
  CHECK(F.open("latest") == nullptr);
  SessionOpening Refused = F.SessionEngine->open({"latest", "unknown"}, {});
  CHECK(Refused.Refusal == ReplyCode::NotAuthorized);
  CHECK(F.SessionEngine->open({"other", "kn"}, {}).Refusal ==
        ReplyCode::NoDatabase);
}

TEST_CASE("a public route needs no key") {
  EngineFixture F;
  setNorthAndSouth(F);
  RoutingConfig Config = F.SessionEngine->config();
  ++Config.Version;
  Config.Routes["latest"].Public = true;
  F.SessionEngine->applyConfig(Config);
  auto S = F.open("latest", "unknown");
  REQUIRE(S != nullptr);
  S->submit(read("a"));
  F.advance(100ms);
  CHECK(F.last().Signature == "sig");
}

// Guards against a server that is told another customer than the caller's, and
// against a statement that runs on a connection of another customer.
TEST_CASE("each customer has connections of its own") {
  EngineFixture F;
  setNorthAndSouth(F);
  F.server("p").Dialed.clear();
  F.open("latest", "kn")->submit(read("a"));
  F.advance(100ms);
  F.open("latest", "ks")->submit(read("b"));
  F.advance(100ms);
  F.open("latest", "kn")->submit(read("c"));
  F.advance(100ms);
  CHECK(F.Replies.size() == 3);
  CHECK(F.server("p").Dialed == std::vector<CustomerId>{"north", "south"});
}

// Load: more customers than connections. Guards against a customer that waits
// because all connections belong to others.
TEST_CASE("an idle connection is closed for a customer that has none") {
  EngineFixture F;
  std::vector<CustomerConfig> Customers;
  constexpr int Count = 30;
  Customers.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Customers.push_back(
        {"c" + std::to_string(I), {"k" + std::to_string(I)}, {}});
  setCustomers(F, Customers, 10s);
  for (int Round = 0; Round < 2; ++Round)
    for (int I = 0; I < Count; ++I) {
      F.open("latest", "k" + std::to_string(I))->submit(read("a"));
      F.advance(50ms);
    }
  CHECK(F.Replies.size() == 2 * Count);
  CHECK(std::all_of(F.Replies.begin(), F.Replies.end(),
                    [](const CallerReply &R) { return R.Signature == "sig"; }));
}

// Guards against a caller that goes on after its key has been removed.
TEST_CASE("a session whose key is removed runs no further statement") {
  EngineFixture F;
  setNorthAndSouth(F);
  auto S = F.open("latest", "kn");
  S->submit(read("a"));
  F.advance(100ms);
  setCustomers(F, {{"north", {"other"}, {}}});
  S->submit(read("b"));
  F.advance(100ms);
  CHECK(F.last().Error == ReplyCode::NotAuthorized);
  CHECK(F.server("p").count("READ b") == 0);
  CHECK(F.SessionEngine->sessionCount() == 1);
}

TEST_CASE("a transaction whose key is removed is rolled back") {
  EngineFixture F;
  setNorthAndSouth(F);
  auto S = F.open("latest", "kn");
  S->submit(Begin);
  S->submit(write("a"));
  F.advance(100ms);
  REQUIRE(F.last().Signature == "sig");
  setCustomers(F, {{"south", {"ks"}, {}}});
  SUBCASE("by the next statement") {
    S->submit(write("b"));
    F.advance(100ms);
    CHECK(F.last().Error == ReplyCode::NotAuthorized);
    CHECK(F.last().State == TransactionState::Failed);
    CHECK(F.server("p").count("WRITE b x") == 0);
  }
  SUBCASE("by the commit") {
    S->submit(Commit);
    F.advance(100ms);
    CHECK(F.last().Error == ReplyCode::NotAuthorized);
    CHECK(F.last().State == TransactionState::None);
  }
  CHECK(F.server("p").count("COMMIT") == 0);
  CHECK(F.server("p").count("ROLLBACK") == 1);
}

// Guards against callers that are refused although their key is valid.
TEST_CASE("a key that passes to another customer goes on as that one") {
  EngineFixture F;
  setNorthAndSouth(F);
  auto S = F.open("latest", "kn");
  S->submit(Begin);
  S->submit(write("a"));
  F.advance(100ms);
  setCustomers(F, {{"north", {"x"}, {}}, {"south", {"kn"}, {}}});
  S->submit(write("b"));
  F.advance(100ms);
  CHECK(F.last().Error == ReplyCode::Aborted);
  S->submit(Rollback);
  S->submit(read("c"));
  F.advance(100ms);
  CHECK(F.last().Signature == "sig");
  CHECK(F.server("p").Dialed.back() == "south");
}

// Guards against a statement that waits for a server while the key is removed.
TEST_CASE("a waiting statement is refused when its key is removed") {
  EngineFixture F;
  setNorthAndSouth(F);
  F.server("p").Unresponsive = true;
  F.open("latest", "kn")->submit(read("a"));
  F.advance(20ms);
  CHECK(F.Replies.empty());
  RoutingConfig Config = F.SessionEngine->config();
  ++Config.Version;
  Config.Customers = makeCustomerTable({{"south", {"ks"}, {}}}).value();
  F.SessionEngine->applyConfig(Config);
  REQUIRE(F.Replies.size() == 1);
  CHECK(F.last().Error == ReplyCode::NotAuthorized);
  // The caller must not retry.
  CHECK(F.last().ErrorText.find("retry") == std::string::npos);
}

// Guards against statements that run without a key on a route that needs one.
TEST_CASE("a waiting statement without a customer is checked again") {
  EngineFixture F;
  std::vector<CustomerConfig> Customers = {{"south", {"ks"}, {}}};
  std::string Key = "unknown";
  ReplyCode Expected = ReplyCode::NotAuthorized;
  SUBCASE("when customers are configured for the first time") {}
  SUBCASE("and its caller may try again with a key that is known now") {
    Key = "ks";
    Expected = ReplyCode::Aborted;
  }
  SUBCASE("when its route becomes private") {
    setCustomers(F, Customers, 10s);
    RoutingConfig Config = F.SessionEngine->config();
    ++Config.Version;
    Config.Routes["latest"].Public = true;
    F.SessionEngine->applyConfig(Config);
  }
  F.server("p").Unresponsive = true;
  // More than the server runs at once, so that some of them wait here.
  constexpr unsigned Statements = 20;
  for (unsigned I = 0; I < Statements; ++I)
    F.open("latest", Key)->submit(read("a"));
  F.advance(20ms);
  REQUIRE(F.Replies.empty());
  std::size_t Sent = F.server("p").count("READ a");
  RoutingConfig Config = F.SessionEngine->config();
  ++Config.Version;
  Config.Customers = makeCustomerTable(Customers).value();
  Config.Routes["latest"].Public = false;
  F.SessionEngine->applyConfig(Config);
  CHECK(F.Replies.size() == Statements - Sent);
  CHECK(std::all_of(F.Replies.begin(), F.Replies.end(),
                    [&](const CallerReply &R) { return R.Error == Expected; }));
}

// Guards against a proxy with an old configuration that takes a route for
// public although it has become private.
TEST_CASE("the owner refuses statements without a key on a private route") {
  ProxyPair P;
  for (EngineFixture *F : {&P.Entry, &P.Owner}) {
    setNorthAndSouth(*F);
    RoutingConfig Config = F->SessionEngine->config();
    ++Config.Version;
    Config.Routes["latest"].Public = true;
    F->SessionEngine->applyConfig(Config);
  }
  auto S = P.Entry.open("latest", "unknown");
  S->submit(read("a"));
  P.advance(200ms);
  REQUIRE(P.Entry.last().Signature == "sig");
  REQUIRE(P.Owner.server("p").count("READ a") == 1);
  RoutingConfig Config = P.Owner.SessionEngine->config();
  ++Config.Version;
  Config.Routes["latest"].Public = false;
  P.Owner.SessionEngine->applyConfig(Config);
  S->submit(read("b"));
  P.advance(200ms);
  CHECK(P.Entry.last().Error == ReplyCode::NotAuthorized);
  CHECK(P.Owner.server("p").count("READ b") == 0);
}

// Guards against a proxy with an old configuration whose statements another one
// runs with a key that was removed.
TEST_CASE("the owner refuses a key that its newer configuration lacks") {
  ProxyPair P;
  setNorthAndSouth(P.Entry);
  setNorthAndSouth(P.Owner);
  auto S = P.Entry.open("latest", "kn");
  S->submit(read("a"));
  P.advance(200ms);
  REQUIRE(P.Entry.last().Signature == "sig");
  REQUIRE(P.Owner.server("p").count("READ a") == 1);
  setCustomers(P.Owner, {{"south", {"ks"}, {}}});
  S->submit(read("b"));
  P.advance(200ms);
  CHECK(P.Entry.last().Error == ReplyCode::NotAuthorized);
  CHECK(P.Owner.server("p").count("READ b") == 0);
}

// Guards against a statement that is sent again after its key was removed: a
// server had refused it as overloaded before.
TEST_CASE("a statement is not retried with a key that was removed") {
  EngineFixture F;
  setNorthAndSouth(F);
  ServerReply Busy;
  Busy.Error = ReplyCode::Busy;
  F.server("p").Answers["READ a"] = Busy;
  F.open("latest", "kn")->submit(read("a"));
  F.advance(10ms);
  REQUIRE(F.server("p").count("READ a") != 0);
  REQUIRE(F.Replies.empty());
  setCustomers(F, {{"south", {"ks"}, {}}});
  std::size_t SentBefore = F.server("p").count("READ a");
  F.advance(200ms);
  REQUIRE(F.Replies.size() == 1);
  CHECK(F.last().Error == ReplyCode::NotAuthorized);
  CHECK(F.server("p").count("READ a") == SentBefore);
}

// Guards against a statement that another proxy runs with a removed key: it was
// sent again with the version of a configuration that it was not checked
// against.
TEST_CASE("a statement is not forwarded again with a key that was removed") {
  ProxyPair P;
  setNorthAndSouth(P.Entry);
  setNorthAndSouth(P.Owner);
  auto S = P.Entry.open("latest", "kn");
  S->submit(read("a"));
  P.advance(200ms);
  REQUIRE(P.Entry.last().Signature == "sig");
  P.Network.Paused = true;
  S->submit(read("b"));
  setCustomers(P.Entry, {{"south", {"ks"}, {}}});
  P.Network.Queue.clear();
  P.Network.Paused = false;
  for (const auto &Stream : P.ClientStreams)
    if (!Stream->Closed && Stream->Ended) {
      Stream->Closed = true;
      Stream->Ended();
    }
  P.advance(500ms);
  REQUIRE(P.Entry.Replies.size() == 2);
  CHECK(P.Entry.last().Error == ReplyCode::NotAuthorized);
  CHECK(P.Owner.server("p").count("READ b") == 0);
  CHECK(P.Entry.server("p").count("READ b") == 0);
}

// Guards against a caller that is refused because the owner has not yet read
// the configuration with its new key.
TEST_CASE("a waiting statement was checked against a newer configuration") {
  ProxyPair P;
  std::vector<CustomerConfig> Old = {{"south", {"ks"}, {}}};
  setCustomers(P.Owner, Old, 10s);
  setCustomers(P.Entry, Old);
  setCustomers(P.Entry, Old);
  setCustomers(P.Entry, {{"north", {"kn"}, {}}, {"south", {"ks"}, {}}}, 10s);
  P.advance(1s);
  P.Owner.server("p").Unresponsive = true;
  P.Entry.open("latest", "kn")->submit(read("a"));
  P.advance(20ms);
  setCustomers(P.Owner, Old);
  P.advance(20ms);
  CHECK(P.Entry.Replies.empty());
}

// Guards against a transaction that goes on without a key after its route has
// become private.
TEST_CASE("a route that becomes private ends transactions without a key") {
  EngineFixture F;
  setNorthAndSouth(F);
  RoutingConfig Config = F.SessionEngine->config();
  ++Config.Version;
  Config.Routes["latest"].Public = true;
  F.SessionEngine->applyConfig(Config);
  auto S = F.open("latest", "unknown");
  S->submit(Begin);
  S->submit(write("a"));
  F.advance(100ms);
  REQUIRE(F.last().Signature == "sig");
  ++Config.Version;
  Config.Routes["latest"].Public = false;
  F.SessionEngine->applyConfig(Config);
  SUBCASE("by the next statement") { S->submit(write("b")); }
  SUBCASE("by the commit") { S->submit(Commit); }
  F.advance(100ms);
  CHECK(F.last().Error == ReplyCode::NotAuthorized);
  CHECK(F.server("p").count("WRITE b x") == 0);
  CHECK(F.server("p").count("COMMIT") == 0);
  CHECK(F.server("p").count("ROLLBACK") == 1);
}

// Load: one customer that fills the queue. Guards against another that waits
// behind it, and against server time that is not counted.
TEST_CASE("a customer that has used more server time waits behind another") {
  EngineFixture F;
  ServerEntry Only = F.server("p").Entry;
  Only.Slots = 1;
  F.SessionEngine->setServers({Only}, 1);
  setNorthAndSouth(F);
  F.open("latest", "kn")->submit(read("warm"));
  F.advance(100ms);
  F.open("latest", "ks")->submit(read("warm"));
  F.advance(100ms);
  REQUIRE(F.Replies.size() == 2);
  F.open("latest", "kn")->submit(read("n0"));
  F.open("latest", "kn")->submit(read("n1"));
  F.open("latest", "kn")->submit(read("n2"));
  F.Now += 10ms;
  F.open("latest", "ks")->submit(read("s1"));
  F.Now += 20ms;
  F.server("p").Received.clear();
  F.run();
  std::vector<std::string> Order;
  for (const ServerCall &Call : F.server("p").Received)
    if (Call.Command == ServerCommand::Statement)
      Order.push_back(Call.Id);
  CHECK(Order == std::vector<std::string>{"s1", "n1", "n2"});
}
