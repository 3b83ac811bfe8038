/// \file
/// Choice of the upstream that runs a statement.

#ifndef EELGRASSLOOM_KERNEL_ROUTING_H
#define EELGRASSLOOM_KERNEL_ROUTING_H

#include "kernel/model.h"
#include "kernel/position.h"
#include <vector>

namespace eelgrassloom {

/// What a proxy knows about an upstream when it routes.
struct UpstreamSnapshot {
  UpstreamId Id;
  std::string FailureDomain;
  Role UpstreamRole = Role::Unknown;
  Position Applied;
  /// For the primary, the newer of its own line and that of the group record.
  TermHistory History;
  /// When the exchange that reported Applied was sent; the time of the answer
  /// would understate the staleness.
  Instant ObservedAt;
  /// Upper bound of the staleness at ObservedAt; the bound grows with time.
  Duration Staleness = Duration::max();
  /// Usual delay between a commit on the primary and its replay here.
  Duration Lag{0};
  /// Expected wait in the queue of the owner, by priority.
  std::array<Duration, PriorityCount> QueueWait{};
  bool Suspected = false;
  bool Leaving = false;
};

struct RouteRequest {
  Priority WorkPriority = Priority::Normal;
  bool Write = false;
  /// Position the session has seen.
  Position SessionPosition;
  /// Zero: only the primary may answer.
  Duration StalenessBound{0};
  Duration Remaining{0};
  std::string LocalFailureDomain;
};

enum class RouteKind : std::uint8_t {
  /// Send to the chosen upstream.
  Send,
  /// No upstream can run it now.
  NoUpstream,
  /// The position seen by the session was lost in a failover.
  PositionLost,
};

struct Route {
  RouteKind Kind = RouteKind::NoUpstream;
  UpstreamId Target;
  /// How long the upstream may wait to apply the position seen.
  Duration Wait{0};
};

struct RoutingOptions {
  /// Longest wait for a replica before the primary is preferred.
  Duration MaxReplicaWait = std::chrono::milliseconds(20);
  /// A read goes to the primary if the best replica is expected to answer
  /// later by more than this.
  Duration PrimarySpillover = std::chrono::milliseconds(50);
  /// One-way delay between failure domains.
  Duration CrossDomainDelay = std::chrono::microseconds(1500);
};

/// Plug-in: a routing policy.
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
