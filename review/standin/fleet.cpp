#include "fleet.h"
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

/// The command of the deploy file.
constexpr const char *Program = "target/platform/eelgrassloom-platform";
constexpr std::int64_t HeartbeatMs = 1200;
constexpr std::int64_t ReconnectMs = 100;
constexpr std::array<const char *, 4> Zones = {"muenchen", "nuernberg",
                                               "augsburg", "rosenheim"};
/// Ports of a machine: callers, readiness, and the first one for peers.
constexpr std::uint16_t ReadyOffset = 1;
constexpr std::uint16_t PeerOffset = 4;

bool isFree(const std::string &Ip, std::uint16_t Port) {
  asio::io_context Loop;
  error_code Error;
  tcp::endpoint E(asio::ip::make_address(Ip), Port);
  tcp::acceptor Acceptor(Loop);
  Acceptor.open(E.protocol(), Error);
  Acceptor.bind(E, Error);
  if (Error)
    return false;
  asio::ip::udp::socket Datagrams(Loop);
  Datagrams.open(asio::ip::udp::v4(), Error);
  Datagrams.bind({E.address(), Port}, Error);
  return !Error;
}

} // namespace

Fleet::Fleet(asio::io_context &Loop, Record &Out, FleetOptions Settings)
    : Loop(Loop), Out(Out), Metadata(Loop), Database(Loop, Out, "kern"),
      Options(Settings) {
  Database.SyncReplicas = Options.SyncReplicas;
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("can't create a temporary folder");
  Directory = Pattern;
}

Fleet::~Fleet() {
  for (Proxy &P : Proxies)
    if (P.Pid != 0) {
      kill(P.Pid, SIGKILL);
      waitpid(P.Pid, nullptr, 0);
    }
  error_code Ignored;
  std::filesystem::remove_all(Directory);
}

void Fleet::start() {
  for (std::size_t I = 0; I < Options.Proxies; ++I) {
    Proxy P;
    P.Name = "front-" + std::string(Zones[I % Zones.size()]) + "-" +
             std::to_string(1 + I / Zones.size());
    P.Ip = "127.0.1." + std::to_string(I + 1);
    P.StorePort = Metadata.open(I);
    Proxies.push_back(P);
  }
  std::mt19937 Random(std::random_device{}());
  bool Free = false;
  for (int Try = 0; Try < 200 && !Free; ++Try) {
    BasePort = static_cast<std::uint16_t>(12000 + Random() % 18000);
    Free = true;
    for (const Proxy &P : Proxies)
      for (std::uint16_t Offset : {std::uint16_t{0}, ReadyOffset, PeerOffset})
        Free = Free && isFree(P.Ip, BasePort + Offset);
  }
  if (!Free)
    throw std::runtime_error("no free ports");
  std::uint16_t CloudPort =
      serveHttp(Loop, [this](const HttpCall &Call, const AnswerHandler &Done) {
        handlePromotion(Call, Done);
      });
  publishConfig();
  for (Service *Each : services())
    for (const ServerRef &S : Each->Servers) {
      S->start();
      heartbeat(S);
    }
  auto Expire = std::make_shared<std::function<void()>>();
  *Expire = [this, Expire] {
    Metadata.expire();
    after(Loop, 10, *Expire);
  };
  (*Expire)();
  for (std::size_t I = 0; I < Proxies.size(); ++I) {
    writeSettings(Proxies[I], I, CloudPort);
    startProxy(Proxies[I]);
  }
}

void Fleet::publishConfig() {
  json First = {{"name", "r-orders"},
                {"host", Orders},
                {"prefix", "/"},
                {"type", "primary"},
                {"timeoutMs", Options.TimeoutMs},
                {"goalMs", 400},
                {"priority", 0},
                {"service", Database.Name},
                {"attempts", 2}};
  json Second = First;
  Second["name"] = "r-stock";
  Second["host"] = Stock;
  Second["type"] = "read_your_writes";
  Second["priority"] = 1;
  Second["maxStalenessMs"] = 2500;
  json Services = json::array();
  for (Service *Each : services())
    Services.push_back({{"name", Each->Name},
                        {"maxConns", 33},
                        {"syncReplicas", Options.SyncReplicas}});
  json Config = {{"version", 7},
                 {"routes", {First, Second}},
                 {"services", Services},
                 {"limits", {{"txIdleMs", 3000}}}};
  Metadata.put("op/config", Config.dump());
}

std::vector<Service *> Fleet::services() {
  std::vector<Service *> All = {&Database};
  for (const auto &Each : Others)
    All.push_back(Each.get());
  return All;
}

void Fleet::report(const ServerRef &S) {
  Metadata.put("servers/" + S->Id, S->entry());
}

/// A server that is down is removed after three intervals of silence.
void Fleet::heartbeat(const ServerRef &S) {
  if (S->reachable())
    report(S);
  else
    after(Loop, 2 * HeartbeatMs, [this, S] {
      if (!S->reachable())
        Metadata.erase("servers/" + S->Id);
    });
  if (S->Up)
    after(Loop, HeartbeatMs, [this, S] { heartbeat(S); });
}

void Fleet::writeSettings(Proxy &P, std::size_t Index,
                          std::uint16_t CloudPort) {
  P.Settings = Directory + "/" + P.Name + ".conf";
  auto At = [&](unsigned Offset) {
    return P.Ip + ":" + std::to_string(BasePort + Offset);
  };
  std::ofstream File(P.Settings);
  File << "node=" << P.Name
       << "\nrole=proxy\nclass=front\nserves=front\nip=" << P.Ip
       << "\nzone=" << Zones[Index % Zones.size()] << "\nregion=bayern\n";
  for (const char *Zone : Zones)
    File << "zones." << Zone << "=bayern\n";
  File << "listen.front=" << At(0) << "\nlisten.ready=" << At(ReadyOffset)
       << "\nportRange=" << BasePort + PeerOffset << ","
       << BasePort + PeerOffset + 15
       << "\nbootstrap=true\ninTolerance=false\nlimits.cpuShare=0.25\n"
          "limits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4300\n"
          "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
          "entry=vip\nheartbeatMs=1200\n"
          "contracts=base,drain,config,cost,recover,sql,platform\n"
          "tolerate.machines=2\ntolerate.zones=1\ntolerate.regions=0\n"
          "bounds.seedLagS=3\nbounds.reuseS=2\nbounds.stableWindowMs=4000\n"
          "bounds.ackMs=5000\nbounds.catchupS=4\nbounds.drainMs=7000\n"
          "bounds.graceS=6\nbounds.lostSlackMs=200\n"
          "bounds.configApplyMs=3000\nbounds.downgradeMs=250\n"
          "bounds.skewMaxMs=12000\nbounds.recoveryS=12\n"
          "bounds.fencing=false\nbounds.thawSlackMs=300\n"
          "platform.form=kv\nplatform.writesPerS=400\n"
          "platform.readsPerS=2000\nplatform.historyS=20\n"
          "platform.valueBytes=1048576\nplatform.minTtlMs=1000\n"
       << "platform.addr=127.0.0.1:" << P.StorePort
       << "\ncloud.addr=127.0.0.1:" << CloudPort
       << "\ncloud.ratePerS=50.0\ncloud.duties=promote\n"
          "cloud.dutyPerS=50.0\n";
}

void Fleet::startProxy(Proxy &P) {
  std::string Setting = "EELGRASSLOOM_SETTINGS=" + P.Settings;
  std::string Log = Directory + "/" + P.Name + ".log";
  if (const char *Keep = std::getenv("REVIEW_LOGS"))
    Log = std::string(Keep) + "/" + P.Name + ".log";
  pid_t Parent = getpid();
  P.Pid = fork();
  if (P.Pid < 0)
    throw std::runtime_error("can't start a proxy");
  if (P.Pid != 0)
    return;
  // The proxies end with the stand-ins, however those end.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(2);
  if (std::freopen(Log.c_str(), "w", stdout) == nullptr)
    _exit(2);
  std::array<char *, 2> Arguments = {const_cast<char *>(Program), nullptr};
  std::string Path = "PATH=/usr/bin:/bin";
  std::array<char *, 3> Environment = {Setting.data(), Path.data(), nullptr};
  execve(Program, Arguments.data(), Environment.data());
  _exit(2);
}

void Fleet::signal(std::size_t Proxy, int Signal) {
  if (Proxies[Proxy].Pid != 0)
    kill(Proxies[Proxy].Pid, Signal);
}

bool Fleet::ended(std::size_t Proxy) {
  struct Proxy &P = Proxies[Proxy];
  if (P.Pid != 0 && waitpid(P.Pid, nullptr, WNOHANG) == P.Pid)
    P.Pid = 0;
  return P.Pid == 0;
}

tcp::endpoint Fleet::callerEndpoint(std::size_t Proxy) const {
  return {asio::ip::make_address(Proxies[Proxy].Ip), BasePort};
}

void Fleet::handlePromotion(const HttpCall &Call, const AnswerHandler &Done) {
  json Body = json::parse(Call.Body);
  PromotionCall P;
  P.Holder = Call.Headers.at("Eelgrassloom-Duty-Holder");
  P.Token = std::stoull(Call.Headers.at("Eelgrassloom-Fence-Token"));
  P.Server = Body.at("id").get<std::string>();
  unsigned Status = OnPromotion ? OnPromotion(P) : 200;
  Service *Owner = nullptr;
  for (Service *Each : services())
    if (Each->Name == Body.at("service").get<std::string>())
      Owner = Each;
  ServerRef Next = Owner != nullptr ? Owner->find(P.Server) : nullptr;
  if (Status == 200 && (!Next || !Next->reachable()))
    Status = 409;
  Out.line("platform: promote %s, holder %s, token %lu: %u", P.Server.c_str(),
           P.Holder.c_str(), P.Token, Status);
  if (Status == 200 && Chosen[Owner] != Next) {
    Chosen[Owner] = Next;
    Owner->promote(Next);
  }
  after(Loop, 4, [Status, Done] { Done({Status, "{}"}); });
}

void Client::open(
    std::size_t At,
    std::function<std::pair<std::string, std::int64_t>()> Source) {
  Proxy = At;
  Next = std::move(Source);
  Input.clear();
  Result.clear();
  Started = false;
  ++Generation;
  Socket = tcp::socket(Parent.Loop);
  Socket.async_connect(Parent.callerEndpoint(Proxy),
                       [Self = shared_from_this()](error_code Error) {
                         if (Error) {
                           Self->handleEnd();
                           return;
                         }
                         error_code Ignored;
                         Self->Socket.set_option(tcp::no_delay(true), Ignored);
                         asio::write(Self->Socket,
                                     asio::buffer("START " + Self->Host + " " +
                                                  Self->Name + "\r\n"),
                                     Ignored);
                         Self->read();
                       });
}

void Client::read() {
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        if (Error) {
          Self->handleEnd();
          return;
        }
        Self->Input.append(Self->Buffer.data(), Bytes);
        std::size_t End = 0;
        while ((End = Self->Input.find("\r\n")) != std::string::npos) {
          std::string Line = Self->Input.substr(0, End);
          Self->Input.erase(0, End + 2);
          Self->handleLine(Line);
        }
        if (Self->Socket.is_open())
          Self->read();
      });
}

void Client::handleLine(const std::string &Line) {
  if (Line.compare(0, 5, "READY") != 0) {
    if (Line.compare(0, 3, "ROW") != 0)
      Result = Line;
    return;
  }
  if (Started && Pending) {
    Request R = *Pending;
    Pending.reset();
    Parent.Out.line("client %s gets for %s: %s", Name.c_str(), R.Id.c_str(),
                    Result.c_str());
    if (Answered)
      Answered(R, Result);
  }
  Started = true;
  Result.clear();
  sendNext();
}

void Client::sendNext() {
  auto [Text, Pause] = Next();
  if (Text.empty()) {
    Over = true;
    error_code Ignored;
    Socket.close(Ignored);
    return;
  }
  auto Send = [this, Text = Text] {
    Pending = Request{Name + "x" + std::to_string(++Count), Text, nowMs()};
    Parent.Out.line("client %s sends %s %s to %s", Name.c_str(),
                    Pending->Id.c_str(), Text.c_str(),
                    Parent.name(Proxy).c_str());
    error_code Ignored; // The pending read reports a broken connection.
    asio::write(Socket,
                asio::buffer("QUERY " + Pending->Id + " " + Text + "\r\n"),
                Ignored);
  };
  if (Pause == 0) {
    Send();
    return;
  }
  after(Parent.Loop, Pause,
        [Self = shared_from_this(), Send, Now = Generation] {
          if (Self->Generation == Now && Self->Socket.is_open())
            Send();
        });
}

void Client::handleEnd() {
  if (Over)
    return;
  error_code Ignored;
  Socket.close(Ignored);
  Parent.Out.line("client %s: the connection to %s ends, %s", Name.c_str(),
                  Parent.name(Proxy).c_str(),
                  Pending ? (Pending->Id + " has no answer").c_str()
                          : "no request is in progress");
  if (Ended)
    Ended(Pending ? &*Pending : nullptr);
  Pending.reset();
  if (!Reconnect)
    return;
  after(Parent.Loop, ReconnectMs, [Self = shared_from_this()] {
    Self->open((Self->Proxy + 1) % Self->Parent.proxyCount(), Self->Next);
  });
}

} // namespace review
