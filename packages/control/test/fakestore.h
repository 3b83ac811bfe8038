/// \file
/// An in-memory store, and proxies that coordinate through it, on a simulated
/// clock.

#ifndef EELGRASSLOOM_CONTROL_TEST_FAKESTORE_H
#define EELGRASSLOOM_CONTROL_TEST_FAKESTORE_H

#include "control/coordinator.h"

namespace eelgrassloom::test {

/// Response time of the store and of the servers.
inline constexpr Duration AnswerTime = std::chrono::milliseconds(4);

/// A configuration that can't be decoded.
inline constexpr const char *InvalidConfig = "invalid";
/// Prefix of a version: the configuration is invalid because it allows no
/// connections.
inline constexpr const char *NoConnectionsPrefix = "-";

/// Simulated clock with its timers.
struct FakeClock {
  Instant Now{std::chrono::seconds(100)};
  std::vector<std::pair<Instant, std::function<void()>>> Timers;

  void after(Duration D, std::function<void()> Run) {
    Timers.emplace_back(Now + D, std::move(Run));
  }
  void runDue();
};

/// What a copy of the store contains.
struct StoreCopy {
  std::map<std::string, StoreItem> Items;
  std::uint64_t Revision = 0;
  std::map<std::uint64_t, Instant> LeaseEnds;
};

/// The keys of the store, and its faults. A fault applies to all proxies unless
/// it is a set of proxies.
struct StoreState {
  std::map<std::string, StoreItem> Items;
  std::uint64_t Revision = 10;
  /// 0: the store names no era.
  StoreEra Era = 0;
  bool Down = false;
  /// While the store is unavailable, it rejects calls at once instead of
  /// leaving them unanswered.
  bool Rejecting = false;
  /// Writes take effect, but their answers are lost.
  bool DropResponses = false;
  std::uint64_t NextLease = 1;
  std::map<std::uint64_t, Instant> LeaseEnds;
  std::set<std::string> PartitionedProxies;
  /// Proxies whose open connections hang: their calls get no answer until the
  /// first of these calls has timed out.
  std::set<std::string> HungConnections;
  /// Number of calls by proxy that cost a full call, answered or not: current
  /// reads, writes, and watches while the store is unavailable.
  std::map<std::string, std::size_t> Calls;

  /// Number of answers by proxy that contained the configuration.
  std::map<std::string, std::size_t> ConfigsSent;
  StoreCopy Copy;

  void put(const std::string &Key, const std::string &Value);
  void expireLeases(Instant Now);
  /// Keeps what the store has now, to come back from it later.
  void takeCopy();
  /// Comes back from the copy, in a new era. Nothing that was written since
  /// the copy is left.
  void returnFromCopy();
  /// Begins the next era; revisions go on from those of the last one.
  void beginEra();
  StoreReply change(const StoreChange &Change);
};

/// The store as one proxy sees it.
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
  void onNewEra(EraHandler Handler) override { NewEra = std::move(Handler); }

  /// The process has ended: no answer reaches it any more.
  bool Dead = false;

private:
  void deliver(Duration After, StoreReply Reply, Handler Done);
  /// Delivers an answer that the store gave in the era \p AnsweredIn to a call
  /// that was sent in the era \p SentIn.
  void deliverNow(StoreReply Reply, StoreEra SentIn, StoreEra AnsweredIn,
                  const Handler &Done);
  bool isUnavailable() const {
    return State.Down || State.PartitionedProxies.count(Proxy) != 0;
  }
  void reply(Duration Timeout, StoreReply Reply, Handler Done);

  StoreState &State;
  FakeClock &Time;
  std::string Proxy;
  /// Latest era that an answer has named.
  StoreEra KnownEra = 0;
  EraHandler NewEra;
};

/// One proxy. It has no real servers: statements on its connections are
/// answered with a fixed position.
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
  /// Answers requests of other proxies for the configuration and the servers;
  /// it is not used to forward statements.
  std::unique_ptr<StatementForwarder> Forwarder;
  std::unique_ptr<Coordinator> Control;
  /// The process is suspended: it runs no timers and receives no datagrams.
  bool Stopped = false;
  /// Ends the process without a shutdown.
  void kill() {
    Stopped = true;
    KeyValueStore->Dead = true;
  }
};

/// Proxies `p0`, `p1`, ... in front of one group `s` of the servers a, b and c.
class Fleet {
public:
  /// \p Shares: processor shares of the first proxies, see
  /// LiveProxy::MilliCores; those of the others are unknown.
  explicit Fleet(std::size_t Proxies, std::size_t Domains = 1,
                 std::vector<unsigned> Shares = {});

  void advance(Duration D);
  FakeProxy &proxy(std::size_t I) { return *Members.at(I); }
  bool hasLease(std::size_t I);
  std::size_t leaseCount();
  /// Index of the first proxy that holds the promotion lock; there must be one.
  std::size_t lockHolder();
  /// Index of the first proxy that is not a poller; there must be one.
  std::size_t firstNonPoller();
  /// Time until a promotion beyond the \p Earlier ones is called; \p Max if
  /// none is.
  Duration timeToPromotion(Duration Max, std::size_t Earlier = 0);
  PrimaryRecord record();

  const std::vector<unsigned> MilliCores;
  FakeClock Time;
  /// Time between two ticks of the proxies.
  Duration Step = std::chrono::milliseconds(5);
  StoreState Keys;
  /// Servers that can be reached and answer status queries, and which one is
  /// the primary.
  std::set<UpstreamId> Reachable = {"a", "b", "c"};
  UpstreamId Primary = "a";
  /// Servers that lead an older term because they have not followed their
  /// successor, with that term. All others follow the primary.
  std::map<UpstreamId, std::uint64_t> FormerPrimaries;
  /// What a server answers to a status query.
  ServerStatus status(const UpstreamId &Id) const;
  std::vector<std::pair<UpstreamId, std::uint64_t>> Promotions;
  std::vector<std::unique_ptr<FakeProxy>> Members;
  /// Proxies that neither send nor receive datagrams.
  std::set<std::string> WithoutDatagrams;
  /// Proxies that exchange datagrams only with each other.
  std::set<std::string> Partition;
  /// Servers that a proxy can't reach, by proxy.
  std::map<std::string, std::set<UpstreamId>> Blocked;
  /// Failure domains that are partitioned from the store and from the others.
  std::set<std::string> PartitionedDomains;
  void partitionDomain(const std::string &Domain);
  void healDomain(const std::string &Domain);

  /// True if messages pass from one proxy to the other.
  bool connected(const FakeProxy &From, const std::string &To);
  FakeProxy *find(const std::string &Id);
  PeerDialer dialerOf(FakeProxy &From);

  void addProxy(const std::string &Id, const std::string &Domain = "zone");
};

} // namespace eelgrassloom::test

#endif // EELGRASSLOOM_CONTROL_TEST_FAKESTORE_H
