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
  Duration SameInterval = std::chrono::seconds(10);
  /// Reads that may be old before a proxy that has other servers than its
  /// checker makes a current one.
  unsigned OldReads = 2;
  Duration OtherInterval = std::chrono::milliseconds(500);
  /// Pause after a read without answer, while other calls are answered.
  Duration Retry = std::chrono::milliseconds(150);
  /// Longest silence of the store during a read.
  Duration CallTimeout = std::chrono::milliseconds(900);
  /// An entry may be missing for this long after an outage of the store.
  Duration MissingGrace = std::chrono::milliseconds(3500);
};

/// What the coordinator knows of the store.
struct StoreSituation {
  /// The last check of this proxy was answered.
  bool Up = true;
  /// The last check, by this proxy or relayed, is overdue.
  bool Silent = false;
  /// A checker has extended the permissions recently.
  bool CheckedByOthers = false;
};

/// Not copyable: calls in progress refer to it.
class ServersReader {
public:
  using Situation = std::function<StoreSituation()>;

  /// All references outlive the reader. \p Changed is called with each list.
  static std::unique_ptr<ServersReader>
  create(Engine &Target, Store &Platform, const StoreLayout &Layout,
         RejectedInputs &Rejected, Situation Now, std::function<void()> Changed,
         const ServersOptions &Options);

  /// Lets other proxies be asked.
  void connectBy(PeerDialer ToProxies) { Dial = std::move(ToProxies); }
  void read();
  /// Reads when it is time.
  void tick();
  /// Reads within \p Delay.
  void readSoon(Duration Delay);
  /// The store did not answer; entries may lapse meanwhile.
  void noteTrouble() { TroubleAt = Target.runtime().Now(); }
  /// The checker has this list: reads again if it differs.
  void compare(std::uint64_t CheckerDigest);
  /// Another proxy has this list: asks it if the store does not answer this
  /// one and the list is newer.
  void heard(const ProxyId &From, const std::string &Address,
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
  ServersReader(Engine &Target, Store &Platform, const StoreLayout &Layout,
                RejectedInputs &Rejected, Situation Now,
                std::function<void()> Changed, const ServersOptions &Options)
      : Target(Target), Platform(Platform), Layout(Layout), Rejected(Rejected),
        StoreNow(std::move(Now)), Changed(std::move(Changed)),
        Options(Options) {}

  void answered(const StoreReply &Reply);
  void apply(const std::vector<StoreItem> &Items);
  /// Adds entries that may be missing only because of an outage.
  void keepMissing(std::vector<ServerEntry> &Next);
  void set(std::vector<ServerEntry> Next, std::uint64_t NewRevision);
  void ask(const ProxyId &From, const std::string &Address);

  Engine &Target;
  Store &Platform;
  const StoreLayout &Layout;
  RejectedInputs &Rejected;
  Situation StoreNow;
  std::function<void()> Changed;
  ServersOptions Options;
  PeerDialer Dial;
  std::vector<ServerEntry> Entries;
  std::map<UpstreamId, Instant, std::less<>> MissingSince;
  std::uint64_t Digest = 0;
  std::uint64_t Revision = 0;
  Instant NextRead;
  Instant TroubleAt;
  unsigned Reads = 0;
  /// Reads since the list differs from that of the checker.
  unsigned OtherReads = 0;
  bool Known = false;
  bool Reading = false;
  /// The last read had no answer.
  bool Failed = false;
  bool Asking = false;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_SERVERS_H
