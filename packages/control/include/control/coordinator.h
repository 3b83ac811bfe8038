/// \file
/// Coordination of the proxies of a fleet through the key-value store: the
/// configuration, the registered servers, primary leases and promotions.
/// Everything that the proxies must agree on is a conditional write to the
/// store. Datagrams between the proxies only reduce the number of store calls
/// and shorten waits.

#ifndef EELGRASSLOOM_CONTROL_COORDINATOR_H
#define EELGRASSLOOM_CONTROL_COORDINATOR_H

#include "control/configreader.h"
#include "control/coordinatoroptions.h"
#include "control/peers.h"
#include "control/records.h"
#include "control/rejectedinputs.h"
#include "control/servers.h"
#include "engine/engine.h"
#include "kernel/revisiontimes.h"
#include <random>

namespace eelgrassloom {

/// Runs the proxy's side of the coordination: polls the store, keeps the
/// registration up to date and, while it holds the promotion lock, runs
/// promotions.
/// Not copyable: calls in progress refer to it.
class Coordinator {
public:
  /// All references must outlive the coordinator.
  static std::unique_ptr<Coordinator>
  create(ProxyId Self, std::uint64_t Seed, Engine &SessionEngine,
         Store &KeyValueStore, StoreLayout Layout, Promoter Promote,
         Prober Probe, const CoordinatorOptions &Options);

  /// Connects the coordinator with \p Registered, which it keeps up to date and
  /// which must outlive it. \p Address is published in the registration as the
  /// address of this proxy, \p MilliCores as its processor share (see
  /// LiveProxy); \p ToProxies opens streams to other proxies.
  void attach(Peers &Registered, std::string Address, std::string FailureDomain,
              PeerDialer ToProxies, unsigned MilliCores = 0);
  void start();
  /// Releases the promotion lock and deletes the registration. Calls \p Done
  /// when the store has answered or the call has failed.
  void leave(std::function<void()> Done);
  /// Prepares the shutdown: from now on this proxy extends no primary leases of
  /// its peers, and it releases the promotion lock when the promotions in
  /// progress are finished. If it released the lock at once, its successor
  /// would have to start these promotions again, or wait for promotion calls
  /// that may still be in flight.
  void prepareToLeave();
  /// Runs timers; must be called at least every 100 ms.
  void tick();

  /// True if callers are served better by proxies of other failure domains, see
  /// isolation.h.
  bool isolated() const { return Isolated; }
  bool holdsPromotionLock() const { return PromotionLock.Held; }
  std::size_t serverCount() const { return Servers->entries().size(); }
  /// The configuration and the servers as sent to other proxies on request.
  StoredConfig currentConfig() const { return Config->current(); }
  ServersList currentServers() const { return Servers->current(); }
  /// Status of the configuration for the metrics.
  ConfigStatus configStatus() const;

private:
  struct KnownGroup {
    PrimaryRecord Record;
    std::uint64_t Revision = 0;
    /// The store has lost Record: it has an older one, or none, under Revision.
    /// Record is written back at this time.
    std::optional<Instant> RestoreAt;
    /// A poll in this run of the process has read the key. Before that, records
    /// from peers are ignored, because they may be older than what an earlier
    /// run of this proxy has acknowledged.
    bool ReadFromStore = false;
    /// Epoch that a poll by this proxy has verified since it registered; 0 if
    /// there was no record. Peers may extend primary leases of this epoch and
    /// of later ones, because every list of proxies that is read after a later
    /// revocation contains this proxy.
    std::optional<std::uint64_t> VerifiedEpoch;
    /// When this proxy received the current record.
    Instant RecordSeenAt;
    PromotionState Promotion;
    std::map<UpstreamId, ServerStatus, std::less<>> Statuses;
    std::set<UpstreamId> PendingStatuses;
    /// When an event about the waiting promotion was last logged.
    Instant WaitLoggedAt;
    /// A write of the record or a promotion call is in progress.
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
    /// When to acquire the lock. Set to a random delay from now once the lock
    /// is seen to be free.
    std::optional<Instant> AcquireAt;
    Instant NextRenewal;
    /// Start of the last successful creation or renewal of the store lease.
    Instant RenewedAt;
    /// PromotionCalls was read by a call that began when this proxy already
    /// held the lock.
    bool PromotionCallsKnown = false;
    bool ReadingPromotionCalls = false;
    /// Epochs, by service, in which earlier holders of the lock may have called
    /// a promotion. Valid only if PromotionCallsKnown.
    std::map<std::string, std::uint64_t, std::less<>> PromotionCalls;
    /// Epochs that other proxies have reported directly while this proxy held
    /// the lock.
    std::map<ProxyId, KnownEpochs, std::less<>> PeerEpochs;
    Instant NextAcknowledgementRequest;
    Instant NextPing;
    /// Since when at least one proxy has reported a primary as unreachable.
    std::optional<Instant> ReportedSince;
  };

  Coordinator(ProxyId Self, std::uint64_t Seed, Engine &SessionEngine,
              Store &KeyValueStore, StoreLayout Layout, Promoter Promote,
              Prober Probe, const CoordinatorOptions &Options);

  Instant now() const { return SessionEngine.runtime().Now(); }

  /// Reads the primary records after the start. If it fails, the polls find
  /// them.
  void readGroups();

  // Polls of the store.
  void poll();
  /// Polls as soon as no poll and no write of the registration is in progress,
  /// because either would make the new poll find a change.
  void pollSoon();
  void sendPoll(const std::vector<StoreCondition> &Conditions);
  void handlePollReply(const std::vector<StoreCondition> &Conditions,
                       Instant SentAt, StoreReply Reply);
  void applyItem(const StoreItem &Item);
  void applyGroup(const StoreItem &Item);
  void setRecord(const StoredRecord &Next);
  /// Handles a record that another proxy has read from the store.
  void handlePeerRecord(const StoredRecord &Record);
  void applyRegistration(const StoreItem &Item);
  /// Peers extend no primary lease until polls have verified the records again.
  void clearVerifiedEpochs();
  void renewLeases(const std::vector<StoreCondition> &Conditions,
                   Instant SentAt);
  void setStoreReachable(bool Answered);

  // Eras of the store, see kernel/storeera.h.
  void handleNewEra(StoreEra Next);
  /// The record was written or confirmed in this era, so no later one is lost.
  /// Only such a record gives primary leases by polls: until the holder of the
  /// promotion lock has confirmed it, another proxy may know a later one.
  bool confirmed(const PrimaryRecord &Record) const;
  /// Some record in use is not confirmed since the era has changed.
  bool awaitsConfirmation() const;
  /// The store may have lost a later record, or the first one.
  bool mayBeLost(const PrimaryRecord &Record) const;
  /// The holder of the promotion lock may confirm the record: the proxies have
  /// had the time to write a lost one back.
  bool mayConfirm(const PrimaryRecord &Record) const;
  /// Writes the record again, as one of this era.
  void confirmRecord(KnownGroup &G);
  /// Notes that the store has \p Older in place of the known record.
  void noteLostRecord(KnownGroup &G, const StoreItem &Older);
  /// Writes back the records that are due.
  void restoreRecords();
  void restoreRecord(const std::string &Service, KnownGroup &G);
  void updateIsolation();
  void handleRelayedPoll(const RelayedPoll &Poll);
  /// Peers may extend a primary lease only if this proxy has verified its epoch
  /// since it registered, and has not left or been evicted since.
  bool mayExtend(const std::string &Service, std::uint64_t Epoch) const;
  bool newerThanKnown(const PeerMessage &Answer) const;
  Duration retryPause() const;
  /// The last answered poll, by this proxy or relayed, is overdue.
  bool pollOverdue() const;
  bool lastPollOld() const {
    return now() - PolledAt > Options.PollInterval + Options.PollSlack;
  }
  /// The poller answers, and its last poll was not overdue when it did.
  bool pollerInTime() const;
  /// This host should leave the promotion lock to others.
  bool smallHost() const {
    return DesiredRegistration.MilliCores != 0 &&
           DesiredRegistration.MilliCores < Options.MinHolderMilliCores;
  }
  /// Pause after a read that got no answer. During an outage it is \p Interval,
  /// so that the polls are the only frequent calls and few calls are refused.
  Duration readPause(Duration Interval) const;
  /// Returns a random time between 0 and \p Max.
  Duration jitter(Duration Max);
  /// The poller has extended the primary leases within the last poll interval.
  bool polledByOthers() const;
  /// A poll that found changes must be repeated, because only a poll without
  /// changes renews primary leases; not necessary if a poller renews them.
  bool mustPollAgain() const;
  StoreStatus storeStatus() const;
  void readProxies();
  void applyProxies(const std::vector<StoreItem> &Items, Instant SentAt);
  void updateHeartbeats(const std::vector<StoreItem> &Items);
  void watchGroups();

  // Registration of this proxy.
  /// Finds out from the first poll how the previous run of this proxy ended.
  void detectEarlierRun(const std::vector<StoreCondition> &Conditions,
                        const StoreReply &Reply);
  /// Adds to the acknowledgement for \p Service which proxies this one has
  /// answered within the lease duration and its margin.
  void updateAnswered(const std::string &Service);
  void refreshRegistration();
  void updateRegistration();
  void updateEpochs();
  void writeRegistration();
  bool registered() const {
    return RegistrationRevision != 0 && !Evicted &&
           StoredRegistration.Incarnation == Incarnation;
  }

  // Promotion lock and promotions.
  void tickPromotions();
  void acquirePromotionLock();
  void writePromotionLock(std::uint64_t LeaseId);
  void renewPromotionLock();
  /// False if the store lease may have expired, so that another proxy may hold
  /// the lock.
  bool promotionLockValid() const {
    return now() - PromotionLock.RenewedAt < Options.PromotionLockLeaseDuration;
  }
  /// Gives up the lock if \p Reply shows that another proxy has raised the
  /// fencing token.
  void detectLockTakeover(const StoreReply &Reply);
  void readPromotionCalls();
  void losePromotionLock(std::string_view Reason);
  void releasePromotionLock();
  /// No promotion is in progress, or PromotionFinishTime has passed since the
  /// shutdown began.
  bool promotionsFinished() const;
  void promoteGroups();
  /// An earlier holder of the promotion lock may have called a promotion in the
  /// current epoch of \p G.
  bool earlierCallPossible(const KnownGroup &G) const;
  /// At least one proxy reports a primary as unreachable.
  bool primaryReportedUnreachable() const;
  /// Number of proxies, with this one, that have sent a message to this one or
  /// have polled the store within ReachableTime and since a primary was
  /// reported as unreachable. Empty if no Peers are attached.
  std::optional<std::size_t> reachableProxies() const;
  /// The part of the input that is the same for all groups.
  PromotionInput commonInput() const;
  PromotionInput inputOf(const KnownGroup &G, PromotionInput In) const;
  /// Requests acknowledgements from proxies that may have acknowledged a
  /// revocation but could not write that to the store.
  void requestAcknowledgements();
  /// Updates \p Report, which was read from the registration of a proxy, with
  /// the epochs that the proxy has reported to this one directly.
  void mergePeerEpochs(ProxyReport &Report) const;
  void handlePeerAnswer(const PeerMessage &Answer);
  /// Logs what a promotion that takes long is waiting for.
  void logPromotionWait(KnownGroup &G, const PromotionInput &In);
  /// Logs for each server of the group whether it can be promoted, and why not.
  void logCandidates(const PromotionState &S, const PromotionInput &In);
  void logRecordWrite(const PrimaryRecord &Record, PromotionReason Reason,
                      StoreCode Answer);
  void perform(const std::string &Service, const PromotionAction &Action);
  void writePrimaryRecord(const std::string &Service,
                          const WritePrimaryRecord &Action);
  /// Sends the change of a record, with \p Change as its other parts.
  void sendPrimaryRecord(const std::string &Service,
                         const WritePrimaryRecord &Action, StoreChange Change);
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
  /// Read by the holder of the promotion lock, and by other proxies when the
  /// lock is free. A revision that is the same in a later read proves that
  /// there was no poll in between, however old the first read was.
  HeartbeatMap Heartbeats;
  Instant StartedAt;
  /// When this proxy began to shut down.
  std::optional<Instant> StoppingAt;
  std::size_t ProxyCount = 1;

  ProxyRecord DesiredRegistration;
  ProxyRecord StoredRegistration;
  std::uint64_t RegistrationRevision = 0;
  /// Latest era of the store, and when this proxy first saw it.
  StoreEra Era = 0;
  Instant EraSeenAt;
  /// Earliest time of the next write after one that got no answer or was
  /// rejected.
  Instant NextRegistrationWrite;

  Instant NextPoll;
  Instant NextProxies;
  Instant NextPromotionStep;
  Peers *PeerProxies = nullptr;
  /// Start of the last poll that was answered, by this proxy or relayed.
  Instant PolledAt;
  /// Start of the last poll by this proxy that verified its registration.
  Instant OwnPolledAt;
  /// When the poller last extended the primary leases.
  Instant PollerExtendedAt;
  /// Age of the last poll of the poller when it last answered.
  Duration RelayedPollAge{0};
  std::uint64_t WatchRevision = 0;
  /// Revisions of the store in the answers to polls.
  RevisionTimes Revisions;
  PromotionLockState PromotionLock;

  unsigned PollsInFlight = 0;
  unsigned FailedPolls = 0;
  unsigned ProxiesReads = 0;
  /// A poll has read the revision of an earlier registration, or found that
  /// there is none.
  bool RegistrationKnown = false;
  bool Evicted = false;
  bool WritingRegistration = false;
  bool Leaving = false;
  /// The first poll was answered, see detectEarlierRun().
  bool EarlierRunKnown = false;
  /// No primary lease is left that an earlier run of this proxy has extended
  /// for a peer.
  bool EarlierExtensionsEnded = false;
  /// Poll when the calls in progress are answered, see pollSoon().
  bool PollAgain = false;
  /// This proxy has seen an earlier era of the store.
  bool EraChanged = false;
  bool Isolated = false;
  bool ReadingProxies = false;
  bool StoreReachable = true;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_COORDINATOR_H
