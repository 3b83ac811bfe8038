/// \file
/// Sends statements with all bytes that the line protocol allows through real
/// proxy processes, and compares what callers and servers see. Shares no code
/// with the codec of the product. Usage: wire-test PROGRAM SEED [GROUP].

#include "caller.h"
#include "cases.h"
#include "keyvaluestore.h"
#include "ports.h"
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace eelgrassloom::wiretest {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t ProxyCount = 2;
constexpr std::size_t CallerCount = 12;
/// With fewer connections, one proxy runs the statements of both.
constexpr unsigned ManyConnections = 30;
/// Time after the start of the callers at which keys change.
constexpr Duration ChangeDelay = 2s;
/// Time in which the proxies have to serve the first read and write.
constexpr Duration StartTime = 20s;
constexpr Duration WarmUpPause = 100ms;
/// Longest run of a group.
constexpr Duration MaxLength = 50s;

struct Proxy {
  std::filesystem::path Settings;
  std::filesystem::path Log;
  std::uint16_t Port = 0;
  pid_t Pid = 0;
};

/// One group of cases with processes of its own.
class Run {
public:
  Run(std::string Program, std::uint64_t Seed, const CaseGroup &Group);
  ~Run();
  Run(const Run &) = delete;
  Run &operator=(const Run &) = delete;

  /// False if a check has failed.
  bool execute();

private:
  void publish();
  void changeKeys();
  void checkLogs();
  void startProxy(std::size_t Index);
  void warmUp(Instant Until);
  void expireLeases();
  void startCallers();
  bool report();

  std::string Program;
  const CaseGroup &Group;
  io_context Loop{1};
  soak::PortAllocator FreePorts{Loop};
  Board Checks;
  Service Shared;
  Server Primary;
  Server Replica;
  soak::KeyValueStore Store;
  std::filesystem::path Directory;
  std::array<Proxy, ProxyCount> Proxies;
  CaseContext Context;
  Work Todo{Checks, {}, {}};
  std::size_t Running = 0;
  bool Finished = false;
  unsigned ConfigVersion = 1;
};

Run::Run(std::string ProgramPath, std::uint64_t Seed, const CaseGroup &Group)
    : Program(std::move(ProgramPath)), Group(Group), Shared(Seed),
      Primary(Loop, Checks, Shared, "i-a", true),
      Replica(Loop, Checks, Shared, "i-b", false),
      Store(Loop, [](const std::string &Id) { return Id == "i-a"; }),
      Directory(
          std::filesystem::temp_directory_path() /
          ("wire-" + std::to_string(getpid()) + "-" + std::string(Group.Name))),
      Context{Checks, Shared, std::mt19937_64(Seed), {}} {
  Context.FewConnections = Group.MaxConnections < ManyConnections;
  if (Group.HasCustomers)
    setCustomers(Context);
  std::filesystem::create_directories(Directory);
}

Run::~Run() {
  for (const Proxy &P : Proxies)
    if (P.Pid != 0) {
      kill(P.Pid, SIGKILL);
      waitpid(P.Pid, nullptr, 0);
    }
}

void Run::publish() {
  std::string Routes;
  auto Add = [&](const std::string &Name, const char *Type, int Bound,
                 bool Public = false) {
    Routes +=
        std::string(Routes.empty() ? "" : ",") + R"({"name":"r","host":")" +
        Name + R"(","type":")" + Type +
        R"(","timeoutMs":5000,"goalMs":5000,"priority":1,"service":"svc",)" +
        R"("maxStalenessMs":)" + std::to_string(Bound) +
        (Public ? R"(,"public":true})" : "}");
  };
  Add("latest", "primary", 0);
  Add("session", "read_your_writes", 2500);
  Add("bounded", "bounded_staleness", 1500);
  std::string Customers;
  if (Group.HasCustomers) {
    Add("public", "primary", 0, true);
    Customers = R"("tenants":)" + Checks.Customers.json() + ",";
  }
  Checks.Customers.acknowledge(soak::now());
  Store.put("op/config", R"({"version":)" + std::to_string(ConfigVersion) +
                             "," + Customers + R"("routes":[)" + Routes +
                             R"(],"services":[{"name":"svc","maxConns":)" +
                             std::to_string(Group.MaxConnections) +
                             R"(,"syncReplicas":0}],"limits":{"txIdleMs":)" +
                             (Group.HasCustomers ? "20000" : "5000") + "}}");
  Store.put("servers/i-a", Primary.entry());
  Store.put("servers/i-b", Replica.entry());
}

void Run::startProxy(std::size_t Index) {
  Proxy &P = Proxies[Index];
  P.Port = FreePorts.next();
  Todo.Ports.push_back(P.Port);
  std::string Ip = "127.0.0.1:";
  std::string StoreAddress = Ip + std::to_string(Store.port(Index));
  P.Settings = Directory / ("p" + std::to_string(Index) + ".conf");
  P.Log = Directory / ("p" + std::to_string(Index) + ".log");
  std::ofstream(P.Settings)
      << "node=p" << Index << "\nzone=z\nip=127.0.0.1\nlisten.front=" << Ip
      << P.Port << "\nlisten.ready=" << Ip << FreePorts.next()
      << "\nportRange=" << FreePorts.next()
      << ",0\nplatform.addr=" << StoreAddress << "\ncloud.addr=" << StoreAddress
      << "\nbounds.graceS=4\nbounds.configApplyMs=3000\n";
  if (Group.HasCustomers)
    std::ofstream(P.Settings, std::ios::app)
        << "zones.z=nord\nbounds.quotaSlack=20\n";
  std::string Setting = "EELGRASSLOOM_SETTINGS=" + P.Settings.string();
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
}

void Run::expireLeases() {
  Store.expire();
  runAfter(Loop, 10ms, [this] { expireLeases(); });
}

/// Writes through each proxy until both have succeeded, then starts the
/// callers.
void Run::warmUp(Instant Until) {
  std::size_t Before = Checks.succeeded();
  for (std::size_t I = 0; I < ProxyCount; ++I) {
    ScriptWriter S(Checks, I, Group.HasCustomers ? "public" : "latest");
    if (Group.HasCustomers)
      S.usePublicRoute();
    S.demand(Demand::Any);
    S.write("warm-up", "data");
    Todo.Scripts.push_back(S.take());
  }
  auto Done = [this, Before, Until] {
    if (Checks.succeeded() == Before + ProxyCount) {
      startCallers();
    } else if (soak::now() > Until) {
      std::printf("the proxies do not serve\n");
      Checks.enable();
      Loop.stop();
    } else {
      runAfter(Loop, WarmUpPause, [this, Until] { warmUp(Until); });
    }
  };
  std::make_shared<Caller>(Loop, Todo, Done)->run();
}

void Run::startCallers() {
  Checks.enable();
  Shared.Senders.clear();
  Context.ChangeAt = soak::now() + ChangeDelay;
  Group.Build(Context);
  if (Group.HasCustomers)
    runAfter(Loop, ChangeDelay, [this] { changeKeys(); });
  Todo.Scripts = std::move(Context.Scripts);
  Running = CallerCount + Context.LongSessions;
  for (std::size_t I = Running; I > 0; --I)
    std::make_shared<Caller>(Loop, Todo, [this] {
      if (--Running != 0)
        return;
      Finished = true;
      Loop.stop();
    })->run();
}

bool Run::execute() {
  publish();
  for (std::size_t I = 0; I < ProxyCount; ++I)
    startProxy(I);
  expireLeases();
  warmUp(soak::now() + StartTime);
  runAfter(Loop, MaxLength, [this] { Loop.stop(); });
  Loop.run();
  return report();
}

void Run::changeKeys() {
  wiretest::changeKeys(Context);
  ++ConfigVersion;
  publish();
}

/// Finds log lines that contain a key.
void Run::checkLogs() {
  for (const Proxy &P : Proxies) {
    std::ifstream Log(P.Log);
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find(soak::KeyMarker) != std::string::npos)
        Checks.fail(P.Log, "KEY", "a key in a log line: " + Line);
  }
}

bool Run::report() {
  Checks.checkWrites();
  checkLogs();
  if (!Finished)
    Checks.fail("run", "NOANSWER", "the callers did not finish in time");
  if (Checks.succeeded() * 100 < Checks.asked() * Group.MinSucceeded)
    Checks.fail("run", "REFUSAL", "too few statements succeeded");
  for (std::size_t I = 0; I < ProxyCount; ++I)
    if (waitpid(Proxies[I].Pid, nullptr, WNOHANG) == Proxies[I].Pid) {
      Proxies[I].Pid = 0;
      Checks.fail("proxy " + std::to_string(I), "CRASH", "the process ended");
    }
  bool Ok = Checks.wrong() == 0;
  std::printf("%.*s: %zu statements, %zu succeeded, %zu wrong, sent by %zu "
              "proxies\n",
              static_cast<int>(Group.Name.size()), Group.Name.data(),
              Checks.asked(), Checks.succeeded(), Checks.wrong(),
              Shared.Senders.size());
  if (Ok)
    std::filesystem::remove_all(Directory);
  else
    std::printf("logs: %s\n", Directory.c_str());
  return Ok;
}

} // namespace

} // namespace eelgrassloom::wiretest

using namespace eelgrassloom::wiretest;

int main(int Argc, char **Argv) {
  if (Argc < 3) {
    std::fprintf(stderr, "usage: %s PROGRAM SEED [GROUP]\n", Argv[0]);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::uint64_t Seed = std::strtoull(Argv[2], nullptr, 10);
  std::size_t Groups = 0;
  bool Ok = true;
  for (const CaseGroup &Group : caseGroups()) {
    if (Argc > 3 && Group.Name != Argv[3])
      continue;
    ++Groups;
    Ok = Run(Argv[1], Seed, Group).execute() && Ok;
  }
  if (Groups == 0) {
    std::fprintf(stderr, "no group has the name %s\n", Argv[3]);
    return 2;
  }
  return Ok ? 0 : 1;
}
