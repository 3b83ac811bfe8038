/// \file
/// Bounds the time of changes in a store that counts revisions but keeps no
/// times. Failure pattern: the holder of the promotion lock is lost together
/// with primaries. Its successor reads heartbeats that it has not seen before,
/// and must know since when they are unchanged. If it counted from its first
/// read, each such promotion would wait for one more lease duration.

#ifndef EELGRASSLOOM_KERNEL_REVISIONTIMES_H
#define EELGRASSLOOM_KERNEL_REVISIONTIMES_H

#include "kernel/time.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace eelgrassloom {

/// Revisions that the store had reached, and when answers with them arrived.
struct RevisionTimes {
  struct Sample {
    std::uint64_t Revision = 0;
    Instant At;
  };
  /// Both members rise from each sample to the next.
  std::deque<Sample> Samples;
};

/// Samples older than this are dropped; they are older than every lease.
inline constexpr Duration RevisionRetention = std::chrono::seconds(5);

/// Records that an answer with this revision arrived at \p Now. Revisions that
/// are not above the last one add nothing.
void addRevision(RevisionTimes &Times, std::uint64_t Revision, Instant Now);

/// A time by which the change with this revision had been made; empty if the
/// store is not known to have reached it.
std::optional<Instant> madeBy(const RevisionTimes &Times,
                              std::uint64_t Revision);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_REVISIONTIMES_H
