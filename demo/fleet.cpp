#include "fleet.h"
#include "platform.grpc.pb.h"
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <google/protobuf/util/json_util.h>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace eelgrassloom::fleet {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned FirstPort = 20000;
constexpr std::uint64_t InitialTerm = 1;

/// Forks processes from one thread that never ends, because PR_SET_PDEATHSIG
/// kills a child process as soon as the thread that forked it ends.
class Spawner {
public:
  /// Calls \p Fork on that thread and returns its result.
  static pid_t run(std::function<pid_t()> Fork) {
    static Spawner &S = *new Spawner;
    std::packaged_task<pid_t()> Job(std::move(Fork));
    auto Child = Job.get_future();
    std::lock_guard Running(S.OneAtATime);
    {
      std::lock_guard Lock(S.Mutex);
      S.Next = std::move(Job);
    }
    S.Changed.notify_one();
    return Child.get();
  }

private:
  Spawner() {
    std::thread([this] {
      while (true) {
        std::unique_lock Lock(Mutex);
        Changed.wait(Lock, [this] { return Next.valid(); });
        std::exchange(Next, {})();
      }
    }).detach();
  }

  std::mutex OneAtATime;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::packaged_task<pid_t()> Next;
};

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

config::v1::Configuration
makeConfiguration(const std::vector<std::string> &FailureDomains,
                  unsigned Databases, unsigned Slots) {
  config::v1::Configuration C;
  C.set_version(1);
  auto AddClass = [&](const char *Name, types::v1::Priority Priority,
                      unsigned StalenessMs, config::v1::Durability Durability) {
    auto *Class = C.add_classes();
    Class->set_name(Name);
    Class->set_priority(Priority);
    Class->set_staleness_bound_ms(StalenessMs);
    Class->set_durability(Durability);
  };
  AddClass("urgent", types::v1::PRIORITY_URGENT, 0,
           config::v1::DURABILITY_REPLICATED);
  AddClass("normal", types::v1::PRIORITY_NORMAL, 0,
           config::v1::DURABILITY_TERM_CHECK);
  AddClass("background", types::v1::PRIORITY_BACKGROUND, 5000,
           config::v1::DURABILITY_TERM_CHECK);
  auto AddShare = [&](types::v1::Priority Priority, unsigned Percent) {
    auto *Share = C.add_shares();
    Share->set_priority(Priority);
    Share->set_percent(Percent);
  };
  AddShare(types::v1::PRIORITY_URGENT, 60);
  AddShare(types::v1::PRIORITY_NORMAL, 25);
  AddShare(types::v1::PRIORITY_BACKGROUND, 15);
  for (unsigned D = 0; D < Databases; ++D) {
    auto *Database = C.add_databases();
    Database->set_name("db" + std::to_string(D + 1));
    for (unsigned U = 0; U < 3; ++U) {
      auto *Up = Database->add_upstreams();
      Up->set_id(Database->name() + "-" + std::to_string(U + 1));
      Up->set_failure_domain(FailureDomains[(D + U) % FailureDomains.size()]);
      Up->set_slots(Slots);
      Up->set_connection_cap(30);
    }
  }
  return C;
}

config::v1::Configuration exampleConfiguration(const std::string &Name,
                                               int Databases) {
  std::string Path =
      std::string(EELGRASSLOOM_SOURCE_DIR) + "/examples/" + Name + ".json";
  config::v1::Configuration C;
  auto S = google::protobuf::util::JsonStringToMessage(readFile(Path), &C);
  if (!S.ok())
    throw std::runtime_error(Path + ": " + S.ToString());
  while (C.databases_size() > Databases)
    C.mutable_databases()->RemoveLast();
  return C;
}

std::shared_ptr<grpc::Channel> makeChannel(const std::string &Address) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
  // gRPC also uses this value as the timeout of a connection attempt. 50 ms was
  // too short on a busy host.
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1000);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
  Arguments.SetMaxReceiveMessageSize(-1);
  return grpc::CreateCustomChannel(Address, grpc::InsecureChannelCredentials(),
                                   Arguments);
}

standin::v1::LinkFilter linksBetween(const std::string &DomainA,
                                     const std::string &DomainB) {
  standin::v1::LinkFilter Filter;
  Filter.set_domain_a(DomainA);
  Filter.set_domain_b(DomainB);
  return Filter;
}

standin::v1::LinkFilter linksTo(const std::string &Address) {
  standin::v1::LinkFilter Filter;
  Filter.set_target(Address);
  return Filter;
}

bool eventually(milliseconds Timeout, const std::function<bool()> &Condition) {
  auto Deadline = steady_clock::now() + Timeout;
  while (!Condition()) {
    if (steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

Fleet::Fleet(Topology Top) : T(std::move(Top)) {
  auto Process = static_cast<unsigned>(getpid());
  Ip = "127." + std::to_string(64 + (Process >> 16) % 128) + "." +
       std::to_string(Process >> 8 & 255) + "." +
       std::to_string(1 + Process % 254);
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "eelgrassloom-XXXXXX").string();
  if (!mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot create temporary directory " + Pattern);
  Directory = Pattern;
  try {
    Addresses["platform"] = newAddress();
    for (auto &Database : *T.Config.mutable_databases())
      for (auto &Up : *Database.mutable_upstreams()) {
        Up.set_address(newAddress());
        Addresses[Up.id()] = Up.address();
      }
    for (const ProxySpec &P : T.Proxies)
      for (const char *Part : {"", "/peer", "/metrics"})
        Addresses[P.Id + Part] = newAddress();
    run("platform", {STANDIN_PLATFORM, "--listen=" + Addresses.at("platform")});
    if (T.Relay)
      startNetwork();
    for (const auto &Database : T.Config.databases())
      for (const auto &Up : Database.upstreams())
        startUpstream(Up.id());
    // These calls wait until the platform and the upstreams answer.
    countPlatformCalls();
    for (const auto &Database : T.Config.databases())
      for (const auto &Up : Database.upstreams())
        configure(Up.id());
    if (T.Configured)
      writeConfiguration();
    for (const ProxySpec &P : T.Proxies)
      if (P.Start)
        startProxy(P.Id);
  } catch (...) {
    stopAll();
    throw;
  }
}

void Fleet::stopAll() {
  for (const auto &Entry : Pids)
    ::kill(Entry.second, SIGKILL);
  for (const auto &Entry : Pids)
    waitpid(Entry.second, nullptr, 0);
  std::error_code Ignored;
  if (!LogsKept && !std::getenv("KEEP_FLEET_LOGS"))
    std::filesystem::remove_all(Directory, Ignored);
}

Fleet::~Fleet() { stopAll(); }

std::string Fleet::newAddress() {
  static std::atomic<unsigned> Port{FirstPort};
  return Ip + ":" + std::to_string(Port++);
}

void Fleet::run(const std::string &Name, std::vector<std::string> Command) {
  std::vector<char *> Argv;
  Argv.reserve(Command.size() + 1);
  for (std::string &Part : Command)
    Argv.push_back(Part.data());
  Argv.push_back(nullptr);
  std::string LogPath = Directory + "/" + Name + ".log";
  int Log =
      open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_t Parent = getpid();
  pid_t Child = Spawner::run([&] {
    pid_t Forked = fork();
    if (Forked != 0)
      return Forked;
    // The child is killed when its parent dies, so that a killed test leaves no
    // processes behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent)
      _exit(127);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    execv(Argv[0], Argv.data());
    _exit(127);
  });
  close(Log);
  if (Child < 0)
    throw std::runtime_error("cannot fork a process for " + Command[0]);
  Pids[Name] = Child;
}

void Fleet::startNetwork() {
  std::map<std::string, std::string> Targets = {
      {Addresses.at("platform"), PlatformDomain}};
  std::map<std::string, bool> Domains = {{CallerDomain, true}};
  for (const auto &Database : T.Config.databases())
    for (const auto &Up : Database.upstreams()) {
      Targets[Up.address()] = Up.failure_domain();
      Domains[Up.failure_domain()] = true;
    }
  for (const ProxySpec &P : T.Proxies) {
    Targets[Addresses.at(P.Id)] = P.FailureDomain;
    Targets[Addresses.at(P.Id + "/peer")] = P.FailureDomain;
    Domains[P.FailureDomain] = true;
  }
  Addresses["network"] = newAddress();
  std::string Path = Directory + "/links";
  std::ofstream File(Path);
  for (const auto &Source : Domains)
    for (const auto &[Target, Domain] : Targets) {
      unsigned DelayUs = Source.first == CallerDomain ? T.CallerDelayUs
                         : Source.first == Domain     ? 0
                                                      : T.DomainDelayUs;
      std::string Listen = newAddress();
      Links[{Source.first, Target}] = Listen;
      File << Listen << ' ' << Target << ' ' << Source.first << ' ' << Domain
           << ' ' << DelayUs << '\n';
    }
  File.close();
  run("network", {STANDIN_NETWORK, "--listen=" + Addresses.at("network"),
                  "--links=" + Path});
  // This call matches no link; it only waits until the relay answers.
  setCut(linksTo("none"), false);
}

std::string Fleet::addressMap(const std::string &FailureDomain) const {
  std::string Map;
  for (const auto &[Link, Listen] : Links)
    if (Link.first == FailureDomain)
      Map += (Map.empty() ? "" : ",") + Link.second + "=" + Listen;
  return Map;
}

const config::v1::Upstream &Fleet::upstream(const std::string &Id) const {
  for (const auto &Database : T.Config.databases())
    for (const auto &Up : Database.upstreams())
      if (Up.id() == Id)
        return Up;
  throw std::runtime_error("unknown upstream " + Id);
}

void Fleet::startUpstream(const std::string &Id) {
  const config::v1::Upstream &Up = upstream(Id);
  std::string Primary;
  for (const auto &Database : T.Config.databases())
    for (const auto &Other : Database.upstreams())
      if (Other.id() == Id && Database.upstreams(0).id() != Id)
        Primary = Database.upstreams(0).address();
  std::vector<std::string> Command = {
      STANDIN_UPSTREAM,
      "--id=" + Id,
      "--listen=" + Up.address(),
      "--term=" + std::to_string(InitialTerm),
      "--primary=" + Primary,
      "--slots=" + std::to_string(Up.slots()),
      "--connection-limit=" + std::to_string(Up.connection_cap()),
      "--service-us=" + std::to_string(T.ServiceUs),
      "--journal=" + Directory + "/" + Id + ".journal",
      "--address-map=" + addressMap(Up.failure_domain())};
  Command.insert(Command.end(), T.UpstreamFlags.begin(), T.UpstreamFlags.end());
  run(Id, std::move(Command));
}

void Fleet::startProxy(const std::string &Id) {
  std::string Peers;
  std::string Domain;
  for (const ProxySpec &P : T.Proxies) {
    if (P.Id == Id)
      Domain = P.FailureDomain;
    else
      Peers += (Peers.empty() ? "" : ",") + P.Id + "/" +
               Addresses.at(P.Id + "/peer") + "/" + P.FailureDomain;
  }
  std::vector<std::string> Command = {
      EELGRASSLOOM_PROXY,
      "--id=" + Id,
      "--failure-domain=" + Domain,
      "--listen=" + Addresses.at(Id),
      "--peer-listen=" + Addresses.at(Id + "/peer"),
      "--metrics-listen=" + Addresses.at(Id + "/metrics"),
      "--platform=" + Addresses.at("platform"),
      "--peers=" + Peers,
      "--address-map=" + addressMap(Domain)};
  Command.insert(Command.end(), T.ProxyFlags.begin(), T.ProxyFlags.end());
  run(Id, Command);
}

void Fleet::put(const std::string &Key, const std::string &Value) {
  platform::v1::CompareAndSwapRequest Request;
  Request.set_key(Key);
  Request.set_value(Value);
  auto Answer = call<platform::v1::KeyValue>(
      "platform", &platform::v1::KeyValue::Stub::CompareAndSwap, Request);
  if (!Answer.swapped())
    throw std::runtime_error(Key +
                             " is already set in the store of the platform");
}

void Fleet::writeConfiguration() {
  put("config", T.Config.SerializeAsString());
  for (const auto &Database : T.Config.databases()) {
    config::v1::GroupRecord Record;
    Record.set_database(Database.name());
    Record.set_term(InitialTerm);
    Record.set_state(config::v1::GROUP_STATE_STABLE);
    Record.set_primary(Database.upstreams(0).id());
    Record.add_history()->set_term(InitialTerm);
    put("group/" + Database.name(), Record.SerializeAsString());
  }
}

void Fleet::signal(const std::string &Name, int Signal) {
  ::kill(Pids.at(Name), Signal);
}

int Fleet::wait(const std::string &Name, milliseconds Timeout) {
  int Status = 0;
  if (!eventually(Timeout, [&] {
        return waitpid(Pids.at(Name), &Status, WNOHANG) != 0;
      }))
    return -1;
  Pids.erase(Name);
  return WIFSIGNALED(Status) ? 128 + WTERMSIG(Status) : WEXITSTATUS(Status);
}

void Fleet::kill(const std::string &Name) {
  signal(Name, SIGKILL);
  wait(Name, 5s);
}

pid_t Fleet::pid(const std::string &Name) const { return Pids.at(Name); }

bool Fleet::awaitServing(milliseconds Timeout) {
  return eventually(Timeout, [&] {
    for (const ProxySpec &P : T.Proxies) {
      if (Pids.count(P.Id) == 0)
        continue;
      if (wait(P.Id, 0ms) >= 0)
        throw std::runtime_error(
            P.Id + " ended before it served every database; log: " +
            readFile(Directory + "/" + P.Id + ".log"));
      auto Status = proxyStatus(P.Id);
      auto Stable =
          std::count_if(Status.groups().begin(), Status.groups().end(),
                        [](const auto &G) { return !G.primary().empty(); });
      if (Status.configuration_version() == 0 ||
          Stable < T.Config.databases_size())
        return false;
    }
    return true;
  });
}

std::string Fleet::proxyAddress(const std::string &Id) const {
  const std::string &Address = Addresses.at(Id);
  auto It = Links.find({CallerDomain, Address});
  return It == Links.end() ? Address : It->second;
}

std::vector<standin::v1::LogEntry> Fleet::log(const std::string &Upstream) {
  grpc::ClientContext Context;
  auto Stub =
      standin::v1::UpstreamControl::NewStub(makeChannel(address(Upstream)));
  auto Reader = Stub->Log(&Context, {});
  std::vector<standin::v1::LogEntry> Log;
  for (standin::v1::LogEntry Entry; Reader->Read(&Entry);)
    Log.push_back(Entry);
  if (grpc::Status S = Reader->Finish(); !S.ok())
    throw std::runtime_error(Upstream + ": " + S.error_message());
  return Log;
}

standin::v1::UpstreamState
Fleet::configure(const std::string &Upstream,
                 const standin::v1::UpstreamSettings &Settings) {
  using Control = standin::v1::UpstreamControl;
  return call<Control>(Upstream, &Control::Stub::Configure, Settings);
}

standin::v1::PlatformCounters
Fleet::setFaults(const standin::v1::PlatformFaults &Faults) {
  using Control = standin::v1::PlatformControl;
  return call<Control>("platform", &Control::Stub::SetFaults, Faults);
}

operators::v1::StatusAnswer Fleet::proxyStatus(const std::string &Id) {
  using operators::v1::Operator;
  return call<Operator>(Id, &Operator::Stub::Status,
                        operators::v1::StatusRequest());
}

config::v1::GroupRecord Fleet::newestGroup() {
  config::v1::GroupRecord Newest;
  for (const ProxySpec &P : T.Proxies) {
    auto Status = proxyStatus(P.Id);
    for (const auto &G : Status.groups())
      if (G.term() > Newest.term() && !G.primary().empty())
        Newest = G;
  }
  return Newest;
}

standin::v1::PlatformCounters Fleet::countPlatformCalls() {
  using Control = standin::v1::PlatformControl;
  return call<Control>("platform", &Control::Stub::Count,
                       standin::v1::CountRequest());
}

void Fleet::setCut(const standin::v1::LinkFilter &Filter, bool Cut) {
  using Control = standin::v1::NetworkControl;
  standin::v1::CutRequest Request;
  *Request.mutable_links() = Filter;
  Request.set_cut(Cut);
  call<Control>("network", &Control::Stub::SetCut, Request);
}

void Fleet::setCutTo(const std::string &Name, bool Cut) {
  for (const char *Part : {"", "/peer"})
    if (auto It = Addresses.find(Name + Part); It != Addresses.end())
      setCut(linksTo(It->second), Cut);
}

standin::v1::NetworkState
Fleet::hangConnections(const standin::v1::LinkFilter &Filter) {
  using Control = standin::v1::NetworkControl;
  return call<Control>("network", &Control::Stub::HangConnections, Filter);
}

} // namespace eelgrassloom::fleet
