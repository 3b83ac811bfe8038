/// \file
/// Timeouts of single exchanges, derived from measured latency.

#ifndef EELGRASSLOOM_PROXY_LATENCY_H
#define EELGRASSLOOM_PROXY_LATENCY_H

#include "kernel/time.h"

namespace eelgrassloom::detail {

/// Moving average of the time between request and answer.
struct LatencyEstimate {
  Duration Average{0};
};

void recordAnswer(LatencyEstimate &E, Duration Latency);
/// The timeout was too short for the upstream, or the connection is
/// unresponsive; the average moves towards the timeout in case of the former.
void recordTimeout(LatencyEstimate &E, Duration Timeout);

/// Time to wait for the answer of a read, which can be repeated.
Duration readTimeout(const LatencyEstimate &E);
/// Time to wait for the answer of a write, which becomes unknown.
Duration writeTimeout(const LatencyEstimate &E);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_LATENCY_H
