/// \file
/// One run of the randomized fault soak: real proxy processes, the stand-ins,
/// the faults that are injected and the report.

#ifndef EELGRASSLOOM_SOAK_SOAK_H
#define EELGRASSLOOM_SOAK_SOAK_H

#include "callers.h"
#include "ports.h"
#include "standins.h"
#include <array>
#include <cstdio>
#include <filesystem>
#include <unistd.h>

namespace eelgrassloom::soak {

/// Faults that replace the random ones. Promotion (outside the promotion call)
/// and Config (a configuration that is changed but not stored) can't be
/// prevented by proxies and show that the checks report them. Stops are planned
/// work: orderly stops of one proxy after the other. Customers are random
/// faults while keys of customers change. Drills are random faults while the
/// store comes back from copies. UnnamedEra is one such return of a store that
/// does not name its era, so that no proxy can know. KeptKey (keys are not
/// removed although the checks are told so) and the others are faults of the
/// stand-ins and checks, see PlantedFault.
enum class InjectedFault : std::uint8_t {
  None,
  Promotion,
  Config,
  Stops,
  Drills,
  UnnamedEra,
  Rows,
  Texts,
  Values,
  Customers,
  WrongCustomer,
  LowLimit,
  KeptKey,
};
constexpr std::array<std::string_view, 13> InjectedFaultNames = {
    "none",           "promotion", "rules",   "stops",  "drills",
    "unnamed-era",    "rows",      "texts",   "values", "customers",
    "wrong-customer", "low-limit", "kept-key"};

/// One proxy process. Signals are sent only to its own process id.
struct Proxy {
  /// Path of the settings file.
  std::string Settings;
  /// Path of the log file.
  std::string Log;
  std::uint16_t CallerPort = 0;
  /// 0 while no process runs.
  pid_t Pid = 0;
  /// End of the proxy's last fault; Instant::max() while a fault lasts.
  Instant HealthySince;
};

/// One run of the soak.
class Soak {
public:
  Soak(std::string Program, std::uint64_t Seed, std::size_t Count,
       InjectedFault Injected)
      : Program(std::move(Program)), Seed(Seed), Injected(Injected),
        Random(Seed), Group(Loop, TestOracle),
        Store(Loop,
              [this](const std::string &Id) { return Group.promote(Id); }),
        Proxies(Count) {
    Directory =
        std::filesystem::temp_directory_path() /
        ("soak-" + std::to_string(getpid()) + "-" + std::to_string(Seed));
    std::filesystem::create_directories(Directory);
  }

  /// Injects faults for \p Length; returns the exit status of the program.
  int run(Duration Length);

private:
  bool usesOwners() const;
  bool usesCustomers() const { return Injected >= InjectedFault::Customers; }
  void setCustomers();
  /// Finds LIMIT violations.
  void checkLimits();
  std::string failureDomain(std::size_t Index) const;
  void prepare();
  void startProxy(Proxy &P);
  void signalProxy(Proxy &P, int Signal);
  void reap(Proxy &P);
  void publishConfig();
  void changeConfig();
  bool isHealthy(const Proxy &P) const;
  void updateStoreHealth();
  void probeConfig();
  void checkProbe(const Proxy &P, const std::string &Database, bool MustBeKnown,
                  StartResult Answer);
  /// Advances the stand-ins and restarts proxies that have ended, every 10 ms.
  void tick();
  void injectFault();
  void injectProxyFault(Proxy &P);
  void stopProxies(std::size_t Next);
  void injectServerFault(Server &S);
  void injectStoreFault();
  /// Lets the store come back from a copy, again and again.
  void drill();
  /// Lets a store that does not name its era come back from a copy once, so
  /// late that the change of the configuration that is lost is the last one.
  void plantUnnamedEra(Duration Length);
  /// Copies the store, and lets it come back from the copy after \p CopyAge and
  /// \p AwayTime; then calls \p Returned. Not after the end of the faults.
  void loseChanges(Duration CopyAge, Duration AwayTime,
                   const std::function<void()> &Returned);
  void returnFromCopy();
  /// Lets one server after the other repeat answers for a time.
  void repeatAnswers();
  void heal();
  int report();
  void logEvent(const std::string &Text) {
    std::printf("%7lld ms  %s\n", toMillis(now() - StartedAt), Text.c_str());
  }

  std::string Program;
  std::uint64_t Seed;
  InjectedFault Injected;
  std::mt19937_64 Random;
  io_context Loop{1};
  PortAllocator FreePorts{Loop};
  Oracle TestOracle;
  ServerGroup Group;
  KeyValueStore Store;
  std::vector<Proxy> Proxies;
  std::vector<std::shared_ptr<Caller>> Callers;
  std::filesystem::path Directory;
  Instant StartedAt;
  /// Time since which the store has had no fault of its own and at least one
  /// healthy proxy could reach it.
  Instant StoreHealthySince;
  ProbeRoutes ProbedDatabases;
  std::uint64_t Probes = 0;
  unsigned ConfigVersion = 1;
  /// The list of customers in the configuration, as JSON.
  std::string PublishedCustomers;
  bool FaultsEnabled = false;
  /// After a return of the store, the operator and the servers write again what
  /// it has lost, at these times.
  Instant ConfigRewrittenAt;
  Instant ServersRewrittenAt;
};

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_SOAK_H
