#include "kernel/validation.h"
#include <doctest/doctest.h>
#include <functional>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

RoutingConfig validConfig() {
  RoutingConfig Config;
  Config.Version = 1;
  Config.Services["s"] = {"s", 10, 0};
  RouteConfig Route;
  Route.Database = "d";
  Route.Service = "s";
  Config.Routes["d"] = Route;
  return Config;
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

TEST_CASE("a valid configuration has no findings") {
  CHECK(validate(validConfig()).empty());
}

// Guards against a configuration that is applied although a value is out of
// range or names an unknown service: only the types were checked before.
TEST_CASE("a configuration with an invalid value has one finding") {
  using Change = std::function<void(RoutingConfig &)>;
  for (const Change &MakeInvalid : std::initializer_list<Change>{
           [](RoutingConfig &R) { R.Version = 0; },
           [](RoutingConfig &R) { R.TransactionIdle = 0ms; },
           [](RoutingConfig &R) { R.Services["s"].ConnectionCap = 0; },
           [](RoutingConfig &R) {
             R.Services["s"].ConnectionCap = 4000000000U;
           },
           [](RoutingConfig &R) { R.Routes["d"].Service = "other"; },
           [](RoutingConfig &R) { R.Routes["d"].StatementTimeout = -1ms; },
           [](RoutingConfig &R) { R.Routes["d"].StatementTimeout = 0ms; },
           [](RoutingConfig &R) { R.Routes["d"].LatencyObjective = 25h; },
           [](RoutingConfig &R) { R.Routes["d"].StalenessBound = -1ms; }}) {
    RoutingConfig Config = validConfig();
    MakeInvalid(Config);
    CHECK(validate(Config).size() == 1);
  }
}

TEST_CASE("all findings are reported together") {
  RoutingConfig Config = validConfig();
  Config.Version = 0;
  Config.Routes["d"].StatementTimeout = 0ms;
  Config.Routes["d"].Service = "other";
  CHECK(validate(Config).size() == 3);
}

TEST_CASE("a valid registry entry has no findings") {
  CHECK(validate(validServer()).empty());
}

// Guards against connections to the address of an entry that no server wrote.
TEST_CASE("an invalid registry entry has findings") {
  for (const char *Address :
       {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:99999999999999999999", "10.0.0.1:-1", "10.0.0.1:80x", ":80",
        "host:80", "1.2.3:80", "[::1]:80"}) {
    ServerEntry Server = validServer();
    Server.Address = Address;
    CHECK_MESSAGE(validate(Server).size() == 1, Address);
  }
  using Change = std::function<void(ServerEntry &)>;
  for (const Change &MakeInvalid : std::initializer_list<Change>{
           [](ServerEntry &E) { E.Address.insert(8, 1, '\0'); },
           [](ServerEntry &E) { E.Id.clear(); },
           [](ServerEntry &E) { E.Id = "i\xc2\xa0j"; },
           [](ServerEntry &E) { E.Id = std::string("i\0j", 3); },
           [](ServerEntry &E) { E.Service = "s\n"; },
           [](ServerEntry &E) { E.Service = "s i-1"; },
           // Such an id would end the protocol line in which it is sent.
           [](ServerEntry &E) { E.Id = "i\r\nQUERY"; },
           [](ServerEntry &E) { E.Id = "i j"; },
           [](ServerEntry &E) { E.Service.clear(); },
           [](ServerEntry &E) { E.FailureDomain.clear(); },
           [](ServerEntry &E) { E.Slots = 0; },
           [](ServerEntry &E) { E.Slots = 4294967295U; },
           [](ServerEntry &E) { E.StartedAt = -1; }}) {
    ServerEntry Server = validServer();
    MakeInvalid(Server);
    CHECK(validate(Server).size() == 1);
  }
}
