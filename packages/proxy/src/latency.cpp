#include "latency.h"
#include <algorithm>

namespace eelgrassloom::detail {
namespace {

using std::chrono::milliseconds;

/// Weight of a new sample in the moving average: 1/8.
constexpr int SampleWeight = 8;
// An upstream must serve fully again within 1 s after most of its connections
// became unresponsive. The longest chain is a write timeout followed by a new
// connection.
constexpr Duration MinReadTimeout = milliseconds(100);
constexpr Duration MaxReadTimeout = milliseconds(400);
constexpr Duration MinWriteTimeout = milliseconds(300);
constexpr Duration MaxWriteTimeout = milliseconds(700);
constexpr int ReadFactor = 8;
constexpr int WriteFactor = 20;

} // namespace

void recordAnswer(LatencyEstimate &E, Duration Latency) {
  if (E.Average == Duration::zero())
    E.Average = Latency;
  else
    E.Average += (Latency - E.Average) / SampleWeight;
}

void recordTimeout(LatencyEstimate &E, Duration Timeout) {
  E.Average += (Timeout - E.Average) / SampleWeight;
}

Duration readTimeout(const LatencyEstimate &E) {
  return std::clamp(E.Average * ReadFactor, MinReadTimeout, MaxReadTimeout);
}

Duration writeTimeout(const LatencyEstimate &E) {
  return std::clamp(E.Average * WriteFactor, MinWriteTimeout, MaxWriteTimeout);
}

} // namespace eelgrassloom::detail
