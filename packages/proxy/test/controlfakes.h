/// \file
/// Fakes for tests of the control thread: a platform, a database with its
/// upstreams, and unreachable peers. Everything runs in the test's thread on a
/// paused clock.

#ifndef EELGRASSLOOM_PROXY_TEST_CONTROLFAKES_H
#define EELGRASSLOOM_PROXY_TEST_CONTROLFAKES_H

#include "proxy/configwire.h"
#include "proxy/control.h"
#include <map>
#include <set>

namespace eelgrassloom::testing {

/// A platform that answers every call at once, on the calling thread. Its
/// watches report nothing.
struct FakePlatform : PlatformClient {
  std::map<std::string, PlatformEntry> Entries;
  std::vector<PlatformHost> Hosts;
  /// Calls end with PlatformCode::Unavailable.
  bool Down = false;
  /// Compare-and-swaps take effect, but their responses are lost.
  bool LoseSwapResponses = false;
  /// Runs once, before the next compare-and-swap. Simulates a write by another
  /// operator or proxy that comes first.
  std::function<void()> BeforeSwap;
  /// Number of reads and compare-and-swaps.
  unsigned Calls = 0;

  /// Writes a value with the next revision.
  void put(const std::string &Key, const std::string &Value) {
    PlatformEntry &E = Entries[Key];
    E = {Key, Value, E.Revision + 1};
  }
};
const PlatformAdapter &fakePlatform();

/// An upstream whose status and availability the test sets.
struct ControlledUpstream {
  UpstreamStatus Status;
  /// Calls time out.
  bool Down = false;
  /// Calls that the upstream has answered.
  std::vector<UpstreamCall> Calls;
};

/// Upstreams by address. Set by the fixture in use, because the adapter's
/// functions have no context argument.
extern std::map<std::string, ControlledUpstream> *ControlledUpstreams;
const UpstreamAdapter &controlledAdapter();

/// A transport that reaches no peer.
struct UnreachablePeers : PeerTransport {
  void send(const std::string &, peer::v1::PeerMessage) override {}
  void request(const std::string &, peer::v1::PeerMessage, Duration,
               PeerAnswerHandler Done) override {
    Done(PeerCode::NotSent, {});
  }
};

/// One proxy and the database "db" with the upstreams a, b and c in the proxy's
/// failure domain. The upstream a is the primary of term 1.
struct ControlFixture {
  std::shared_ptr<Clock> Time = Clock::paused(Instant(std::chrono::hours(1)));
  std::shared_ptr<FakePlatform> Platform = std::make_shared<FakePlatform>();
  std::map<std::string, ControlledUpstream> Upstreams;
  std::shared_ptr<EventLog> Events = EventLog::create(Time, 1000);
  std::shared_ptr<SnapshotHolder> Snapshots =
      std::make_shared<SnapshotHolder>();
  ControlContext Context;
  std::shared_ptr<Control> Controller;

  ControlFixture();
  ~ControlFixture();
  ControlFixture(const ControlFixture &) = delete;
  ControlFixture &operator=(const ControlFixture &) = delete;

  static Configuration configuration(std::uint64_t Version);
  void storeConfiguration(std::uint64_t Version);
  ControlledUpstream &upstream(const std::string &Id);
  /// Advances the clock in steps of 50 ms and runs one tick after each.
  void run(Duration D);
  /// Advances the clock without ticks, as if the process were stopped.
  void pause(Duration D);
  /// Primary in the published snapshot; empty if there is none.
  std::string primary() const;
  /// Number of recorded events of a kind.
  std::size_t count(const EventKind &Kind) const;
  /// Runs one tick to get the status.
  operators::v1::StatusAnswer status();
};

} // namespace eelgrassloom::testing

#endif // EELGRASSLOOM_PROXY_TEST_CONTROLFAKES_H
