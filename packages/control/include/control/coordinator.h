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
  Duration PollInterval = std::chrono::milliseconds(500);
  /// Permission that a check or a quorum of peers gives, from its start.
  Duration LeaseDuration = std::chrono::milliseconds(1200);
  /// A check that is overdue by this much lets the peers be asked.
  Duration PollSlack = std::chrono::milliseconds(250);
  /// Pause after a check without answer, doubled up to the longest.
  Duration PollRetry = std::chrono::milliseconds(150);
  Duration MaxPollRetry = std::chrono::milliseconds(600);
  /// The same of proxies for which others check the store.
  Duration RelayedPollRetry = std::chrono::milliseconds(1200);
  /// Proxies for which others check the store check it themselves at this
  /// interval.
  Duration OwnPollInterval = std::chrono::seconds(20);
  /// Others extend the permissions of a proxy for this long after its own last
  /// check: one that was evicted must notice long before EvictedLeaseTime.
  Duration MaxRelayedTime = std::chrono::seconds(25);
  /// A relayed check may be older than a check interval by this much: two
  /// questions to the checker, and its timers. Below the rest of the lease.
  Duration RelayedPollSlack = std::chrono::milliseconds(600);
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
  Duration HolderProxiesInterval = std::chrono::milliseconds(400);
  /// The same while a primary is being replaced.
  Duration RevokingProxiesInterval = std::chrono::milliseconds(120);
  /// Interval of log lines on a replacement that is in progress.
  Duration PromotionWaitLogInterval = std::chrono::milliseconds(500);
  /// A proxy that was heard or has checked the store within this time is taken
  /// as reachable; above the interval of checks and the time of an answer.
  Duration ReachableTime = std::chrono::milliseconds(1000);
  /// Interval at which acknowledgements, and signs of life, are asked for.
  Duration AcknowledgementInterval = std::chrono::milliseconds(200);
  Duration PromotionInterval = std::chrono::milliseconds(100);
  Duration PromotionLockLeaseDuration = std::chrono::milliseconds(1500);
  Duration PromotionLockRenewInterval = std::chrono::milliseconds(500);
  /// Largest random delay before a free duty is taken.
  Duration MaxPromotionLockDelay = std::chrono::milliseconds(300);
  /// A stopping holder finishes replacements in this time, well within the
  /// grace of a stop.
  Duration PromotionFinishTime = std::chrono::milliseconds(2000);
  /// Statements in progress on a revoked primary may finish in this time.
  Duration QuiesceTime = std::chrono::milliseconds(400);
  Duration WatchTime = std::chrono::seconds(25);
};

/// Options that find a new configuration within \p ConfigApplyTime.
CoordinatorOptions coordinatorOptions(Duration ConfigApplyTime);

/// Not copyable: calls in progress refer to it.
class Coordinator {
public:
  /// All references outlive the coordinator.
  static std::unique_ptr<Coordinator>
  create(ProxyId Self, std::uint64_t Seed, Engine &SessionEngine,
         Store &KeyValueStore, StoreLayout Layout, Promoter Promote,
         Prober Probe, const CoordinatorOptions &Options);

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
  bool holdsPromotionLock() const { return PromotionLock.Held; }
  std::size_t serverCount() const { return Servers->entries().size(); }
  /// For other proxies.
  StoredConfig currentConfig() const { return Config->current(); }
  ServersList currentServers() const { return Servers->current(); }
  /// What is told in the metrics.
  ConfigStatus configStatus() const;

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
    std::optional<std::uint64_t> VerifiedEpoch;
    /// When a revoked record was first seen here.
    Instant RecordSeenAt;
    PromotionState Promotion;
    std::map<UpstreamId, ServerStatus, std::less<>> Statuses;
    std::set<UpstreamId> PendingStatuses;
    /// When a waiting promotion was last logged.
    Instant WaitLoggedAt;
    /// A change of the record or a promotion is in progress.
    bool Busy = false;
  };
  struct PromotionLockState {
    bool Held = false;
    bool Acquiring = false;
    bool Renewing = false;
    Instant HeldSince;
    std::uint64_t LeaseId = 0;
    std::uint64_t Token = 0;
    std::uint64_t TokenRevision = 0;
    std::uint64_t LockRevision = 0;
    /// A free lock was seen; the duty is taken after a random delay.
    std::optional<Instant> AcquireAt;
    Instant NextRenewal;
    /// When the last lease or keep that succeeded was asked for.
    Instant RenewedAt;
    /// Epochs in which earlier holders may have called promotions, by service;
    /// unknown until they have been read after the duty was taken.
    bool PromotionCallsKnown = false;
    bool ReadingPromotionCalls = false;
    std::map<std::string, std::uint64_t, std::less<>> PromotionCalls;
    /// What proxies have told this one while it held the duty.
    std::map<ProxyId, KnownEpochs, std::less<>> PeerEpochs;
    Instant NextAcknowledgementRequest;
    Instant NextPing;
    /// Since when some proxy has reported a primary as unreachable.
    std::optional<Instant> ReportedSince;
  };

  Coordinator(ProxyId Self, std::uint64_t Seed, Engine &SessionEngine,
              Store &KeyValueStore, StoreLayout Layout, Promoter Promote,
              Prober Probe, const CoordinatorOptions &Options);

  Instant now() const { return SessionEngine.runtime().Now(); }

  /// First read after the start; without an answer the checks find the groups.
  void readGroups();

  // Checks.
  void poll();
  /// Checks when no check and no write of the own record is in progress: both
  /// would make the check find a change.
  void pollSoon();
  void sendPoll(const std::vector<StoreCondition> &Conditions);
  void handlePollReply(const std::vector<StoreCondition> &Conditions,
                       Instant SentAt, StoreReply Reply);
  void applyItem(const StoreItem &Item);
  void applyGroup(const StoreItem &Item);
  void setRecord(const StoredRecord &Next);
  /// A record that another proxy has read.
  void handlePeerRecord(const StoredRecord &Record);
  void applyRegistration(const StoreItem &Item);
  void renewLeases(const std::vector<StoreCondition> &Conditions,
                   Instant SentAt);
  void setStoreReachable(bool Answered);
  void updateIsolation();
  void handleRelayedPoll(const RelayedPoll &Poll);
  /// Peers may extend a permission only if this proxy has verified its epoch
  /// since it registered, and has not left or been evicted since.
  bool mayExtend(const std::string &Service, std::uint64_t Epoch) const;
  bool newerThanKnown(const PeerMessage &Answer) const;
  Duration retryPause() const;
  /// The last check of the store, by this proxy or relayed, is overdue.
  bool pollOverdue() const;
  /// Pause after a read without answer: during an outage only the checks go
  /// on, so that refused calls stay few.
  Duration readPause(Duration Interval) const;
  /// A random time up to \p Max.
  Duration jitter(Duration Max);
  /// A checker has extended the permissions recently.
  bool polledByOthers() const;
  /// A check that found changes must be repeated, because only one without
  /// changes renews permissions, and nobody else does.
  bool mustPollAgain() const;
  StoreStatus storeStatus() const;
  void readProxies();
  void applyProxies(const std::vector<StoreItem> &Items, Instant SentAt);
  void updateHeartbeats(const std::vector<StoreItem> &Items);
  void watchGroups();

  // The own record.
  /// Learns from the first check how the earlier run of this proxy has ended.
  void detectEarlierRun(const std::vector<StoreCondition> &Conditions,
                        const StoreReply &Reply);
  /// Adds the proxies that this one has answered to its acknowledgement.
  void updateAnswered(const std::string &Service);
  void refreshRegistration();
  void updateRegistration();
  void updateEpochs();
  void writeRegistration();
  bool registered() const {
    return RegistrationRevision != 0 && !Evicted &&
           StoredRegistration.Incarnation == Incarnation;
  }

  // The promotion duty.
  void tickPromotions();
  void acquirePromotionLock();
  void writePromotionLock(std::uint64_t LeaseId);
  void renewPromotionLock();
  /// Later the lock may have lapsed and belong to another proxy.
  bool promotionLockValid() const {
    return now() - PromotionLock.RenewedAt < Options.PromotionLockLeaseDuration;
  }
  /// Gives up the duty if an answer shows that another proxy has taken it.
  void detectLockTakeover(const StoreReply &Reply);
  void readPromotionCalls();
  void losePromotionLock(std::string_view Reason);
  void releasePromotionLock();
  /// No replacement is in progress, or this one has tried for long enough.
  bool promotionsFinished() const;
  void promoteGroups();
  /// An earlier holder of the duty may have called a promotion in this epoch.
  bool earlierCallPossible(const KnownGroup &G) const;
  /// Some proxy can't reach a primary.
  bool primaryReportedUnreachable() const;
  /// Proxies that were heard, or have checked the store, since a primary was
  /// reported as unreachable, and this one.
  std::optional<std::size_t> reachableProxies() const;
  /// What is the same for all groups.
  PromotionInput commonInput() const;
  PromotionInput inputOf(const KnownGroup &G, PromotionInput In) const;
  /// Asks for what the proxies have acknowledged but could not store.
  void requestAcknowledgements();
  /// Merges what a proxy told and what it stored.
  void mergePeerEpochs(ProxyReport &Report) const;
  void handlePeerAnswer(const PeerMessage &Answer);
  /// Logs what a replacement that takes long is waiting for.
  void logPromotionWait(KnownGroup &G, const PromotionInput &In);
  void logRecordWrite(const PrimaryRecord &Record, ReplaceReason Reason,
                      StoreCode Answer);
  void perform(const std::string &Service, const PromotionAction &Action);
  void writePrimaryRecord(const std::string &Service,
                          const WritePrimaryRecord &Action);
  void queryStatuses(const std::string &Service);
  void evict(const EvictProxy &Action);
  void promote(const std::string &Service, const UpstreamId &Server);

  const ProxyId Self;
  const std::uint64_t Incarnation;
  std::mt19937_64 Random;
  Engine &SessionEngine;
  Store &KeyValueStore;
  StoreLayout Layout;
  Promoter Promote;
  Prober Probe;
  CoordinatorOptions Options;

  std::unique_ptr<ConfigReader> Config;
  std::map<std::string, KnownGroup, std::less<>> Groups;
  RejectedInputs Rejected;
  std::unique_ptr<ServersReader> Servers;
  std::vector<ProxyReport> Proxies;
  Instant ProxiesReadAt;
  /// Read by the holder of the duty, and by others when the lock is free. A
  /// revision that is still the same in a later read proves that there was no
  /// check in between, however old the first read was.
  HeartbeatMap Heartbeats;
  Instant StartedAt;
  /// When this proxy began to leave.
  std::optional<Instant> StoppingAt;
  std::size_t ProxyCount = 1;

  ProxyRecord DesiredRegistration;
  ProxyRecord StoredRegistration;
  std::uint64_t RegistrationRevision = 0;
  /// Not written again before this, after a call without effect.
  Instant NextRegistrationWrite;

  Instant NextPoll;
  Instant NextProxies;
  Instant NextPromotionStep;
  Peers *PeerProxies = nullptr;
  /// Start of the last check that was answered, by this proxy or relayed.
  Instant PolledAt;
  /// The same, by this proxy only.
  Instant OwnPolledAt;
  /// When a checker last extended the permissions.
  Instant PollerExtendedAt;
  std::uint64_t WatchRevision = 0;
  PromotionLockState PromotionLock;

  unsigned PollsInFlight = 0;
  unsigned FailedPolls = 0;
  unsigned ProxiesReads = 0;
  /// A check has found the revision of an older record, or that there is none.
  bool RegistrationKnown = false;
  bool Evicted = false;
  bool WritingRegistration = false;
  bool Leaving = false;
  bool EarlierRunKnown = false;
  /// No permission is left that an earlier run of this proxy has extended.
  bool EarlierExtensionsEnded = false;
  bool PollAgain = false;
  bool Isolated = false;
  bool ProxiesBusy = false;
  bool StoreReachable = true;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_COORDINATOR_H
