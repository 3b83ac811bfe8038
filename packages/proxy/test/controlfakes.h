/// \file
/// A platform, a database group and a control thread in one thread on a
/// paused clock.

#ifndef EELGRASSLOOM_PROXY_TEST_CONTROLFAKES_H
#define EELGRASSLOOM_PROXY_TEST_CONTROLFAKES_H

#include "proxy/configwire.h"
#include "proxy/control.h"
#include <map>
#include <set>

namespace eelgrassloom::testing {

/// Answers at once.
struct FakePlatform : PlatformClient {
  std::map<std::string, PlatformEntry> Entries;
  std::vector<PlatformHost> Hosts;
  bool Down = false;
  /// Swaps take effect, but their responses are lost.
  bool LoseSwapResponses = false;
  /// Runs once before the next swap: another operator or proxy is faster.
  std::function<void()> BeforeSwap;
  unsigned Calls = 0;

  void put(const std::string &Key, const std::string &Value) {
    PlatformEntry &E = Entries[Key];
    E = {Key, Value, E.Revision + 1};
  }
};
const PlatformAdapter &fakePlatform();

struct ControlledUpstream {
  UpstreamStatus Status;
  bool Down = false;
  std::vector<UpstreamCall> Calls;
};

/// Upstreams by address; set by the environment that is alive.
extern std::map<std::string, ControlledUpstream> *ControlledUpstreams;
const UpstreamAdapter &controlledAdapter();

struct UnreachablePeers : PeerTransport {
  void send(const std::string &, peer::v1::PeerMessage) override {}
  void request(const std::string &, peer::v1::PeerMessage, Duration,
               PeerAnswerHandler Done) override {
    Done(PeerCode::NotSent, {});
  }
};

/// One proxy, the database "db" with the upstreams a, b and c in its own
/// failure domain, a being primary of term 1.
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
  /// Advances in ticks of 50 ms.
  void run(Duration D);
  /// Advances without ticks, as a stopped process does.
  void pause(Duration D);
  std::string primary() const;
  std::size_t count(const EventKind &Kind) const;
  operators::v1::StatusAnswer status();
};

} // namespace eelgrassloom::testing

#endif // EELGRASSLOOM_PROXY_TEST_CONTROLFAKES_H
