/// \file
/// Decides in which failure domain the statements of a customer run if each
/// failure domain has an owner of the service. Load pattern: many customers
/// with little load each, and far fewer connections than customers. If every
/// owner ran statements of every customer, each would open and close
/// connections all the time, and a handshake takes a slot of the server for
/// about as long as a statement.

#ifndef EELGRASSLOOM_KERNEL_HOMEDOMAIN_H
#define EELGRASSLOOM_KERNEL_HOMEDOMAIN_H

#include "kernel/customers.h"
#include <set>

namespace eelgrassloom {

/// The failure domains with a proxy, and the connections that the owner in each
/// of them may open to a server of the service.
struct OwnerConnections {
  const std::set<std::string> &FailureDomains;
  unsigned PerServer = 0;
};

/// True if owners divide the customers among themselves: there are more
/// customers than connections.
bool dividesCustomers(const CustomerTable &Customers,
                      const OwnerConnections &Owners);

/// The failure domain whose owner runs the statements of the customer for the
/// callers of all failure domains. Empty if the owner in each failure domain
/// runs those of its own callers: there are enough connections, or the load of
/// the customer, as its limit tells, keeps a connection of each owner busy.
std::string_view homeDomain(const CustomerTable &Customers,
                            const CustomerId &Customer,
                            std::string_view Service,
                            const OwnerConnections &Owners);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_HOMEDOMAIN_H
