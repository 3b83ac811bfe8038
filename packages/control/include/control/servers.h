/// \file
/// Reads the registered servers from the store or, if the store does not answer
/// this proxy, from another proxy.

#ifndef EELGRASSLOOM_CONTROL_SERVERS_H
#define EELGRASSLOOM_CONTROL_SERVERS_H

#include "control/peerrequest.h"
#include "control/rejectedinputs.h"
#include "control/store.h"
#include "engine/engine.h"

namespace eelgrassloom {

struct ServersOptions {
  /// Interval of reads. Most of them accept an answer that is seconds old, at a
  /// tenth of the price.
  Duration Interval = std::chrono::milliseconds(1500);
  /// Every CurrentEvery-th read requires a current answer.
  unsigned CurrentEvery = 3;
  /// Read interval of a proxy whose list equals that of its poller.
  Duration MatchInterval = std::chrono::seconds(10);
  /// If the list differs from that of the poller, this many reads may be stale
  /// before one requires a current answer.
  unsigned MaxStaleReads = 2;
  /// Read interval of a proxy whose list differs from that of its poller.
  Duration MismatchInterval = std::chrono::milliseconds(500);
  /// Pause after a read that got no answer, while other calls are answered.
  Duration Retry = std::chrono::milliseconds(150);
  /// Timeout of a store read, counted from the last byte received.
  Duration CallTimeout = std::chrono::milliseconds(900);
  /// After an outage of the store, entries that are missing are kept for this
  /// long.
  Duration MissingGrace = std::chrono::milliseconds(3500);
};

/// What the coordinator knows about the store.
struct StoreStatus {
  /// The last poll of this proxy was answered.
  bool Reachable = true;
  /// The last answered poll, by this proxy or relayed, is overdue.
  bool PollOverdue = false;
  /// The poller has extended the primary leases recently.
  bool PolledByOthers = false;
};

/// Keeps the list of registered servers.
/// Not copyable: calls in progress refer to it.
class ServersReader {
public:
  using StatusSource = std::function<StoreStatus()>;

  /// All references must outlive the reader. \p Changed is called after each
  /// read that gave a list, also if the list is the same as before.
  static std::unique_ptr<ServersReader>
  create(Engine &SessionEngine, Store &KeyValueStore, const StoreLayout &Layout,
         RejectedInputs &Rejected, StatusSource Status,
         std::function<void()> Changed, const ServersOptions &Options);

  /// Sets the dialer, which allows reading the list from other proxies.
  void setDialer(PeerDialer ToProxies) { Dial = std::move(ToProxies); }
  void read();
  /// Reads if a read is due.
  void tick();
  /// Makes the next read due within \p Delay.
  void readSoon(Duration Delay);
  /// Notes that the store did not answer. Entries may expire meanwhile, so
  /// missing ones are kept for MissingGrace.
  void handleStoreFailure() { StoreFailedAt = SessionEngine.runtime().Now(); }
  /// Notes that the store has come back from a copy. Its entries may be seconds
  /// old, or missing, until the servers have written them again.
  void handleStoreReturn() { handleStoreFailure(); }
  /// Compares the list with that of the poller and reads again if they differ.
  void compare(std::uint64_t PollerDigest);
  /// Reads a list that another proxy has advertised from that proxy at
  /// \p Address, if the store does not answer this proxy and the list is newer.
  void handlePeerRevision(const ProxyId &From, const std::string &Address,
                          std::uint64_t ListRevision, std::uint64_t ListDigest);

  const std::vector<ServerEntry> &entries() const { return Entries; }
  ServersList current() const { return {Revision, Entries}; }
  bool known() const { return Known; }
  /// Digest of the list; 0 before the first list was read.
  std::uint64_t digest() const { return Digest; }
  /// Newest revision of an entry. It orders the lists, because the servers
  /// rewrite their entries all the time.
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
  /// Adds entries that may be missing only because of an outage of the store.
  void keepMissing(std::vector<ServerEntry> &Next);
  /// Keeps servers draining that a store that has come back from a copy shows
  /// as they were before.
  void keepDraining(std::vector<ServerEntry> &Next) const;
  /// Entries may be missing, or old, because the store was away.
  bool storeFailedRecently() const {
    return SessionEngine.runtime().Now() - StoreFailedAt < Options.MissingGrace;
  }
  void set(std::vector<ServerEntry> Next, std::uint64_t NewRevision);
  void applyPeerList(const ProxyId &From, const ServersList &List);
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
  /// Number of reads that were made because the list differs from that of the
  /// poller.
  unsigned MismatchReads = 0;
  bool Known = false;
  bool Reading = false;
  /// The last read got no answer.
  bool LastReadFailed = false;
  bool ReadingProxy = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_SERVERS_H
