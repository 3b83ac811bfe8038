/// \file
/// Randomized fault soak: real proxy processes before the stand-ins, with
/// faults from outside. Usage: soak PROGRAM SEED [SECONDS [PROXIES [PLANTED]]],
/// where PLANTED is a fault that must be found: promotion or rules.

#include "ports.h"
#include "standins.h"
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace eelgrassloom;
using namespace eelgrassloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr Duration WarmUp = 3s;
constexpr Duration CoolDown = 4s;
constexpr int Callers = 24;
/// Bound for rules to be in force, as in the settings of the proxies.
constexpr Duration ApplyTime = 3s;
/// Bounds hold for proxies and a store without a fault for this long.
constexpr Duration CalmTime = 4s;
constexpr Duration ProbePause = 20ms;

/// A fault that no proxy can help, to show that the checks find it.
enum class Plant : std::uint8_t { None, Promotion, Rules };
constexpr std::array<std::string_view, 3> PlantNames = {"none", "promotion",
                                                        "rules"};

/// One proxy process; ended by its id.
struct Proxy {
  std::string Settings;
  std::string Log;
  std::uint16_t Front = 0;
  pid_t Id = 0;
  /// End of its last fault; the largest instant while it lasts.
  Instant CalmSince;
};

class Soak {
public:
  Soak(std::string Program, std::uint64_t Seed, std::size_t Count,
       Plant Planted)
      : Program(std::move(Program)), Seed(Seed), Planted(Planted), Random(Seed),
        Group(Loop, Shared), Store(Loop, Group), Proxies(Count) {
    Folder = std::filesystem::temp_directory_path() /
             ("soak-" + std::to_string(getpid()) + "-" + std::to_string(Seed));
    std::filesystem::create_directories(Folder);
  }

  int run(Duration Length);

private:
  void prepare();
  void startProxy(Proxy &P);
  void signalProxy(Proxy &P, int Signal);
  void reap(Proxy &P);
  void config();
  void change();
  bool calm(const Proxy &P) const;
  void noteStore();
  void probe();
  void probed(const Proxy &P, const std::string &Database, bool Known,
              StartAnswer Answer);
  void serversTick();
  void fault();
  void faultOfProxy(Proxy &P);
  void faultOfServer(Server &S);
  void faultOfStore();
  void heal();
  int report();
  void note(const std::string &Text) {
    std::printf("%7lld ms  %s\n", toMillis(now() - StartedAt), Text.c_str());
  }

  std::string Program;
  std::uint64_t Seed;
  Plant Planted;
  std::mt19937_64 Random;
  io_context Loop{1};
  Ports Free{Loop};
  Truth Shared;
  Servers Group;
  KeyStore Store;
  std::vector<Proxy> Proxies;
  std::vector<std::shared_ptr<Caller>> Clients;
  std::filesystem::path Folder;
  Instant StartedAt;
  /// Since when the store answers at least one proxy without a fault.
  Instant StoreCalmSince;
  ProbeRoutes Added;
  std::uint64_t Probes = 0;
  unsigned Version = 1;
  bool Faults = false;
};

void Soak::config() {
  std::string Routes;
  auto Add = [&](const std::string &Name, const char *Type, int Bound) {
    Routes +=
        std::string(Routes.empty() ? "" : ",") + R"({"name":"r","host":")" +
        Name + R"(","type":")" + Type +
        R"(","timeoutMs":1500,"goalMs":300,"priority":1,"service":"svc",)" +
        R"("maxStalenessMs":)" + std::to_string(Bound) + "}";
  };
  Add("latest", "primary", 0);
  Add("session", "read_your_writes", 2500);
  Add("bounded", "bounded_staleness", 1500);
  for (const std::string &Name : Added.current())
    Add(Name, "primary", 0);
  Store.put(
      "op/config",
      "{\"version\":" + std::to_string(Version) + ",\"routes\":[" + Routes +
          R"(],"services":[{"name":"svc","maxConns":40,"syncReplicas":0}],)" +
          R"("limits":{"txIdleMs":3000}})");
}

void Soak::change() {
  if (!Faults)
    return;
  ++Version;
  Added.add(now());
  if (Planted != Plant::Rules)
    config();
  after(Loop, std::chrono::milliseconds(200 + Random() % 1500),
        [this] { change(); });
}

bool Soak::calm(const Proxy &P) const {
  return P.Id != 0 && now() - P.CalmSince >= CalmTime;
}

void Soak::noteStore() {
  bool Reached = false;
  for (std::size_t I = 0; I < Proxies.size(); ++I)
    Reached = Reached || (calm(Proxies[I]) && Store.CutOff.count(I) == 0 &&
                          Store.TurnedAway.count(I) == 0);
  if (!Reached || Store.Mode != StoreMode::Normal)
    StoreCalmSince = now();
}

/// CONFIG: asks a proxy for a database that was added or removed.
void Soak::probe() {
  const Proxy &P = Proxies[Random() % Proxies.size()];
  auto Asked = Added.pick(now() - ApplyTime, Random);
  if (Asked && calm(P) && now() - StoreCalmSince >= CalmTime)
    askDatabase(Loop, P.Front, Asked->first,
                [this, &P, Asked = *Asked](StartAnswer Answer) {
                  probed(P, Asked.first, Asked.second, Answer);
                });
  after(Loop, ProbePause, [this] { probe(); });
}

void Soak::probed(const Proxy &P, const std::string &Database, bool Known,
                  StartAnswer Answer) {
  if (Answer == StartAnswer::Other || !calm(P))
    return; // A fault has begun meanwhile.
  if (Known && !Added.exists(Database))
    return; // Removed while the proxy was asked.
  ++Probes;
  if ((Answer == StartAnswer::Known) != Known)
    Shared.Violations.push_back(
        {"CONFIG",
         Database + (Known ? " is unknown at " : " is still known at ") +
             P.Settings + " after " +
             std::to_string(toMillis(now() - StartedAt)) + " ms",
         0});
}

void Soak::prepare() {
  config();
  for (std::size_t I = 0; I < Proxies.size(); ++I) {
    Proxy &P = Proxies[I];
    P.Front = Free.next();
    std::string Ip = "127.0.0.1:";
    std::string StoreAddress = Ip + std::to_string(Store.port(I));
    P.Settings = Folder / ("p" + std::to_string(I) + ".conf");
    P.Log = Folder / ("p" + std::to_string(I) + ".log");
    std::ofstream(P.Settings)
        << "node=p" << I << "\nzone=z\nip=127.0.0.1\nlisten.front=" << Ip
        << P.Front << "\nlisten.ready=" << Ip << Free.next()
        << "\nportRange=" << Free.next() << ",0\nplatform.addr=" << StoreAddress
        << "\ncloud.addr=" << StoreAddress
        << "\nbounds.graceS=4\nbounds.configApplyMs=3000\n";
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
  if (posix_spawn(&P.Id, Program.c_str(), &Actions, nullptr, Argv.data(),
                  Envp.data()) != 0) {
    std::perror("posix_spawn");
    std::exit(2);
  }
  posix_spawn_file_actions_destroy(&Actions);
  P.CalmSince = now();
}

void Soak::signalProxy(Proxy &P, int Signal) {
  if (P.Id != 0)
    kill(P.Id, Signal);
}

/// Starts a proxy again that has ended.
void Soak::reap(Proxy &P) {
  int Status = 0;
  if (P.Id == 0 || waitpid(P.Id, &Status, WNOHANG) != P.Id)
    return;
  if (WIFSIGNALED(Status) && WTERMSIG(Status) != SIGKILL)
    Shared.Violations.push_back(
        {"CRASH", P.Settings + " by signal " + std::to_string(WTERMSIG(Status)),
         0});
  P.Id = 0;
  P.CalmSince = Instant::max();
  after(Loop, 200ms, [this, &P] { startProxy(P); });
}

void Soak::serversTick() {
  Group.replicate();
  Store.expire();
  for (const ServerRef &S : Group.All) {
    if (S->Up)
      Store.put("servers/" + S->Id, S->entry());
    else
      Store.erase("servers/" + S->Id);
  }
  for (Proxy &P : Proxies)
    reap(P);
  noteStore();
  after(Loop, 10ms, [this] { serversTick(); });
}

void Soak::faultOfProxy(Proxy &P) {
  switch (Random() % 4) {
  case 0:
    note("kill " + P.Settings.substr(P.Settings.size() - 7));
    signalProxy(P, SIGKILL);
    return;
  case 1:
    note("terminate " + P.Settings.substr(P.Settings.size() - 7));
    P.CalmSince = Instant::max();
    signalProxy(P, SIGTERM);
    return;
  case 2:
    note("pause " + P.Settings.substr(P.Settings.size() - 7));
    P.CalmSince = Instant::max();
    signalProxy(P, SIGSTOP);
    after(Loop, std::chrono::milliseconds(200 + Random() % 3500),
          [this, &P, Id = P.Id] {
            signalProxy(P, SIGCONT);
            if (P.Id == Id)
              P.CalmSince = now();
          });
    return;
  default:
    note("reload " + P.Settings.substr(P.Settings.size() - 7));
    signalProxy(P, SIGHUP);
  }
}

void Soak::faultOfServer(Server &S) {
  auto Later = [this](std::function<void()> Run) {
    after(Loop, std::chrono::milliseconds(300 + Random() % 4000),
          std::move(Run));
  };
  ServerRef Ref = S.shared_from_this();
  switch (Random() % 6) {
  case 0:
    note("crash " + S.Id);
    S.crash();
    Later([Ref] { Ref->start(); });
    return;
  case 1:
  case 2:
    S.Mode = Random() % 2 == 0 ? LinkMode::Silent : LinkMode::OneWay;
    note((S.Mode == LinkMode::Silent ? "silence " : "one way ") + S.Id);
    Later([Ref] {
      Ref->Mode = LinkMode::Normal;
      Ref->resetConnections();
    });
    return;
  case 3:
    note("reset " + S.Id);
    S.resetConnections();
    return;
  case 4:
    note("drain " + S.Id);
    S.Draining = true;
    Later([Ref] { Ref->Draining = false; });
    return;
  default:
    note("lag " + S.Id);
    S.Lag = 1500ms;
    Later([Ref] { Ref->Lag = 20ms; });
  }
}

void Soak::faultOfStore() {
  std::size_t I = Random() % Proxies.size();
  std::string Name = "p" + std::to_string(I);
  Duration Length = std::chrono::milliseconds(500 + Random() % 8000);
  switch (Random() % 4) {
  case 0:
    note("store cut from " + Name);
    Store.CutOff.insert(I);
    after(Loop, Length, [this, I] { Store.CutOff.erase(I); });
    return;
  case 1:
    note("store turns away " + Name);
    Store.TurnedAway.insert(I);
    after(Loop, Length, [this, I] { Store.TurnedAway.erase(I); });
    return;
  case 2:
    note("store connections of " + Name + " go silent");
    Store.silence(I);
    return;
  default:
    break;
  }
  Store.Mode = static_cast<StoreMode>(1 + Random() % 4);
  note("store mode " + std::to_string(static_cast<int>(Store.Mode)));
  after(Loop, std::chrono::milliseconds(500 + Random() % 4000),
        [this] { Store.Mode = StoreMode::Normal; });
}

void Soak::fault() {
  if (!Faults)
    return;
  switch (Random() % 5) {
  case 0:
  case 1:
    faultOfProxy(Proxies[Random() % Proxies.size()]);
    break;
  case 2:
  case 3:
    faultOfServer(*Group.All[Random() % Group.All.size()]);
    break;
  default:
    faultOfStore();
  }
  after(Loop, std::chrono::milliseconds(150 + Random() % 900),
        [this] { fault(); });
}

void Soak::heal() {
  Faults = false;
  Store.Mode = StoreMode::Normal;
  Store.CutOff.clear();
  Store.TurnedAway.clear();
  for (const ServerRef &S : Group.All) {
    S->start();
    S->Mode = LinkMode::Normal;
    S->Draining = false;
    S->Lag = 20ms;
  }
  for (Proxy &P : Proxies)
    signalProxy(P, SIGCONT);
}

int Soak::run(Duration Length) {
  StartedAt = now();
  prepare();
  for (Proxy &P : Proxies)
    startProxy(P);
  serversTick();
  std::vector<std::uint16_t> Ports;
  for (const Proxy &P : Proxies)
    Ports.push_back(P.Front);
  for (unsigned I = 0; I < Callers; ++I) {
    Clients.push_back(
        std::make_shared<Caller>(Loop, Shared, I, Ports, Seed * 1000));
    after(Loop, 1s, [this, I] { Clients[I]->run(); });
  }
  after(Loop, WarmUp, [this] {
    // A planted fault comes alone: a promotion that nobody coordinated, or
    // rules that are changed and never stored.
    Faults = Planted != Plant::Promotion;
    if (Planted == Plant::Promotion)
      Group.promote("i-b");
    if (Planted == Plant::None)
      fault();
    change();
    probe();
  });
  std::uint64_t Before = 0;
  after(Loop, WarmUp + Length, [this] { heal(); });
  after(Loop, WarmUp + Length + CoolDown / 2,
        [this, &Before] { Before = Shared.Succeeded; });
  after(Loop, WarmUp + Length + CoolDown, [this] { Loop.stop(); });
  Loop.run();
  for (Proxy &P : Proxies)
    if (P.Id != 0) {
      signalProxy(P, SIGKILL);
      waitpid(P.Id, nullptr, 0);
    }
  if (Shared.Succeeded == Before)
    Shared.Violations.push_back({"RECOVER", "nothing served at the end", 0});
  return report();
}

int Soak::report() {
  for (const std::string &Problem : Store.Problems)
    Shared.Violations.push_back({Problem, "", 0});
  auto Remaining = Shared.remaining();
  std::printf(
      "seed %llu: %llu succeeded, %llu refused, %llu unknown, "
      "%zu commits acknowledged, %zu rolled back, %llu probes of rules, "
      "%zu violations\n",
      static_cast<unsigned long long>(Seed),
      static_cast<unsigned long long>(Shared.Succeeded),
      static_cast<unsigned long long>(Shared.Refused),
      static_cast<unsigned long long>(Shared.Unknown),
      Shared.Acknowledged.size(), Shared.RolledBack.size(),
      static_cast<unsigned long long>(Probes), Remaining.size());
  for (std::size_t I = 0; I < Remaining.size() && I < 20; ++I)
    std::printf("  %s %s\n", Remaining[I].Rule.c_str(),
                Remaining[I].Text.c_str());
  bool Failed = Remaining.empty() != (Planted == Plant::None);
  if (!Failed)
    std::filesystem::remove_all(Folder);
  else
    std::printf("logs: %s\n", Folder.c_str());
  return Failed ? 1 : 0;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 3) {
    std::fprintf(stderr,
                 "usage: %s PROGRAM SEED [SECONDS [PROXIES "
                 "[promotion|rules]]]\n",
                 Argv[0]);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int Seconds = Argc > 3 ? std::atoi(Argv[3]) : 15;
  int Count = Argc > 4 ? std::atoi(Argv[4]) : 5;
  std::string Word = Argc > 5 ? Argv[5] : "none";
  auto Planted = std::find(PlantNames.begin(), PlantNames.end(), Word);
  if (Planted == PlantNames.end()) {
    std::fprintf(stderr, "the planted fault must be promotion or rules\n");
    return 2;
  }
  if (Seconds <= 0 || Count <= 0) {
    std::fprintf(stderr, "SECONDS and PROXIES must be positive\n");
    return 2;
  }
  return Soak(Argv[1], std::strtoull(Argv[2], nullptr, 10),
              static_cast<std::size_t>(Count),
              static_cast<Plant>(Planted - PlantNames.begin()))
      .run(std::chrono::seconds(Seconds));
}
