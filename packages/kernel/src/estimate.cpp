#include "kernel/estimate.h"

namespace eelgrassloom {
namespace detail {

/// Reciprocal weights of a new sample in the mean and in the deviation.
constexpr int MeanGain = 8;
constexpr int DeviationGain = 4;

Duration absolute(Duration D) { return D < Duration::zero() ? -D : D; }

} // namespace detail

void addSample(TimeEstimate &E, Duration Sample) {
  if (E.Mean == Duration::zero()) {
    E.Mean = Sample;
    E.Deviation = Sample / 2;
    return;
  }
  Duration Error = Sample - E.Mean;
  E.Mean += Error / detail::MeanGain;
  E.Deviation +=
      (detail::absolute(Error) - E.Deviation) / detail::DeviationGain;
}

Duration upperEstimate(const TimeEstimate &E) { return E.Mean + E.Deviation; }

} // namespace eelgrassloom
