/// \file
/// Promotion of a new primary when the old one does not check fencing tokens.
/// The primary record is revoked, every primary lease on the old primary ends,
/// another server is promoted, and the new primary is published. There is one
/// state machine for each group; the holder of the promotion lock runs them.

#ifndef EELGRASSLOOM_KERNEL_PROMOTION_H
#define EELGRASSLOOM_KERNEL_PROMOTION_H

#include "kernel/leaseextension.h"
#include "kernel/primary.h"
#include "kernel/routes.h"
#include "kernel/storeera.h"
#include <map>
#include <set>
#include <variant>

namespace eelgrassloom {

/// Stage of a group's primary record.
enum class GroupStage : std::uint8_t {
  /// Proxies may acquire a lease on the primary.
  Stable,
  /// The primary is being replaced; no new lease on it may start.
  Revoking,
};
inline constexpr std::array<std::string_view, 2> GroupStageNames = {"stable",
                                                                    "revoking"};
constexpr std::string_view name(GroupStage S) {
  return GroupStageNames[static_cast<std::size_t>(S)];
}

/// The stored record of a group's primary. Each change raises the epoch.
struct PrimaryRecord {
  std::string Service;
  /// 0 if there is no record yet.
  std::uint64_t Epoch = 0;
  GroupStage Stage = GroupStage::Stable;
  UpstreamId Primary;
  /// Term of the primary when it was published; 0 if unknown.
  std::uint64_t Term = 0;
  /// Era of the store in which the record was written or confirmed: it had
  /// lost no later record then. 0 if unknown.
  StoreEra Era = 0;

  bool operator==(const PrimaryRecord &) const = default;
};

/// True if \p A replaces \p B. A record of a later era does so even with a
/// lower epoch: the store and the proxies in touch with it have lost the other
/// one.
bool isNewer(const PrimaryRecord &A, const PrimaryRecord &B);

/// The registration of one proxy, as the lock holder last read it. It is stored
/// without a store lease, because the expiry of a leased key would not prove
/// that its proxy has stopped using a primary.
struct ProxyReport {
  ProxyId Id;
  std::uint64_t Revision = 0;
  /// The proxy must drop its primary leases and register again.
  bool Evicted = false;
  /// Servers to which new connections from this proxy fail.
  std::set<UpstreamId, std::less<>> Unreachable;
  /// Latest revoked epoch that the proxy has acknowledged, by service. It no
  /// longer uses the primary of that epoch.
  std::map<std::string, std::uint64_t, std::less<>> Acknowledged;
  /// When the lock holder first saw this revision.
  Instant SeenAt;
  std::string FailureDomain;
  /// See KnownEpochs::Answered.
  AnsweredProxies Answered;
};

/// The heartbeat of one proxy, as the lock holder last read it. Each successful
/// poll of the store rewrites the key and so changes its revision.
struct Heartbeat {
  std::uint64_t Revision = 0;
  /// A time by which the heartbeat had been written: when the lock holder first
  /// saw this revision, or learned that the store had reached it.
  Instant SeenAt;
  /// The lock holder has seen an earlier revision as well, so the poll that
  /// wrote this one took place shortly before SeenAt.
  bool Renewed = false;
};
using HeartbeatMap = std::map<ProxyId, Heartbeat, std::less<>>;

/// Reply of a server to a status query.
struct ServerStatus {
  bool Reachable = false;
  Role ServerRole = Role::Unknown;
  /// Term of the server's log.
  std::uint64_t Term = 0;
  Position Received;
  /// When the query was sent.
  Instant SentAt;
};

/// Time after which an evicted proxy can no longer hold a primary lease. A
/// proxy that is partitioned from the store does not learn of its eviction, and
/// its peers keep extending its leases for groups whose revocation they have
/// not acknowledged, until their proxy lists and its own exceed
/// MaxProxyListAge.
inline constexpr Duration EvictedLeaseTime = 2 * MaxProxyListAge;

struct PromotionOptions {
  /// Duration of a primary lease, counted from the start of the poll or of the
  /// peer request that renewed or extended it.
  Duration LeaseDuration = std::chrono::milliseconds(1200);
  /// Fraction of the proxies that must report the primary as unreachable; with
  /// owners, fraction of the failure domains.
  double UnreachableShare = 0.34;
  /// Time for which the reports must persist before the primary is revoked.
  Duration UnreachableTolerance = std::chrono::milliseconds(300);
  /// A lock holder that reaches fewer proxies than a revocation quorum waits
  /// this long before it revokes an unreachable primary. It is probably on the
  /// minority side of a partition, and a revocation would take the primary from
  /// proxies that can still use it.
  Duration MinorityTolerance = std::chrono::seconds(10);
  /// Time for which a primary may be missing from the registry, or be
  /// registered as a replica, before it is replaced.
  Duration MissingTolerance = std::chrono::milliseconds(3500);
  /// Interval of status queries while a record is revoked.
  Duration StatusInterval = std::chrono::milliseconds(150);
  /// Maximum time that a promotion waits, after all leases have ended, for a
  /// replica to catch up with an old primary that still answers.
  Duration CatchUpTime = std::chrono::milliseconds(1500);
  /// Time after the end of the leases in which no server is promoted that has
  /// an older term than the revoked primary. It is longer than the failures
  /// that a server survives, so that one with the last term can return.
  Duration OlderTermDelay = std::chrono::seconds(20);
  /// Time that a new lock holder waits before it promotes a server if an
  /// earlier holder may have called a promotion; after it such a call can no
  /// longer be in flight.
  Duration TakeoverDelay = std::chrono::milliseconds(2500);
  /// Time that a new lock holder waits before it revokes a primary.
  Duration SettleTime = std::chrono::milliseconds(400);
  /// Time after which a promotion without an answer or an effect is retried.
  Duration PromotionRetryDelay = std::chrono::milliseconds(2500);
  /// Pause after a promotion call that the platform did not handle.
  Duration TurnedAwayDelay = std::chrono::milliseconds(250);
  /// Time for which a server whose promotion was refused is no candidate.
  Duration RefusalBackoff = std::chrono::milliseconds(1000);
};

/// Why a primary is replaced.
enum class PromotionReason : std::uint8_t {
  None,
  /// The registry marks the primary as draining.
  Leaving,
  /// Enough proxies report that they can't open connections to it.
  Unreachable,
  /// Its registry entry is missing.
  Missing,
  /// It reports that it is a replica.
  Demoted,
};
inline constexpr std::array<std::string_view, 5> PromotionReasonNames = {
    "none", "leaving", "unreachable", "missing", "demoted"};
constexpr std::string_view name(PromotionReason R) {
  return PromotionReasonNames[static_cast<std::size_t>(R)];
}

/// What proves that no proxy holds a lease on the primary of a revoked record.
/// "Lease duration" here includes the margin, see leaseWithMargin().
enum class LeaseEndReason : std::uint8_t {
  /// Some proxies may still hold a lease.
  None,
  /// All proxies have acknowledged the revocation.
  Acknowledged,
  /// A revocation quorum has fully acknowledged, and within the lease duration
  /// no other proxy has polled the store or been answered by one of them, see
  /// RemainingLeases.
  Polls,
  /// A revocation quorum had acknowledged one lease duration ago, so that no
  /// lease could be extended since.
  Lease,
  /// The revocation is older than any lease can be.
  Age,
};
inline constexpr std::array<std::string_view, 5> LeaseEndReasonNames = {
    "no", "acknowledged", "checks", "lease", "age"};
constexpr std::string_view name(LeaseEndReason R) {
  return LeaseEndReasonNames[static_cast<std::size_t>(R)];
}

/// Which proxies may still hold a lease on a revoked primary.
struct RemainingLeases {
  /// Proxies that have acknowledged the revocation and have stated which peers
  /// they answered before.
  std::set<std::string_view> FullyAcknowledged;
  /// Number of other proxies that have polled the store within the lease
  /// duration.
  std::size_t Polled = 0;
  /// Number of other proxies that a fully acknowledged one answered within the
  /// lease duration before it acknowledged.
  std::size_t RecentlyAnswered = 0;
};

/// State of the promotion of one group.
struct PromotionState {
  PromotionOptions Options;
  /// Epoch that the fields below belong to.
  std::uint64_t Epoch = 0;
  PromotionReason Reason = PromotionReason::None;
  Instant ReasonSince;
  /// When this proxy first saw the revoked record.
  Instant RevokedAt;
  /// When this proxy found that a revocation quorum had acknowledged, see
  /// revocationQuorum().
  std::optional<Instant> QuorumAt;
  /// When this proxy found that no lease on the old primary was left.
  std::optional<Instant> LeasesEndedAt;
  LeaseEndReason LeasesEndedBy = LeaseEndReason::None;
  /// When the next status queries are due.
  Instant NextStatus;
  /// Server whose promotion was called last.
  UpstreamId Candidate;
  /// When the promotion of Candidate was called; empty if it was refused.
  std::optional<Instant> CalledAt;
  /// No promotion is called before this time.
  Instant NextCall;
  /// True if any promotion was called in this epoch, also a refused one.
  bool Called = false;
  std::map<UpstreamId, Instant, std::less<>> RefusedAt;
};

/// What the lock holder knows about one group and the proxies.
struct PromotionInput {
  PrimaryRecord Record;
  /// Current era of the store.
  StoreEra Era = 0;
  /// When this proxy took the promotion lock.
  Instant LockHeldSince;
  /// An earlier lock holder may have called a promotion in this epoch.
  bool EarlierCallPossible = true;
  /// The same for any revoked group. Promotion calls carry the fencing token of
  /// the lock, whichever group they are for, and a call with an older token
  /// must not arrive after one with a newer token.
  bool CallOutstanding = true;
  const std::vector<ProxyReport> *Proxies = nullptr;
  /// Start of the call that read Proxies.
  Instant ProxiesReadAt;
  /// Heartbeats of all proxies that ever wrote one, read by the same call as
  /// Proxies; null if they were not read.
  const HeartbeatMap *Heartbeats = nullptr;
  /// Number of registered proxies that would learn of a revocation, because
  /// they have polled the store or contacted this proxy recently; empty if
  /// unknown.
  std::optional<std::size_t> ReachableProxies;
  /// Number of registered servers of all groups.
  std::size_t TotalServers = 0;
  /// Registered servers of the group.
  std::vector<ServerEntry> Servers;
  unsigned SyncReplicas = 0;
  /// One proxy of each failure domain, the owner, runs the statements of all
  /// proxies there, so that only owners know whether a server is reachable.
  bool UsesOwners = false;
  const std::map<UpstreamId, ServerStatus, std::less<>> *Statuses = nullptr;
};

/// Write the record to the store if the old one is unchanged.
struct WritePrimaryRecord {
  PrimaryRecord Record;
  PromotionReason Reason = PromotionReason::None;
};
/// Query the status of all servers of the group.
struct QueryStatuses {};
/// Mark a proxy that has not acknowledged as evicted.
struct EvictProxy {
  ProxyId Id;
  std::uint64_t Revision = 0;
};
/// Call the platform to promote this server.
struct PromoteServer {
  UpstreamId Id;
};

using PromotionAction =
    std::variant<WritePrimaryRecord, QueryStatuses, EvictProxy, PromoteServer>;

/// Advances the state machine and returns the actions that are due now. Called
/// periodically and after the result of each action.
std::vector<PromotionAction> step(PromotionState &S, const PromotionInput &In,
                                  Instant Now);

/// Records that the platform refused to promote \p Id.
void promotionRefused(PromotionState &S, const UpstreamId &Id, Instant Now);

/// Records that the platform did not handle the last call. It is repeated after
/// PromotionOptions::TurnedAwayDelay, for the server that is best then.
void promotionTurnedAway(PromotionState &S, Instant Now);

/// Why the primary of a stable record should be replaced; None if it should
/// not.
PromotionReason promotionReason(const PromotionOptions &Options,
                                const PromotionInput &In);

/// True if enough proxies, or failure domains, report the server as
/// unreachable.
bool widelyUnreachable(const PromotionOptions &Options,
                       const PromotionInput &In, const UpstreamId &Server);

/// True if the proxy has acknowledged the revocation of this or a later epoch.
bool acknowledged(const ProxyReport &Proxy, const PrimaryRecord &Record);

/// Which proxies may still hold a lease on the primary of the revoked record.
RemainingLeases remainingLeases(const PromotionState &S,
                                const PromotionInput &In, Instant Now);

/// Why no proxy can hold a lease on the primary of the revoked record any more;
/// None if one still can.
LeaseEndReason leaseEndReason(PromotionState &S, const PromotionInput &In,
                              Instant Now);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_PROMOTION_H
