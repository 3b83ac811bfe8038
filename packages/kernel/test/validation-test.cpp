#include "kernel/validation.h"
#include <doctest/doctest.h>
#include <functional>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

RoutingRules validRules() {
  RoutingRules Rules;
  Rules.Version = 1;
  Rules.Services["s"] = {"s", 10, 0};
  RouteRule Route;
  Route.Database = "d";
  Route.Service = "s";
  Rules.Routes["d"] = Route;
  return Rules;
}

ServerEntry validServer() {
  ServerEntry Server;
  Server.Id = "i";
  Server.Service = "s";
  Server.FailureDomain = "z";
  Server.Address = "10.0.0.1:80";
  return Server;
}

} // namespace

TEST_CASE("rules that make sense have no findings") {
  CHECK(findingsOf(validRules()).empty());
}

// CONFIG: rules were checked for the types of their values only.
TEST_CASE("rules that make no sense have findings") {
  using Change = std::function<void(RoutingRules &)>;
  for (const Change &Spoil : std::initializer_list<Change>{
           [](RoutingRules &R) { R.Version = 0; },
           [](RoutingRules &R) { R.TransactionIdle = 0ms; },
           [](RoutingRules &R) { R.Services["s"].ConnectionCap = 0; },
           [](RoutingRules &R) { R.Services["s"].ConnectionCap = 4000000000U; },
           [](RoutingRules &R) { R.Routes["d"].Service = "other"; },
           [](RoutingRules &R) { R.Routes["d"].StatementTimeout = -1ms; },
           [](RoutingRules &R) { R.Routes["d"].StatementTimeout = 0ms; },
           [](RoutingRules &R) { R.Routes["d"].Goal = 25h; },
           [](RoutingRules &R) { R.Routes["d"].StalenessBound = -1ms; }}) {
    RoutingRules Rules = validRules();
    Spoil(Rules);
    CHECK(findingsOf(Rules).size() == 1);
  }
}

TEST_CASE("all findings are told together") {
  RoutingRules Rules = validRules();
  Rules.Version = 0;
  Rules.Routes["d"].StatementTimeout = 0ms;
  Rules.Routes["d"].Service = "other";
  CHECK(findingsOf(Rules).size() == 3);
}

TEST_CASE("an entry that names a server has no findings") {
  CHECK(findingsOf(validServer()).empty());
}

// An entry of another writer must not be connected to.
TEST_CASE("an entry that names no server has findings") {
  for (const char *Address :
       {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:99999999999999999999", "10.0.0.1:-1", "10.0.0.1:80x", ":80",
        "host:80", "1.2.3:80", "[::1]:80"}) {
    ServerEntry Server = validServer();
    Server.Address = Address;
    CHECK_MESSAGE(findingsOf(Server).size() == 1, Address);
  }
  using Change = std::function<void(ServerEntry &)>;
  for (const Change &Spoil : std::initializer_list<Change>{
           [](ServerEntry &E) { E.Id.clear(); },
           // It would end the line in which it is sent.
           [](ServerEntry &E) { E.Id = "i\r\nQUERY"; },
           [](ServerEntry &E) { E.Id = "i j"; },
           [](ServerEntry &E) { E.Service.clear(); },
           [](ServerEntry &E) { E.FailureDomain.clear(); },
           [](ServerEntry &E) { E.Slots = 0; },
           [](ServerEntry &E) { E.Slots = 4294967295U; },
           [](ServerEntry &E) { E.StartedAt = -1; }}) {
    ServerEntry Server = validServer();
    Spoil(Server);
    CHECK(findingsOf(Server).size() == 1);
  }
}
