#include "kernel/retry.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

RetryContext context(AttemptOutcome End, bool Write) {
  RetryContext C;
  C.Outcome = End;
  C.Write = Write;
  C.Remaining = 100ms;
  C.ExpectedAttempt = 10ms;
  return C;
}

RetryDecision decide(const RetryContext &C) {
  RetryBudget B = makeRetryBudget(10);
  return mayRetry(B, C);
}

} // namespace

// Guards against retries that amplify an overload.
TEST_CASE("retries stay within the share of first attempts") {
  CHECK(rc::check([] {
    auto Percent = *rc::gen::inRange(0U, 101U);
    RetryBudget B = makeRetryBudget(Percent);
    double Allowed = B.Capacity;
    double Retries = 0;
    for (bool First : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (First) {
        recordFirstAttempt(B);
        Allowed += Percent / 100.0;
      } else if (mayRetry(B, context(AttemptOutcome::NotRun, false)) ==
                 RetryDecision::Retry) {
        ++Retries;
      }
      RC_ASSERT(Retries <= Allowed + 1e-6);
    }
    if (Percent == 0)
      RC_ASSERT(Retries == 0.0);
  }));
}

// Guards against a non-idempotent request that is sent twice.
TEST_CASE("a non-idempotent write is repeated only if it was never sent") {
  CHECK(rc::check([] {
    RetryContext C = context(
        *rc::gen::element(AttemptOutcome::NotSent, AttemptOutcome::NotOwner,
                          AttemptOutcome::NotRun, AttemptOutcome::NoAnswer,
                          AttemptOutcome::Answered),
        true);
    C.NonIdempotent = true;
    C.HasRequestId = *rc::gen::arbitrary<bool>();
    C.InTransaction = *rc::gen::arbitrary<bool>();
    RC_ASSERT((decide(C) == RetryDecision::Retry) ==
              (C.Outcome == AttemptOutcome::NotSent));
  }));
}

// Guards against a repeated write that undoes a later write.
TEST_CASE("a write without an answer needs a request id") {
  RetryContext C = context(AttemptOutcome::NoAnswer, true);
  CHECK(decide(C) == RetryDecision::Unsafe);
  C.HasRequestId = true;
  CHECK(decide(C) == RetryDecision::Retry);
  CHECK(decide(context(AttemptOutcome::NotRun, true)) == RetryDecision::Retry);
  CHECK(decide(context(AttemptOutcome::NoAnswer, false)) ==
        RetryDecision::Retry);
}

// Guards against a transaction step that runs on another connection, an
// answer that is replaced by a second run, and attempts that can't finish.
TEST_CASE("transactions, answers and deadlines end the attempts") {
  RetryContext C = context(AttemptOutcome::NotRun, false);
  C.InTransaction = true;
  CHECK(decide(C) == RetryDecision::Unsafe);
  CHECK(decide(context(AttemptOutcome::Answered, false)) ==
        RetryDecision::Final);
  C.InTransaction = false;
  C.Remaining = C.ExpectedAttempt;
  CHECK(decide(C) == RetryDecision::NoTime);
  RetryBudget None = makeRetryBudget(0);
  CHECK(mayRetry(None, context(AttemptOutcome::NotRun, false)) ==
        RetryDecision::NoBudget);
}

// Guards against a write that is answered as unknown because asking for the
// owner of its upstream used up the budget, and against an empty budget that
// lets other requests ask on.
TEST_CASE("a write that may have run asks for an owner without the budget") {
  RetryBudget Empty = makeRetryBudget(0);
  for (auto End : {AttemptOutcome::NotSent, AttemptOutcome::NotOwner}) {
    RetryContext C = context(End, true);
    CHECK(mayRetry(Empty, C) == RetryDecision::NoBudget);
    C.MayHaveRun = true;
    CHECK(mayRetry(Empty, C) == RetryDecision::Retry);
    C.Remaining = C.ExpectedAttempt;
    CHECK(mayRetry(Empty, C) == RetryDecision::NoTime);
  }
  RetryContext Sent = context(AttemptOutcome::NotRun, true);
  Sent.MayHaveRun = true;
  CHECK(mayRetry(Empty, Sent) == RetryDecision::NoBudget);
}
