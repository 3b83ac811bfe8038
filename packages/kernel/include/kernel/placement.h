/// \file
/// Decides which waiting statement runs next, on which server, and which is
/// refused. Several proxies that do not know each other's load share servers
/// with few slots, and a server queues statements in order of arrival. Each
/// proxy therefore keeps the queues of the servers short with small limits, so
/// that the order is decided here, by priority.

#ifndef EELGRASSLOOM_KERNEL_PLACEMENT_H
#define EELGRASSLOOM_KERNEL_PLACEMENT_H

#include "kernel/model.h"
#include "kernel/position.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace eelgrassloom {

/// What placement knows about one server.
struct ServerLoad {
  UpstreamId Id;
  /// The server is the primary, and the proxy holds a lease on it.
  bool Primary = false;
  bool SameFailureDomain = false;
  /// The server accepts new work, and a connection to it is idle or can be
  /// opened.
  bool Available = false;
  /// A connection to it is idle.
  bool Connected = false;
  /// All connections that the proxy may open are in use, and none is being
  /// opened for the customer; otherwise the server accepts new work.
  bool Exhausted = false;
  /// Recent requests failed; the server is used only if there is no other.
  bool Suspected = false;
  /// New connections have failed for longer than the tolerance.
  bool Unreachable = false;
  /// The server is neither draining nor a primary that must not be used.
  bool InService = true;
  /// The server is slow or fails statements, see serverpace.h. It is used for
  /// statements that no other server can run.
  bool Degraded = false;
  /// The server is degraded and may get a trial statement now.
  bool TrialDue = false;
  /// Preference of the customer among servers to which it has no idle
  /// connection, see affinityRank(); 0 if connections belong to nobody.
  std::uint64_t AffinityRank = 0;
  unsigned InFlight = 0;
  /// Maximum number of statements of this proxy that run there at once.
  unsigned Limit = 1;
  /// Last reported position and when the exchange that reported it ended.
  Position Applied;
  Instant AppliedAt;
};

/// Requirements of a statement on the server that runs it.
struct PlacementRequest {
  bool PrimaryOnly = false;
  /// Position that a replica must contain; if empty, no replica qualifies.
  std::optional<Position> Required;
  Priority WorkPriority = Priority::Normal;
  /// Servers that this statement has tried without success.
  const std::vector<UpstreamId> *Excluded = nullptr;
  /// Only servers with an idle connection qualify.
  bool ConnectedOnly = false;
  /// The statement may be the trial of a degraded server: a read that was not
  /// tried before and can run elsewhere if the trial fails.
  bool TrialAllowed = false;
};

/// Time for which a replica that lacked a position is not tried again for it.
inline constexpr Duration LagRetryDelay = std::chrono::milliseconds(120);

/// Index of the server to use now; empty if the statement has to wait.
std::optional<std::size_t> chooseServer(const PlacementRequest &Request,
                                        const std::vector<ServerLoad> &Servers,
                                        Instant Now);

/// True if a server that is not degraded is primary and can be used. Every
/// statement can run there, so that degraded replicas get trials only.
bool hasHealthyPrimary(const std::vector<ServerLoad> &Servers);

/// True if some server can start a statement of priority \p P, as far as its
/// limit and its connections tell. Load pattern: a queue of hundreds of
/// statements before servers that are all busy. Each arrival and each answer
/// would otherwise try to start every one of them, and a small proxy has no
/// processor time left to answer its peers.
bool anyFree(const std::vector<ServerLoad> &Servers, Priority P);

/// The servers that could start the statement now if a connection to them was
/// free. Empty if the statement waits for something else.
std::vector<UpstreamId>
serversLackingConnection(const PlacementRequest &Request,
                         const std::vector<ServerLoad> &Servers, Instant Now);

/// Maximum number of statements that run at once on a server when a statement
/// of priority \p P is started. Urgent work may exceed \p Limit by one, so that
/// it does not wait for other work.
unsigned limitFor(unsigned Limit, Priority P);

/// Limit of one proxy for a server with \p Slots that \p Proxies share.
unsigned proxyLimit(unsigned Slots, std::size_t Proxies);

/// True if one proxy of each failure domain, the owner, runs the statements of
/// all proxies there. This is needed when so many proxies share a server that
/// one statement of each would fill the server's queue, where statements can't
/// be ordered by priority. It is also needed when the server accepts too few
/// connections for all proxies.
bool ownersNeeded(unsigned Slots, unsigned ConnectionCap, std::size_t Proxies);

/// Number of proxies among which the slots and connections of a server are
/// divided: one owner for each failure domain, or all proxies. A proxy that is
/// no owner takes only its share among all, because all proxies of a failure
/// domain run their statements themselves for a moment if their owner fails or
/// can't run statements.
std::size_t sharingProxies(bool ActsAsOwner, std::size_t FailureDomains,
                           std::size_t Proxies);

/// Typical time from the revocation of a primary until its successor leads.
inline constexpr Duration TypicalPromotionTime =
    std::chrono::milliseconds(2000);
/// Statements do not wait for a promotion that takes longer than this: too few
/// proxies may be able to reach the store for it to finish.
inline constexpr Duration MaxPromotionTime = std::chrono::milliseconds(3500);
/// Time, after the record of a new primary or the start of the process, within
/// which a proxy usually acquires its first lease.
inline constexpr Duration FirstLeaseTime = std::chrono::milliseconds(700);

/// What a proxy knows about the record of a primary that it can't use.
struct PrimaryOutage {
  /// The record is revoked.
  bool Revoked = false;
  /// Time since the record was first seen; empty if the proxy holds a lease but
  /// can't reach the primary.
  std::optional<Duration> RecordAge;
};

/// True if a primary is likely to be usable within \p MaxWait, so that a
/// statement should wait for it. Otherwise all statements of the service would
/// be refused during a promotion of two or three seconds, and callers retry
/// only a few times.
bool successorExpected(const PrimaryOutage &Outage, Duration MaxWait);

/// Sort key of a waiting statement: by priority, because the same server time
/// is worth far more to a higher priority, then by due time. The order matters
/// when a server is overloaded, for example when all reads move to the primary
/// because the replicas lag far behind.
struct WaitKey {
  /// The answer can't meet the latency objective any more; the statement waits
  /// behind the others of its priority.
  bool Late = false;
  Priority WorkPriority = Priority::Normal;
  /// Arrival of the operation plus its latency objective.
  Instant Due;
  /// The priority is overloaded, so the newest statement, which is the most
  /// likely to meet its objective, runs first.
  bool NewestFirst = false;
  /// The customer has used more than its share of the servers; the statement
  /// waits behind the others of its priority and lateness.
  bool AboveShare = false;
};

/// True if \p A runs before \p B.
bool before(const WaitKey &A, const WaitKey &B);

/// A waiting statement, as input of waitOrder().
struct WaitingStatement {
  Priority WorkPriority = Priority::Normal;
  /// Arrival of its operation, or of the first try of it that was refused.
  Instant FirstTry;
  /// Latency objective of the operation.
  Duration LatencyObjective{0};
  /// Expected time from the start of an attempt to its answer.
  Duration ExpectedRun{0};
  /// See customersAboveShare(); false without customers.
  bool AboveShare = false;
};

/// Indices of the statements in the order in which they run. If the load of a
/// priority exceeds the capacity of a server for seconds, order by due time
/// would start every statement when it is almost too late, and most answers
/// would miss their objective. A priority whose statements have waited long is
/// therefore served newest first. Statements of customers above their share are
/// judged apart, because a backlog of theirs does not delay the others.
std::vector<std::size_t> waitOrder(const std::vector<WaitingStatement> &Waiting,
                                   Instant Now);

/// One in this many starts goes to the oldest statement of the lowest waiting
/// priority, so that no priority starves.
inline constexpr unsigned AntiStarvationInterval = 12;

/// Maximum time that a statement waits for a free server before it is refused.
Duration maxWait(Duration StatementTimeout);

/// True if the primary can be used and reached; every statement is servable
/// then.
bool primaryReachable(const std::vector<ServerLoad> &Servers);

/// True if some server can run the statement, now or after other work.
/// Otherwise, for example if this proxy can't reach the primary, the statement
/// is refused at once, so that the caller can try another proxy that may reach
/// it.
bool servable(const PlacementRequest &Request,
              const std::vector<ServerLoad> &Servers);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_PLACEMENT_H
