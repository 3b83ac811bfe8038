/// \file
/// Settings of the proxy. A table defines the flag, environment variable,
/// default and check of each setting. A flag takes precedence over the
/// variable.

#ifndef EELGRASSLOOM_RUNTIME_SETTINGS_H
#define EELGRASSLOOM_RUNTIME_SETTINGS_H

#include "kernel/result.h"
#include "kernel/time.h"
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassloom {

/// A proxy that is listed in the settings as a first contact.
struct PeerAddress {
  std::string Id;
  /// IP:port at which it listens for other proxies.
  std::string Address;
  std::string FailureDomain;
};

/// Values of all settings; --help describes each of them.
struct Settings {
  std::string Fleet;
  std::string Id;
  std::string FailureDomain;
  /// IP:port of the caller and operator services.
  std::string Listen;
  std::string PeerListen;
  std::string MetricsListen;
  std::string Platform;
  std::vector<PeerAddress> Peers;
  /// Addresses to dial in place of others, see translateAddress().
  std::map<std::string, std::string> AddressMap;
  std::string RoutingPolicy;
  std::string PriorityPolicy;
  std::string UpstreamAdapter;
  std::string PlatformAdapter;
  std::string Profile;
  Duration FailoverTolerance{0};
  Duration ProbeInterval{0};
  Duration DefaultDeadline{0};
  Duration DrainTimeout{0};
  Duration RequestRetention{0};
  Duration ReplicaWait{0};
  unsigned RetryBudgetPercent = 0;
  unsigned TimelineCapacity = 0;
};

/// The address to dial for \p Address: its entry in the address map, or itself
/// if it has none.
std::string translateAddress(const Settings &S, const std::string &Address);

/// Action that the command line selects.
enum class SettingsCommand : unsigned char { Run, Help, Version, Check };

/// Command and settings, as parsed from flags and variables.
struct ParsedSettings {
  SettingsCommand Command = SettingsCommand::Run;
  /// Not set for the commands Help and Version.
  Settings Values;
};

/// Environment variables by name.
using Environment = std::map<std::string, std::string>;
/// The variables of \p Envp, the third argument of main().
Environment environmentOf(char **Envp);

/// Parses flags and variables. All findings are reported together.
Result<ParsedSettings> parseSettings(int Argc, const char **Argv,
                                     const Environment &Env);

/// Help text with an entry for each setting.
std::string settingsHelp();

/// True if \p Text has the form IP:port with an IPv4 address.
bool isAddress(const std::string &Text);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_RUNTIME_SETTINGS_H
