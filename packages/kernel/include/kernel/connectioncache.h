/// \file
/// Decides which connections to a server a proxy keeps when each connection
/// belongs to one customer. Load pattern: far more customers than connections,
/// a few of them with most of the load. Opening a connection takes a slot of
/// the server for about as long as a statement does.

#ifndef EELGRASSLOOM_KERNEL_CONNECTIONCACHE_H
#define EELGRASSLOOM_KERNEL_CONNECTIONCACHE_H

#include "kernel/customers.h"
#include "kernel/model.h"
#include "kernel/time.h"
#include <cstddef>

namespace eelgrassloom {

/// One open connection to a server.
struct CachedConnection {
  CustomerId Customer;
  /// A statement or a transaction uses it.
  bool Busy = false;
  Instant LastUsed;
};

/// Number of waiting statements of each customer.
using WaitingByCustomer = std::map<CustomerId, unsigned, std::less<>>;

/// How often each customer has recently used a server.
struct CustomerUse {
  struct Rate {
    double Uses = 0;
    Instant At;
  };
  std::map<CustomerId, Rate, std::less<>> Rates;
};

/// Counts one use.
void recordUse(CustomerUse &Use, const CustomerId &Customer, Instant Now);
/// Recent uses, each weighted by its age.
double recentUse(const CustomerUse &Use, std::string_view Customer,
                 Instant Now);

/// A customer that needs a connection.
struct ConnectionRequest {
  CustomerId Customer;
  /// Customers with waiting statements; their connections are kept. Null if the
  /// request has waited so long that their idle connections may be closed too.
  const WaitingByCustomer *Waiting = nullptr;
  /// Connections of other customers may be closed for it.
  bool MayEvict = true;
};

/// Request for a connection that the proxy itself needs, for a status query or
/// to learn whether a server can be reached. No customer loses a connection for
/// it.
ConnectionRequest requestOfProxy();

/// Index of the idle connection to close because there are too many; empty if
/// none is idle. The order is that of chooseEviction().
std::optional<std::size_t>
chooseToClose(const std::vector<CachedConnection> &Open, const CustomerUse &Use,
              Instant Now);

/// Index of the idle connection to close for the request; empty if there is
/// none. A second idle connection of a customer goes first, then the connection
/// whose customer uses the server least, then the one that was used longest
/// ago.
std::optional<std::size_t>
chooseEviction(const std::vector<CachedConnection> &Open,
               const CustomerUse &Use, const ConnectionRequest &Request,
               Instant Now);

/// Connections that a proxy may open to a server that accepts \p Cap of them
/// from all proxies, \p Sharers of which run its statements. The sum over all
/// sharers leaves the reserve free.
unsigned customerConnectionShare(unsigned Cap, std::size_t Sharers);

/// Connections of a server that are left free for status queries, and for
/// proxies that run statements in place of the owner.
unsigned connectionReserve(unsigned Cap);

/// An open transaction without a statement in progress. It holds a connection.
struct RestingTransaction {
  CustomerId Customer;
  UpstreamId Server;
  Instant LastUsed;
};

/// A customer with a statement that waits only for a connection: all those that
/// the proxy may open to the servers that could run it are in use.
struct BlockedCustomer {
  CustomerId Customer;
  std::vector<UpstreamId> Servers;
};

/// A transaction that has rested for longer may be ended for another customer.
inline constexpr Duration MaxProtectedRest = std::chrono::seconds(1);

/// A transaction to end, by its index, and the customer that gets its place.
struct TransactionToEnd {
  std::size_t Index = 0;
  CustomerId For;

  bool operator==(const TransactionToEnd &) const = default;
};

/// The transactions to end, at most one for each of \p Blocked, at
/// one of its servers and of another customer. The customer with the most
/// transactions that have rested too long comes first, then the one that was
/// used longest ago. Load pattern: up to 120 callers that stay idle inside
/// transactions for several seconds and hold all connections of a service.
std::vector<TransactionToEnd>
chooseTransactionsToEnd(const std::vector<RestingTransaction> &Resting,
                        const std::vector<BlockedCustomer> &Blocked,
                        Instant Now);

/// Order in which a customer prefers the servers of a service: the lower, the
/// earlier. Each customer keeps to few servers, so that it needs few
/// connections.
std::uint64_t affinityRank(std::string_view Customer, std::string_view Server);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_CONNECTIONCACHE_H
