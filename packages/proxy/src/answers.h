/// \file
/// Answers to callers.

#ifndef EELGRASSLOOM_PROXY_ANSWERS_H
#define EELGRASSLOOM_PROXY_ANSWERS_H

#include "caller.pb.h"
#include "kernel/time.h"
#include "peer.pb.h"
#include "proxy/upstream.h"
#include "upstreampool.h"

namespace eelgrassloom::detail {

caller::v1::RunAnswer refused(caller::v1::Reason Reason, std::string Message,
                              Duration RetryAfter = Duration::zero());
caller::v1::RunAnswer unknown(caller::v1::Reason Reason, std::string Message);
caller::v1::RunAnswer failed(caller::v1::Reason Reason, std::string Message);

/// Answer for work that did not reach the upstream.
caller::v1::RunAnswer notRun(const TaskResult &R);
/// Answer for an exchange outside transactions, before any confirmation.
caller::v1::RunAnswer answerOf(const UpstreamReply &R);
/// Answer for a write that was not confirmed.
caller::v1::RunAnswer notConfirmed(bool Rejected);

/// Label of a metric.
const char *outcomeName(caller::v1::Outcome O);
std::string reasonName(caller::v1::Reason R);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_ANSWERS_H
