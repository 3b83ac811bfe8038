/// \file
/// Decides which customers have used more than their share of the servers.
/// Load pattern: one customer at several times its usual load, whose statements
/// would fill the queue of a service and let those of all others wait.

#ifndef EELGRASSLOOM_KERNEL_FAIRSHARE_H
#define EELGRASSLOOM_KERNEL_FAIRSHARE_H

#include "kernel/connectioncache.h"
#include <set>

namespace eelgrassloom {

/// Server time that each customer has recently used. A use counts less with its
/// age, with a time constant of one second, so that the sum is about the server
/// time of the last second.
struct ServerTimeUse {
  struct Sum {
    double Seconds = 0;
    Instant At;
  };
  std::map<CustomerId, Sum, std::less<>> ByCustomer;
};

/// Counts the server time \p Took of an attempt that has ended.
void recordServerTime(ServerTimeUse &Use, const CustomerId &Customer,
                      Duration Took, Instant Now);

/// Server time that the customer has recently used, in seconds.
double recentServerTime(const ServerTimeUse &Use, std::string_view Customer,
                        Instant Now);

using CustomerSet = std::set<CustomerId, std::less<>>;

/// The customers with waiting statements that have used more than an equal part
/// of the server time of all of them. Customers without waiting statements got
/// what they asked for and are left out. A customer that waits alone is never
/// above its share.
CustomerSet customersAboveShare(const ServerTimeUse &Use,
                                const WaitingByCustomer &Waiting, Instant Now);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_FAIRSHARE_H
