#include "kernel/health.h"
#include <algorithm>
#include <cmath>

namespace eelgrassloom {
namespace detail {

/// Fraction by which a faster answer lowers the peak; 140 answers halve it.
constexpr double PeakDecay = 0.005;
/// Maximum number of doublings. Starting from InitialTimeout, so many already
/// exceed MaxTimeout.
constexpr unsigned MaxDoublings = 5;

/// Timeout from the measured latency and the recent timeouts of a priority.
Duration measuredTimeout(const HealthState &S, Priority P) {
  const PriorityLatency &L = S.Latencies[index(P)];
  Duration Base = S.Options.InitialTimeout;
  if (L.Peak > Duration::zero())
    Base = Duration(std::llround(static_cast<double>(L.Peak.count()) *
                                 S.Options.TimeoutFactor));
  Base = std::max(Base, S.Options.MinTimeout) *
         (1U << std::min(L.Timeouts, MaxDoublings));
  return std::min(Base, S.Options.MaxTimeout);
}

} // namespace detail

HealthState makeHealth(Duration Tolerance, Duration ProbeInterval) {
  HealthState S;
  S.Options.Tolerance = Tolerance;
  S.Options.MaxAttemptGap = std::max(Tolerance / 2, 3 * ProbeInterval);
  return S;
}

ConnectionTimeoutActions connectionTimedOut(HealthState &S, Priority P) {
  ++S.Latencies[index(P)].Timeouts;
  return {true, true, S.Options.MinTimeout};
}

HealthChange connectionOpened(HealthState &S, Instant Now) {
  S.LastOpened = Now;
  forgetFailures(S);
  if (!S.Suspected)
    return HealthChange::None;
  S.Suspected = false;
  return HealthChange::Recovered;
}

HealthChange connectionFailed(HealthState &S, Instant StartedAt, Instant Now) {
  // A slow attempt may have started before the last connection opened; only the
  // time since then counts.
  StartedAt =
      std::max({StartedAt, S.LastOpened, Now - S.Options.MaxAttemptGap});
  if (!S.FailingSince || StartedAt - S.LastFailure > S.Options.MaxAttemptGap) {
    S.FailingSince = StartedAt;
    S.Failures = 0;
  }
  S.LastFailure = Now;
  ++S.Failures;
  if (S.Suspected || S.Failures < S.Options.MinFailures ||
      Now - *S.FailingSince < S.Options.Tolerance)
    return HealthChange::None;
  S.Suspected = true;
  return HealthChange::Suspected;
}

void recordAnswer(HealthState &S, Priority P, Duration Latency) {
  PriorityLatency &L = S.Latencies[index(P)];
  L.Timeouts = 0;
  Duration Decayed(std::llround(static_cast<double>(L.Peak.count()) *
                                (1 - detail::PeakDecay)));
  L.Peak = std::max(Decayed, Latency);
}

Duration attemptTimeout(const HealthState &S, Priority P, Duration Remaining,
                        bool Repeatable) {
  Duration Timeout = detail::measuredTimeout(S, P);
  return std::min(Timeout, Repeatable ? Remaining / 2 : Remaining);
}

void forgetFailures(HealthState &S) {
  S.FailingSince.reset();
  S.Failures = 0;
}

} // namespace eelgrassloom
