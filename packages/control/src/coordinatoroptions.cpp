#include "control/coordinatoroptions.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Polls per configuration apply time, so that one poll may be lost and
/// repeated within it.
constexpr int PollsPerApplyTime = 3;
/// Upper limit of the poll interval. A longer interval makes promotions slower,
/// because primary leases get longer with it and a promotion waits until those
/// of partitioned proxies have expired.
constexpr Duration MaxPollInterval = std::chrono::milliseconds(500);
/// Added to two poll intervals, so that one slow answer does not end a primary
/// lease.
constexpr Duration LeaseSlack = std::chrono::milliseconds(200);

} // namespace detail

CoordinatorOptions coordinatorOptions(Duration ConfigApplyTime) {
  CoordinatorOptions O;
  O.PollInterval = std::min<Duration>(
      ConfigApplyTime / detail::PollsPerApplyTime, detail::MaxPollInterval);
  O.LeaseDuration = 2 * O.PollInterval + detail::LeaseSlack;
  return O;
}

} // namespace eelgrassloom
