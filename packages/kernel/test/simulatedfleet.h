/// \file
/// Simulation of many proxies in one process: membership and gossip over an
/// in-memory network with virtual time. Used by tests and benchmarks.

#ifndef EELGRASSLOOM_KERNEL_TEST_SIMULATEDFLEET_H
#define EELGRASSLOOM_KERNEL_TEST_SIMULATEDFLEET_H

#include "kernel/gossip.h"
#include "kernel/membership.h"
#include "schedule.h"
#include <algorithm>
#include <ctime>
#include <memory>
#include <string>
#include <utility>

namespace eelgrassloom {

struct FleetOptions {
  std::size_t Nodes = 8;
  /// Number of failure domains.
  std::size_t Domains = 4;
  /// Probability that a message is lost.
  double Loss = 0;
  /// Minimum delay of a message within a failure domain and between two. The
  /// maximum is twice as long.
  Duration LocalDelay = std::chrono::microseconds(300);
  Duration RemoteDelay = std::chrono::microseconds(1500);
  Duration TickInterval = std::chrono::milliseconds(100);
  /// Seed addresses of each node, at most.
  std::size_t Seeds = 10;
  MembershipOptions Membership;
  GossipOptions Gossip;
};

/// CPU time of this thread in nanoseconds.
inline std::uint64_t threadCpuNanos() {
  timespec T{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &T);
  return static_cast<std::uint64_t>(T.tv_sec) * 1000000000U +
         static_cast<std::uint64_t>(T.tv_nsec);
}

/// One simulated proxy.
struct FleetNode {
  MembershipState Members;
  GossipState Items;
  std::mt19937_64 Random;
  bool Up = false;
  bool Paused = false;
  /// Number of starts and crashes; timers of an earlier run are ignored.
  unsigned Epoch = 0;
  std::vector<ProxyId> Peers;
  bool PeersChanged = false;
  /// Messages that arrived during a pause.
  std::vector<std::function<void()>> Backlog;
  std::uint64_t BytesSent = 0;
  std::uint64_t Messages = 0;
  std::uint64_t CpuNanos = 0;
  /// Size of the largest membership message that was sent, in bytes.
  std::uint64_t MaxUpdates = 0;
};

class SimulatedFleet {
public:
  /// Bytes of the Protobuf header, ZeroMQ frame, TCP and IP headers of one
  /// message.
  static constexpr std::size_t MessageOverhead = 120;

  SimulatedFleet(const FleetOptions &O, std::uint64_t Seed)
      : Options(O), Random(Seed), Nodes(Options.Nodes) {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      Nodes[I].Random.seed(Seed * 7919 + I);
  }

  /// Runs a kernel call and adds its CPU time to the node's.
  template <class F> auto measured(FleetNode &N, F Call) {
    std::uint64_t Start = threadCpuNanos();
    auto Actions = Call();
    N.CpuNanos += threadCpuNanos() - Start;
    return Actions;
  }

  ProxyId id(std::size_t I) const { return "proxy-" + std::to_string(I); }
  static std::size_t indexOf(const ProxyId &Id) {
    return std::stoul(Id.substr(Id.find('-') + 1));
  }
  std::size_t domain(std::size_t I) const { return I % Options.Domains; }

  MemberUpdate self(std::size_t I) const {
    MemberUpdate U;
    U.Id = id(I);
    U.Address = "10.20." + std::to_string(I / 250) + "." +
                std::to_string(I % 250 + 1) + ":7400";
    U.FailureDomain = "domain-" + std::to_string(domain(I));
    U.OperatorAddress = U.Address;
    U.Incarnation =
        static_cast<std::uint64_t>(toMillis(Time.Now.time_since_epoch()));
    return U;
  }

  void start(std::size_t I) {
    FleetNode &N = Nodes[I];
    std::vector<MemberUpdate> Seeds;
    for (std::size_t S = 0; S < Options.Seeds; ++S)
      if (std::size_t Other = Random() % Nodes.size(); Other != I)
        Seeds.push_back(self(Other));
    N.Members =
        makeMembership(Options.Membership, self(I), Seeds, Time.Now, N.Random);
    N.Items = GossipState();
    N.Items.Options = Options.Gossip;
    N.Peers.clear();
    N.Up = true;
    unsigned Epoch = ++N.Epoch;
    Time.after(between(Random, Duration(0), Options.TickInterval),
               [=, this] { tick(I, Epoch); });
  }
  void startAll() {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      start(I);
  }

  /// Starts all nodes with complete views, as in a fleet that has been running
  /// for long.
  void startKnown() {
    Options.Seeds = 0;
    startAll();
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      MembershipState &M = Nodes[I].Members;
      announceReady(M, Time.Now);
      M.SelfTransmissionsLeft = 0;
      for (std::size_t J = 0; J < Nodes.size(); ++J) {
        if (J == I)
          continue;
        Member Known;
        Known.Update = self(J);
        ++Known.Update.Incarnation;
        Known.Ready = true;
        M.Members.emplace(id(J), Known);
      }
      M.Live = Nodes.size() - 1;
      Nodes[I].Peers = livePeers(M);
    }
    Options.Seeds = FleetOptions().Seeds;
  }

  void crash(std::size_t I) {
    Nodes[I].Up = false;
    ++Nodes[I].Epoch;
  }

  /// Pauses a process. Messages that arrive meanwhile are handled after the
  /// pause.
  void pause(std::size_t I, Duration D) {
    Nodes[I].Paused = true;
    Time.after(D, [=, this] {
      Nodes[I].Paused = false;
      for (const auto &Call : std::exchange(Nodes[I].Backlog, {}))
        Call();
    });
  }

  void put(std::size_t I, std::vector<Item> Items) {
    FleetNode &N = Nodes[I];
    perform(I, measured(N, [&] {
              return eelgrassloom::put(N.Items, std::move(Items), N.Peers,
                                       N.Random);
            }));
  }

  template <class Actions> void perform(std::size_t I, Actions All) {
    for (auto &A : All)
      std::visit([&](auto &Action) { act(I, Action); }, A);
  }

  /// Number of live members in the view of a node, without itself.
  std::size_t liveIn(std::size_t I) const {
    const auto &Members = Nodes[I].Members.Members;
    return static_cast<std::size_t>(
        std::count_if(Members.begin(), Members.end(),
                      [](const auto &M) { return isLive(M.second); }));
  }

  /// True if the view of every running node contains exactly the running nodes
  /// as live members.
  bool converged() const {
    std::size_t Up = 0;
    for (const FleetNode &N : Nodes)
      Up += N.Up ? 1 : 0;
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      const FleetNode &N = Nodes[I];
      if (!N.Up)
        continue;
      if (liveIn(I) + 1 != Up)
        return false;
      for (const auto &[Id, M] : N.Members.Members)
        if (isLive(M) != Nodes[indexOf(Id)].Up)
          return false;
    }
    return true;
  }

  /// Runs until the condition holds, for about \p Limit at most. Returns the
  /// elapsed virtual time.
  template <class Condition>
  Duration runUntilTrue(Condition C, Duration Limit,
                        Duration Step = std::chrono::milliseconds(50)) {
    Instant Start = Time.Now;
    while (!C() && Time.Now - Start < Limit)
      Time.runFor(Step);
    return Time.Now - Start;
  }

  FleetOptions Options;
  std::mt19937_64 Random;
  Schedule Time;
  std::vector<FleetNode> Nodes;
  /// If set: returns true if messages from one node to another are dropped.
  std::function<bool(std::size_t, std::size_t)> Cut;
  /// If set: called with the node at which a member or an item has changed.
  std::function<void(std::size_t, const MemberChanged &)> OnMember;
  std::function<void(std::size_t, const ItemChanged &)> OnItem;

private:
  void tick(std::size_t I, unsigned Epoch) {
    FleetNode &N = Nodes[I];
    if (!N.Up || N.Epoch != Epoch)
      return;
    if (!N.Paused) {
      perform(I, measured(N, [&] {
                return eelgrassloom::tick(N.Members, Time.Now, N.Random);
              }));
      if (std::exchange(N.PeersChanged, false))
        N.Peers = livePeers(N.Members);
      if (N.Members.Joined)
        eelgrassloom::announceReady(N.Members, Time.Now);
      perform(I, measured(N, [&] {
                return eelgrassloom::tick(N.Items, N.Peers, Time.Now, N.Random);
              }));
    }
    Time.after(Options.TickInterval, [=, this] { tick(I, Epoch); });
  }

  /// Sends a message. \p Deliver runs at the receiver unless the message is
  /// lost.
  void send(std::size_t From, std::size_t To, std::size_t Bytes,
            std::function<void()> Deliver) {
    Nodes[From].BytesSent += Bytes + MessageOverhead;
    ++Nodes[From].Messages;
    if (chance(Random, Options.Loss) || (Cut && Cut(From, To)))
      return;
    Duration Delay =
        domain(From) == domain(To) ? Options.LocalDelay : Options.RemoteDelay;
    Delay += between(Random, Duration(0), Delay);
    Time.after(Delay, [=, this, Deliver = std::move(Deliver)] {
      FleetNode &N = Nodes[To];
      if (!N.Up)
        return;
      if (N.Paused)
        N.Backlog.push_back(Deliver);
      else
        Deliver();
    });
  }

  void act(std::size_t I, SendMemberMessage &A) {
    std::size_t Bytes = A.Message.Target.size();
    for (const MemberUpdate &U : A.Message.Updates)
      Bytes += encodedSize(U);
    Nodes[I].MaxUpdates = std::max<std::uint64_t>(Nodes[I].MaxUpdates, Bytes);
    std::size_t To = indexOf(A.To);
    send(I, To, Bytes, [=, this, M = std::move(A.Message)] {
      FleetNode &N = Nodes[To];
      perform(To, measured(N, [&] {
                return received(N.Members, id(I), Nodes[I].Members.Self.Address,
                                M, Time.Now, N.Random);
              }));
    });
  }
  void act(std::size_t I, const MemberChanged &A) {
    Nodes[I].PeersChanged = true;
    if (OnMember)
      OnMember(I, A);
  }
  void act(std::size_t, const SelfRefuted &) {}

  void act(std::size_t I, SendDigest &A) {
    std::size_t Bytes = A.Digest.RangeHash.size() * 8;
    for (const ItemVersion &V : A.Digest.Versions)
      Bytes += V.Key.size() + 10;
    std::size_t To = indexOf(A.To);
    send(I, To, Bytes, [=, this, D = std::move(A.Digest)] {
      FleetNode &N = Nodes[To];
      perform(To, measured(N, [&] { return received(N.Items, id(I), D); }));
    });
  }
  void act(std::size_t I, SendItems &A) {
    std::size_t Bytes = 0;
    for (const Item &It : A.Push.Items)
      Bytes += It.Key.size() + It.Value.size() + 12;
    for (const std::string &Key : A.Push.Wanted)
      Bytes += Key.size() + 2;
    std::size_t To = indexOf(A.To);
    send(I, To, Bytes, [=, this, P = std::move(A.Push)] {
      FleetNode &N = Nodes[To];
      perform(To, measured(N, [&] {
                return received(N.Items, id(I), P, N.Peers, N.Random);
              }));
    });
  }
  void act(std::size_t I, const ItemChanged &A) {
    if (OnItem)
      OnItem(I, A);
  }
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_TEST_SIMULATEDFLEET_H
