/// \file
/// A store in memory and proxies that coordinate through it, on a paused
/// clock.

#ifndef EELGRASSLOOM_CONTROL_TEST_FAKESTORE_H
#define EELGRASSLOOM_CONTROL_TEST_FAKESTORE_H

#include "control/coordinator.h"

namespace eelgrassloom::test {

/// Time of each answer of the store and of servers.
inline constexpr Duration AnswerTime = std::chrono::milliseconds(4);

/// Rules that can't be decoded.
inline constexpr const char *InvalidConfig = "invalid";
/// In front of a version: rules that allow no connection.
inline constexpr const char *UselessConfig = "-";

/// Timers and deferred calls.
struct FakeClock {
  Instant Now{std::chrono::seconds(100)};
  std::vector<std::pair<Instant, std::function<void()>>> Timers;

  void after(Duration D, std::function<void()> Run) {
    Timers.emplace_back(Now + D, std::move(Run));
  }
  void runDue();
};

/// The keys of the store. Faults apply to all proxies unless one is named.
struct StoreState {
  std::map<std::string, StoreItem> Items;
  std::uint64_t Revision = 10;
  bool Down = false;
  /// While it is down it rejects calls at once, instead of being silent.
  bool Rejecting = false;
  /// Changes take effect, but their answers are lost.
  bool DropResponses = false;
  std::uint64_t NextLease = 1;
  std::map<std::uint64_t, Instant> LeaseEnds;
  std::set<std::string> PartitionedProxies;
  /// Proxies whose open connections have gone silent: their calls get no answer
  /// until the first of these has failed.
  std::set<std::string> HungConnections;
  /// Calls of each proxy that cost a full call, answered or not: current
  /// reads, changes, and watches while the store is away.
  std::map<std::string, std::size_t> Calls;

  /// Answers to each proxy that held the rules.
  std::map<std::string, std::size_t> ConfigsSent;

  void put(const std::string &Key, const std::string &Value);
  void expireLeases(Instant Now);
  StoreReply change(const StoreChange &Change);
};

/// One proxy's view of the store.
class FakeStore : public Store {
public:
  FakeStore(StoreState &State, FakeClock &Time, std::string Proxy)
      : State(State), Time(Time), Proxy(std::move(Proxy)) {}

  void range(const std::string &Prefix, ReadMode Mode, Duration Timeout,
             Handler Done) override;
  void change(const StoreChange &Change, Duration Timeout,
              Handler Done) override;
  void watch(const std::string &Prefix, std::uint64_t Revision, Duration Wait,
             Handler Done) override;
  void createLease(Duration Length, Duration Timeout, Handler Done) override;
  void renewLease(std::uint64_t LeaseId, Duration Timeout,
                  Handler Done) override;

  /// The process has ended: no answer reaches it any more.
  bool Dead = false;

private:
  void deliver(Duration After, StoreReply Reply, Handler Done);
  bool away() const {
    return State.Down || State.PartitionedProxies.count(Proxy) != 0;
  }
  void reply(Duration Timeout, StoreReply Reply, Handler Done);

  StoreState &State;
  FakeClock &Time;
  std::string Proxy;
};

/// One proxy without servers: its groups have no connections.
struct FakeProxy {
  FakeProxy(const std::string &Id, const std::string &Domain)
      : Id(Id), Domain(Domain) {}

  std::string Id;
  std::string Domain;
  RuntimeHooks Hooks;
  std::unique_ptr<EventWriter> Events;
  std::unique_ptr<Metrics> Counters;
  std::unique_ptr<Engine> SessionEngine;
  std::unique_ptr<FakeStore> KeyValueStore;
  std::unique_ptr<Peers> PeerProxies;
  /// Answers questions for rules and servers; statements stay here.
  std::unique_ptr<StatementForwarder> Forwarder;
  std::unique_ptr<Coordinator> Control;
  /// Stands still: no timers, no datagrams.
  bool Stopped = false;
  /// Ends without leaving.
  void kill() {
    Stopped = true;
    KeyValueStore->Dead = true;
  }
};

/// Proxies `p0`, `p1`, ... in front of one group `s` of servers a, b and c.
class Fleet {
public:
  explicit Fleet(std::size_t Proxies, std::size_t Domains = 1);

  void advance(Duration D);
  FakeProxy &proxy(std::size_t I) { return *Members.at(I); }
  bool hasLease(std::size_t I);
  std::size_t leaseCount();
  /// The first proxy that holds the duty; there must be one.
  std::size_t holder();
  /// The first proxy for which another one checks the store.
  std::size_t relayedProxy();
  /// Time until a promotion beyond the \p Earlier ones is called; \p Max if
  /// none is.
  Duration timeToPromotion(Duration Max, std::size_t Earlier = 0);
  PrimaryRecord record();

  FakeClock Time;
  /// Time between two ticks of the proxies.
  Duration Step = std::chrono::milliseconds(5);
  StoreState Keys;
  /// Servers that answer status questions, and which one leads.
  std::set<UpstreamId> Reachable = {"a", "b", "c"};
  UpstreamId Primary = "a";
  std::vector<std::pair<UpstreamId, std::uint64_t>> Promotions;
  std::vector<std::unique_ptr<FakeProxy>> Members;
  /// Proxies that receive no datagrams.
  std::set<std::string> WithoutDatagrams;
  /// Proxies that exchange datagrams only with each other.
  std::set<std::string> Partition;
  /// Servers that a proxy can't reach.
  std::map<std::string, std::set<UpstreamId>> Blocked;
  /// Failure domains that are cut off from the store and from the others.
  std::set<std::string> CutDomains;
  void cutDomain(const std::string &Domain);
  void healDomain(const std::string &Domain);

  /// Messages pass from one proxy to another.
  bool connected(const FakeProxy &From, const std::string &To);
  FakeProxy *find(const std::string &Id);
  PeerDialer dialerOf(FakeProxy &From);

  void addProxy(const std::string &Id, const std::string &Domain = "zone");
};

} // namespace eelgrassloom::test

#endif // EELGRASSLOOM_CONTROL_TEST_FAKESTORE_H
