/// \file
/// Randomized fault soak: runs real proxy processes against the stand-ins,
/// injects faults from outside and checks every answer. Usage:
/// soak PROGRAM SEED [SECONDS [PROXIES [FAULT]]], where FAULT is an injected
/// fault that the checks must report (promotion, rules, rows, texts, values),
/// or takes the place of the random faults: stops, orderly stops of one proxy
/// after the other. With customers, the random faults come while keys of
/// customers change (planted faults: wrong-customer, low-limit, kept-key). With
/// drills, they come while the store comes back from copies (planted fault:
/// unnamed-era).

#include "soak.h"
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>

namespace eelgrassloom::soak {

using namespace std::chrono_literals;

namespace {

constexpr Duration WarmUp = 3s;
/// Time without faults at the end; a request must succeed in its second half.
constexpr Duration CoolDown = 4s;
constexpr int CallerCount = 24;
/// Time within which a change of the configuration must be in force; the same
/// as bounds.configApplyMs in the settings of the proxies.
constexpr Duration ConfigApplyTime = 3s;
/// Time bounds are checked only for a proxy and a store that have been without
/// a fault for this long.
constexpr Duration RecoveryTime = 4s;
/// Pause of the operator before it tries again to reach the store.
constexpr Duration AwayPause = 100ms;
/// Interval between probes of the configuration.
constexpr Duration ProbeInterval = 20ms;
/// Time that a request takes at a server during orderly stops: long, so that a
/// stop finds requests in progress.
constexpr Duration SlowStatementTime = 100ms;
/// Slots of a server during orderly stops of many proxies: so few that owners
/// run the statements.
constexpr unsigned FewSlots = 2;
/// Failure domains of the proxies during orderly stops.
constexpr std::size_t FailureDomains = 4;
/// The same with customers, whose limits are shared out to failure domains.
constexpr std::size_t CustomerDomains = 3;
/// The rule for limits: in each window, a customer may run its rate and burst
/// plus a share and a number of operations. The settings contain the number.
constexpr Duration LimitWindow = 5s;
constexpr double LimitExcess = 0.1;
constexpr double LimitSlack = 20;
/// Share of the limit that the checks know if they are to report it.
constexpr double PlantedLimitShare = 0.2;

PlantedFault plantedFault(InjectedFault F) {
  switch (F) {
  case InjectedFault::Rows:
    return PlantedFault::Rows;
  case InjectedFault::Texts:
    return PlantedFault::Texts;
  case InjectedFault::Values:
    return PlantedFault::Values;
  case InjectedFault::WrongCustomer:
    return PlantedFault::Customer;
  case InjectedFault::LowLimit:
    return PlantedFault::Limit;
  default:
    return PlantedFault::None;
  }
}

/// Kind of the violations by which a run with the fault must be reported;
/// empty if any will do.
std::string_view reportedKind(InjectedFault F) {
  switch (F) {
  case InjectedFault::Promotion:
    return "STALE";
  case InjectedFault::Config:
  case InjectedFault::UnnamedEra:
    return "CONFIG";
  case InjectedFault::Rows:
    return "MIXED";
  case InjectedFault::Texts:
    return "UNASKED";
  case InjectedFault::Values:
    return "PINNED";
  case InjectedFault::WrongCustomer:
  case InjectedFault::KeptKey:
    return "KEY";
  case InjectedFault::LowLimit:
    return "LIMIT";
  default:
    return {};
  }
}

} // namespace

void Soak::publishConfig() {
  std::string Routes;
  auto Add = [&](const std::string &Name, const char *Type, int Bound,
                 bool Public = false) {
    Routes +=
        std::string(Routes.empty() ? "" : ",") + R"({"name":"r","host":")" +
        Name + R"(","type":")" + Type +
        R"(","timeoutMs":1500,"goalMs":300,"priority":1,"service":"svc",)" +
        R"("maxStalenessMs":)" + std::to_string(Bound) +
        (Public ? R"(,"public":true})" : "}");
  };
  Add("latest", "primary", 0);
  Add("session", "read_your_writes", 2500);
  Add("bounded", "bounded_staleness", 1500);
  for (const std::string &Name : ProbedDatabases.current())
    Add(Name, "primary", 0, true); // Probes have no key.
  Store.put(
      "op/config",
      "{\"version\":" + std::to_string(ConfigVersion) +
          (usesCustomers() ? ",\"tenants\":" + PublishedCustomers : "") +
          ",\"routes\":[" + Routes +
          R"(],"services":[{"name":"svc","maxConns":40,"syncReplicas":0}],)" +
          R"("limits":{"txIdleMs":3000}})");
}

void Soak::changeConfig() {
  if (!FaultsEnabled)
    return;
  if (Store.away()) {
    runAfter(Loop, AwayPause, [this] { changeConfig(); });
    return;
  }
  ++ConfigVersion;
  ProbedDatabases.add(now());
  if (usesCustomers()) {
    TestOracle.Customers.change(Random);
    TestOracle.Customers.acknowledge(now());
    if (Injected != InjectedFault::KeptKey)
      PublishedCustomers = TestOracle.Customers.json();
  }
  if (Injected != InjectedFault::Config)
    publishConfig();
  runAfter(Loop, std::chrono::milliseconds(200 + Random() % 1500),
           [this] { changeConfig(); });
}

bool Soak::isHealthy(const Proxy &P) const {
  return P.Pid != 0 && now() - P.HealthySince >= RecoveryTime;
}

void Soak::updateStoreHealth() {
  bool ReachedByHealthyProxy = false;
  for (std::size_t I = 0; I < Proxies.size(); ++I)
    ReachedByHealthyProxy =
        ReachedByHealthyProxy ||
        (isHealthy(Proxies[I]) && Store.PartitionedProxies.count(I) == 0 &&
         Store.RejectedProxies.count(I) == 0);
  bool Returning = Store.away() || now() < ConfigRewrittenAt;
  if (!ReachedByHealthyProxy || Returning || Store.Mode != StoreMode::Normal)
    StoreHealthySince = now();
}

/// Finds CONFIG violations: periodically probes a random proxy, if it is
/// healthy, for a database that was added or removed.
void Soak::probeConfig() {
  const Proxy &P = Proxies[Random() % Proxies.size()];
  auto Picked = ProbedDatabases.pick(now() - ConfigApplyTime, Random);
  if (Picked && isHealthy(P) && now() - StoreHealthySince >= RecoveryTime)
    probeDatabase(Loop, P.CallerPort, Picked->first,
                  [this, &P, Picked = *Picked](StartResult Answer) {
                    checkProbe(P, Picked.first, Picked.second, Answer);
                  });
  runAfter(Loop, ProbeInterval, [this] { probeConfig(); });
}

void Soak::checkProbe(const Proxy &P, const std::string &Database,
                      bool MustBeKnown, StartResult Answer) {
  if (Answer == StartResult::Other || !isHealthy(P))
    return; // A fault began during the probe.
  if (MustBeKnown && !ProbedDatabases.exists(Database))
    return; // The database was removed during the probe.
  ++Probes;
  if ((Answer == StartResult::Known) != MustBeKnown)
    TestOracle.Violations.push_back(
        {"CONFIG",
         Database + (MustBeKnown ? " is unknown at " : " is still known at ") +
             P.Settings + " after " +
             std::to_string(toMillis(now() - StartedAt)) + " ms",
         0});
}

/// Proxies that stop in turn are spread over several failure domains if they
/// are many, so that each of these has an owner and proxies that forward to it.
bool Soak::usesOwners() const {
  return Injected == InjectedFault::Stops &&
         Proxies.size() >= 2 * FailureDomains;
}

std::string Soak::failureDomain(std::size_t Index) const {
  if (usesCustomers())
    return "z" + std::to_string(Index % CustomerDomains);
  return usesOwners() ? "z" + std::to_string(Index % FailureDomains) : "z";
}

/// Two customers that reach their limits, one that hardly does and one that has
/// none.
void Soak::setCustomers() {
  CustomerLedger &Ledger = TestOracle.Customers;
  Ledger.Customers = {{"small", {}, 5, 5},
                      {"medium", {}, 25, 15},
                      {"large", {}, 150, 60},
                      {"unlimited", {}, 0, 0}};
  for (TestCustomer &C : Ledger.Customers)
    C.Keys.push_back(std::string(KeyMarker) + " of " + C.Name);
  Ledger.acknowledge(now());
  PublishedCustomers = Ledger.json();
  TestOracle.MustKnowConfig = [this](std::uint16_t Port) {
    return now() - StoreHealthySince >= RecoveryTime &&
           std::any_of(Proxies.begin(), Proxies.end(), [&](const Proxy &P) {
             return P.CallerPort == Port && isHealthy(P);
           });
  };
}

void Soak::checkLimits() {
  for (const TestCustomer &C : TestOracle.Customers.Customers) {
    double Share = Injected == InjectedFault::LowLimit ? PlantedLimitShare : 1;
    double Limit =
        Share *
        ((C.RatePerSecond * 5.0 + C.Burst) * (1 + LimitExcess) + LimitSlack);
    const std::vector<Instant> &Times = TestOracle.OperationTimes[C.Name];
    std::size_t Most = 0;
    Instant MostAt = StartedAt;
    for (std::size_t Begin = 0, End = 0; End < Times.size(); ++End) {
      while (Times[End] - Times[Begin] > LimitWindow)
        ++Begin;
      if (End + 1 - Begin > Most) {
        Most = End + 1 - Begin;
        MostAt = Times[End];
      }
    }
    std::printf("customer %s: %zu operations, at most %zu in a window\n",
                C.Name.c_str(), Times.size(), Most);
    if (C.RatePerSecond != 0 && static_cast<double>(Most) > Limit)
      TestOracle.Violations.push_back(
          {"LIMIT",
           C.Name + ": " + std::to_string(Most) +
               " operations in the window to " +
               std::to_string(toMillis(MostAt - StartedAt)) + " ms",
           0});
  }
}

void Soak::prepare() {
  publishConfig();
  for (std::size_t I = 0; I < Proxies.size(); ++I) {
    Proxy &P = Proxies[I];
    P.CallerPort = FreePorts.next();
    std::string Ip = "127.0.0.1:";
    std::string StoreAddress = Ip + std::to_string(Store.port(I));
    P.Settings = Directory / ("p" + std::to_string(I) + ".conf");
    P.Log = Directory / ("p" + std::to_string(I) + ".log");
    std::ofstream(P.Settings)
        << "node=p" << I << "\nzone=" << failureDomain(I)
        << "\nip=127.0.0.1\nlisten.front=" << Ip << P.CallerPort
        << "\nlisten.ready=" << Ip << FreePorts.next()
        << "\nportRange=" << FreePorts.next()
        << ",0\nplatform.addr=" << StoreAddress
        << "\ncloud.addr=" << StoreAddress
        << "\nbounds.graceS=4\nbounds.configApplyMs=3000\n";
    for (std::size_t D = 0; usesCustomers() && D < CustomerDomains; ++D)
      std::ofstream(P.Settings, std::ios::app)
          << "zones.z" << D << "=nord\n"
          << (D == 0 ? "bounds.quotaSlack=20\n" : "");
  }
}

void Soak::startProxy(Proxy &P) {
  std::string Setting = "EELGRASSLOOM_SETTINGS=" + P.Settings;
  std::array<char *, 2> Argv = {Program.data(), nullptr};
  std::array<char *, 2> Envp = {Setting.data(), nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, P.Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (posix_spawn(&P.Pid, Program.c_str(), &Actions, nullptr, Argv.data(),
                  Envp.data()) != 0) {
    std::perror("posix_spawn");
    std::exit(2);
  }
  posix_spawn_file_actions_destroy(&Actions);
  P.HealthySince = now();
  TestOracle.StopRequestedAt.erase(P.CallerPort);
  TestOracle.ToldToStop.erase(P.CallerPort);
}

void Soak::signalProxy(Proxy &P, int Signal) {
  if (P.Pid == 0)
    return;
  if (Signal == SIGTERM)
    TestOracle.ToldToStop.insert(P.CallerPort);
  if (Signal == SIGTERM && P.HealthySince != Instant::max())
    TestOracle.StopRequestedAt[P.CallerPort] = now();
  if (Signal == SIGKILL || Signal == SIGSTOP)
    TestOracle.StopRequestedAt.erase(P.CallerPort);
  kill(P.Pid, Signal);
}

/// Restarts a proxy that has ended; a violation if a signal other than SIGKILL
/// has ended it.
void Soak::reap(Proxy &P) {
  int Status = 0;
  if (P.Pid == 0 || waitpid(P.Pid, &Status, WNOHANG) != P.Pid)
    return;
  if (WIFSIGNALED(Status) && WTERMSIG(Status) != SIGKILL)
    TestOracle.Violations.push_back(
        {"CRASH", P.Settings + " by signal " + std::to_string(WTERMSIG(Status)),
         0});
  P.Pid = 0;
  P.HealthySince = Instant::max();
  runAfter(Loop, 200ms, [this, &P] { startProxy(P); });
}

void Soak::tick() {
  Group.replicate();
  Store.expire();
  for (const ServerRef &S : Group.Members) {
    if (now() < ServersRewrittenAt)
      break;
    if (S->Up)
      Store.put("servers/" + S->Id, S->entry());
    else
      Store.erase("servers/" + S->Id);
  }
  for (Proxy &P : Proxies)
    reap(P);
  updateStoreHealth();
  runAfter(Loop, 10ms, [this] { tick(); });
}

void Soak::heal() {
  FaultsEnabled = false;
  Store.Mode = StoreMode::Normal;
  Store.PartitionedProxies.clear();
  Store.RejectedProxies.clear();
  for (const ServerRef &S : Group.Members) {
    S->start();
    S->Mode = NetworkMode::Normal;
    S->Draining = false;
    S->RepeatsAnswers = false;
    S->Lag = 20ms;
  }
  for (Proxy &P : Proxies)
    signalProxy(P, SIGCONT);
}

int Soak::run(Duration Length) {
  StartedAt = now();
  TestOracle.Random.seed(Seed);
  TestOracle.Planted = plantedFault(Injected);
  if (usesOwners())
    for (const ServerRef &S : Group.Members)
      S->Slots = FewSlots;
  if (usesCustomers())
    setCustomers();
  Store.NamesEra = Injected != InjectedFault::UnnamedEra;
  prepare();
  for (Proxy &P : Proxies)
    startProxy(P);
  tick();
  std::vector<std::uint16_t> Ports;
  for (const Proxy &P : Proxies)
    Ports.push_back(P.CallerPort);
  for (unsigned I = 0; I < CallerCount; ++I) {
    Callers.push_back(
        std::make_shared<Caller>(Loop, TestOracle, I, Ports, Seed * 1000));
    runAfter(Loop, 1s, [this, I] { Callers[I]->run(); });
  }
  runAfter(Loop, WarmUp, [this, Length] {
    // An injected fault comes without random faults.
    FaultsEnabled = Injected != InjectedFault::Promotion;
    if (Injected == InjectedFault::Promotion)
      Group.promote("i-b");
    if (Injected == InjectedFault::None || Injected == InjectedFault::Drills ||
        Injected == InjectedFault::Customers) {
      injectFault();
      repeatAnswers();
    }
    if (Injected == InjectedFault::Drills)
      drill();
    if (Injected == InjectedFault::UnnamedEra)
      plantUnnamedEra(Length);
    if (Injected == InjectedFault::Stops) {
      for (const ServerRef &S : Group.Members)
        S->StatementTime = SlowStatementTime;
      stopProxies(0);
    }
    changeConfig();
    probeConfig();
  });
  std::uint64_t SucceededBefore = 0;
  runAfter(Loop, WarmUp + Length, [this] { heal(); });
  runAfter(Loop, WarmUp + Length + CoolDown / 2, [this, &SucceededBefore] {
    SucceededBefore = TestOracle.Succeeded;
  });
  runAfter(Loop, WarmUp + Length + CoolDown, [this] { Loop.stop(); });
  Loop.run();
  for (Proxy &P : Proxies)
    if (P.Pid != 0) {
      signalProxy(P, SIGKILL);
      waitpid(P.Pid, nullptr, 0);
    }
  if (TestOracle.Succeeded == SucceededBefore)
    TestOracle.Violations.push_back(
        {"RECOVER", "no request succeeded in the second half of the cool-down",
         0});
  return report();
}

int Soak::report() {
  checkLimits();
  if (usesCustomers())
    std::printf("%llu keys refused\n",
                static_cast<unsigned long long>(TestOracle.RefusedKeys));
  for (const std::string &Problem : Store.Problems)
    TestOracle.Violations.push_back({Problem, "", 0});
  auto Remaining = TestOracle.remainingViolations();
  std::printf(
      "seed %llu: %llu succeeded, %llu refused, %llu unknown, "
      "%zu commits acknowledged, %zu rolled back, %llu configuration probes, "
      "%zu violations\n",
      static_cast<unsigned long long>(Seed),
      static_cast<unsigned long long>(TestOracle.Succeeded),
      static_cast<unsigned long long>(TestOracle.Refused),
      static_cast<unsigned long long>(TestOracle.Unknown),
      TestOracle.Acknowledged.size(), TestOracle.RolledBack.size(),
      static_cast<unsigned long long>(Probes), Remaining.size());
  for (std::size_t I = 0; I < Remaining.size() && I < 20; ++I)
    std::printf("  %s %s\n", Remaining[I].Kind.c_str(),
                Remaining[I].Text.c_str());
  bool MustReport =
      Injected != InjectedFault::None && Injected != InjectedFault::Stops &&
      Injected != InjectedFault::Drills && Injected != InjectedFault::Customers;
  std::string_view Kind = reportedKind(Injected);
  bool Reported =
      std::any_of(Remaining.begin(), Remaining.end(), [&](const Violation &V) {
        return Kind.empty() || V.Kind == Kind;
      });
  bool Failed = Reported != MustReport;
  if (!Failed)
    std::filesystem::remove_all(Directory);
  else
    std::printf("logs: %s\n", Directory.c_str());
  return Failed ? 1 : 0;
}

} // namespace eelgrassloom::soak

using namespace eelgrassloom::soak;

int main(int Argc, char **Argv) {
  if (Argc < 3) {
    std::fprintf(stderr,
                 "usage: %s PROGRAM SEED [SECONDS [PROXIES "
                 "[promotion|rules|stops|drills|unnamed-era|rows|texts|values|"
                 "customers|wrong-customer|low-limit|kept-key]]]\n",
                 Argv[0]);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int Seconds = Argc > 3 ? std::atoi(Argv[3]) : 15;
  int Count = Argc > 4 ? std::atoi(Argv[4]) : 5;
  std::string FaultName = Argc > 5 ? Argv[5] : "none";
  auto Name = std::find(InjectedFaultNames.begin(), InjectedFaultNames.end(),
                        FaultName);
  if (Name == InjectedFaultNames.end()) {
    std::fprintf(stderr,
                 "the injected fault must be promotion, rules, stops, drills, "
                 "unnamed-era, rows, texts, values, customers, wrong-customer, "
                 "low-limit or kept-key\n");
    return 2;
  }
  if (Seconds <= 0 || Count <= 0) {
    std::fprintf(stderr, "SECONDS and PROXIES must be positive\n");
    return 2;
  }
  return Soak(Argv[1], std::strtoull(Argv[2], nullptr, 10),
              static_cast<std::size_t>(Count),
              static_cast<InjectedFault>(Name - InjectedFaultNames.begin()))
      .run(std::chrono::seconds(Seconds));
}