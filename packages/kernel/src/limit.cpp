#include "kernel/limit.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Smallest factor that one window with contention applies to the limit.
constexpr double MaxDecrease = 0.7;
/// Factor that a refusal because of overload applies to the limit.
constexpr double OverloadDecrease = 0.5;
/// Slots that a window without contention adds.
constexpr double Increase = 0.5;

void setValue(LimitState &S, double Value) {
  S.Value = std::clamp(Value, 1.0, static_cast<double>(S.Slots));
}

void rollMinimum(LatencyWindow &W, Duration Latency, Duration Age,
                 Instant Now) {
  if (W.CurrentMinimum == Duration::max()) {
    W.PeriodStart = Now;
  } else if (Now - W.PeriodStart >= Age) {
    W.PreviousMinimum = W.CurrentMinimum;
    W.CurrentMinimum = Duration::max();
    W.PeriodStart = Now;
  }
  W.CurrentMinimum = std::min(W.CurrentMinimum, Latency);
}

} // namespace detail

LimitState makeLimit(unsigned Slots, const LimitOptions &Options) {
  LimitState S;
  S.Options = Options;
  S.Slots = std::max(1U, Slots);
  S.Value = S.Slots;
  return S;
}

unsigned limit(const LimitState &S) { return static_cast<unsigned>(S.Value); }

void setSlots(LimitState &S, unsigned Slots) {
  bool AtMaximum = S.Value >= S.Slots;
  S.Slots = std::max(1U, Slots);
  detail::setValue(S, AtMaximum ? S.Slots : S.Value);
}

void recordLatency(LimitState &S, Priority P, Duration Latency, Instant Now) {
  LatencyWindow &W = S.Windows[index(P)];
  Latency = std::max(Latency, Duration(1));
  detail::rollMinimum(W, Latency, S.Options.MinimumAge, Now);
  W.WindowMinimum = std::min(W.WindowMinimum, Latency);
  if (++W.Samples < S.Options.WindowSamples)
    return;
  // The fastest statement of a window is compared, because one slow statement
  // says nothing about contention.
  double Minimum = static_cast<double>(
      std::min(W.CurrentMinimum, W.PreviousMinimum).count());
  double Ratio = S.Options.Tolerance * Minimum /
                 static_cast<double>(W.WindowMinimum.count());
  detail::setValue(S, Ratio < 1 ? S.Value * std::max(Ratio, detail::MaxDecrease)
                                : S.Value + detail::Increase);
  W.Samples = 0;
  W.WindowMinimum = Duration::max();
}

void recordOverload(LimitState &S) {
  detail::setValue(S, S.Value * detail::OverloadDecrease);
}

} // namespace eelgrassloom
