/// \file
/// Settings of the proxy. One table gives each setting its flag, environment
/// variable, default and check; a flag wins over the variable.

#ifndef EELGRASSLOOM_RUNTIME_SETTINGS_H
#define EELGRASSLOOM_RUNTIME_SETTINGS_H

#include "kernel/result.h"
#include "kernel/time.h"
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassloom {

/// A proxy that is known from the settings.
struct PeerAddress {
  std::string Id;
  /// IP:port of its peer socket.
  std::string Address;
  std::string FailureDomain;
};

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

/// The address to dial for \p Address, after translation.
std::string translateAddress(const Settings &S, const std::string &Address);

enum class SettingsCommand : unsigned char { Run, Help, Version, Check };

struct ParsedSettings {
  SettingsCommand Command = SettingsCommand::Run;
  Settings Values;
};

using Environment = std::map<std::string, std::string>;
Environment environmentOf(char **Envp);

/// Reads flags and variables and checks all of them together.
Result<ParsedSettings> parseSettings(int Argc, const char **Argv,
                                     const Environment &Env);

/// Help text with one line per setting.
std::string settingsHelp();

/// Checks that \p Text is IP:port.
bool isAddress(const std::string &Text);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_RUNTIME_SETTINGS_H
