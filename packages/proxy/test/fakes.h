/// \file
/// Fakes for tests of the data path: a database group, a peer transport and the
/// environment of proxies. They run on a paused clock in one thread.

#ifndef EELGRASSLOOM_PROXY_TEST_FAKES_H
#define EELGRASSLOOM_PROXY_TEST_FAKES_H

#include "proxy/datapath.h"
#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace eelgrassloom::testing {

using std::chrono::milliseconds;

struct FakeUpstream;

/// One connection of the fake adapter.
struct FakeConnection : UpstreamConnection {
  FakeUpstream *Upstream = nullptr;
  /// Exchanges on this connection run into their timeout.
  bool Unresponsive = false;
  bool Closed = false;
  bool InTransaction = false;
  /// Exchanges in progress.
  unsigned Exchanges = 0;
  /// Statements of the open transaction.
  std::vector<std::string> Statements;
};

/// A write in the log of a fake upstream.
struct FakeLogEntry {
  Position At;
  std::string Statement;
};

/// One fake upstream. Log entries reach replicas only by
/// FakeDatabases::replicate().
struct FakeUpstream {
  UpstreamStatus Status;
  std::vector<FakeLogEntry> Log;
  /// Log entries by request id.
  std::map<std::string, FakeLogEntry> RecordedRequests;
  Duration ServiceTime = milliseconds(2);
  /// If positive, the size of every result.
  std::size_t ResultBytes = 0;
  unsigned ConnectionLimit = 30;
  /// If false, attempts to connect run into their timeout.
  bool AcceptsConnections = true;
  /// Runs statements but does not answer.
  bool Unresponsive = false;
  std::vector<std::weak_ptr<FakeConnection>> Connections;
  std::vector<UpstreamCall> Calls;
  /// Statements in progress, without status queries and confirmations.
  unsigned Running = 0;
  unsigned MaxRunning = 0;
  unsigned ConnectionsOpened = 0;

  /// Number of open connections.
  unsigned open() const {
    return static_cast<unsigned>(std::count_if(
        Connections.begin(), Connections.end(), [](const auto &Weak) {
          auto C = Weak.lock();
          return C && !C->Closed;
        }));
  }
  /// How often the statement was received.
  unsigned executed(const std::string &Statement) const {
    return static_cast<unsigned>(
        std::count_if(Calls.begin(), Calls.end(), [&](const auto &C) {
          return C.Operation == UpstreamOperation::Execute &&
                 C.Statement == Statement;
        }));
  }
  /// How often the statement is in the log.
  unsigned logged(const std::string &Statement) const {
    return static_cast<unsigned>(
        std::count_if(Log.begin(), Log.end(),
                      [&](const auto &E) { return E.Statement == Statement; }));
  }
  /// Makes the first \p Count open connections unresponsive.
  void hangConnections(std::size_t Count) {
    for (const auto &Weak : Connections)
      if (auto C = Weak.lock(); C && !C->Closed && Count > 0) {
        C->Unresponsive = true;
        --Count;
      }
  }
};

/// The upstreams that the fake adapter reaches, by address.
struct FakeDatabases {
  std::shared_ptr<Clock> Time = Clock::paused(Instant(std::chrono::hours(1)));
  std::shared_ptr<Timer> Timers = Timer::manual(Time);
  std::map<std::string, FakeUpstream> Upstreams;
  static FakeDatabases *Current;

  FakeDatabases() { Current = this; }
  ~FakeDatabases() { Current = nullptr; }
  FakeDatabases(const FakeDatabases &) = delete;
  FakeDatabases &operator=(const FakeDatabases &) = delete;

  /// Copies the log of an upstream to another one.
  void replicate(const std::string &From, const std::string &To);
  /// Makes \p Id the primary of a term that starts at the end of its log.
  void promote(const std::string &Id, std::uint64_t Term);
};

const UpstreamAdapter &fakeAdapter();

/// Delivers requests and answers between the data paths of a test, after 1 ms
/// each.
struct FakePeers : PeerTransport {
  std::map<std::string, PeerReceiver> Receivers;
  std::shared_ptr<Timer> Timers;
  /// Results of the next requests by address; requests succeed once the list
  /// is empty.
  std::map<std::string, std::vector<PeerCode>> Faults;
  unsigned Requests = 0;

  void send(const std::string &, peer::v1::PeerMessage) override {}
  void request(const std::string &Address, peer::v1::PeerMessage Message,
               Duration Timeout, PeerAnswerHandler Done) override;
};

/// The database "db" with three upstreams a, b and c, of which a is the primary
/// of term 1, and the proxies that own them.
struct DataPathFixture {
  FakeDatabases Databases;
  std::shared_ptr<FakePeers> Peers = std::make_shared<FakePeers>();
  std::shared_ptr<Snapshot> State = std::make_shared<Snapshot>();
  struct Proxy {
    std::shared_ptr<SnapshotHolder> Snapshots;
    std::shared_ptr<EventLog> Events;
    std::shared_ptr<DataPath> Path;
    std::map<UpstreamId, unsigned> FailedConnections;
  };
  std::map<ProxyId, Proxy> Proxies;

  /// \p Owners names the owner of each upstream; each owner becomes a proxy.
  explicit DataPathFixture(std::map<UpstreamId, ProxyId> Owners = {
                               {"a", "p1"}, {"b", "p1"}, {"c", "p1"}});
  ~DataPathFixture();
  DataPathFixture(const DataPathFixture &) = delete;
  DataPathFixture &operator=(const DataPathFixture &) = delete;

  FakeUpstream &upstream(const std::string &Id) {
    return Databases.Upstreams.at(Id + ":1");
  }
  /// Publishes State to all proxies.
  void publish();
  /// Publishes State to one proxy; the others keep what they know.
  void publishTo(const ProxyId &Id);
  /// Advances the clock in steps of 1 ms and runs the timers.
  void advance(Duration D);
  /// Starts a request; the result is set once the answer is there.
  std::shared_ptr<std::optional<caller::v1::RunAnswer>>
  start(const ProxyId &Proxy, const caller::v1::RunRequest &Request);
  /// Runs a request until its answer; fails the test if there is none within 5
  /// s of the paused clock.
  caller::v1::RunAnswer run(const ProxyId &Proxy,
                            const caller::v1::RunRequest &Request);
  caller::v1::RunRequest read(const std::string &Statement,
                              const std::string &Class = "normal") const;
  caller::v1::RunRequest write(const std::string &Statement,
                               const std::string &Class = "normal") const;
  caller::v1::RunRequest step(caller::v1::Step Step,
                              const std::string &Transaction = "") const;
  bool hasEvent(const ProxyId &Proxy, const EventKind &Kind) const;
};

} // namespace eelgrassloom::testing

#endif // EELGRASSLOOM_PROXY_TEST_FAKES_H
