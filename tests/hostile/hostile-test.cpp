/// \file
/// Lets a crowd of callers that do not behave loose on a real proxy process.
/// Checks that the process lives, that its memory and descriptors stay within
/// the limits of its settings, and that an ordinary request is served
/// afterwards, while the connections of the crowd are open. Usage: hostile-test
/// PROGRAM CROWD; the crowd "calm" is a single message of the longest length.

#include "answeringserver.h"
#include "crowd.h"
#include "keyvaluestore.h"
#include "ports.h"
#include "proxyprocess.h"
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>

namespace eelgrassloom::hostile {

using namespace std::chrono_literals;

namespace {

/// Time in which the proxy has to serve a request, refusals included. It is no
/// bound on the product, only the end of a test that has failed.
constexpr auto ServeTime = 30s;
constexpr auto RetryPause = 100ms;
constexpr std::size_t LongestMessage = std::size_t{1} << 20;
constexpr std::size_t BytesPerMb = std::size_t{1} << 20;

const char *Config =
    R"({"version":1,"routes":[{"name":"r","host":"latest","type":"primary",)"
    R"("timeoutMs":2000,"goalMs":500,"priority":1,"service":"svc"}],)"
    R"("services":[{"name":"svc","maxConns":60,"syncReplicas":0}],)"
    R"("limits":{"txIdleMs":5000}})";

/// The stand-ins, in a thread of their own.
class Surroundings {
public:
  Surroundings()
      : Server(Loop), Store(Loop, [](const std::string &) { return true; }) {
    Store.put("op/config", Config);
    Store.put("servers/i-a", Server.entry());
    Ports = {Free.next(), Free.next(), Free.next(), Store.port(0)};
    expireLeases();
    Runner = std::thread([this] { Loop.run(); });
  }
  ~Surroundings() {
    Loop.stop();
    Runner.join();
  }
  Surroundings(const Surroundings &) = delete;
  Surroundings &operator=(const Surroundings &) = delete;

  ProcessPorts Ports;

private:
  void expireLeases() {
    Store.expire();
    Timer.expires_after(10ms);
    Timer.async_wait([this](platform::error_code Error) {
      if (!Error)
        expireLeases();
    });
  }

  platform::asio::io_context Loop{1};
  platform::asio::steady_timer Timer{Loop};
  soak::PortAllocator Free{Loop};
  AnsweringServer Server;
  soak::KeyValueStore Store;
  std::thread Runner;
};

bool serve(ProxyProcess &Proxy, std::size_t MessageBytes) {
  auto End = std::chrono::steady_clock::now() + ServeTime;
  while (Proxy.alive() && std::chrono::steady_clock::now() < End) {
    if (requestOnce(Proxy.callerPort(), MessageBytes) == RequestResult::Served)
      return true;
    std::this_thread::sleep_for(RetryPause);
  }
  return false;
}

/// Largest values that were seen.
struct Peaks {
  std::size_t UnreadBytes = 0;
  std::size_t Descriptors = 0;
};

bool check(bool Ok, const char *What) {
  if (!Ok)
    std::printf("FAILED: %s\n", What);
  return Ok;
}

bool run(const std::string &Program, const CrowdPlan *Plan) {
  Surroundings Around;
  ProxyProcess Proxy(Program, Around.Ports);
  if (!check(serve(Proxy, 0), "the proxy starts"))
    return false;
  bool Ok = true;
  Peaks Seen;
  if (Plan == nullptr) {
    Ok = check(serve(Proxy, LongestMessage), "the longest message is served");
  } else {
    Crowd Callers(*Plan, Around.Ports.Caller);
    Callers.send([&] {
      Seen.UnreadBytes = std::max(Seen.UnreadBytes, Proxy.unreadBytes());
      Seen.Descriptors = std::max(Seen.Descriptors, Proxy.descriptors());
    });
    Ok = check(serve(Proxy, 0), "an ordinary request is served");
  }
  Ok = check(Proxy.alive(), "the process lives") && Ok;
  std::size_t Peak = Proxy.peakBytes();
  std::printf("peak %.1f MB, unread %.1f MB, %zu descriptors\n",
              static_cast<double>(Peak) / BytesPerMb,
              static_cast<double>(Seen.UnreadBytes) / BytesPerMb,
              Seen.Descriptors);
  Ok = check(Peak + Seen.UnreadBytes <= MemoryMb * BytesPerMb,
             "the memory stays within the limit") &&
       Ok;
  return check(Seen.Descriptors <= MaxDescriptors,
               "the descriptors stay within the limit") &&
         Ok;
}

} // namespace

} // namespace eelgrassloom::hostile

using namespace eelgrassloom::hostile;

int main(int Argc, char **Argv) {
  if (Argc != 3) {
    std::fprintf(stderr, "usage: %s PROGRAM CROWD\n", Argv[0]);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::string Name = Argv[2];
  const CrowdPlan *Plan = findCrowd(Name);
  if (Plan == nullptr && Name != "calm") {
    std::fprintf(stderr, "no crowd has the name %s\n", Argv[2]);
    return 2;
  }
  return run(Argv[1], Plan) ? 0 : 1;
}
