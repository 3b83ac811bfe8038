#include "kernel/fairshare.h"
#include <cmath>

namespace eelgrassloom {
namespace detail {

/// Time constant of the decay of used server time.
constexpr Duration UseTimeConstant = std::chrono::seconds(1);
/// Customers with less recent server time, in seconds, are forgotten.
constexpr double MinServerTime = 1e-4;
/// A customer is above its share beyond this multiple of it. Customers at the
/// same load differ by rounding and must not be separated by it.
constexpr double ShareTolerance = 1.001;

double secondsAt(const ServerTimeUse::Sum &Sum, Instant Now) {
  double Age = std::chrono::duration<double>(Now - Sum.At).count();
  double Constant = std::chrono::duration<double>(UseTimeConstant).count();
  return Sum.Seconds * std::exp(-Age / Constant);
}

} // namespace detail

void recordServerTime(ServerTimeUse &Use, const CustomerId &Customer,
                      Duration Took, Instant Now) {
  auto [It, Added] = Use.ByCustomer.try_emplace(Customer);
  ServerTimeUse::Sum &Sum = It->second;
  Sum = {detail::secondsAt(Sum, Now) +
             std::chrono::duration<double>(Took).count(),
         Now};
  if (Added)
    std::erase_if(Use.ByCustomer, [&](const auto &Entry) {
      return Entry.second.At != Now &&
             detail::secondsAt(Entry.second, Now) < detail::MinServerTime;
    });
}

double recentServerTime(const ServerTimeUse &Use, std::string_view Customer,
                        Instant Now) {
  auto It = Use.ByCustomer.find(Customer);
  return It == Use.ByCustomer.end() ? 0 : detail::secondsAt(It->second, Now);
}

CustomerSet customersAboveShare(const ServerTimeUse &Use,
                                const WaitingByCustomer &Waiting, Instant Now) {
  CustomerSet Above;
  if (Waiting.size() < 2)
    return Above;
  double Total = 0;
  for (const auto &Entry : Waiting)
    Total += recentServerTime(Use, Entry.first, Now);
  double Bound =
      detail::ShareTolerance * Total / static_cast<double>(Waiting.size());
  for (const auto &Entry : Waiting)
    if (recentServerTime(Use, Entry.first, Now) > Bound)
      Above.insert(Entry.first);
  return Above;
}

} // namespace eelgrassloom
