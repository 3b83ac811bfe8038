#include "kernel/validation.h"
#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace eelgrassloom {
namespace detail {

constexpr unsigned MaxPort = 65535;

class Validator {
public:
  void time(const std::string &Place, Duration Value, Duration Min) {
    if (Value < Min || Value > MaxConfigTime)
      add(Place, std::to_string(toMillis(Value)), "1 ms to 24 h");
  }
  void number(const std::string &Place, unsigned Value, unsigned Min) {
    if (Value < Min || Value > MaxConnections)
      add(Place, std::to_string(Value),
          std::to_string(Min) + " to " + std::to_string(MaxConnections));
  }
  void text(const std::string &Place, const std::string &Value) {
    if (Value.empty())
      add(Place, Value, "a name");
  }
  /// Names that are sent to servers as words of a line.
  void word(const std::string &Place, const std::string &Value) {
    bool Printable = std::all_of(Value.begin(), Value.end(), [](char Byte) {
      return Byte > ' ' && Byte < 0x7f;
    });
    if (Value.empty() || !Printable)
      add(Place, Value, "a word of printable characters");
  }
  void add(std::string Place, std::string Value, std::string Allowed) {
    Findings.push_back(
        {std::move(Place), std::move(Value), std::move(Allowed)});
  }

  std::vector<Finding> Findings;
};

constexpr Duration MinTime = std::chrono::milliseconds(1);

void validateRoute(const RoutingConfig &Config, const RouteConfig &Route,
                   Validator &C) {
  std::string Place = "route " + Route.Database;
  C.text(Place, Route.Database);
  C.time(Place + " timeout", Route.StatementTimeout, MinTime);
  C.time(Place + " goal", Route.LatencyObjective, MinTime);
  C.time(Place + " staleness", Route.StalenessBound, Duration::zero());
  if (Config.Services.find(Route.Service) == Config.Services.end())
    C.add(Place + " service", Route.Service, "a service of these rules");
}

bool validAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return false;
  const char *End = Address.data() + Address.size();
  unsigned Port = 0;
  auto [Last, Error] = std::from_chars(Address.data() + Colon + 1, End, Port);
  in_addr Parsed{};
  return Error == std::errc() && Last == End && Port != 0 && Port <= MaxPort &&
         inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Parsed) == 1;
}

} // namespace detail

std::vector<Finding> validate(const RoutingConfig &Config) {
  detail::Validator C;
  if (Config.Version == 0)
    C.add("version", "0", "a number above 0");
  for (const auto &Entry : Config.Routes)
    detail::validateRoute(Config, Entry.second, C);
  for (const auto &[Name, Service] : Config.Services) {
    C.word("service " + Name, Name);
    C.number("service " + Name + " connections", Service.ConnectionCap, 1);
    C.number("service " + Name + " sync replicas", Service.SyncReplicas, 0);
  }
  C.time("idle transactions", Config.TransactionIdle, detail::MinTime);
  return std::move(C.Findings);
}

std::vector<Finding> validate(const ServerEntry &Server) {
  detail::Validator C;
  C.word("id", Server.Id);
  C.word("service", Server.Service);
  C.text("failure domain", Server.FailureDomain);
  C.number("slots", Server.Slots, 1);
  if (!detail::validAddress(Server.Address))
    C.add("address", Server.Address, "IP:port");
  if (Server.StartedAt < 0)
    C.add("start", std::to_string(Server.StartedAt), "Unix milliseconds");
  return std::move(C.Findings);
}

} // namespace eelgrassloom
