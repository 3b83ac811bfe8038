/// \file
/// Lease of a proxy on a primary, and the log positions that the primary
/// reported. From these a proxy derives the position that a replica must
/// contain to serve a read within its staleness bound.

#ifndef EELGRASSLOOM_KERNEL_PRIMARY_H
#define EELGRASSLOOM_KERNEL_PRIMARY_H

#include "kernel/model.h"
#include "kernel/position.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassloom {

/// Margin that the holder of the promotion lock adds to the lease duration,
/// because clocks of hosts run at different rates.
inline constexpr Duration PrimaryLeaseMargin = std::chrono::milliseconds(200);

/// Time after the start of a lease of \p LeaseDuration at which it has ended on
/// every host.
constexpr Duration leaseWithMargin(Duration LeaseDuration) {
  return LeaseDuration + PrimaryLeaseMargin;
}

/// Time-limited right of one proxy to use the primary of one group. It expires
/// on a clock that also advances while the host is suspended.
struct PrimaryLease {
  /// Epoch of the primary record that the lease is based on.
  std::uint64_t Epoch = 0;
  UpstreamId Primary;
  Instant Until;
};

/// True if the primary may be used at \p Now.
bool valid(const PrimaryLease &Lease, Instant Now);

/// A position that the primary reported in an exchange that began at At, while
/// the proxy held a lease. It contains every commit acknowledged before At.
struct PrimaryPosition {
  Instant At;
  Position Committed;
  std::uint64_t Epoch = 0;
};

/// Recent positions of a group's primary, oldest first.
struct PrimaryPositions {
  std::deque<PrimaryPosition> Recent;
};

/// A sample that follows the last one sooner than this is not kept.
inline constexpr Duration MinSampleInterval = std::chrono::milliseconds(40);
/// Samples older than this are dropped. The time exceeds every staleness bound
/// in use.
inline constexpr Duration PositionRetention = std::chrono::seconds(10);

/// Adds a sample and drops old ones. Ignores a sample of an older epoch, and
/// one that does not follow the last sample of its epoch by MinSampleInterval.
void addPosition(PrimaryPositions &P, const PrimaryPosition &Sample);

/// Position that a replica must contain to serve a read that began at
/// \p ReadStart with staleness bound \p Bound; empty if no sample is recent
/// enough.
std::optional<Position> requiredPosition(const PrimaryPositions &P,
                                         Instant ReadStart, Duration Bound);

/// Last commit of a session and the epoch in which it was acknowledged.
struct SessionCommit {
  Position Committed;
  std::uint64_t Epoch = 0;
};

/// The last commits of a session, by the service that ran them. Each service
/// has a log of its own, so a position says nothing about another service.
using SessionCommits = std::map<std::string, SessionCommit, std::less<>>;

/// The last commit at the service; none if the session has not written there.
SessionCommit lastCommitAt(const SessionCommits &Commits,
                           std::string_view Service);

/// Position that a replica must contain to include the surviving commits of a
/// session: the last commit itself or, after a promotion, the first sample of
/// the new primary. Empty if there is no such sample yet.
std::optional<Position> requiredForSession(const PrimaryPositions &P,
                                           const SessionCommit &C,
                                           std::uint64_t Epoch);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_PRIMARY_H
