/// \file
/// Runs statements on the servers of one service: who waits, where a
/// statement runs, what is repeated and what is refused.

#ifndef EELGRASSLOOM_ENGINE_GROUP_H
#define EELGRASSLOOM_ENGINE_GROUP_H

#include "engine/metrics.h"
#include "engine/pool.h"
#include "kernel/estimate.h"
#include "kernel/primary.h"
#include "kernel/promotion.h"
#include "kernel/retry.h"
#include <list>
#include <map>

namespace eelgrassloom {

/// How a statement changes the transaction on its connection.
enum class JobKind : std::uint8_t {
  /// A statement outside of transactions.
  Autocommit,
  /// Opens a transaction and runs its first statement.
  FirstInTransaction,
  /// A statement inside an open transaction.
  InTransaction,
  /// Commit of an open transaction.
  Commit,
};

struct PeerConnection;

/// A connection that a transaction holds, here or at another proxy.
struct PinnedConnection {
  std::shared_ptr<ServerPool> Pool;
  ConnectionRef Connection;
  /// The proxy that holds the connection, and its number for the transaction;
  /// null if the connection is held here.
  std::shared_ptr<PeerConnection> Owner;
  std::uint64_t Transaction = 0;
  /// Epoch of the grant under which a transaction on the primary began; 0 on
  /// a replica.
  std::uint64_t Epoch = 0;
};

struct JobResult {
  ServerReply Reply;
  /// Connection of a transaction that stays open.
  std::optional<PinnedConnection> Pinned;
  /// Epoch in which a write was acknowledged.
  std::uint64_t Epoch = 0;
  /// It did not run because no server can run it, as seen from here.
  bool Unservable = false;
};

struct Attempt;

/// One statement and all attempts to run it.
struct Job {
  JobKind Kind = JobKind::Autocommit;
  /// The statement as sent to servers.
  ServerCall Call;
  /// It is the commit of the caller.
  bool EndsTransaction = false;
  SessionId Session = 0;
  const SessionState *State = nullptr;
  std::optional<PreparedStatement> Prepared;
  RouteConfig Route;
  bool Write = false;
  /// FirstInTransaction: the transaction only reads.
  bool ReadOnly = false;
  /// InTransaction, Commit: the transaction wrote.
  bool Wrote = false;
  std::optional<PinnedConnection> Pinned;
  SessionCommit LastCommit;
  /// Arrival of the statement, and of its operation.
  Instant Arrived;
  Instant OperationStart;
  std::function<void(JobResult)> Done;
  /// Keeps State of a statement that another proxy has forwarded.
  std::shared_ptr<const SessionState> ForwardedState;
  /// It is not forwarded to an owner.
  bool LocalOnly = false;
  /// Proxies outside of the order of owners that were asked to run it.
  unsigned FallbackAttempts = 0;

  // Progress.
  /// The proxy that runs it; null if it runs here.
  std::shared_ptr<PeerConnection> ForwardedTo;
  std::uint64_t Exchange = 0;
  std::vector<UpstreamId> Excluded;
  unsigned Attempts = 0;
  unsigned Running = 0;
  unsigned Failures = 0;
  Instant SentAt;
  /// Not tried again before this.
  Instant NotBefore;
  /// A statement was sent that may have run.
  bool Sent = false;
  bool Finished = false;
  bool Waiting = false;
  bool ServedByReplica = false;
  /// Latest attempt in progress.
  std::shared_ptr<Attempt> CurrentAttempt;
};
using JobRef = std::shared_ptr<Job>;

class StatementForwarder;

/// Not copyable: jobs and pools refer to it.
class Group : public std::enable_shared_from_this<Group> {
public:
  static std::shared_ptr<Group> create(std::string Service,
                                       std::string FailureDomain,
                                       const RuntimeHooks &Hooks, Dialer Dial,
                                       EventWriter &Events, Metrics &Counters);

  /// Statements are sent to the owner of the service if one is needed.
  /// \p NewForwarder outlives the group.
  void setForwarder(StatementForwarder *NewForwarder, bool Needed);
  bool usesOwners() const { return OwnersNeeded; }
  /// This proxy runs statements of the service: it owns it, or has run some
  /// recently.
  bool inUse() const;

  /// Runs a job here or at the owner; its Done is called exactly once.
  void submit(JobRef J);
  /// Runs a job here.
  void runLocally(const JobRef &J);
  /// The caller has gone; the job is not answered any more.
  void cancel(const JobRef &J);
  /// Ends a transaction by a rollback and returns its connection.
  void rollBack(const PinnedConnection &Pinned);
  void unpin(const PinnedConnection &Pinned, bool Reuse);

  /// \p Cap: connections that one server accepts from all proxies.
  void setServers(const std::vector<ServerEntry> &Servers, unsigned Cap,
                  std::size_t Domains, std::size_t AllProxies);
  void setPrimaryRecord(const PrimaryRecord &Record);
  /// A verified record permits the use of its primary.
  void renewLease(std::uint64_t Epoch, Instant Until);
  /// The primary may be used now.
  bool hasLease() const { return valid(Lease, Hooks.Now()); }
  /// Time that is left of the permission.
  Duration remainingLease() const { return Lease.Until - Hooks.Now(); }
  /// All permissions end, for example because this proxy was evicted.
  void dropLease();

  /// A position that a peer learned while it was permitted to use the primary.
  void addPeerPosition(const PrimaryPosition &Sample) {
    addPosition(Positions, Sample);
  }
  std::optional<PrimaryPosition> newestPosition() const;

  const PrimaryRecord &primaryRecord() const { return Record; }
  /// True if a revoked epoch is not used by any statement any more.
  bool quiesced() const;
  /// Servers that can't be reached.
  std::vector<UpstreamId> unreachableServers() const;
  bool idle() const { return Active.empty() && Attempts.empty(); }

  /// Runs timeouts; called every TickInterval while not idle.
  void tick();
  /// Keeps a recent position of the primary and closes idle connections.
  void maintain();
  void close();

private:
  Group(std::string Service, std::string FailureDomain,
        const RuntimeHooks &Hooks, Dialer Dial, EventWriter &Events,
        Metrics &Counters)
      : Service(std::move(Service)), FailureDomain(std::move(FailureDomain)),
        Hooks(Hooks), Dial(std::move(Dial)), Events(Events), Counters(Counters),
        RecordSeenAt(Hooks.Now()) {}

  /// It owns the service, or runs statements of proxies whose owner fails.
  bool actsAsOwner() const;
  void updateLimits();
  /// What waited here because the owner could not be asked goes to the owner.
  void forwardWaiting();
  void schedule();
  void scheduleOnce();
  std::vector<JobRef> inOrder(Instant Now) const;
  bool tryStart(const JobRef &J, Instant Now);
  std::vector<ServerLoad> loads(Instant Now) const;
  PlacementRequest needOf(const Job &J, Instant Now) const;
  std::optional<Position> requiredFor(const Job &J) const;
  void start(const JobRef &J, const std::shared_ptr<ServerPool> &Pool,
             const ConnectionRef &Connection, const PlacementRequest &Request);
  using AttemptRef = std::shared_ptr<Attempt>;
  void sendSetup(const AttemptRef &A);
  void handleSetupReplies(const AttemptRef &A,
                          const std::vector<SetupStep> &Steps,
                          std::vector<ServerReply> Replies);
  void send(const AttemptRef &A);
  void handleReply(const AttemptRef &A, ServerReply Reply);
  void recordPosition(const Attempt &A, const ServerReply &Reply);
  /// Sends a statement of an open transaction again that the server shed.
  void resendInTransaction(const JobRef &J);
  void endAttempt(const AttemptRef &A, bool Reuse);
  void retryOrFail(const AttemptRef &A, const ServerReply &Reply,
                   bool MayHaveRun);
  void finish(const JobRef &J, JobResult Result);
  void handleUnservable(const JobRef &J, Instant Now);
  /// What is known about a primary that can't be used now.
  PrimaryOutage outage(Instant Now) const;
  Duration retryHint(const Job &J) const;
  /// Why a statement can't run anywhere now.
  std::string_view unservableReason(Instant Now) const;
  void dequeue(const JobRef &J);
  void refuse(const JobRef &J, ReplyCode Code, std::string_view Reason,
              bool Unservable = false);
  void requeue(const JobRef &J, Duration Delay);
  void expire(const JobRef &J, Instant Now);
  void hedge(const JobRef &J, Instant Now);
  std::shared_ptr<ServerPool> primaryPool() const;
  bool usable(const ServerPool &Pool, Instant Now) const;

  void queryStatus(const std::shared_ptr<ServerPool> &Pool,
                   const ConnectionRef &Connection);
  void expireStatus(Instant Now);
  void expireAttempts(Instant Now);

  const std::string Service;
  const std::string FailureDomain;
  const RuntimeHooks &Hooks;
  Dialer Dial;
  EventWriter &Events;
  Metrics &Counters;
  std::map<UpstreamId, std::shared_ptr<ServerPool>, std::less<>> Pools;
  std::map<UpstreamId, Instant, std::less<>> DrainingSince;
  StatementForwarder *Forwarder = nullptr;
  bool OwnersNeeded = false;
  /// Last start of an attempt here, and of one for another proxy.
  Instant LastLocalRun;
  Instant LastRunForPeers;
  unsigned ConnectionCap = 1;
  std::size_t FailureDomainCount = 1;
  std::size_t ProxyCount = 1;
  /// When the current record was first seen; without one, when the group became
  /// known.
  Instant RecordSeenAt;
  PrimaryRecord Record;
  PrimaryLease Lease;
  /// Statement that may change data and runs on the primary, by epoch.
  std::map<std::uint64_t, unsigned> WritesInProgress;
  PrimaryPositions Positions;
  bool StatusPending = false;
  Instant StatusSentAt;
  std::shared_ptr<ServerPool> StatusPool;
  ConnectionRef StatusConnection;
  RetryBudget HedgeBudget;
  /// The primary refused a write because it no longer leads.
  Instant NotPrimaryUntil;
  /// Time from the start of an attempt to its answer, by rank.
  std::array<TimeEstimate, PriorityCount> RunTimes;
  std::list<JobRef> Waiting;
  std::list<JobRef> Active;
  /// Attempts in progress, also of finished jobs.
  std::list<AttemptRef> Attempts;
  /// Starts since the least urgent waiting rank had its turn.
  unsigned Starts = 0;
  bool Scheduling = false;
  bool ScheduleAgain = false;
};

/// Interval at which timeouts are checked.
inline constexpr Duration TickInterval = std::chrono::milliseconds(20);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_GROUP_H
