/// \file
/// The registered servers, read from the store or, while it does not answer
/// this proxy, from another one.

#ifndef EELGRASSLOOM_CONTROL_SERVERS_H
#define EELGRASSLOOM_CONTROL_SERVERS_H

#include "control/peerrequest.h"
#include "control/rejectedinputs.h"
#include "control/store.h"
#include "engine/engine.h"

namespace eelgrassloom {

struct ServersOptions {
  /// Interval of reads that may be seconds old, at a tenth of the price.
  Duration Interval = std::chrono::milliseconds(1500);
  /// Each so many reads one is current.
  unsigned CurrentEvery = 3;
  /// Interval of a proxy whose servers are those that its checker has.
  Duration MatchInterval = std::chrono::seconds(10);
  /// Reads that may be old before a proxy that has other servers than its
  /// checker makes a current one.
  unsigned MaxStaleReads = 2;
  Duration MismatchInterval = std::chrono::milliseconds(500);
  /// Pause after a read without answer, while other calls are answered.
  Duration Retry = std::chrono::milliseconds(150);
  /// Longest silence of the store during a read.
  Duration CallTimeout = std::chrono::milliseconds(900);
  /// An entry may be missing for this long after an outage of the store.
  Duration MissingGrace = std::chrono::milliseconds(3500);
};

/// What the coordinator knows of the store.
struct StoreStatus {
  /// The last check of this proxy was answered.
  bool Reachable = true;
  /// The last check, by this proxy or relayed, is overdue.
  bool PollOverdue = false;
  /// A checker has extended the permissions recently.
  bool PolledByOthers = false;
};

/// Not copyable: calls in progress refer to it.
class ServersReader {
public:
  using StatusSource = std::function<StoreStatus()>;

  /// All references outlive the reader. \p Changed is called with each list.
  static std::unique_ptr<ServersReader>
  create(Engine &SessionEngine, Store &KeyValueStore, const StoreLayout &Layout,
         RejectedInputs &Rejected, StatusSource Status,
         std::function<void()> Changed, const ServersOptions &Options);

  /// Lets other proxies be asked.
  void setDialer(PeerDialer ToProxies) { Dial = std::move(ToProxies); }
  void read();
  /// Reads when it is time.
  void tick();
  /// Reads within \p Delay.
  void readSoon(Duration Delay);
  /// The store did not answer; entries may lapse meanwhile.
  void handleStoreFailure() { StoreFailedAt = SessionEngine.runtime().Now(); }
  /// The checker has this list: reads again if it differs.
  void compare(std::uint64_t PollerDigest);
  /// Another proxy has this list: asks it if the store does not answer this
  /// one and the list is newer.
  void handlePeerRevision(const ProxyId &From, const std::string &Address,
                          std::uint64_t ListRevision, std::uint64_t ListDigest);

  const std::vector<ServerEntry> &entries() const { return Entries; }
  ServersList current() const { return {Revision, Entries}; }
  bool known() const { return Known; }
  /// Digest of the list; 0 before the first one.
  std::uint64_t digest() const { return Digest; }
  /// Newest revision of an entry: it orders the lists, because servers write
  /// their entries all the time.
  std::uint64_t revision() const { return Revision; }

private:
  ServersReader(Engine &SessionEngine, Store &KeyValueStore,
                const StoreLayout &Layout, RejectedInputs &Rejected,
                StatusSource Status, std::function<void()> Changed,
                const ServersOptions &Options)
      : SessionEngine(SessionEngine), KeyValueStore(KeyValueStore),
        Layout(Layout), Rejected(Rejected), StoreStatusNow(std::move(Status)),
        Changed(std::move(Changed)), Options(Options) {}

  void handleStoreReply(const StoreReply &Reply);
  void apply(const std::vector<StoreItem> &Items);
  /// Adds entries that may be missing only because of an outage.
  void keepMissing(std::vector<ServerEntry> &Next);
  void set(std::vector<ServerEntry> Next, std::uint64_t NewRevision);
  void readProxy(const ProxyId &From, const std::string &Address);

  Engine &SessionEngine;
  Store &KeyValueStore;
  const StoreLayout &Layout;
  RejectedInputs &Rejected;
  StatusSource StoreStatusNow;
  std::function<void()> Changed;
  ServersOptions Options;
  PeerDialer Dial;
  std::vector<ServerEntry> Entries;
  std::map<UpstreamId, Instant, std::less<>> MissingSince;
  std::uint64_t Digest = 0;
  std::uint64_t Revision = 0;
  Instant NextRead;
  Instant StoreFailedAt;
  unsigned Reads = 0;
  /// Reads since the list differs from that of the checker.
  unsigned MismatchReads = 0;
  bool Known = false;
  bool Reading = false;
  /// The last read had no answer.
  bool Failed = false;
  bool ReadingProxy = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_SERVERS_H
