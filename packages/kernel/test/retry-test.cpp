#include "kernel/retry.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

RetryQuestion question(AttemptEnd End, bool Write) {
  RetryQuestion Q;
  Q.End = End;
  Q.Write = Write;
  Q.Remaining = 100ms;
  Q.ExpectedAttempt = 10ms;
  return Q;
}

RetryDecision ask(const RetryQuestion &Q) {
  RetryBudget B = makeRetryBudget(10);
  return mayRetry(B, Q);
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
      } else if (mayRetry(B, question(AttemptEnd::NotRun, false)) ==
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
    RetryQuestion Q =
        question(*rc::gen::element(AttemptEnd::NotSent, AttemptEnd::NotRun,
                                   AttemptEnd::NoAnswer, AttemptEnd::Answered),
                 true);
    Q.NonIdempotent = true;
    Q.HasRequestId = *rc::gen::arbitrary<bool>();
    Q.InTransaction = *rc::gen::arbitrary<bool>();
    RC_ASSERT((ask(Q) == RetryDecision::Retry) ==
              (Q.End == AttemptEnd::NotSent));
  }));
}

// Guards against a repeated write that undoes a later one.
TEST_CASE("a write without an answer needs a request id") {
  RetryQuestion Q = question(AttemptEnd::NoAnswer, true);
  CHECK(ask(Q) == RetryDecision::Unsafe);
  Q.HasRequestId = true;
  CHECK(ask(Q) == RetryDecision::Retry);
  CHECK(ask(question(AttemptEnd::NotRun, true)) == RetryDecision::Retry);
  CHECK(ask(question(AttemptEnd::NoAnswer, false)) == RetryDecision::Retry);
}

// Guards against a transaction step that runs on another connection, an
// answer that is replaced by a second run, and attempts that can't finish.
TEST_CASE("transactions, answers and deadlines end the attempts") {
  RetryQuestion Q = question(AttemptEnd::NotRun, false);
  Q.InTransaction = true;
  CHECK(ask(Q) == RetryDecision::Unsafe);
  CHECK(ask(question(AttemptEnd::Answered, false)) == RetryDecision::Final);
  Q.InTransaction = false;
  Q.Remaining = Q.ExpectedAttempt;
  CHECK(ask(Q) == RetryDecision::NoTime);
  RetryBudget None = makeRetryBudget(0);
  CHECK(mayRetry(None, question(AttemptEnd::NotRun, false)) ==
        RetryDecision::NoBudget);
}
