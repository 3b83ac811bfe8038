/// \file
/// Permission to use a primary, and what its log positions prove about the
/// staleness of replicas.

#ifndef EELGRASSLOOM_KERNEL_PRIMARY_H
#define EELGRASSLOOM_KERNEL_PRIMARY_H

#include "kernel/model.h"
#include "kernel/position.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace eelgrassloom {

/// Added by the promoting proxy to the lease, for clocks that run at different
/// rates.
inline constexpr Duration PrimaryLeaseMargin = std::chrono::milliseconds(200);

/// Time after which no permission is left that was given for \p LeaseDuration
/// at its begin.
constexpr Duration leaseWithMargin(Duration LeaseDuration) {
  return LeaseDuration + PrimaryLeaseMargin;
}

/// Permission of one proxy to use the primary of one group. It ends by itself
/// on a clock that counts suspensions of the host.
struct PrimaryLease {
  /// Epoch of the group record that gave the permission.
  std::uint64_t Epoch = 0;
  UpstreamId Primary;
  Instant Until;
};

/// True if the primary may be used at \p Now.
bool valid(const PrimaryLease &G, Instant Now);

/// A position that the primary reported in an exchange that began at At, while
/// its use was permitted: every commit acknowledged before At is contained.
struct PrimaryPosition {
  Instant At;
  Position Committed;
  std::uint64_t Epoch = 0;
};

/// Recent positions of a group's primary, oldest first.
struct PrimaryPositions {
  std::deque<PrimaryPosition> Recent;
};

/// Samples closer together than this are not both kept.
inline constexpr Duration MinSampleInterval = std::chrono::milliseconds(40);
/// Samples older than this are dropped; above every staleness bound in use.
inline constexpr Duration PositionRetention = std::chrono::seconds(10);

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

/// Position that a replica must contain so that it includes the commits of
/// the session that survived: the commit itself, or after a change of the
/// primary the first sample of the new one. Empty if there is none yet.
std::optional<Position> requiredForSession(const PrimaryPositions &P,
                                           const SessionCommit &C,
                                           std::uint64_t Epoch);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_PRIMARY_H
