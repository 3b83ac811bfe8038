/// \file
/// Runs statements on the servers of one service: queues them, chooses a server
/// for each, retries attempts that failed, and refuses statements that no
/// server can run in time. Attempts on the primary are made only under a
/// primary lease.

#ifndef EELGRASSLOOM_ENGINE_GROUP_H
#define EELGRASSLOOM_ENGINE_GROUP_H

#include "engine/metrics.h"
#include "engine/pool.h"
#include "kernel/estimate.h"
#include "kernel/fairshare.h"
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

/// A server connection that is reserved for an open transaction, either in a
/// pool of this proxy or at the proxy that owns the service.
struct PinnedConnection {
  std::shared_ptr<ServerPool> Pool;
  ConnectionRef Connection;
  /// The proxy that holds the connection, and the number it gave to the
  /// transaction; null and 0 if this proxy holds the connection.
  std::shared_ptr<PeerConnection> Owner;
  std::uint64_t Transaction = 0;
  /// Epoch of the primary lease under which a transaction on the primary began;
  /// 0 on a replica.
  std::uint64_t Epoch = 0;
};

/// Outcome of a statement.
struct JobResult {
  ServerReply Reply;
  /// Set if the transaction is still open after the statement.
  std::optional<PinnedConnection> Pinned;
  /// Epoch of the primary lease under which the statement succeeded; 0
  /// otherwise.
  std::uint64_t Epoch = 0;
  /// The statement did not run because this proxy knows no server that can run
  /// it; another proxy may.
  bool Unservable = false;
};

struct Attempt;

/// One statement of a caller, from its arrival to its answer, with all attempts
/// to run it.
struct Job {
  JobKind Kind = JobKind::Autocommit;
  /// The statement as sent to servers.
  ServerCall Call;
  /// The statement is the caller's COMMIT. Its kind is FirstInTransaction if no
  /// statement has begun the transaction on a server yet.
  bool EndsTransaction = false;
  /// The operation that the statement begins has used a permission of the
  /// customer's limit.
  bool HoldsPermit = false;
  SessionId Session = 0;
  /// Customer that the statement belongs to; empty: none. It runs only on
  /// connections of this customer.
  CustomerId Customer;
  /// Hash of the key by which the caller was identified.
  std::uint64_t KeyHash = 0;
  /// Version of the configuration by which the key was checked.
  std::uint64_t ConfigVersion = 0;
  const SessionState *State = nullptr;
  std::optional<PreparedStatement> Prepared;
  RouteConfig Route;
  bool Write = false;
  /// FirstInTransaction: the transaction only reads.
  bool ReadOnly = false;
  /// InTransaction, Commit: the transaction wrote.
  bool Wrote = false;
  std::optional<PinnedConnection> Pinned;
  /// Last commit of the session at this service; reads with session consistency
  /// must see it.
  SessionCommit LastCommit;
  /// Arrival of the statement, and of the operation that it belongs to: its
  /// transaction, or itself.
  Instant Arrived;
  Instant OperationStart;
  /// Arrival of the first try of the operation: earlier than OperationStart if
  /// the proxy has refused it and the caller has sent it again. It decides the
  /// order of waiting statements, and nothing about the age of what is read.
  Instant FirstTry;
  std::function<void(JobResult)> Done;
  /// Owns the object behind State if another proxy has forwarded the statement;
  /// null for a statement of this proxy.
  std::shared_ptr<const SessionState> ForwardedState;
  /// The statement is not forwarded to the owner of the service: it came from
  /// another proxy, or its owner failed or could not run it.
  bool LocalOnly = false;
  /// Number of fallback proxies that the statement was sent to.
  unsigned FallbackAttempts = 0;

  // State of the attempts.
  /// The proxy that the statement was forwarded to; null if it runs here.
  std::shared_ptr<PeerConnection> ForwardedTo;
  /// Number of the exchange with that proxy.
  std::uint64_t Exchange = 0;
  /// Servers that are not tried again, because an attempt there failed or was
  /// slow.
  std::vector<UpstreamId> Excluded;
  /// Attempts started, those in progress, and those that failed after the
  /// statement may have run.
  unsigned Attempts = 0;
  unsigned Running = 0;
  unsigned Failures = 0;
  /// Number of owners that did not answer the statement.
  unsigned SilentOwners = 0;
  /// Start of the last attempt, or time of forwarding.
  Instant SentAt;
  /// No attempt starts before this time.
  Instant NotBefore;
  /// The statement itself was sent to a server at least once, so it may have
  /// run.
  bool Sent = false;
  /// A server may have received a part of the operation, here or at another
  /// proxy. Its permission is not returned then.
  bool ReachedServer = false;
  bool Finished = false;
  /// It is in the queue of the group.
  bool Waiting = false;
  /// It leaves no room in a message for the position that a replica must hold.
  bool PrimaryOnly = false;
  bool ServedByReplica = false;
  /// The attempt that started last; null if it has ended.
  std::shared_ptr<Attempt> CurrentAttempt;
};
using JobRef = std::shared_ptr<Job>;

class StatementForwarder;

/// Why a statement may not run with the key of its caller any more; empty if it
/// may.
using KeyCheck = std::function<std::optional<ReplyCode>(const Job &)>;

/// The servers of one service with their pools, the primary lease and the queue
/// of waiting statements. Not copyable: jobs and pools refer to it.
class Group : public std::enable_shared_from_this<Group> {
public:
  static std::shared_ptr<Group> create(std::string Service,
                                       std::string FailureDomain,
                                       const RuntimeHooks &Hooks, Dialer Dial,
                                       EventWriter &Events, Metrics &Counters);

  /// If \p Needed, statements are forwarded to the owner of the service,
  /// because the servers have too few slots or connections for all proxies. The
  /// forwarder outlives the group; null if there is none.
  void setForwarder(StatementForwarder *NewForwarder, bool Needed);
  bool usesOwners() const { return OwnersNeeded; }
  /// Connections belong to customers from now on, or to nobody.
  /// Statements that have not been sent to a server or to another proxy are
  /// checked by \p Check before they are.
  void setKeyCheck(KeyCheck Check) { CheckKey = std::move(Check); }
  void setPerCustomer(bool Enabled) {
    PerCustomer = Enabled;
    if (!Enabled)
      ServerTime = {};
  }
  /// The condition of each server is inferred from its answers from now on, see
  /// kernel/serverpace.h.
  void enablePace();
  /// True if this proxy runs statements of the service: it needs no owner, is
  /// the owner, or has run a statement within the last few seconds.
  bool inUse() const;

  /// Runs a statement here or forwards it to the owner. Job::Done is called
  /// exactly once, unless the job is cancelled.
  void submit(JobRef J);
  /// Runs a statement here, whoever owns the service.
  void runLocally(const JobRef &J);
  /// Refuses the waiting statements whose key has been removed.
  void refuseRemovedKeys();
  /// Refuses the statement if its key has been removed, or ends its waiting if
  /// an earlier attempt is in progress. Returns false if it may run.
  bool refuseRemovedKey(const JobRef &J);
  /// Gives up a statement whose caller has disconnected; Job::Done is not
  /// called any more.
  void cancel(const JobRef &J);
  /// Rolls a transaction back and returns its connection to the pool.
  void rollBack(const PinnedConnection &Pinned);
  /// Returns the connection of a transaction that has ended to its pool;
  /// \p Reuse as for ServerPool::release().
  void unpin(const PinnedConnection &Pinned, bool Reuse);
  /// Closes the connection of an open transaction, which rolls it back, and
  /// starts to open one for the customer \p To in its place.
  void handOver(const PinnedConnection &Pinned, const CustomerId &To);

  /// Replaces the servers of the service. \p Cap: connections that one server
  /// accepts from all proxies. \p Domains: failure domains with a proxy.
  /// \p AllProxies: registered proxies.
  void setServers(const std::vector<ServerEntry> &Servers, unsigned Cap,
                  std::size_t Domains, std::size_t AllProxies);
  /// Takes over a newer record; this ends the primary lease, unless the record
  /// is only confirmed for a later era of the store.
  void setPrimaryRecord(const PrimaryRecord &Record);
  /// Starts or renews the primary lease after a poll of the store, own or
  /// relayed, or a quorum of peers has verified the record of \p Epoch. Ignored
  /// if the record has changed since or is being revoked.
  void renewLease(std::uint64_t Epoch, Instant Until);
  /// True while this proxy holds the primary lease.
  bool hasLease() const { return valid(Lease, Hooks.Now()); }
  /// Remaining time of the primary lease; negative after it has ended.
  Duration remainingLease() const { return Lease.Until - Hooks.Now(); }
  /// Ends the primary lease at once, for example because this proxy was
  /// evicted.
  void dropLease();

  /// Adds a position that a peer learned from the primary while the peer held a
  /// primary lease.
  void addPeerPosition(const PrimaryPosition &Sample) {
    addPosition(Positions, Sample);
  }
  /// Newest known position of the primary; empty if there is none.
  std::optional<PrimaryPosition> newestPosition() const;

  /// The newest known record; epoch 0 if there is none.
  const PrimaryRecord &primaryRecord() const { return Record; }
  /// True if no write is in progress under a primary lease that has ended or
  /// was revoked. The revocation can be acknowledged then.
  bool quiesced() const;
  /// Servers to which dials fail, see ServerPool::unreachable().
  std::vector<UpstreamId> unreachableServers() const;
  /// Adds the open connections of each customer to \p Counts. Returns the
  /// number of connections that were closed so far for another customer.
  std::uint64_t countConnections(std::map<CustomerId, unsigned> &Counts) const;
  /// Adds the limit of each server, and whether it is degraded, to \p
  /// Conditions. Adds nothing unless enablePace() was called.
  void
  addServerConditions(std::map<UpstreamId, ServerCondition> &Conditions) const;
  /// No statement or attempt is in progress here.
  bool idle() const { return Active.empty() && Attempts.empty(); }

  /// The customers whose statements wait only for a connection; see
  /// chooseTransactionsToEnd().
  std::vector<BlockedCustomer> blockedCustomers() const;

  /// Handles timeouts of statements and starts waiting ones; called every
  /// TickInterval while not idle().
  void tick();
  /// Queries the primary for its position if the known one is old, closes idle
  /// connections and checks failing pools; called every 100 ms.
  void maintain();
  void close();

private:
  Group(std::string Service, std::string FailureDomain,
        const RuntimeHooks &Hooks, Dialer Dial, EventWriter &Events,
        Metrics &Counters)
      : Service(std::move(Service)), FailureDomain(std::move(FailureDomain)),
        Hooks(Hooks), Dial(std::move(Dial)), Events(Events), Counters(Counters),
        RecordSeenAt(Hooks.Now()) {}

  /// True if this proxy owns the service or has recently run statements for
  /// proxies that could not reach their owner. The slots and connections of the
  /// servers are then divided among the owners, not among all proxies.
  bool actsAsOwner() const;
  void updateLimits();
  /// Connections that this proxy may open to each server if they belong to
  /// customers.
  unsigned customerConnectionLimit() const;
  /// Forwards waiting statements to the owner. They waited here because the
  /// owner could not be reached when they arrived.
  void forwardWaiting();
  void schedule();
  void scheduleOnce();
  std::vector<JobRef> waitingInOrder(Instant Now) const;
  /// Starts the statement on the best of the servers \p Loads, if there is one.
  bool tryStart(const JobRef &J, const std::vector<ServerLoad> &Loads,
                Instant Now);
  void enqueue(const JobRef &J);
  void removeFromQueue(const JobRef &J);
  /// The most urgent priority of the waiting statements, of which there is one.
  Priority mostUrgentWaiting() const;
  /// The servers as they appear to statements of the customer.
  std::vector<ServerLoad> serverLoads(const CustomerId &Customer,
                                      Instant Now) const;
  /// True if some server may have a slot for the most urgent waiting statement.
  bool anySlotFree(Instant Now) const;
  PlacementRequest makePlacementRequest(const Job &J, Instant Now) const;
  std::optional<Position> requiredPositionFor(const Job &J) const;
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
  /// Records the end of a statement in the condition of its server.
  void recordOutcome(const Attempt &A, ServerOutcome Outcome);
  /// The same according to the answer, unless it tells nothing about the
  /// server.
  void recordOutcome(const Attempt &A, const ServerReply &Reply);
  void endAttempt(const AttemptRef &A, bool Reuse);
  /// Counts the server time of an attempt that ends for its customer.
  void countServerTime(const Attempt &A);
  void retryOrFail(const AttemptRef &A, const ServerReply &Reply,
                   bool MayHaveRun);
  void finish(const JobRef &J, JobResult Result);
  bool canServe(const Job &J, const std::vector<ServerLoad> &Loads,
                Instant Now) const;
  void handleUnservable(const JobRef &J, const std::vector<ServerLoad> &Loads,
                        Instant Now);
  /// What this proxy knows about a primary that it can't use now.
  PrimaryOutage outage(Instant Now) const;
  Duration retryHint(const Job &J) const;
  /// Reason of the refusal of a statement that no server can run now.
  std::string_view unservableReason(Instant Now) const;
  void dequeue(const JobRef &J);
  void refuse(const JobRef &J, ReplyCode Code, std::string_view Reason,
              bool Unservable = false);
  void requeue(const JobRef &J, Duration Delay);
  /// Handles the timeouts of one statement: refuses it if it has waited too
  /// long, hedges a slow read, and ends an attempt that exceeds the statement
  /// timeout.
  void expire(const JobRef &J, const std::vector<ServerLoad> &Loads,
              Instant Now);
  /// Lets another server run a read that has had no answer for hedgeDelay().
  /// While statements wait, this is done only if the server has answered
  /// nothing at all since: an attempt that is slow because of the load would
  /// take a slot from one that waits.
  void hedge(const JobRef &J, Instant Now);
  /// Null if this proxy may not use the primary now or does not know the
  /// server.
  std::shared_ptr<ServerPool> primaryPool() const;
  /// False if the server is draining, except for a primary that has started to
  /// drain recently.
  bool usable(const ServerPool &Pool, Instant Now) const;

  /// Statements were sent to the server for longer than the tolerance, and it
  /// has answered nothing since.
  bool silent(const ServerPool &Pool, Instant Now) const;
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
  KeyCheck CheckKey;
  std::map<UpstreamId, std::shared_ptr<ServerPool>, std::less<>> Pools;
  std::map<UpstreamId, Instant, std::less<>> DrainingSince;
  StatementForwarder *Forwarder = nullptr;
  bool OwnersNeeded = false;
  /// Start of the last attempt here, and of the last one for another proxy.
  Instant LastLocalRun;
  Instant LastRunForPeers;
  unsigned ConnectionCap = 1;
  std::size_t FailureDomainCount = 1;
  std::size_t ProxyCount = 1;
  /// When the current primary record was first seen; until there is one, when
  /// the group was created.
  Instant RecordSeenAt;
  PrimaryRecord Record;
  PrimaryLease Lease;
  /// Number of attempts in progress that may commit a change on the primary, by
  /// the epoch of their primary lease.
  std::map<std::uint64_t, unsigned> WritesInProgress;
  PrimaryPositions Positions;
  bool StatusPending = false;
  Instant StatusSentAt;
  std::shared_ptr<ServerPool> StatusPool;
  ConnectionRef StatusConnection;
  /// Limits hedging to a share of the statements.
  RetryBudget HedgeBudget;
  /// The primary is not used before this time, because it refused a write as a
  /// server that is not primary.
  Instant NotPrimaryUntil;
  /// Time from the start of an attempt to its answer, by priority.
  std::array<TimeEstimate, PriorityCount> RunTimes;
  /// Statements that wait for a server, in order of arrival in the queue.
  std::list<JobRef> Waiting;
  std::array<unsigned, PriorityCount> WaitingByPriority{};
  WaitingByCustomer WaitingCustomers;
  /// Server time of the attempts here; empty if connections belong to nobody.
  ServerTimeUse ServerTime;
  /// Each connection belongs to a customer.
  bool PerCustomer = false;
  bool PaceEnabled = false;
  /// Servers were known before, so that one that appears has just started.
  bool ServersKnown = false;
  std::uint64_t EvictionsOfRemovedPools = 0;
  /// All statements that this proxy has to answer or run itself, waiting ones
  /// included.
  std::list<JobRef> Active;
  /// Attempts in progress, also those of jobs that were already answered.
  std::list<AttemptRef> Attempts;
  /// Attempts started since the lowest waiting priority had its turn; see
  /// AntiStarvationInterval.
  unsigned Starts = 0;
  /// schedule() is running; a nested call only sets ScheduleAgain.
  bool Scheduling = false;
  bool ScheduleAgain = false;
};

/// Interval at which statement timeouts are checked.
inline constexpr Duration TickInterval = std::chrono::milliseconds(20);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_GROUP_H
