#include "kernel/homedomain.h"
#include "kernel/connectioncache.h"

namespace eelgrassloom {
namespace detail {

/// True if the customer has at least as much of the load as one connection of
/// an owner stands for. A customer without a limit may have any load.
bool keepsConnectionBusy(const CustomerTable &Customers,
                         const CustomerConfig &Customer, unsigned Connections) {
  if (Customers.TotalRate <= 0)
    return false;
  return !Customer.Limit ||
         Customer.Limit->RatePerSecond * Connections >= Customers.TotalRate;
}

} // namespace detail

bool dividesCustomers(const CustomerTable &Customers,
                      const OwnerConnections &Owners) {
  return Owners.FailureDomains.size() > 1 &&
         Customers.ByName.size() > Owners.PerServer;
}

std::string_view homeDomain(const CustomerTable &Customers,
                            const CustomerId &Customer,
                            std::string_view Service,
                            const OwnerConnections &Owners) {
  auto It = Customers.ByName.find(Customer);
  if (It == Customers.ByName.end() || !dividesCustomers(Customers, Owners) ||
      detail::keepsConnectionBusy(Customers, It->second, Owners.PerServer))
    return {};
  std::string_view Home;
  std::uint64_t BestRank = 0;
  for (const std::string &Domain : Owners.FailureDomains) {
    std::string Place = std::string(Service) + "/" + Domain;
    std::uint64_t Rank = affinityRank(Customer, Place);
    if (!Home.empty() && Rank >= BestRank)
      continue;
    Home = Domain;
    BestRank = Rank;
  }
  return Home;
}

} // namespace eelgrassloom
