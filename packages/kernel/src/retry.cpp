#include "kernel/retry.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

bool safeToRepeat(const RetryContext &C) {
  if (C.Outcome == AttemptOutcome::NotSent)
    return true;
  // The other steps of the transaction ran on the connection of this attempt. A
  // non-idempotent request must be sent at most once.
  if (C.InTransaction || (C.Write && C.NonIdempotent))
    return false;
  if (C.Outcome == AttemptOutcome::NotRun ||
      C.Outcome == AttemptOutcome::NotOwner || !C.Write)
    return true;
  // A repeated idempotent write could undo a later write of another session,
  // unless the database recognises the request id.
  return C.HasRequestId;
}

/// Only another attempt can tell whether the write ran, and looking for the
/// owner of its upstream adds no load to an upstream.
bool needsNoToken(const RetryContext &C) {
  bool ReachedNoUpstream = C.Outcome == AttemptOutcome::NotSent ||
                           C.Outcome == AttemptOutcome::NotOwner;
  return C.MayHaveRun && ReachedNoUpstream;
}

} // namespace detail

RetryBudget makeRetryBudget(unsigned Percent) {
  RetryBudget B;
  B.Share = Percent / 100.0;
  if (Percent == 0)
    B.Capacity = 0;
  B.Tokens = B.Capacity;
  return B;
}

void recordFirstAttempt(RetryBudget &B) {
  B.Tokens = std::min(B.Capacity, B.Tokens + B.Share);
}

RetryDecision mayRetry(RetryBudget &B, const RetryContext &C) {
  if (C.Outcome == AttemptOutcome::Answered)
    return RetryDecision::Final;
  if (!detail::safeToRepeat(C))
    return RetryDecision::Unsafe;
  if (C.Remaining <= C.ExpectedAttempt)
    return RetryDecision::NoTime;
  if (detail::needsNoToken(C))
    return RetryDecision::Retry;
  if (B.Tokens < 1)
    return RetryDecision::NoBudget;
  B.Tokens -= 1;
  return RetryDecision::Retry;
}

} // namespace eelgrassloom
