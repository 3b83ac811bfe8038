/// \file
/// Chooses the upstream that runs a statement.

#ifndef EELGRASSLOOM_KERNEL_ROUTING_H
#define EELGRASSLOOM_KERNEL_ROUTING_H

#include "kernel/model.h"
#include "kernel/position.h"
#include <vector>

namespace eelgrassloom {

/// What a proxy knows about an upstream when it routes a statement.
struct UpstreamSnapshot {
  UpstreamId Id;
  std::string FailureDomain;
  Role UpstreamRole = Role::Unknown;
  Position Applied;
  /// Term history of the log; for the primary, the newer of its own history and
  /// that of the primary record.
  TermHistory History;
  /// When the status query that returned Applied was sent. The time of the
  /// answer would understate the staleness.
  Instant ObservedAt;
  /// Upper bound of the staleness at ObservedAt. It grows by the time since.
  Duration Staleness = Duration::max();
  /// Typical delay between a commit on the primary and its replay here.
  Duration Lag{0};
  /// Expected wait in the queue of the owner, by priority.
  std::array<Duration, PriorityCount> QueueWait{};
  bool Suspected = false;
  bool Leaving = false;
};

/// A statement to route.
struct RouteRequest {
  Priority WorkPriority = Priority::Normal;
  bool Write = false;
  /// Latest position that the session has observed.
  Position SessionPosition;
  /// If zero, only the primary may answer.
  Duration StalenessBound{0};
  /// Time until the deadline.
  Duration Remaining{0};
  std::string LocalFailureDomain;
};

enum class RouteKind : std::uint8_t {
  /// The statement is sent to the chosen upstream.
  Send,
  /// No upstream can run the statement now.
  NoUpstream,
  /// The position that the session has observed was lost in a failover.
  PositionLost,
};

/// Result of routing.
struct Route {
  RouteKind Kind = RouteKind::NoUpstream;
  UpstreamId Target;
  /// Maximum time that the upstream waits until it has applied the position of
  /// the session.
  Duration Wait{0};
};

struct RoutingOptions {
  /// Maximum wait for a replica to catch up; beyond it the primary is used.
  Duration MaxReplicaWait = std::chrono::milliseconds(20);
  /// A read goes to the primary if the best replica is expected to answer later
  /// than the primary by more than this.
  Duration PrimarySpillover = std::chrono::milliseconds(50);
  /// One-way delay between failure domains.
  Duration CrossDomainDelay = std::chrono::microseconds(1500);
};

/// Interface of a routing policy, a plug-in in Registry<RoutingPolicy>.
struct RoutingPolicy {
  /// \p Excluded are upstreams that this request has already tried.
  Route (*Choose)(const RouteRequest &Request,
                  const std::vector<UpstreamSnapshot> &Upstreams,
                  const std::vector<UpstreamId> &Excluded, Instant Now,
                  const RoutingOptions &Options);
};

/// True if the answer of an upstream satisfies the request.
bool satisfies(const RouteRequest &Request, const TermHistory &History,
               Position Applied, Duration Staleness);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_ROUTING_H
