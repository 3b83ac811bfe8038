/// \file
/// Replacement of a primary that does not check fencing tokens: first every
/// permission to use it ends, then another server is promoted, then the new
/// primary is published. One state machine for each group, run by the holder
/// of the promotion duty.

#ifndef EELGRASSLOOM_KERNEL_PROMOTION_H
#define EELGRASSLOOM_KERNEL_PROMOTION_H

#include "kernel/leaseextension.h"
#include "kernel/primary.h"
#include "kernel/routes.h"
#include <map>
#include <set>
#include <variant>

namespace eelgrassloom {

enum class GroupStage : std::uint8_t {
  /// The primary may be used.
  Stable,
  /// The primary is being replaced; nobody may start to use it.
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
  /// 0: there is no record yet.
  std::uint64_t Epoch = 0;
  GroupStage Stage = GroupStage::Stable;
  UpstreamId Primary;
  /// Term in which the primary led when it was published; 0 if unknown.
  std::uint64_t Term = 0;

  bool operator==(const PrimaryRecord &) const = default;
};

/// The stored record of one proxy, as the duty holder last read it. It has no
/// store lease: a missing leased key would prove nothing about its owner.
struct ProxyReport {
  ProxyId Id;
  std::uint64_t Revision = 0;
  /// The proxy has no permissions and must register again.
  bool Evicted = false;
  /// Servers to which new connections from this proxy fail.
  std::set<UpstreamId, std::less<>> Unreachable;
  /// Revoked epochs that the proxy no longer uses, by service.
  std::map<std::string, std::uint64_t, std::less<>> Acknowledged;
  /// When the duty holder first saw this revision.
  Instant SeenAt;
  std::string FailureDomain;
  /// See KnownEpochs::Answered.
  AnsweredProxies Answered;
};

/// The last check of the store by a proxy, as the duty holder last read it.
/// Each successful check changes the revision.
struct Heartbeat {
  std::uint64_t Revision = 0;
  /// When the duty holder first saw this revision.
  Instant SeenAt;
  /// It has replaced another one that was seen before, so the check was made
  /// not long before SeenAt.
  bool Renewed = false;
};
using HeartbeatMap = std::map<ProxyId, Heartbeat, std::less<>>;

/// What a server said about itself when it was asked.
struct ServerStatus {
  bool Reachable = false;
  Role ServerRole = Role::Unknown;
  /// Term of its log.
  std::uint64_t Term = 0;
  Position Received;
  /// When the question was sent.
  Instant SentAt;
};

/// An evicted proxy that is cut off from the store does not know that it is.
/// Peers extend its permissions for groups that they have not acknowledged,
/// until their lists, and its own, are too old. Only after this time it is no
/// longer waited for.
inline constexpr Duration EvictedLeaseTime = 2 * MaxProxyListAge;

struct PromotionOptions {
  /// Time for which a verified group record, or a quorum of peers, permits the
  /// use of its primary, counted from the start of the question.
  Duration LeaseDuration = std::chrono::milliseconds(1200);
  /// Part of the proxies, or of the failure domains if owners run the
  /// statements, that must report the primary as unreachable.
  double UnreachableShare = 0.34;
  /// The reports must hold for this long.
  Duration UnreachableTolerance = std::chrono::milliseconds(300);
  /// A holder that reaches no release quorum revokes no primary for being
  /// unreachable within this time: it would only take it from those who can
  /// use it.
  Duration MinorityTolerance = std::chrono::seconds(10);
  /// A missing registry entry counts as a lost server after this time.
  Duration MissingTolerance = std::chrono::milliseconds(3500);
  /// Interval of status questions while a group is being replaced.
  Duration StatusInterval = std::chrono::milliseconds(150);
  /// A planned promotion waits this long for a replica to catch up.
  Duration CatchUpTime = std::chrono::milliseconds(1500);
  /// A holder that has just taken the duty waits until a promotion that an
  /// earlier one has called can no longer be on its way.
  Duration TakeoverDelay = std::chrono::milliseconds(2500);
  /// A new holder starts no replacement before this time.
  Duration SettleTime = std::chrono::milliseconds(400);
  /// After an unanswered promotion, or one without effect, another follows.
  Duration PromotionRetryDelay = std::chrono::milliseconds(2500);
  /// A server that refused the promotion is not asked again for this time.
  Duration RefusalBackoff = std::chrono::milliseconds(1000);
};

enum class ReplaceReason : std::uint8_t {
  None,
  /// The primary announced that it is leaving.
  Leaving,
  /// Proxies can't open connections to it.
  Unreachable,
  /// Its registry entry is missing.
  Missing,
  /// It reports that it is a replica.
  Demoted,
};
inline constexpr std::array<std::string_view, 5> ReplaceReasonNames = {
    "none", "leaving", "unreachable", "missing", "demoted"};
constexpr std::string_view name(ReplaceReason R) {
  return ReplaceReasonNames[static_cast<std::size_t>(R)];
}

/// Why no proxy can use the primary of a revoked record any more.
enum class LeaseEndReason : std::uint8_t {
  /// Some may still use it.
  None,
  /// All have acknowledged.
  Acknowledged,
  /// Enough have, and the permissions of the others began a lease ago.
  Polls,
  /// A lease ago enough had acknowledged.
  Lease,
  /// No permission can last for this long.
  Age,
};
inline constexpr std::array<std::string_view, 5> LeaseEndReasonNames = {
    "no", "acknowledged", "checks", "lease", "age"};
constexpr std::string_view name(LeaseEndReason R) {
  return LeaseEndReasonNames[static_cast<std::size_t>(R)];
}

/// Which proxies may still hold a permission for a revoked primary.
struct RemainingLeases {
  /// They have acknowledged and know whom they answered.
  std::set<std::string_view> FullyAcknowledged;
  /// Others that have checked the store within a lease.
  std::size_t Polled = 0;
  /// Others that were answered within a lease.
  std::size_t RecentlyAnswered = 0;
};

struct PromotionState {
  PromotionOptions Options;
  /// Epoch that the fields below belong to.
  std::uint64_t Epoch = 0;
  ReplaceReason Reason = ReplaceReason::None;
  Instant ReasonSince;
  /// When this proxy first saw the revoked record.
  Instant RevokedAt;
  /// When enough proxies had acknowledged, see revocationQuorum().
  std::optional<Instant> QuorumAt;
  /// When no proxy could use the old primary any more.
  std::optional<Instant> LeasesEndedAt;
  LeaseEndReason LeasesEndedBy = LeaseEndReason::None;
  Instant NextStatus;
  UpstreamId Candidate;
  std::optional<Instant> CalledAt;
  /// A promotion was asked for in this epoch; CalledAt forgets refused ones.
  bool Called = false;
  std::map<UpstreamId, Instant, std::less<>> RefusedAt;
};

struct PromotionInput {
  PrimaryRecord Record;
  /// When this proxy took the duty.
  Instant LockHeldSince;
  /// An earlier holder of the duty may have called a promotion in this epoch.
  bool EarlierCallPossible = true;
  /// The same for any group: tokens must not arrive in the wrong order.
  bool CallOutstanding = true;
  const std::vector<ProxyReport> *Proxies = nullptr;
  /// Start of the call that read Proxies.
  Instant ProxiesReadAt;
  /// Checks of all proxies that ever made one, read by the same call; null if
  /// they were not read.
  const HeartbeatMap *Heartbeats = nullptr;
  /// Registered proxies that have shown lately that they would learn of a
  /// revocation; empty if that is not known.
  std::optional<std::size_t> ReachableProxies;
  /// Registered servers of all groups.
  std::size_t TotalServers = 0;
  /// Registered servers of the group.
  std::vector<ServerEntry> Servers;
  unsigned SyncReplicas = 0;
  /// One proxy of each failure domain runs the statements of all others there,
  /// so that only these few know whether a server can be reached.
  bool UsesOwners = false;
  const std::map<UpstreamId, ServerStatus, std::less<>> *Statuses = nullptr;
};

/// Store the record under the condition that the old one is unchanged.
struct WritePrimaryRecord {
  PrimaryRecord Record;
  ReplaceReason Reason = ReplaceReason::None;
};
/// Ask all servers of the group for their status.
struct QueryStatuses {};
/// Mark a proxy that did not acknowledge as evicted.
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

/// Actions that are due now; called often, and after each result.
std::vector<PromotionAction> step(PromotionState &S, const PromotionInput &In,
                                  Instant Now);

/// The platform refused to promote \p Id.
void promotionRefused(PromotionState &S, const UpstreamId &Id, Instant Now);

/// Why the primary of a stable record should be replaced now.
ReplaceReason replaceReason(const PromotionOptions &Options,
                            const PromotionInput &In);

/// True if the proxy has acknowledged this epoch of the record.
bool acknowledged(const ProxyReport &Proxy, const PrimaryRecord &Record);

RemainingLeases remainingLeases(const PromotionState &S,
                                const PromotionInput &In, Instant Now);

/// Whether, and why, no proxy can use the primary of the revoked record any
/// more.
LeaseEndReason leaseEndReason(PromotionState &S, const PromotionInput &In,
                              Instant Now);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_PROMOTION_H
