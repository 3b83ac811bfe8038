/// \file
/// Failure suspicion of an upstream and the timeout of an attempt. An
/// unresponsive connection is only replaced; an upstream is suspected when new
/// connections to it fail.

#ifndef EELGRASSLOOM_KERNEL_HEALTH_H
#define EELGRASSLOOM_KERNEL_HEALTH_H

#include "kernel/model.h"
#include <array>
#include <optional>

namespace eelgrassloom {

struct HealthOptions {
  /// Time for which new connections must fail before the upstream is suspected.
  Duration Tolerance = std::chrono::milliseconds(800);
  /// Minimum number of failures before the upstream is suspected.
  unsigned MinFailures = 3;
  /// A longer gap between attempts, as after a pause of this process, restarts
  /// the tolerance. For the same reason a failed attempt counts as started at
  /// most this long before it failed.
  Duration MaxAttemptGap = std::chrono::milliseconds(400);
  /// Timeout of a priority before its first answer.
  Duration InitialTimeout = std::chrono::milliseconds(200);
  Duration MinTimeout = std::chrono::milliseconds(60);
  Duration MaxTimeout = std::chrono::seconds(5);
  /// Timeout as a multiple of the slowest recent answer.
  double TimeoutFactor = 3;
};

/// Measured latency of one priority.
struct PriorityLatency {
  /// Slowest recent answer; decays with every faster one.
  Duration Peak{0};
  /// Timeouts since the last answer; each doubles the next timeout.
  unsigned Timeouts = 0;
};

/// State of one upstream.
struct HealthState {
  HealthOptions Options;
  bool Suspected = false;
  /// Start of the first failed attempt since one succeeded.
  std::optional<Instant> FailingSince;
  Instant LastFailure;
  Instant LastOpened;
  unsigned Failures = 0;
  std::array<PriorityLatency, PriorityCount> Latencies;
};

/// A state whose options fit a tolerance and the interval between probes.
HealthState makeHealth(Duration Tolerance, Duration ProbeInterval);

enum class HealthChange : std::uint8_t { None, Suspected, Recovered };

/// Actions of the owner after a connection missed a deadline.
struct ConnectionTimeoutActions {
  /// Close the connection and open a new one.
  bool Replace = false;
  /// Query the status on every idle connection before it is used again, with
  /// ProbeTimeout, because connections often become unresponsive together.
  bool ProbeIdle = false;
  Duration ProbeTimeout{0};
};

/// Records that a connection missed the deadline of an exchange of this
/// priority. Never changes the suspicion.
ConnectionTimeoutActions connectionTimedOut(HealthState &S, Priority P);

/// Records that a new connection opened, which ends a suspicion.
HealthChange connectionOpened(HealthState &S, Instant Now);

/// Records that a new connection, dialled at \p StartedAt, failed to open.
HealthChange connectionFailed(HealthState &S, Instant StartedAt, Instant Now);

/// Records a complete answer of the upstream.
void recordAnswer(HealthState &S, Priority P, Duration Latency);

/// Timeout of an attempt with \p Remaining time until its deadline. A request
/// that is \p Repeatable leaves half of that time for a second attempt.
Duration attemptTimeout(const HealthState &S, Priority P, Duration Remaining,
                        bool Repeatable);

/// Forgets failures that were counted before a pause of this process.
void forgetFailures(HealthState &S);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_HEALTH_H
