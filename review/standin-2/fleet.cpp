#include "fleet.h"
#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

constexpr std::array<const char *, 4> Zones = {"muenchen", "nuernberg",
                                               "augsburg", "rosenheim"};
constexpr Duration DrainTime = 7s;
constexpr Duration RestartDelay = 500ms;
/// limits.memoryMb of the settings.
constexpr std::size_t MemoryLimit = std::size_t{260} << 20;
/// Values that a client of a LongState sets.
constexpr unsigned LongValues = 4;
/// Statements that a client of ManyValues sends ahead.
constexpr unsigned ManyValuesBatch = 200;

} // namespace

void Client::start(std::uint16_t Port, const std::string &Database,
                   Handler Handle) {
  close();
  Done = std::move(Handle);
  Partial = {};
  Input.clear();
  Socket = tcp::socket(Loop);
  unsigned Mine = ++Generation;
  Socket.async_connect(
      {asio::ip::make_address("127.0.0.1"), Port},
      [Self = shared_from_this(), Database, Mine](error_code Error) {
        if (Mine != Self->Generation)
          return;
        if (Error) {
          Self->finish(true);
          return;
        }
        Self->Socket.set_option(tcp::no_delay(true));
        error_code Ignored;
        asio::write(
            Self->Socket,
            asio::buffer("START " + Database + " " + Self->Name + "\r\n"),
            Ignored);
        Self->read();
      });
}

void Client::query(const std::string &, const std::string &Line,
                   Handler Handle) {
  Done = std::move(Handle);
  Partial = {};
  error_code Ignored;
  asio::write(Socket, asio::buffer(Line), Ignored);
}

void Client::close() {
  error_code Ignored;
  Socket.close(Ignored);
  Started = false;
  ++Generation;
}

void Client::read() {
  unsigned Mine = Generation;
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self = shared_from_this(), Mine](error_code Error, std::size_t Bytes) {
        if (Mine != Self->Generation)
          return;
        if (Error) {
          Self->finish(true);
          return;
        }
        Self->Input.append(Self->Buffer.data(), Bytes);
        std::size_t End = 0;
        while (Mine == Self->Generation &&
               (End = Self->Input.find("\r\n")) != std::string::npos) {
          std::string Line = Self->Input.substr(0, End);
          Self->Input.erase(0, End + 2);
          if (Line.starts_with("ROW ")) {
            Self->Partial.Rows.push_back(Line.substr(4));
          } else if (Line.starts_with("DONE ")) {
            Self->Partial.Signature = Line.substr(5);
          } else if (Line.starts_with("ERR ")) {
            Self->Partial.Code = Line.substr(4, Line.find(' ', 4) - 4);
            if (!Self->Started || !Self->Done)
              Self->finish(false);
          } else if (Line.starts_with("READY ")) {
            Self->Started = true;
            Self->finish(false);
          }
        }
        if (Mine == Self->Generation)
          Self->read();
      });
}

void Client::finish(bool Lost) {
  Answer A = std::move(Partial);
  Partial = {};
  A.Lost = Lost;
  auto Handler = std::exchange(Done, nullptr);
  // An error without a request announces the end of the session.
  if (Lost || !Started || !Handler)
    close();
  if (Handler)
    Handler(A);
}

Fleet::Fleet(asio::io_context &Loop, std::string Program, std::string Directory)
    : Loop(Loop),
      Platform(Loop,
               [this](const std::string &Name, const std::string &Id) {
                 for (const auto &S : Services)
                   if (S->Name == Name)
                     return S->promote(Id);
                 return false;
               }),
      Program(std::move(Program)), Directory(std::move(Directory)) {
  std::filesystem::create_directories(this->Directory);
  Platform.OnReturn = [this] {
    if (!Config.empty())
      Platform.put("op/config", Config);
    publishServers();
  };
  tick();
}

Fleet::~Fleet() { stop(); }

Service &Fleet::addService(const std::string &Name, Duration Lag) {
  Services.push_back(std::make_unique<Service>(Loop, Facts, Name, Lag));
  Service &S = *Services.back();
  for (std::size_t I = 0; I < 3; ++I)
    S.add("i-" + Name + "-" + std::string(1, static_cast<char>('a' + I)),
          Zones[I], I == 0);
  return S;
}

void Fleet::publishServers() {
  for (const auto &S : Services)
    for (const ServerRef &Each : S->Servers)
      if (Each->Up)
        Platform.put("servers/" + Each->Id, Each->entry());
}

void Fleet::addProxies(std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    auto P = std::make_unique<Proxy>();
    P->Zone = Zones[I % Zones.size()];
    P->Name = "front-" + P->Zone + "-" + std::to_string(1 + I / Zones.size());
    P->Port = freePort(Loop);
    P->ReadyPort = freePort(Loop);
    P->Settings = Directory + "/" + P->Name + ".conf";
    P->Log = Directory + "/" + P->Name + ".log";
    std::string Ip = "127.0.0.1:";
    std::uint16_t Peer = freePort(Loop);
    std::ofstream Out(P->Settings);
    Out << "node=" << P->Name << "\nrole=proxy\nclass=front\nserves=front"
        << "\nip=127.0.0.1\nzone=" << P->Zone << "\nregion=bayern\n";
    for (const char *Zone : Zones)
      Out << "zones." << Zone << "=bayern\n";
    Out << "listen.front=" << Ip << P->Port << "\nlisten.ready=" << Ip
        << P->ReadyPort << "\nportRange=" << Peer << "," << Peer
        << "\nseeds=\nbootstrap=true\ninTolerance=false"
        << "\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260"
        << "\nlimits.maxFds=4300\nlimits.linkMbps=1000.0\nlimits.diskMb=0"
        << "\ndiscovery=platform\nentry=vip\nheartbeatMs=1200"
        << "\ncontracts=base,drain,config,cost,recover,sql,platform"
        << "\ntolerate.machines=2\ntolerate.zones=1\ntolerate.regions=0"
        << "\nbounds.seedLagS=3\nbounds.reuseS=2"
        << "\nbounds.stableWindowMs=4000\nbounds.ackMs=5000"
        << "\nbounds.catchupS=4\nbounds.drainMs=7000\nbounds.graceS=6"
        << "\nbounds.lostSlackMs=200\nbounds.configApplyMs=3000"
        << "\nbounds.downgradeMs=250\nbounds.skewMaxMs=12000"
        << "\nbounds.recoveryS=12\nbounds.fencing=false"
        << "\nbounds.thawSlackMs=300\nplatform.addr=" << Ip
        << Platform.storePort() << "\nplatform.form=kv\nplatform.writesPerS=400"
        << "\nplatform.readsPerS=2000\nplatform.historyS=20"
        << "\nplatform.valueBytes=1048576\nplatform.minTtlMs=1000"
        << "\ncloud.addr=" << Ip << Platform.cloudPort()
        << "\ncloud.ratePerS=50.0\ncloud.duties=promote"
        << "\ncloud.dutyPerS=50.0\n";
    Proxies.push_back(std::move(P));
  }
}

void Fleet::startProxy(Proxy &P) {
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
    P.Pid = 0;
    stop();
    std::exit(2);
  }
  posix_spawn_file_actions_destroy(&Actions);
  record("process " + P.Name + " started");
}

void Fleet::startProxies() {
  for (const auto &P : Proxies)
    startProxy(*P);
}

void Fleet::signal(Proxy &P, int Signal) {
  if (P.Pid == 0)
    return;
  record("process " + P.Name + " gets signal " + std::to_string(Signal));
  kill(P.Pid, Signal);
}

Proxy *Fleet::find(const std::string &Name) {
  for (const auto &P : Proxies)
    if (P->Name == Name)
      return P.get();
  return nullptr;
}

void Fleet::checkMemory() {
  for (const auto &P : Proxies) {
    if (P->Pid == 0)
      continue;
    std::ifstream In("/proc/" + std::to_string(P->Pid) + "/statm");
    std::size_t Total = 0;
    std::size_t Resident = 0;
    In >> Total >> Resident;
    Resident *= static_cast<std::size_t>(getpagesize());
    P->MostMemory = std::max(P->MostMemory, Resident);
    if (Resident <= MemoryLimit)
      continue;
    ++P->MemoryEnds;
    record("platform: " + P->Name + " has " + std::to_string(Resident >> 20) +
           " MB of 260 and is killed");
    signal(*P, SIGKILL);
    int Status = 0;
    waitpid(P->Pid, &Status, 0);
    P->Pid = 0;
    runAfter(Loop, RestartDelay, [this, &P = *P] {
      if (!Stopped)
        startProxy(P);
    });
  }
}

void Fleet::tick() {
  if (Stopped)
    return;
  checkMemory();
  for (const auto &S : Services)
    S->replicate();
  publishServers();
  for (const auto &P : Proxies) {
    int Status = 0;
    if (P->Pid == 0 || waitpid(P->Pid, &Status, WNOHANG) != P->Pid)
      continue;
    P->Pid = 0;
    record("process " + P->Name + " has ended, status " +
           std::to_string(Status));
    if (WIFSIGNALED(Status) && WTERMSIG(Status) != SIGKILL)
      Facts.Broken.push_back("CRASH: " + P->Name + " by signal " +
                             std::to_string(WTERMSIG(Status)));
    if (!P->Removed)
      runAfter(Loop, RestartDelay, [this, &P = *P] {
        if (!Stopped)
          startProxy(P);
      });
  }
  runAfter(Loop, 5ms, [this] { tick(); });
}

void Fleet::release(Service &S, const ServerRef &Old, const std::string &NewId,
                    Duration Before, Duration After) {
  record("operator: " + Old->Id + " is replaced by " + NewId);
  S.add(NewId, Old->Zone, false);
  runAfter(Loop, Before, [this, Old] {
    Old->Draining = true;
    Platform.put("servers/" + Old->Id, Old->entry());
    Old->DrainingSince = now();
    record("server " + Old->Id + " drains; the store has acknowledged it");
  });
  runAfter(Loop, Before + DrainTime + After, [this, Old] {
    Old->stop();
    Platform.erase("servers/" + Old->Id);
  });
}

void Fleet::configure(unsigned Version,
                      const std::vector<std::array<std::string, 3>> &Routes) {
  json List = json::array();
  for (const auto &[Database, ServiceName, Type] : Routes)
    List.push_back(
        {{"name", "r-" + Database},
         {"host", Database},
         {"type", Type},
         {"service", ServiceName},
         {"timeoutMs", 1000},
         {"goalMs", 200},
         {"priority", 0},
         {"maxStalenessMs", Type == "read_your_writes" ? 2500 : 1500}});
  json Names = json::array();
  for (const auto &S : Services)
    Names.push_back({{"name", S->Name}, {"maxConns", 33}, {"syncReplicas", 0}});
  Config = json{{"version", Version},
                {"routes", List},
                {"services", Names},
                {"limits", {{"txIdleMs", 3000}}}}
               .dump();
  Platform.put("op/config", Config);
}

void Fleet::stop() {
  Stopped = true;
  for (const auto &P : Proxies)
    if (P->Pid != 0) {
      kill(P->Pid, SIGKILL);
      waitpid(P->Pid, nullptr, 0);
      P->Pid = 0;
    }
}

void Load::run() {
  Session = std::make_shared<Client>(F.Loop, Name);
  next();
}

void Load::again() {
  runAfter(F.Loop, Interval, [Self = shared_from_this()] { Self->next(); });
}

void Load::next() {
  if (!Session->open()) {
    Session->start(
        At.Port, Database,
        [Self = shared_from_this()](const Client::Answer &) { Self->again(); });
    return;
  }
  std::string Id = Name + "x" + std::to_string(++Count);
  std::string Text = Writes
                         ? "WRITE item" + std::to_string(Count % 5) + " v" + Id
                         : "READ item" + std::to_string(Count % 5);
  F.Facts.Requests[Id] = {Text, now()};
  SentAt = now();
  record("client " + Name + " sends " + Id + " " + Text + " to " + At.Name);
  Session->query(Id, "QUERY " + Id + " " + Text + "\r\n",
                 [Self = shared_from_this(), Id](const Client::Answer &A) {
                   Self->handle(Id, A);
                   Self->again();
                 });
}

Duration Load::longestWait() const {
  return SentAt ? std::max(LongestWait, now() - *SentAt) : LongestWait;
}

void Load::handle(const std::string &Id, const Client::Answer &A) {
  record("client " + Name + ": " + Id + " " +
         (A.Lost           ? std::string("got no answer")
          : A.Code.empty() ? "succeeded"
                           : "got " + A.Code));
  LongestWait = longestWait();
  SentAt.reset();
  if (A.Lost || !A.Code.empty()) {
    ++Refused;
    return;
  }
  ++Succeeded;
  Oracle &Facts = F.Facts;
  if (Writes) {
    Facts.Commits.push_back({now(), ServiceName, Id});
    if (auto Late = Facts.LateCommits.find(Id); Late != Facts.LateCommits.end())
      Facts.Broken.push_back("ONE: write " + Id +
                             " was acknowledged to its client by " + At.Name +
                             "; " + Late->second);
  } else if (auto Lacking = Facts.LackingReads.find(Id);
             ReadsLatest && Lacking != Facts.LackingReads.end()) {
    Facts.Broken.push_back("STALE: read " + Id + " was answered by " + At.Name +
                           "; it " + Lacking->second);
  }
}

void Caller::start(const std::string &Database) {
  Session = std::make_shared<Client>(F.Loop, Name);
  Session->start(At.Port, Database, [](const Client::Answer &) {});
}

void Caller::send(const std::string &Text) {
  if (!Session->open())
    return;
  std::string Id = Name + "x" + std::to_string(++Count);
  F.Facts.Requests[Id] = {Text, now()};
  record("client " + Name + " sends " + Id + " " + Text + " to " + At.Name);
  bool Writes = Text.starts_with("WRITE");
  Session->query(
      Id, "QUERY " + Id + " " + Text + "\r\n",
      [Self = shared_from_this(), Id, Writes](const Client::Answer &A) {
        Oracle &Facts = Self->F.Facts;
        bool Served = !A.Lost && A.Code.empty();
        record("client " + Self->Name + ": " + Id + " " +
               (A.Lost   ? std::string("got no answer")
                : Served ? "succeeded, row " +
                               (A.Rows.empty() ? "-" : A.Rows.front())
                         : "got " + A.Code));
        if (Served && Writes)
          Facts.OwnCommits[Self->Name].push_back(Id);
        auto Lacking = Facts.LackingOwn.find(Id);
        if (Served && Lacking != Facts.LackingOwn.end())
          Facts.Broken.push_back("STALE: read " + Id + " was answered by " +
                                 Self->At.Name + "; it " + Lacking->second);
      });
}

void LongState::start() {
  Socket = tcp::socket(F.Loop);
  Input.clear();
  Sent = 0;
  Socket.async_connect(
      {asio::ip::make_address("127.0.0.1"), At.Port},
      [Self = shared_from_this()](error_code Error) {
        if (Error) {
          runAfter(Self->F.Loop, 500ms, [Self] { Self->start(); });
          return;
        }
        Self->Output = "START " + Self->Database + " " + Self->Name + "\r\n";
        Self->send();
        Self->read();
      });
}

void LongState::send() {
  asio::async_write(Socket, asio::buffer(Output),
                    [Self = shared_from_this()](error_code, std::size_t) {
                      // The pending read reports a broken socket.
                    });
}

void LongState::read() {
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self = shared_from_this()](error_code Error, std::size_t Count) {
        if (Error) {
          runAfter(Self->F.Loop, 500ms, [Self] { Self->start(); });
          return;
        }
        Self->Input.append(Self->Buffer.data(), Count);
        if (Self->Input.find("ERR ") != std::string::npos)
          record("client " + Self->Name + " got " + Self->Input.substr(0, 60));
        if (Self->Input.find("READY ") != std::string::npos) {
          Self->Input.clear();
          if (Self->Sent < LongValues) {
            std::string Id = Self->Name + "x" + std::to_string(++Self->Sent);
            Self->Output = "QUERY " + Id + " SET v" +
                           std::to_string(Self->Sent) + " " +
                           std::string(Self->Bytes, 'v') + "\r\n";
            Self->send();
          } else {
            record("client " + Self->Name + " has set " +
                   std::to_string(LongValues) + " values of " +
                   std::to_string(Self->Bytes) + " bytes at " + Self->At.Name);
          }
        }
        Self->read();
      });
}

void ManyValues::start() {
  Socket.async_connect(
      {asio::ip::make_address("127.0.0.1"), At.Port},
      [Self = shared_from_this()](error_code Error) {
        if (Error)
          return;
        Self->Output = "START " + Self->Database + " " + Self->Name + "\r\n";
        asio::async_write(Self->Socket, asio::buffer(Self->Output),
                          [Self](error_code, std::size_t) {});
        Self->read();
      });
}

void ManyValues::sendBatch() {
  Output.clear();
  for (unsigned I = 0; I < ManyValuesBatch; ++I) {
    std::string Number = std::to_string(++Sent);
    Output += "QUERY " + Name + "x" + Number + " SET n" +
              std::to_string(Sent % Distinct) + " v\r\n";
  }
  Expected = ManyValuesBatch;
  asio::async_write(Socket, asio::buffer(Output),
                    [Self = shared_from_this()](error_code, std::size_t) {
                      // The pending read reports a broken socket.
                    });
}

void ManyValues::read() {
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self = shared_from_this()](error_code Error, std::size_t Count) {
        if (Error) {
          record("client " + Self->Name + " has lost its connection");
          return;
        }
        // Each answer ends with a line READY; its last letter is not used in
        // other lines.
        auto Lines = static_cast<unsigned>(std::count(
            Self->Buffer.begin(),
            Self->Buffer.begin() + static_cast<std::ptrdiff_t>(Count), 'Y'));
        Self->Answers += Lines;
        Self->Expected -= std::min(Self->Expected, Lines);
        if (Self->Expected == 0)
          Self->sendBatch();
        Self->read();
      });
}

} // namespace review
