/// \file
/// Customers of the proxy: who they are, which keys identify them, and how many
/// operations they may run. A configuration without customers checks no keys.

#ifndef EELGRASSLOOM_KERNEL_CUSTOMERS_H
#define EELGRASSLOOM_KERNEL_CUSTOMERS_H

#include "kernel/result.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassloom {

/// Name of a customer, as servers are told it. Empty: no customer.
using CustomerId = std::string;

/// Limit on the operations of a customer, over all proxies.
struct OperationLimit {
  double RatePerSecond = 0;
  /// Operations that may start at once after a pause.
  double Burst = 0;

  bool operator==(const OperationLimit &) const = default;
};

/// One customer of a configuration.
struct CustomerConfig {
  CustomerId Name;
  /// Keys by which its callers identify themselves. They are secrets: no log
  /// line, metric or error text contains one.
  std::vector<std::string> Keys;
  /// Empty: no limit.
  std::optional<OperationLimit> Limit;

  bool operator==(const CustomerConfig &) const = default;
};

/// The customers of a configuration, and their keys.
struct CustomerTable {
  std::map<CustomerId, CustomerConfig, std::less<>> ByName;
  /// Customer of each key, and of the hash of each key.
  std::map<std::string, CustomerId, std::less<>> ByKey;
  std::map<std::uint64_t, CustomerId> ByKeyHash;
  /// Sum of the limits of all customers, in operations a second.
  double TotalRate = 0;

  /// False if the deployment has no customers. No key is checked then.
  bool empty() const { return ByName.empty(); }
};

/// Builds the table. Fails with findings if a name is missing, is not one word
/// or occurs twice, if a key is empty, contains a line end or belongs to two
/// customers, or if a limit is negative. The findings contain no key.
Result<CustomerTable> makeCustomerTable(std::vector<CustomerConfig> Customers);

/// The customer that holds \p Key; null if there is none.
const CustomerConfig *customerOfKey(const CustomerTable &Table,
                                    std::string_view Key);

/// Identifies a key in messages between proxies without revealing it.
std::uint64_t hashOfKey(std::string_view Key);

/// Who a caller is, as far as its key tells.
struct CallerIdentity {
  /// The caller may run statements.
  bool Authorized = false;
  /// Customer that its statements belong to; empty: none.
  CustomerId Customer;
};

/// Identifies the caller of a route by its key. A public route, and a
/// configuration without customers, need no key.
CallerIdentity identifyCaller(const CustomerTable &Table, bool PublicRoute,
                              std::string_view Key);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_CUSTOMERS_H
