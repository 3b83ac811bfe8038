/// \file
/// Recognises an operation that a caller sends again after a refusal. Load
/// pattern: a burst of one kind of work beyond the capacity of the servers.
/// Callers of refused statements come back within a fraction of a second, some
/// of them too late for their latency objective. If they counted as new, they
/// would take the place of statements that can still be answered in time, and
/// most answers would be late long after the burst.

#ifndef EELGRASSLOOM_KERNEL_RESEND_H
#define EELGRASSLOOM_KERNEL_RESEND_H

#include "kernel/time.h"
#include <optional>

namespace eelgrassloom {

/// The last operation of a session, if it was refused.
struct RefusedOperation {
  /// Arrival of its first try.
  Instant FirstTry;
  Instant RefusedAt;
};

/// An operation that begins within this time after a refusal in the same
/// session is the refused one, sent again.
inline constexpr Duration ResendWindow = std::chrono::milliseconds(400);

/// Arrival of the first try of an operation that has arrived at \p Arrived.
Instant firstTry(const std::optional<RefusedOperation> &Last, Instant Arrived);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_RESEND_H
