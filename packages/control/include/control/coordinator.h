/// \file
/// Coordination of the proxies through the store: rules, servers, permissions
/// to use primaries, and the promotion duty. Whatever must be agreed is a
/// conditional change of the store; datagrams between the proxies spare calls
/// and shorten waits.

#ifndef EELGRASSLOOM_CONTROL_COORDINATOR_H
#define EELGRASSLOOM_CONTROL_COORDINATOR_H

#include "control/configreader.h"
#include "control/peers.h"
#include "control/records.h"
#include "control/rejectedinputs.h"
#include "control/servers.h"
#include "engine/engine.h"
#include <random>

namespace eelgrassloom {

struct CoordinatorOptions {
  /// Interval of the conditional read that renews permissions and finds
  /// changes.
  Duration CheckInterval = std::chrono::milliseconds(500);
  /// Permission that a check or a quorum of peers gives, from its start.
  Duration Lease = std::chrono::milliseconds(1200);
  /// A check that is overdue by this much lets the peers be asked.
  Duration CheckSlack = std::chrono::milliseconds(250);
  /// Pause after a check without answer, doubled up to the longest.
  Duration CheckRetry = std::chrono::milliseconds(150);
  Duration LongestCheckRetry = std::chrono::milliseconds(600);
  /// The same of proxies for which others check the store.
  Duration RelayedCheckRetry = std::chrono::milliseconds(1200);
  /// Proxies for which others check the store check it themselves at this
  /// interval.
  Duration OwnCheckInterval = std::chrono::seconds(20);
  /// Others extend the permissions of a proxy for this long after its own last
  /// check: one that was evicted must notice long before EvictedLeaseTime.
  Duration RelayedLimit = std::chrono::seconds(25);
  /// A relayed check may be older than a check interval by this much: two
  /// questions to the checker, and its timers. Below the rest of the lease.
  Duration RelaySlack = std::chrono::milliseconds(600);
  /// Longest silence of the store during a call.
  Duration CallTimeout = std::chrono::milliseconds(900);
  /// Pause after a read of the proxies without answer during an outage.
  Duration ProxiesRetry = std::chrono::milliseconds(1500);
  Duration ProxiesInterval = std::chrono::milliseconds(4000);
  /// The same after the start, until the proxies that started with this one
  /// have registered.
  Duration FirstProxiesInterval = std::chrono::milliseconds(1000);
  unsigned FirstProxiesReads = 3;
  /// First watch after the start; most proxies know by then that another one
  /// watches for them.
  Duration FirstWatch = std::chrono::milliseconds(2500);
  /// Interval at which the duty holder reads the proxies' records.
  Duration DutyProxiesInterval = std::chrono::milliseconds(400);
  /// The same while a primary is being replaced.
  Duration RevokingProxiesInterval = std::chrono::milliseconds(120);
  /// Interval of log lines on a replacement that is in progress.
  Duration PromotionNotes = std::chrono::milliseconds(500);
  /// A proxy that was heard or has checked the store within this time is taken
  /// as reachable; above the interval of checks and the time of an answer.
  Duration ReachableTime = std::chrono::milliseconds(1000);
  /// Interval at which acknowledgements, and signs of life, are asked for.
  Duration AskInterval = std::chrono::milliseconds(200);
  Duration DutyInterval = std::chrono::milliseconds(100);
  Duration DutyLease = std::chrono::milliseconds(1500);
  Duration DutyKeepInterval = std::chrono::milliseconds(500);
  /// Largest random delay before a free duty is taken.
  Duration DutyDelay = std::chrono::milliseconds(300);
  /// A stopping holder finishes replacements in this time, well within the
  /// grace of a stop.
  Duration DutyFinishTime = std::chrono::milliseconds(2000);
  /// Statements in progress on a revoked primary may finish in this time.
  Duration QuietTime = std::chrono::milliseconds(400);
  Duration WatchTime = std::chrono::seconds(25);
};

/// Options that find a new configuration within \p ApplyTime.
CoordinatorOptions coordinatorOptions(Duration ApplyTime);

/// Not copyable: calls in progress refer to it.
class Coordinator {
public:
  /// All references outlive the coordinator.
  static std::unique_ptr<Coordinator> create(ProxyId Self, std::uint64_t Seed,
                                             Engine &Target, Store &Platform,
                                             StoreLayout Layout,
                                             Promoter Promote, Prober Probe,
                                             const CoordinatorOptions &Options);

  /// Peers that are kept up to date; \p Address is told to them. They outlive
  /// the coordinator. \p ToProxies opens streams to them.
  void attach(Peers &Registered, std::string Address, std::string FailureDomain,
              PeerDialer ToProxies);
  void start();
  /// Gives up the duty and, when \p Done is called, the registration.
  void leave(std::function<void()> Done);
  /// This proxy will leave: it extends no permissions and gives up the duty
  /// once the replacements in progress are finished. A successor would have to
  /// begin them again, or wait for calls that may be on their way.
  void prepareToLeave();
  /// Runs timers; called every 100 ms or more often.
  void tick();

  /// Callers are served better by other failure domains, see isolation.h.
  bool isolated() const { return Isolated; }
  bool holdsDuty() const { return Duty.Held; }
  std::size_t serverCount() const { return Servers->entries().size(); }
  /// For other proxies.
  RulesText currentRules() const { return Rules->current(); }
  ServersList currentServers() const { return Servers->current(); }
  /// What is told in the metrics.
  RulesState rulesState() const;

private:
  struct KnownGroup {
    PrimaryRecord Record;
    std::uint64_t Revision = 0;
    /// A check of this run of the process has read the key. Until then records
    /// from peers may be older than what an earlier run has acknowledged.
    bool ReadFromStore = false;
    /// Epoch that a check by this proxy has verified since it registered; 0 if
    /// there was no record. Permissions of this epoch and of later ones may be
    /// extended by checks of others: every list of the proxies that is read
    /// after a later revocation names this proxy.
    std::optional<std::uint64_t> CheckedEpoch;
    /// When a revoked record was first seen here.
    Instant RevokedSeen;
    PromotionState Promotion;
    std::map<UpstreamId, ServerStatus, std::less<>> Statuses;
    std::set<UpstreamId> Asking;
    /// When a waiting promotion was last logged.
    Instant NotedAt;
    /// A change of the record or a promotion is in progress.
    bool Busy = false;
  };
  struct DutyState {
    bool Held = false;
    bool Trying = false;
    bool Keeping = false;
    Instant Since;
    std::uint64_t Lease = 0;
    std::uint64_t Token = 0;
    std::uint64_t TokenRevision = 0;
    std::uint64_t LockRevision = 0;
    /// A free lock was seen; the duty is taken after a random delay.
    std::optional<Instant> TakeAt;
    Instant NextKeep;
    /// When the last lease or keep that succeeded was asked for.
    Instant KeptAt;
    /// Epochs in which earlier holders may have called promotions, by service;
    /// unknown until they have been read after the duty was taken.
    bool CallsKnown = false;
    bool ReadingCalls = false;
    std::map<std::string, std::uint64_t, std::less<>> Calls;
    /// What proxies have told this one while it held the duty.
    std::map<ProxyId, KnownEpochs, std::less<>> Told;
    Instant NextAsk;
    Instant NextProbe;
    /// Since when some proxy has reported a primary as unreachable.
    std::optional<Instant> ReportedSince;
  };

  Coordinator(ProxyId Self, std::uint64_t Seed, Engine &Target, Store &Platform,
              StoreLayout Layout, Promoter Promote, Prober Probe,
              const CoordinatorOptions &Options);

  Instant now() const { return Target.runtime().Now(); }

  /// First read after the start; without an answer the checks find the groups.
  void readGroups();

  // Checks.
  void check();
  /// Checks when no check and no write of the own record is in progress: both
  /// would make the check find a change.
  void checkSoon();
  void checkPart(const std::vector<StoreCondition> &Conditions);
  void checkDone(const std::vector<StoreCondition> &Conditions, Instant SentAt,
                 StoreReply Reply);
  void accept(const StoreItem &Item);
  void acceptGroup(const StoreItem &Item);
  void adopt(const PeerRecord &Next);
  /// A record that another proxy has read.
  void heard(const PeerRecord &Record);
  void acceptOwn(const StoreItem &Item);
  void renew(const std::vector<StoreCondition> &Conditions, Instant SentAt);
  void noteStore(bool Answered);
  void noteIsolation();
  void relayed(const RelayedView &View);
  /// Peers may extend a permission only if this proxy has verified its epoch
  /// since it registered, and has not left or been evicted since.
  bool mayExtend(const std::string &Service, std::uint64_t Epoch) const;
  bool newerThanKnown(const PeerMessage &Answer) const;
  Duration retryPause() const;
  /// The last check of the store, by this proxy or relayed, is overdue.
  bool storeSilent() const;
  /// Pause after a read without answer: during an outage only the checks go
  /// on, so that refused calls stay few.
  Duration readPause(Duration Interval) const;
  /// A random time up to \p Most.
  Duration spread(Duration Most);
  /// A checker has extended the permissions recently.
  bool checkedByOthers() const;
  /// A check that found changes must be repeated, because only one without
  /// changes renews permissions, and nobody else does.
  bool mustCheckAgain() const;
  StoreSituation storeSituation() const;
  void readProxies();
  void applyProxies(const std::vector<StoreItem> &Items, Instant SentAt);
  void noteCheckMarks(const std::vector<StoreItem> &Items);
  void watchGroups();

  // The own record.
  /// Learns from the first check how the earlier run of this proxy has ended.
  void noteEarlierRun(const std::vector<StoreCondition> &Conditions,
                      const StoreReply &Reply);
  /// Adds the proxies that this one has answered to its acknowledgement.
  void accountForAnswers(const std::string &Service);
  void refreshWanted();
  void updateOwn();
  void updateEpochs();
  void writeOwn();
  bool registered() const {
    return OwnRevision != 0 && !OwnEvicted &&
           Written.Incarnation == Incarnation;
  }

  // The promotion duty.
  void tickDuty();
  void takeDuty();
  void lockDuty(std::uint64_t Lease);
  void keepDuty();
  /// Later the lock may have lapsed and belong to another proxy.
  bool dutyKept() const { return now() - Duty.KeptAt < Options.DutyLease; }
  /// Gives up the duty if an answer shows that another proxy has taken it.
  void noticeTaken(const StoreReply &Reply);
  void readCalls();
  void loseDuty(std::string_view Reason);
  void stopDuty();
  /// No replacement is in progress, or this one has tried for long enough.
  bool dutyFinished() const;
  void promoteGroups();
  /// An earlier holder of the duty may have called a promotion in this epoch.
  bool calledBefore(const KnownGroup &G) const;
  /// Some proxy can't reach a primary.
  bool primaryReported() const;
  /// Proxies that were heard, or have checked the store, since a primary was
  /// reported as unreachable, and this one.
  std::optional<std::size_t> reachableProxies() const;
  /// What is the same for all groups.
  PromotionInput commonInput() const;
  PromotionInput inputOf(const KnownGroup &G, PromotionInput In) const;
  /// Asks for what the proxies have acknowledged but could not store.
  void askAcknowledgements();
  /// Merges what a proxy told and what it stored.
  void mergeTold(ProxyReport &Report) const;
  void toldByPeer(const PeerMessage &Answer);
  /// Logs what a replacement that takes long is waiting for.
  void notePromotion(KnownGroup &G, const PromotionInput &In);
  void noteRecord(const PrimaryRecord &Record, ReplaceReason Reason,
                  StoreCode Answer);
  void perform(const std::string &Service, const PromotionAction &Action);
  void storeRecord(const std::string &Service, const StoreRecord &Action);
  void askStatuses(const std::string &Service);
  void evict(const EvictProxy &Action);
  void promote(const std::string &Service, const UpstreamId &Server);

  const ProxyId Self;
  const std::uint64_t Incarnation;
  std::mt19937_64 Random;
  Engine &Target;
  Store &Platform;
  StoreLayout Layout;
  Promoter Promote;
  Prober Probe;
  CoordinatorOptions Options;

  std::unique_ptr<RulesReader> Rules;
  std::map<std::string, KnownGroup, std::less<>> Groups;
  RejectedInputs Rejected;
  std::unique_ptr<ServersReader> Servers;
  std::vector<ProxyReport> Proxies;
  Instant ProxiesReadAt;
  /// Read by the holder of the duty, and by others when the lock is free. A
  /// revision that is still the same in a later read proves that there was no
  /// check in between, however old the first read was.
  CheckMarks Checks;
  Instant StartedAt;
  /// When this proxy began to leave.
  std::optional<Instant> StoppingAt;
  std::size_t ProxyCount = 1;

  ProxyRecord Wanted;
  ProxyRecord Written;
  std::uint64_t OwnRevision = 0;
  /// Not written again before this, after a call without effect.
  Instant NextOwnWrite;

  Instant NextCheck;
  Instant NextProxies;
  Instant NextDuty;
  Peers *Others = nullptr;
  /// Start of the last check that was answered, by this proxy or relayed.
  Instant CheckedAt;
  /// The same, by this proxy only.
  Instant OwnCheckedAt;
  /// When a checker last extended the permissions.
  Instant RelayedAt;
  std::uint64_t WatchRevision = 0;
  DutyState Duty;

  unsigned ChecksRunning = 0;
  unsigned FailedChecks = 0;
  unsigned ProxiesReads = 0;
  /// A check has found the revision of an older record, or that there is none.
  bool OwnKnown = false;
  bool OwnEvicted = false;
  bool OwnBusy = false;
  bool Leaving = false;
  bool EarlierRunKnown = false;
  /// No permission is left that an earlier run of this proxy has extended.
  bool EarlierRunSilent = false;
  bool CheckAgain = false;
  bool Isolated = false;
  bool ProxiesBusy = false;
  bool StoreUp = true;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_COORDINATOR_H
