#include "answers.h"
#include "limits.h"
#include "wirestatus.h"
#include <algorithm>

namespace eelgrassloom::detail {
namespace {

using namespace caller::v1;

/// Retry delay sent to callers when an upstream is not the primary: the
/// earliest useful retry while a group has no primary.
constexpr Duration PrimaryRetry = std::chrono::milliseconds(50);

RunAnswer answer(Outcome O, Reason R, std::string Message) {
  RunAnswer A;
  A.set_outcome(O);
  A.set_reason(R);
  A.set_message(std::move(Message));
  return A;
}

} // namespace

RunAnswer refused(Reason Reason, std::string Message, Duration RetryAfter) {
  RunAnswer A = answer(OUTCOME_REFUSED_NOT_RUN, Reason, std::move(Message));
  if (RetryAfter > Duration::zero())
    A.set_retry_after_ms(static_cast<std::uint32_t>(
        std::clamp<long long>(toMillis(RetryAfter), 1, 60'000)));
  return A;
}

RunAnswer unknown(Reason Reason, std::string Message) {
  return answer(OUTCOME_UNKNOWN, Reason, std::move(Message));
}

RunAnswer failed(Reason Reason, std::string Message) {
  return answer(OUTCOME_FAILED, Reason, std::move(Message));
}

RunAnswer notRun(const TaskResult &R) {
  switch (R.Outcome) {
  case TaskOutcome::QueueFull:
    return refused(REASON_OVERLOADED, "the queue of the upstream is full",
                   R.RetryAfter);
  case TaskOutcome::TooLate:
    return refused(REASON_OVERLOADED,
                   "the expected wait in the queue exceeds the deadline",
                   R.RetryAfter);
  case TaskOutcome::Expired:
    return refused(REASON_DEADLINE,
                   "the deadline passed before the statement was sent",
                   R.RetryAfter);
  case TaskOutcome::NotOwner:
    return refused(REASON_UPSTREAM_UNAVAILABLE,
                   "the proxy does not own the upstream any more");
  case TaskOutcome::Unavailable:
  case TaskOutcome::Exchanged:
    break;
  }
  return refused(REASON_UPSTREAM_UNAVAILABLE,
                 "no connection to the upstream can be opened", R.RetryAfter);
}

RunAnswer answerOf(const UpstreamReply &R) {
  switch (R.Code) {
  case UpstreamCode::Ok: {
    RunAnswer A = answer(OUTCOME_OK, REASON_NONE, R.Message);
    A.set_result(R.Result);
    A.set_recorded(R.Recorded);
    A.set_upstream(R.Status.Id);
    A.set_role(toWire(R.Status.UpstreamRole));
    return A;
  }
  case UpstreamCode::Error:
    return failed(REASON_DATABASE_ERROR, R.Message);
  case UpstreamCode::NotPrimary:
  case UpstreamCode::StaleTerm:
    return refused(REASON_NO_PRIMARY,
                   "the upstream is not the primary of this term",
                   PrimaryRetry);
  case UpstreamCode::Behind:
    return refused(REASON_REPLICA_BEHIND,
                   "the upstream has not applied the session's position");
  case UpstreamCode::TooManyConnections:
    return refused(REASON_UPSTREAM_UNAVAILABLE,
                   "the upstream accepts no more connections");
  case UpstreamCode::IdExpired:
    return unknown(REASON_ID_EXPIRED,
                   "the request id is older than the retention of records");
  case UpstreamCode::NoTransaction:
    return failed(REASON_TRANSACTION_LOST, "the transaction was rolled back");
  case UpstreamCode::PositionLost:
    return refused(REASON_POSITION_LOST,
                   "a write that the session has seen was lost in a failover");
  case UpstreamCode::IdReused:
    return failed(REASON_REQUEST_ID_REUSED,
                  "the request id is recorded for another request");
  case UpstreamCode::TimedOut:
  case UpstreamCode::ConnectionLost:
    break;
  }
  return unknown(REASON_CONNECTION_LOST, R.Code == UpstreamCode::TimedOut
                                             ? "the upstream did not answer"
                                             : "the connection was lost");
}

RunAnswer limitResult(RunAnswer Answer, bool Write) {
  if (Answer.result().size() <= MaxResultBytes)
    return Answer;
  std::string Problem = "the result has " +
                        std::to_string(Answer.result().size()) +
                        " bytes, more than " + std::to_string(MaxResultBytes);
  return Write ? unknown(REASON_TOO_LARGE, "the write ran, but " + Problem)
               : failed(REASON_TOO_LARGE, std::move(Problem));
}

RunAnswer notConfirmed(bool Rejected) {
  return unknown(REASON_NOT_CONFIRMED,
                 Rejected
                     ? "the write ran, but the term of its primary has ended"
                     : "the write ran, but was not confirmed in time");
}

const char *outcomeName(Outcome O) {
  switch (O) {
  case OUTCOME_OK:
    return "ok";
  case OUTCOME_REFUSED_NOT_RUN:
    return "refused";
  case OUTCOME_FAILED:
    return "failed";
  default:
    return "unknown";
  }
}

std::string reasonName(Reason R) { return Reason_Name(R); }

} // namespace eelgrassloom::detail
