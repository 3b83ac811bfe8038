/// \file
/// Suspicion of an upstream and the time to wait for an answer. An unresponsive
/// connection is replaced; only new connections that fail make an upstream
/// suspect.

#ifndef EELGRASSLOOM_KERNEL_HEALTH_H
#define EELGRASSLOOM_KERNEL_HEALTH_H

#include "kernel/model.h"
#include <array>
#include <optional>

namespace eelgrassloom {

struct HealthOptions {
  /// New connections must fail this long before the upstream is suspected.
  Duration Tolerance = std::chrono::milliseconds(800);
  /// Failures within the tolerance that are needed for suspicion.
  unsigned MinFailures = 3;
  /// A longer gap between attempts, as after a pause of this process, starts
  /// the tolerance again. The first failure counts for at most this long.
  Duration MaxAttemptGap = std::chrono::milliseconds(400);
  /// Timeout of a level before its first answer.
  Duration InitialTimeout = std::chrono::milliseconds(200);
  Duration MinTimeout = std::chrono::milliseconds(60);
  Duration MaxTimeout = std::chrono::seconds(5);
  /// Timeout as a multiple of the slowest recent answer.
  double TimeoutFactor = 3;
};

struct PriorityLatency {
  /// Slowest recent answer; decays with every faster one.
  Duration Peak{0};
  /// Timeouts since the last answer; each doubles the next timeout.
  unsigned Timeouts = 0;
};

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

/// Options that fit a tolerance and the interval between probes.
HealthState makeHealth(Duration Tolerance, Duration ProbeInterval);

enum class HealthChange : std::uint8_t { None, Suspected, Recovered };

/// Work for the owner after a connection missed its deadline.
struct ConnectionTimeoutActions {
  /// Close the connection and open a new one.
  bool Replace = false;
  /// Ask every idle connection for its status within ProbeTimeout before it
  /// is used again, because connections often become unresponsive together.
  bool ProbeIdle = false;
  Duration ProbeTimeout{0};
};

/// A connection missed the deadline of an exchange of this level. Never
/// changes the suspicion.
ConnectionTimeoutActions connectionTimedOut(HealthState &S, Priority P);

/// A new connection, dialled at \p StartedAt, opened or failed.
HealthChange connectionOpened(HealthState &S, Instant Now);
HealthChange connectionFailed(HealthState &S, Instant StartedAt, Instant Now);

/// Records a complete answer of the upstream.
void recordAnswer(HealthState &S, Priority P, Duration Latency);

/// Longest useful wait for an answer. \p Repeatable requests leave time for
/// a second attempt before the deadline.
Duration attemptTimeout(const HealthState &S, Priority P, Duration Remaining,
                        bool Repeatable);

/// Forgets failures that were counted before a pause of this process.
void forgetFailures(HealthState &S);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_HEALTH_H
