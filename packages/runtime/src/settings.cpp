#include "runtime/settings.h"
#include "runtime/options.h"
#include <algorithm>
#include <arpa/inet.h>
#include <functional>
#include <optional>
#include <sstream>

namespace eelgrassloom {
namespace detail {

/// Parses a value and stores it; returns false if the value is not allowed.
using SettingParser = std::function<bool(Settings &, const std::string &)>;

/// One row of the settings table.
struct Setting {
  const char *Flag;
  const char *Variable;
  /// Null if the setting is required.
  const char *Default;
  /// Allowed values, in words.
  const char *Allowed;
  const char *Help;
  SettingParser Parse;
};

std::vector<std::string> split(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, Separator);)
    Parts.push_back(Part);
  return Parts;
}

// The functions from word() to count() return parsers that store the value in
// \p Member.

/// A text that is not empty and holds no space, tab, comma or equals sign.
SettingParser word(std::string Settings::*Member) {
  return [Member](Settings &S, const std::string &Text) {
    S.*Member = Text;
    return !Text.empty() && Text.find_first_of(" \t,=") == std::string::npos;
  };
}

/// IP:port. If \p Optional, the text may be empty.
SettingParser address(std::string Settings::*Member, bool Optional = false) {
  return [=](Settings &S, const std::string &Text) {
    S.*Member = Text;
    return (Optional && Text.empty()) || isAddress(Text);
  };
}

SettingParser oneOf(std::string Settings::*Member,
                    std::vector<std::string> Names) {
  return [=](Settings &S, const std::string &Text) {
    S.*Member = Text;
    return std::find(Names.begin(), Names.end(), Text) != Names.end();
  };
}

/// A number of milliseconds from \p Min to \p Max.
SettingParser millis(Duration Settings::*Member, unsigned Min, unsigned Max) {
  return [=](Settings &S, const std::string &Text) {
    auto Value = parseNumber(Text);
    if (!Value || *Value < Min || *Value > Max)
      return false;
    S.*Member = std::chrono::milliseconds(*Value);
    return true;
  };
}

/// A number from \p Min to \p Max.
SettingParser count(unsigned Settings::*Member, unsigned Min, unsigned Max) {
  return [=](Settings &S, const std::string &Text) {
    auto Value = parseNumber(Text);
    if (!Value || *Value < Min || *Value > Max)
      return false;
    S.*Member = *Value;
    return true;
  };
}

/// Parses ID/IP:port/FAILURE-DOMAIN entries, separated by commas.
bool parsePeers(Settings &S, const std::string &Text) {
  S.Peers.clear();
  for (const std::string &Part : split(Text, ',')) {
    auto Fields = split(Part, '/');
    if (Fields.size() != 3 || Fields[0].empty() || Fields[2].empty() ||
        !isAddress(Fields[1]))
      return false;
    S.Peers.push_back({Fields[0], Fields[1], Fields[2]});
  }
  return true;
}

/// Parses FROM=TO entries of IP:port addresses, separated by commas.
bool parseAddressMap(Settings &S, const std::string &Text) {
  S.AddressMap.clear();
  for (const std::string &Part : split(Text, ',')) {
    auto Fields = split(Part, '=');
    if (Fields.size() != 2 || !isAddress(Fields[0]) || !isAddress(Fields[1]))
      return false;
    S.AddressMap[Fields[0]] = Fields[1];
  }
  return true;
}

const std::vector<Setting> &table() {
  static const std::vector<Setting> Table = {
      {"fleet", "EELGRASSLOOM_FLEET", "eelgrassloom", "a word",
       "name of the fleet; messages of other fleets are dropped",
       word(&Settings::Fleet)},
      {"id", "EELGRASSLOOM_ID", nullptr, "a word", "unique id of this proxy",
       word(&Settings::Id)},
      {"failure-domain", "EELGRASSLOOM_FAILURE_DOMAIN", nullptr, "a word",
       "failure domain of this host", word(&Settings::FailureDomain)},
      {"listen", "EELGRASSLOOM_LISTEN", nullptr, "IP:port",
       "address for callers and operators", address(&Settings::Listen)},
      {"peer-listen", "EELGRASSLOOM_PEER_LISTEN", nullptr, "IP:port",
       "address for other proxies", address(&Settings::PeerListen)},
      {"metrics-listen", "EELGRASSLOOM_METRICS_LISTEN", "",
       "IP:port, or empty for none", "address of the metrics page",
       address(&Settings::MetricsListen, true)},
      {"platform", "EELGRASSLOOM_PLATFORM", nullptr, "IP:port",
       "address of the platform's services", address(&Settings::Platform)},
      {"peers", "EELGRASSLOOM_PEERS", "",
       "ID/IP:port/FAILURE-DOMAIN, separated by commas",
       "proxies to contact first", parsePeers},
      {"address-map", "EELGRASSLOOM_ADDRESS_MAP", "",
       "IP:port=IP:port, separated by commas",
       "addresses to dial in place of others", parseAddressMap},
      {"routing-policy", "EELGRASSLOOM_ROUTING_POLICY", "causal",
       "causal or primary-only", "routing policy",
       oneOf(&Settings::RoutingPolicy, {"causal", "primary-only"})},
      {"priority-policy", "EELGRASSLOOM_PRIORITY_POLICY", "shares",
       "shares or fifo", "priority policy",
       oneOf(&Settings::PriorityPolicy, {"shares", "fifo"})},
      {"upstream-adapter", "EELGRASSLOOM_UPSTREAM_ADAPTER", "grpc", "grpc",
       "upstream adapter", oneOf(&Settings::UpstreamAdapter, {"grpc"})},
      {"platform-adapter", "EELGRASSLOOM_PLATFORM_ADAPTER", "grpc", "grpc",
       "platform adapter", oneOf(&Settings::PlatformAdapter, {"grpc"})},
      {"profile", "EELGRASSLOOM_PROFILE", "verband", "verband or unidad",
       "changes the defaults of other settings",
       oneOf(&Settings::Profile, {"verband", "unidad"})},
      {"failover-tolerance-ms", "EELGRASSLOOM_FAILOVER_TOLERANCE_MS", "800",
       "100 to 5000", "unreachable time of a primary before a promotion",
       millis(&Settings::FailoverTolerance, 100, 5000)},
      {"probe-interval-ms", "EELGRASSLOOM_PROBE_INTERVAL_MS", "100",
       "10 to 5000", "interval between probes of an upstream",
       millis(&Settings::ProbeInterval, 10, 5000)},
      {"default-deadline-ms", "EELGRASSLOOM_DEFAULT_DEADLINE_MS", "2000",
       "1 to 60000", "deadline of requests that set none",
       millis(&Settings::DefaultDeadline, 1, 60000)},
      {"drain-timeout-ms", "EELGRASSLOOM_DRAIN_TIMEOUT_MS", "30000",
       "100 to 600000", "longest wait for requests in progress at shutdown",
       millis(&Settings::DrainTimeout, 100, 600000)},
      {"request-retention-ms", "EELGRASSLOOM_REQUEST_RETENTION_MS", "86400000",
       "1000 to 604800000", "age at which a request id expires",
       millis(&Settings::RequestRetention, 1000, 604800000)},
      {"replica-wait-ms", "EELGRASSLOOM_REPLICA_WAIT_MS", "20", "0 to 1000",
       "longest wait for a replica before the primary is preferred",
       millis(&Settings::ReplicaWait, 0, 1000)},
      {"retry-budget-percent", "EELGRASSLOOM_RETRY_BUDGET_PERCENT", "10",
       "0 to 100", "retries as a share of first attempts",
       count(&Settings::RetryBudgetPercent, 0, 100)},
      {"timeline-capacity", "EELGRASSLOOM_TIMELINE_CAPACITY", "20000",
       "100 to 1000000", "events kept for the timeline",
       count(&Settings::TimelineCapacity, 100, 1000000)},
  };
  return Table;
}

/// Value of a setting, and the flag, variable or default that it comes from.
struct Source {
  std::string Place;
  std::string Value;
};

/// Flags of a command line.
struct Flags {
  SettingsCommand Command = SettingsCommand::Run;
  std::map<std::string, std::string> Values;
  std::vector<Finding> Findings;
};

Flags readFlags(int Argc, const char **Argv) {
  enum : int { HelpFlag = 1, VersionFlag, CheckFlag, FirstSetting };
  std::vector<poptOption> Options;
  int Id = FirstSetting;
  for (const Setting &S : table())
    Options.push_back(
        {S.Flag, 0, POPT_ARG_STRING, nullptr, Id++, S.Help, "VALUE"});
  Options.push_back(
      {"help", 'h', POPT_ARG_NONE, nullptr, HelpFlag, "show help", nullptr});
  Options.push_back({"version", 'V', POPT_ARG_NONE, nullptr, VersionFlag,
                     "show the version", nullptr});
  Options.push_back({"check-settings", 0, POPT_ARG_NONE, nullptr, CheckFlag,
                     "check the settings and exit", nullptr});
  Options.push_back({nullptr, 0, 0, nullptr, 0, nullptr, nullptr});

  Flags Out;
  auto OnOption = [&](int Which, const std::string &Value) {
    if (Which == HelpFlag)
      Out.Command = SettingsCommand::Help;
    else if (Which == VersionFlag)
      Out.Command = SettingsCommand::Version;
    else if (Which == CheckFlag)
      Out.Command = SettingsCommand::Check;
    else
      Out.Values[table()[static_cast<std::size_t>(Which - FirstSetting)].Flag] =
          Value;
  };
  for (const std::string &Extra :
       parseOptions(Argc, Argv, Options.data(), OnOption, Out.Findings))
    Out.Findings.push_back({"argument", Extra, "flags only"});
  return Out;
}

/// Default of a setting in a profile where it differs from that in the table.
struct ProfileDefault {
  const char *Profile;
  const char *Flag;
  const char *Value;
};

constexpr ProfileDefault ProfileDefaults[] = {
    // With the profile unidad, urgent requests and a short failover matter
    // most. Reads may wait longer for a replica, which keeps the primary free.
    {"unidad", "failover-tolerance-ms", "600"},
    {"unidad", "replica-wait-ms", "50"},
};

const char *defaultOf(const Setting &S, const std::string &Profile) {
  for (const ProfileDefault &D : ProfileDefaults)
    if (Profile == D.Profile && std::string_view(S.Flag) == D.Flag)
      return D.Value;
  return S.Default;
}

/// The value of a setting: its flag, its variable or its default, in this
/// order. Empty if the setting is required and not given.
std::optional<Source> sourceOf(const Setting &S, const Flags &F,
                               const Environment &Env,
                               const std::string &Profile) {
  if (auto It = F.Values.find(S.Flag); It != F.Values.end())
    return Source{std::string("--") + S.Flag, It->second};
  if (auto It = Env.find(S.Variable); It != Env.end())
    return Source{S.Variable, It->second};
  if (const char *Default = defaultOf(S, Profile))
    return Source{std::string("default of --") + S.Flag, Default};
  return std::nullopt;
}

/// Name of the profile as it is given. The check of the setting itself reports
/// an unknown name.
std::string profileOf(const Flags &F, const Environment &Env) {
  for (const Setting &S : table())
    if (std::string_view(S.Flag) == "profile")
      return sourceOf(S, F, Env, "")->Value;
  return "";
}

/// Adds a finding for each variable with the prefix EELGRASSLOOM_ that is not a
/// setting.
void checkUnknownVariables(const Environment &Env,
                           std::vector<Finding> &Findings) {
  for (const auto &Entry : Env) {
    const std::string &Name = Entry.first;
    if (Name.rfind("EELGRASSLOOM_", 0) != 0)
      continue;
    bool Known =
        std::any_of(table().begin(), table().end(),
                    [&](const Setting &S) { return Name == S.Variable; });
    if (!Known)
      Findings.push_back(
          {Name, Entry.second, "the variables that --help lists"});
  }
}

} // namespace detail

bool isAddress(const std::string &Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  in_addr Ip{};
  auto Port = parseNumber(Text.substr(Colon + 1));
  return inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Ip) == 1 && Port &&
         *Port > 0 && *Port <= 65535;
}

std::string translateAddress(const Settings &S, const std::string &Address) {
  auto It = S.AddressMap.find(Address);
  return It == S.AddressMap.end() ? Address : It->second;
}

Environment environmentOf(char **Envp) {
  Environment Env;
  for (char **Entry = Envp; Entry && *Entry; ++Entry) {
    std::string Text = *Entry;
    auto Equals = Text.find('=');
    if (Equals != std::string::npos)
      Env[Text.substr(0, Equals)] = Text.substr(Equals + 1);
  }
  return Env;
}

Result<ParsedSettings> parseSettings(int Argc, const char **Argv,
                                     const Environment &Env) {
  detail::Flags Flags = detail::readFlags(Argc, Argv);
  ParsedSettings Parsed;
  Parsed.Command = Flags.Command;
  if (Parsed.Command == SettingsCommand::Help ||
      Parsed.Command == SettingsCommand::Version)
    return Result<ParsedSettings>::success(std::move(Parsed));

  std::vector<Finding> Findings = std::move(Flags.Findings);
  detail::checkUnknownVariables(Env, Findings);
  const std::string Profile = detail::profileOf(Flags, Env);
  for (const detail::Setting &S : detail::table()) {
    auto Source = detail::sourceOf(S, Flags, Env, Profile);
    if (!Source)
      Findings.push_back(
          {std::string("--") + S.Flag + " or " + S.Variable, "", S.Allowed});
    else if (!S.Parse(Parsed.Values, Source->Value))
      Findings.push_back({Source->Place, Source->Value, S.Allowed});
  }
  if (!Findings.empty())
    return Result<ParsedSettings>::failure(std::move(Findings));
  return Result<ParsedSettings>::success(std::move(Parsed));
}

std::string settingsHelp() {
  std::ostringstream Out;
  Out << "Usage: eelgrassloom [FLAGS]\n\nEach flag can also be given as an "
         "environment variable; a flag takes precedence.\n\n";
  for (const detail::Setting &S : detail::table()) {
    Out << "  --" << S.Flag << "=VALUE  (" << S.Variable << ")\n      "
        << S.Help << "; allowed: " << S.Allowed;
    if (!S.Default)
      Out << "; required";
    else if (*S.Default)
      Out << "; default: " << S.Default;
    for (const detail::ProfileDefault &D : detail::ProfileDefaults)
      if (std::string_view(S.Flag) == D.Flag)
        Out << ", " << D.Value << " with --profile=" << D.Profile;
    Out << "\n";
  }
  Out << "  --check-settings  check the settings and exit\n"
         "  --help, --version\n";
  return Out.str();
}

} // namespace eelgrassloom
