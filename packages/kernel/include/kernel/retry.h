/// \file
/// Decides whether a request may be retried.

#ifndef EELGRASSLOOM_KERNEL_RETRY_H
#define EELGRASSLOOM_KERNEL_RETRY_H

#include "kernel/time.h"
#include <cstdint>

namespace eelgrassloom {

/// Token bucket that limits retries to a fixed share of the load: first
/// attempts add tokens, and each retry takes one.
struct RetryBudget {
  /// Tokens that a first attempt adds.
  double Share = 0.1;
  /// Maximum number of tokens. A new budget starts with as many, so that a
  /// proxy with little traffic can retry.
  double Capacity = 10;
  double Tokens = 10;
};

/// Budget for retries of \p Percent of the first attempts; 0 allows none.
RetryBudget makeRetryBudget(unsigned Percent);

void recordFirstAttempt(RetryBudget &B);

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
  /// The request was never written to a connection.
  NotSent,
  /// The proxy that was asked does not own the upstream, so it sent nothing.
  NotOwner,
  /// The upstream or the owner answered that the request did not run.
  NotRun,
  /// There was no answer, so the request may have run.
  NoAnswer,
  /// The database answered with a result or an error.
  Answered,
};

/// What the decision depends on.
struct RetryContext {
  AttemptOutcome Outcome = AttemptOutcome::NoAnswer;
  bool Write = false;
  /// The caller marked the request as non-idempotent.
  bool NonIdempotent = false;
  /// The database records the request id with the effect.
  bool HasRequestId = false;
  /// The request is a step of a transaction that is open on a connection.
  bool InTransaction = false;
  /// Time until the deadline of the request.
  Duration Remaining{0};
  /// Expected time of an attempt.
  Duration ExpectedAttempt{0};
  /// An earlier attempt of the write may have run.
  bool MayHaveRun = false;
};

/// Whether to retry, or why not.
enum class RetryDecision : std::uint8_t {
  Retry,
  /// There is an answer to return.
  Final,
  /// Running the request again could change the outcome.
  Unsafe,
  /// Another attempt could not finish before the deadline.
  NoTime,
  /// The retry budget is empty.
  NoBudget,
};

/// Decides whether to retry. A retry takes a token from the budget, except that
/// of a write that may have run, after an attempt that reached no upstream.
RetryDecision mayRetry(RetryBudget &B, const RetryContext &C);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_RETRY_H
