/// \file
/// Simulated network: a TCP relay with one listener per link. A link delays
/// data, can be partitioned and healed, and its open connections can be made
/// unresponsive.

#include "process.h"
#include "standin.grpc.pb.h"
#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace eelgrassloom::standin {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

/// A listener whose connections are relayed to one target.
struct Link {
  int Listener = -1;
  sockaddr_in Target{};
  std::string TargetText;
  /// Failure domains of the two ends.
  std::string From;
  std::string To;
  microseconds Delay{0};
  std::atomic<bool> Partitioned{false};
};

/// The two sockets of one relayed connection. They are closed when the last
/// thread that relays the connection has ended.
struct Connection {
  Connection(Link &Path, int Source, int Target)
      : Path(Path), Source(Source), Target(Target) {}
  ~Connection() {
    ::close(Source);
    ::close(Target);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  Link &Path;
  int Source;
  int Target;
  /// The connection is unresponsive: data is dropped, but when one side closes
  /// its end the other side is closed too.
  std::atomic<bool> Hung{false};
};

/// Received data and the time at which it is sent on.
struct Chunk {
  steady_clock::time_point Due;
  std::string Data;
};

sockaddr_in parseAddress(const std::string &Text) {
  sockaddr_in A{};
  auto Colon = Text.rfind(':');
  A.sin_family = AF_INET;
  if (Colon == std::string::npos ||
      inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &A.sin_addr) != 1)
    throw std::runtime_error("invalid IP:port address: " + Text);
  A.sin_port =
      htons(static_cast<std::uint16_t>(std::stoul(Text.substr(Colon + 1))));
  return A;
}

bool sendAll(int Socket, const std::string &Data) {
  for (std::size_t Sent = 0; Sent < Data.size();) {
    ssize_t N =
        send(Socket, Data.data() + Sent, Data.size() - Sent, MSG_NOSIGNAL);
    if (N <= 0)
      return false;
    Sent += static_cast<std::size_t>(N);
  }
  return true;
}

/// Waits until data can be read; false if none arrives before \p Until.
bool awaitData(int Socket, steady_clock::time_point Until) {
  auto Left = std::max<nanoseconds>(Until - steady_clock::now(), 0ns);
  timespec Timeout{static_cast<time_t>(Left / 1s),
                   static_cast<long>((Left % 1s).count())};
  pollfd Poll{Socket, POLLIN, 0};
  return ppoll(&Poll, 1, &Timeout, nullptr) > 0;
}

/// Relays data in one direction until either side closes. Data on a partitioned
/// link is held back and sent after the link has healed, as TCP retransmission
/// does, so that streams stay intact.
void relayDirection(const std::shared_ptr<Connection> &C, int From, int To) {
  constexpr std::size_t MaxChunk = 65536;
  constexpr std::size_t MaxChunks = 256;
  std::deque<Chunk> Queue;
  std::string Buffer(MaxChunk, '\0');
  bool Ended = false;
  while (!Ended || !Queue.empty()) {
    auto Now = steady_clock::now();
    if (C->Hung)
      Queue.clear();
    if (!Queue.empty() && (Ended || Queue.size() >= MaxChunks))
      std::this_thread::sleep_until(Queue.front().Due);
    else if (!Ended &&
             awaitData(From, Queue.empty() ? Now + 1h : Queue.front().Due)) {
      ssize_t N = recv(From, Buffer.data(), Buffer.size(), 0);
      Ended = N <= 0;
      if (!Ended)
        Queue.push_back({steady_clock::now() + C->Path.Delay,
                         Buffer.substr(0, static_cast<std::size_t>(N))});
    }
    while (!Queue.empty() && Queue.front().Due <= steady_clock::now()) {
      while (C->Path.Partitioned && !C->Hung)
        std::this_thread::sleep_for(1ms);
      if (!C->Hung && !sendAll(To, Queue.front().Data))
        Ended = true;
      Queue.pop_front();
    }
  }
  while (C->Path.Partitioned && !C->Hung)
    std::this_thread::sleep_for(1ms);
  if (C->Hung)
    shutdown(From, SHUT_RDWR);
  shutdown(To, C->Hung ? SHUT_RDWR : SHUT_WR);
}

/// Connects to the target and relays data in both directions. Runs on a thread
/// of its own: connecting to a paused process can block for minutes, which
/// stopped all links when it was done on the accepting thread.
void relayConnection(const std::shared_ptr<Connection> &C) {
  // If the target refuses, the accepted connection is closed with C.
  if (connect(C->Target, reinterpret_cast<const sockaddr *>(&C->Path.Target),
              sizeof(C->Path.Target)) != 0)
    return;
  int On = 1;
  setsockopt(C->Source, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  setsockopt(C->Target, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  std::thread([C] { relayDirection(C, C->Source, C->Target); }).detach();
  relayDirection(C, C->Target, C->Source);
}

/// All links of the simulated network and their control service.
class Relay final : public v1::NetworkControl::Service {
public:
  /// Listens on every link of the file; throws std::runtime_error for an
  /// invalid address or a port in use.
  explicit Relay(const std::string &LinksFile);
  /// Accepts connections until the process ends.
  void run();

  grpc::Status SetCut(grpc::ServerContext *, const v1::CutRequest *Request,
                      v1::NetworkState *Answer) override {
    *Answer = forMatching(
        Request->links(), [&](Link &L) { L.Partitioned = Request->cut(); },
        [](Connection &) {});
    return grpc::Status::OK;
  }
  grpc::Status HangConnections(grpc::ServerContext *,
                               const v1::LinkFilter *Request,
                               v1::NetworkState *Answer) override {
    *Answer = forMatching(
        *Request, [](Link &) {}, [](Connection &C) { C.Hung = true; });
    return grpc::Status::OK;
  }

private:
  void accept(Link &L);
  /// Applies the changes to all links that the filter selects and to their open
  /// connections, and counts both.
  v1::NetworkState
  forMatching(const v1::LinkFilter &Filter,
              const std::function<void(Link &)> &Change,
              const std::function<void(Connection &)> &ChangeConnection);

  std::list<Link> Links;
  std::mutex Mutex;
  std::list<std::weak_ptr<Connection>> Connections;
};

Relay::Relay(const std::string &LinksFile) {
  std::ifstream File(LinksFile);
  std::string Listen;
  std::string Target;
  std::string From;
  std::string To;
  long DelayUs = 0;
  while (File >> Listen >> Target >> From >> To >> DelayUs) {
    Link &L = Links.emplace_back();
    L.Target = parseAddress(Target);
    L.TargetText = Target;
    L.From = From;
    L.To = To;
    L.Delay = microseconds(DelayUs);
    L.Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    setsockopt(L.Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Address = parseAddress(Listen);
    if (bind(L.Listener, reinterpret_cast<sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
        listen(L.Listener, SOMAXCONN) != 0)
      throw std::runtime_error("cannot listen on " + Listen);
  }
}

void Relay::run() {
  std::vector<pollfd> Polls;
  for (const Link &L : Links)
    Polls.push_back({L.Listener, POLLIN, 0});
  while (true) {
    poll(Polls.data(), Polls.size(), -1);
    auto It = Links.begin();
    for (const pollfd &P : Polls) {
      if (P.revents != 0)
        accept(*It);
      ++It;
    }
  }
}

void Relay::accept(Link &L) {
  int Source = accept4(L.Listener, nullptr, nullptr, SOCK_CLOEXEC);
  int Target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto C = std::make_shared<Connection>(L, Source, Target);
  if (Source < 0 || Target < 0)
    return;
  {
    std::lock_guard Lock(Mutex);
    Connections.remove_if([](const auto &Open) { return Open.expired(); });
    Connections.push_back(C);
  }
  std::thread([C] { relayConnection(C); }).detach();
}

v1::NetworkState
Relay::forMatching(const v1::LinkFilter &Filter,
                   const std::function<void(Link &)> &Change,
                   const std::function<void(Connection &)> &ChangeConnection) {
  auto Fits = [](const std::string &Wanted, const std::string &Actual) {
    return Wanted.empty() || Wanted == Actual;
  };
  auto Matches = [&](const Link &L) {
    const std::string &A = Filter.domain_a();
    const std::string &B = Filter.domain_b();
    return Fits(Filter.target(), L.TargetText) &&
           ((Fits(A, L.From) && Fits(B, L.To)) ||
            (Fits(B, L.From) && Fits(A, L.To)));
  };
  v1::NetworkState State;
  for (Link &L : Links)
    if (Matches(L)) {
      Change(L);
      State.set_links_matched(State.links_matched() + 1);
    }
  std::lock_guard Lock(Mutex);
  for (const auto &Weak : Connections)
    if (auto C = Weak.lock(); C && Matches(C->Path)) {
      ChangeConnection(*C);
      State.set_connections(State.connections() + 1);
    }
  return State;
}

} // namespace
} // namespace eelgrassloom::standin

int main(int Argc, const char **Argv) {
  using namespace eelgrassloom::standin;
  // Each line of the file that --links names is one link: LISTEN TARGET
  // FROM-DOMAIN TO-DOMAIN DELAY-US.
  Flags F = readFlags(Argc, Argv, {{"listen", "127.0.0.1:0"}, {"links", ""}});
  prepareProcess();
  Relay R(F["links"]);
  std::thread([&R] { R.run(); }).detach();
  int Status = serve(F["listen"], {&R});
  // The relay threads never return, so the process ends without joining them.
  std::quick_exit(Status);
}
