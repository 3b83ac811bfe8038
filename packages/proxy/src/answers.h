/// \file
/// Builds the answers to callers from the results of statements.

#ifndef EELGRASSLOOM_PROXY_ANSWERS_H
#define EELGRASSLOOM_PROXY_ANSWERS_H

#include "caller.pb.h"
#include "kernel/time.h"
#include "peer.pb.h"
#include "proxy/upstream.h"
#include "upstreampool.h"

namespace eelgrassloom::detail {

/// The request did not run. A positive \p RetryAfter is sent to the caller,
/// limited to 1 ms to 60 s.
caller::v1::RunAnswer refused(caller::v1::Reason Reason, std::string Message,
                              Duration RetryAfter = Duration::zero());
/// The request may have run.
caller::v1::RunAnswer unknown(caller::v1::Reason Reason, std::string Message);
/// The request ran and failed without a change, or its transaction is lost.
caller::v1::RunAnswer failed(caller::v1::Reason Reason, std::string Message);

/// Answer for a task that was not sent to the upstream.
caller::v1::RunAnswer notRun(const TaskResult &R);
/// Answer for an exchange outside transactions, before any confirmation.
caller::v1::RunAnswer answerOf(const UpstreamReply &R);
/// Replaces an answer whose result the caller may not be able to receive.
/// \p Write: the statement has changed something.
caller::v1::RunAnswer limitResult(caller::v1::RunAnswer Answer, bool Write);
/// Answer for a write that ran but was not confirmed. \p Rejected: its term has
/// ended; otherwise the confirmations did not arrive in time.
caller::v1::RunAnswer notConfirmed(bool Rejected);

/// Value of the outcome label of metrics.
const char *outcomeName(caller::v1::Outcome O);
std::string reasonName(caller::v1::Reason R);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_ANSWERS_H
