/// \file
/// Decides whether a request may be attempted again.

#ifndef EELGRASSLOOM_KERNEL_RETRY_H
#define EELGRASSLOOM_KERNEL_RETRY_H

#include "kernel/time.h"
#include <cstdint>

namespace eelgrassloom {

/// Token bucket that first attempts fill, so that retries stay a fixed share
/// of the load.
struct RetryBudget {
  /// Tokens that a first attempt adds.
  double Share = 0.1;
  /// Most tokens that are kept; also the tokens of a new budget, so that a
  /// proxy with little traffic can retry.
  double Capacity = 10;
  double Tokens = 10;
};

/// Budget for retries of \p Percent of the first attempts; 0 allows none.
RetryBudget makeRetryBudget(unsigned Percent);

void recordFirstAttempt(RetryBudget &B);

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
  /// It never reached a connection.
  NotSent,
  /// The upstream or the owner answered that it did not run.
  NotRun,
  /// No answer: it may have run.
  NoAnswer,
  /// The database answered with a result or an error.
  Answered,
};

struct RetryContext {
  AttemptOutcome Outcome = AttemptOutcome::NoAnswer;
  bool Write = false;
  /// The caller marked the request as non-idempotent.
  bool NonIdempotent = false;
  /// The database records the request id with the effect.
  bool HasRequestId = false;
  /// Step of a transaction that is open on a connection.
  bool InTransaction = false;
  /// Time until the deadline of the request.
  Duration Remaining{0};
  /// Usual time of an attempt.
  Duration ExpectedAttempt{0};
};

enum class RetryDecision : std::uint8_t {
  Retry,
  /// There is an answer to return.
  Final,
  /// Running it again could change the outcome.
  Unsafe,
  /// It could not finish before the deadline.
  NoTime,
  NoBudget,
};

/// Takes a token from the budget if, and only if, the decision is Retry.
RetryDecision mayRetry(RetryBudget &B, const RetryContext &C);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_RETRY_H
