/// \file
/// Which waiting statement runs next, on which server, and which is refused.
/// Load pattern: several proxies, unaware of each other, before servers with
/// few slots that queue in order of arrival. Each proxy keeps the servers'
/// queues short with small limits, so that the order is decided here.

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
  /// The primary, with permission to use it.
  bool Primary = false;
  bool SameFailureDomain = false;
  /// Accepts new work and a connection to it is idle or can be opened.
  bool Available = false;
  /// An idle connection exists.
  bool Connected = false;
  /// Recent requests failed; used only if there is no other.
  bool Suspected = false;
  /// New connections have failed for longer than the tolerance.
  bool Unreachable = false;
  unsigned InFlight = 0;
  /// Statements of this proxy that may run there at once.
  unsigned Limit = 1;
  /// Last reported position and when the exchange that reported it ended.
  Position Applied;
  Instant AppliedAt;
};

/// What a statement needs.
struct PlacementRequest {
  bool PrimaryOnly = false;
  /// Position that a replica must contain; empty: no replica qualifies.
  std::optional<Position> Required;
  Priority WorkPriority = Priority::Normal;
  /// Servers that this statement has tried without success.
  const std::vector<UpstreamId> *Excluded = nullptr;
};

/// A replica that lacked a position is expected to lack it for this long.
inline constexpr Duration LagRetryDelay = std::chrono::milliseconds(120);

/// Index of the server to use now, or empty to wait.
std::optional<std::size_t> chooseServer(const PlacementRequest &Request,
                                        const std::vector<ServerLoad> &Servers,
                                        Instant Now);

/// Statements of a rank that may run at once on a server: urgent work may use
/// one more than the limit, so that it does not wait behind other work.
unsigned limitFor(unsigned Limit, Priority P);

/// Limit of one proxy for a server with \p Slots that \p Proxies share.
unsigned proxyLimit(unsigned Slots, std::size_t Proxies);

/// True if one proxy of each failure domain runs the statements of all others
/// there. Load pattern: so many proxies before a server that even one statement
/// each fills its queue, where nobody can order them by rank, and that the
/// server accepts fewer connections than there are proxies.
bool ownersNeeded(unsigned Slots, unsigned ConnectionCap, std::size_t Proxies);

/// Proxies among which the slots and connections of a server are divided.
/// Load pattern: an owner fails or can't run statements, and all proxies of its
/// failure domain run them themselves for a moment.
std::size_t sharingProxies(bool ActsAsOwner, std::size_t FailureDomains,
                           std::size_t Proxies);

/// Usual time from the revocation of a primary until its successor leads.
inline constexpr Duration TypicalReplacementTime =
    std::chrono::milliseconds(2000);
/// A replacement that takes longer than this is not waited for: too few proxies
/// may be in touch with the store to finish it.
inline constexpr Duration MaxReplacementTime = std::chrono::milliseconds(3500);
/// Permissions to use a new primary follow its record, or the start of the
/// process, within this time.
inline constexpr Duration FirstLeaseTime = std::chrono::milliseconds(700);

/// What a proxy knows about the record of a primary that it can't use.
struct PrimaryOutage {
  bool Revoked = false;
  /// Time since the record was first seen; empty if the primary may be used but
  /// can't be reached.
  std::optional<Duration> RecordAge;
};

/// True if another server is likely to lead within \p MaxWait, so that a
/// statement waits for it: callers try a few times only. Load pattern: a
/// promotion of two or three seconds, during which all statements of the
/// service are refused otherwise.
bool successorExpected(const PrimaryOutage &Outage, Duration MaxWait);

/// Order of waiting statements: by rank, because the ranks differ widely in
/// worth for the same time of a server, then by due time. Load pattern:
/// replicas far behind, so that all reads move to the primary and want more
/// than its slots.
struct WaitKey {
  /// Its answer can't be in time any more; such statements wait behind others
  /// of their rank.
  bool Late = false;
  Priority WorkPriority = Priority::Normal;
  /// Arrival of the operation plus its latency objective.
  Instant Due;
  /// The rank is overloaded: the newest statement has the best chance.
  bool NewestFirst = false;
};

/// True if \p A runs before \p B.
bool before(const WaitKey &A, const WaitKey &B);

/// A waiting statement.
struct WaitingStatement {
  Priority WorkPriority = Priority::Normal;
  /// Arrival of its operation.
  Instant OperationStart;
  /// Latency objective of the operation.
  Duration LatencyObjective{0};
  /// Usual time from the start of an attempt to its answer.
  Duration ExpectedRun{0};
};

/// Indices of the statements in the order in which they run. Load pattern: a
/// rank wants more than a server can do for seconds. By due time alone every
/// statement would start when it is almost too late, and most answers would
/// miss their objective; so a rank whose statements have waited long is served
/// newest first.
std::vector<std::size_t> waitOrder(const std::vector<WaitingStatement> &Waiting,
                                   Instant Now);

/// One in this many starts goes to the oldest statement of the least urgent
/// waiting rank, so that no rank starves.
inline constexpr unsigned AntiStarvationInterval = 12;

/// Longest time that a statement waits for a free server before it is refused.
Duration maxWait(Duration StatementTimeout);

/// True if some server could run the statement, now or when it has finished
/// other work. Otherwise it is refused at once, so that the caller can reach
/// another proxy. Load pattern: a primary that some proxies can't reach.
bool servable(const PlacementRequest &Request,
              const std::vector<ServerLoad> &Servers);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_PLACEMENT_H
