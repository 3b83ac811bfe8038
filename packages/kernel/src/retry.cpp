#include "kernel/retry.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

bool safeToRepeat(const RetryQuestion &Q) {
  if (Q.End == AttemptEnd::NotSent)
    return true;
  // The other steps of the transaction ran on the connection of this attempt,
  // and a non-idempotent request is sent at most once.
  if (Q.InTransaction || (Q.Write && Q.NonIdempotent))
    return false;
  if (Q.End == AttemptEnd::NotRun || !Q.Write)
    return true;
  // A repeated idempotent write could undo a later write of another session,
  // unless the database recognises the request id.
  return Q.HasRequestId;
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

RetryDecision mayRetry(RetryBudget &B, const RetryQuestion &Q) {
  if (Q.End == AttemptEnd::Answered)
    return RetryDecision::Final;
  if (!detail::safeToRepeat(Q))
    return RetryDecision::Unsafe;
  if (Q.Remaining <= Q.ExpectedAttempt)
    return RetryDecision::NoTime;
  if (B.Tokens < 1)
    return RetryDecision::NoBudget;
  B.Tokens -= 1;
  return RetryDecision::Retry;
}

} // namespace eelgrassloom
