#include "kernel/validation.h"
#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace eelgrassloom {
namespace detail {

constexpr unsigned MaxPort = 65535;

class Validator {
public:
  void checkTime(const std::string &Place, Duration Value, Duration Min) {
    if (Value < Min || Value > MaxConfigTime)
      add(Place, std::to_string(toMillis(Value)), "1 ms to 24 h");
  }
  void checkNumber(const std::string &Place, unsigned Value, unsigned Min) {
    if (Value < Min || Value > MaxConnections)
      add(Place, std::to_string(Value),
          std::to_string(Min) + " to " + std::to_string(MaxConnections));
  }
  void checkText(const std::string &Place, const std::string &Value) {
    if (Value.empty())
      add(Place, Value, "a name");
  }
  /// Checks a name that is sent to servers as a word of a line.
  void checkWord(const std::string &Place, const std::string &Value) {
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
                   Validator &V) {
  std::string Place = "route " + Route.Database;
  V.checkText(Place, Route.Database);
  V.checkTime(Place + " timeout", Route.StatementTimeout, MinTime);
  V.checkTime(Place + " goal", Route.LatencyObjective, MinTime);
  V.checkTime(Place + " staleness", Route.StalenessBound, Duration::zero());
  if (Config.Services.find(Route.Service) == Config.Services.end())
    V.add(Place + " service", Route.Service, "a service of this configuration");
}

bool validAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  // inet_pton() reads up to the first NUL.
  if (Colon == std::string::npos || Address.find('\0') != std::string::npos)
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
  detail::Validator V;
  if (Config.Version == 0)
    V.add("version", "0", "a number above 0");
  for (const auto &Entry : Config.Routes)
    detail::validateRoute(Config, Entry.second, V);
  for (const auto &[Name, Service] : Config.Services) {
    V.checkWord("service " + Name, Name);
    V.checkNumber("service " + Name + " connections", Service.ConnectionCap, 1);
    V.checkNumber("service " + Name + " sync replicas", Service.SyncReplicas,
                  0);
  }
  V.checkTime("idle transactions", Config.TransactionIdle, detail::MinTime);
  return std::move(V.Findings);
}

std::vector<Finding> validate(const ServerEntry &Server) {
  detail::Validator V;
  V.checkWord("id", Server.Id);
  V.checkWord("service", Server.Service);
  V.checkText("failure domain", Server.FailureDomain);
  V.checkNumber("slots", Server.Slots, 1);
  if (!detail::validAddress(Server.Address))
    V.add("address", Server.Address, "IP:port");
  if (Server.StartedAt < 0)
    V.add("start", std::to_string(Server.StartedAt), "Unix milliseconds");
  return std::move(V.Findings);
}

} // namespace eelgrassloom
