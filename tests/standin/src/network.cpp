/// \file
/// Simulated network: a TCP relay with one listener per link. Links delay
/// data, can be cut and healed, and can lose the connections they carry.

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

struct Link {
  int Listener = -1;
  sockaddr_in Target{};
  std::string TargetText;
  std::string From;
  std::string To;
  microseconds Delay{0};
  std::atomic<bool> Cut{false};
};

/// Two sockets of one relayed connection; closes them with the last user.
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
  /// Delivers nothing more; only the end of a side is passed on.
  std::atomic<bool> Hung{false};
};

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
    throw std::runtime_error("not an address: " + Text);
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

/// Waits until data can be read; false when \p Until passes first.
bool awaitData(int Socket, steady_clock::time_point Until) {
  auto Left = std::max<nanoseconds>(Until - steady_clock::now(), 0ns);
  timespec Timeout{static_cast<time_t>(Left / 1s),
                   static_cast<long>((Left % 1s).count())};
  pollfd Wanted{Socket, POLLIN, 0};
  return ppoll(&Wanted, 1, &Timeout, nullptr) > 0;
}

/// Moves data in one direction until either side ends. Data on a cut link is
/// held back, as TCP retransmission would, so streams stay intact after it.
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
      while (C->Path.Cut && !C->Hung)
        std::this_thread::sleep_for(1ms);
      if (!C->Hung && !sendAll(To, Queue.front().Data))
        Ended = true;
      Queue.pop_front();
    }
  }
  while (C->Path.Cut && !C->Hung)
    std::this_thread::sleep_for(1ms);
  if (C->Hung)
    shutdown(From, SHUT_RDWR);
  shutdown(To, C->Hung ? SHUT_RDWR : SHUT_WR);
}

/// Connects to the target and moves data in both directions. Runs on a thread
/// of its own, since connecting to a paused process can block for minutes and
/// used to stop all links.
void relayConnection(const std::shared_ptr<Connection> &C) {
  // A refused connection closes the accepted one.
  if (connect(C->Target, reinterpret_cast<const sockaddr *>(&C->Path.Target),
              sizeof(C->Path.Target)) != 0)
    return;
  int On = 1;
  setsockopt(C->Source, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  setsockopt(C->Target, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  std::thread([C] { relayDirection(C, C->Source, C->Target); }).detach();
  relayDirection(C, C->Target, C->Source);
}

class Relay final : public v1::NetworkControl::Service {
public:
  explicit Relay(const std::string &LinksFile);
  /// Accepts connections until the process ends.
  void run();

  grpc::Status SetCut(grpc::ServerContext *, const v1::CutRequest *Request,
                      v1::NetworkState *Answer) override {
    *Answer = forMatching(
        Request->links(), [&](Link &L) { L.Cut = Request->cut(); },
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
  v1::NetworkState
  forMatching(const v1::LinkFilter &Filter,
              const std::function<void(Link &)> &Change,
              const std::function<void(Connection &)> &ChangeOpen);

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
  std::vector<pollfd> Wanted;
  for (const Link &L : Links)
    Wanted.push_back({L.Listener, POLLIN, 0});
  while (true) {
    poll(Wanted.data(), Wanted.size(), -1);
    auto It = Links.begin();
    for (const pollfd &P : Wanted) {
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
                   const std::function<void(Connection &)> &ChangeOpen) {
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
      ChangeOpen(*C);
      State.set_connections(State.connections() + 1);
    }
  return State;
}

} // namespace
} // namespace eelgrassloom::standin

int main(int Argc, const char **Argv) {
  using namespace eelgrassloom::standin;
  // Each line of the file: LISTEN TARGET FROM-DOMAIN TO-DOMAIN DELAY-US.
  Flags F = readFlags(Argc, Argv, {{"listen", "127.0.0.1:0"}, {"links", ""}});
  prepareProcess();
  Relay R(F["links"]);
  std::thread([&R] { R.run(); }).detach();
  int Status = serve(F["listen"], {&R});
  // Relay threads have no end of their own.
  std::quick_exit(Status);
}
