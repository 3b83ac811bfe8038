#include "proxypair.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// Two proxies, each the owner of the service in its failure domain, and more
/// customers than connections.
struct TwoDomains : ProxyPair {
  TwoDomains() {
    std::vector<CustomerConfig> Customers;
    constexpr unsigned SmallCustomers = 40;
    for (unsigned I = 0; I < SmallCustomers; ++I)
      Customers.push_back({"c" + std::to_string(I),
                           {"c" + std::to_string(I)},
                           OperationLimit{1, 10}});
    Customers.push_back({"large", {"large"}, OperationLimit{400, 400}});
    Table = makeCustomerTable(std::move(Customers)).value();
    for (EngineFixture *F : {&Entry, &Owner}) {
      RoutingConfig Config = F->SessionEngine->config();
      ++Config.Version;
      Config.Customers = Table;
      F->SessionEngine->applyConfig(Config);
      F->SessionEngine->setPeers(
          {{EntryId, "10.0.0.1:1", "zone"}, {OwnerId, "10.0.0.2:1", "other"}});
      F->renewLeaseFor(60s);
    }
    advance(500ms);
  }

  /// A small customer whose home domain this is.
  CustomerId customerAt(std::string_view Domain) const {
    const std::set<std::string> Domains = {"zone", "other"};
    unsigned Connections = customerConnectionShare(
        Entry.SessionEngine->config().Services.at("s").ConnectionCap, 2);
    for (const auto &Customer : Table.ByName)
      if (homeDomain(Table, Customer.first, "s", {Domains, Connections}) ==
          Domain)
        return Customer.first;
    return {};
  }

  CustomerTable Table;
};

} // namespace

// Load: more customers than connections. Guards against owners that all open
// connections for all customers.
TEST_CASE("the owner in the home domain runs the statements of a customer") {
  TwoDomains P;
  P.Entry.open("latest", P.customerAt("other"))->submit(read("a"));
  P.advance(200ms);
  REQUIRE(P.Entry.Replies.size() == 1);
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Owner.server("p").count("READ a") == 1);
  P.Entry.open("latest", P.customerAt("zone"))->submit(read("b"));
  P.Entry.open("latest", "large")->submit(read("c"));
  P.advance(200ms);
  CHECK(P.Entry.Replies.size() == 3);
  CHECK(P.Entry.server("p").count("READ b") == 1);
  CHECK(P.Entry.server("p").count("READ c") == 1);
}

// Guards against callers that depend on another failure domain.
TEST_CASE("a customer is served here while its home domain is cut off") {
  TwoDomains P;
  auto S = P.Entry.open("latest", P.customerAt("other"));
  S->submit(read("a"));
  P.advance(200ms);
  REQUIRE(P.Owner.server("p").count("READ a") == 1);
  P.Network.DropsMessages = true;
  S->submit(read("b"));
  P.advance(600ms);
  REQUIRE(P.Entry.Replies.size() == 2);
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Entry.server("p").count("READ b") == 1);
  S->submit(read("c"));
  P.advance(60ms);
  CHECK(P.Entry.Replies.size() == 3);
}

// Guards against a refusal or a detour by fallback proxies although the owner
// of this failure domain reaches the primary.
TEST_CASE("a statement that its home domain can't run runs here") {
  TwoDomains P;
  P.Owner.SessionEngine->group("s")->dropLease();
  P.Owner.advance(1s);
  P.Entry.open("latest", P.customerAt("other"))->submit(read("a"));
  P.advance(200ms);
  REQUIRE(P.Entry.Replies.size() == 1);
  CHECK(P.Entry.last().Signature == "sig");
  CHECK(P.Owner.server("p").count("READ a") == 0);
  CHECK(P.Entry.server("p").count("READ a") == 1);
}

// Guards against handshakes between proxies before each statement of a customer
// that seldom sends one.
TEST_CASE("connections to owners in other failure domains are kept") {
  TwoDomains P;
  auto S = P.Entry.open("latest", P.customerAt("other"));
  S->submit(read("a"));
  P.advance(200ms);
  std::size_t Dialed = P.ClientStreams.size();
  P.advance(10s);
  for (EngineFixture *F : {&P.Entry, &P.Owner})
    F->renewLeaseFor(60s);
  S->submit(read("b"));
  P.advance(200ms);
  CHECK(P.Owner.server("p").count("READ b") == 1);
  CHECK(P.ClientStreams.size() == Dialed);
}
