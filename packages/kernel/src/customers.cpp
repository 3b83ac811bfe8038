#include "kernel/customers.h"
#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

constexpr std::string_view LineEnd = "\r\n";
/// Upper limit of rates and bursts, in operations.
constexpr double MaxOperations = 1e9;

/// Servers are told the name as a word of a line.
bool isWord(std::string_view Name) {
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), [](char Byte) {
    return Byte > ' ' && Byte < 0x7f;
  });
}

bool validLimit(const OperationLimit &Limit) {
  auto Valid = [](double Value) {
    return std::isfinite(Value) && Value >= 0 && Value <= MaxOperations;
  };
  return Valid(Limit.RatePerSecond) && Valid(Limit.Burst);
}

void addKeys(CustomerTable &Table, const CustomerConfig &Customer,
             std::vector<Finding> &Findings) {
  std::string Place = "customer " + Customer.Name + " key";
  for (const std::string &Key : Customer.Keys) {
    if (Key.empty() || Key.find(LineEnd) != std::string::npos) {
      Findings.push_back({Place, "", "a text without a line end"});
      continue;
    }
    auto [It, New] = Table.ByKey.emplace(Key, Customer.Name);
    if (!New && It->second != Customer.Name)
      Findings.push_back({Place, "", "a key of no other customer"});
    Table.ByKeyHash[hashOfKey(Key)] = Customer.Name;
  }
}

} // namespace detail

Result<CustomerTable> makeCustomerTable(std::vector<CustomerConfig> Customers) {
  CustomerTable Table;
  std::vector<Finding> Findings;
  for (CustomerConfig &Customer : Customers) {
    std::string Place = "customer " + Customer.Name;
    if (!detail::isWord(Customer.Name))
      Findings.push_back(
          {Place, Customer.Name, "a word of printable characters"});
    if (Customer.Limit && !detail::validLimit(*Customer.Limit))
      Findings.push_back({Place + " limit", "", "numbers from 0 to 1e9"});
    if (Customer.Limit)
      Table.TotalRate += Customer.Limit->RatePerSecond;
    detail::addKeys(Table, Customer, Findings);
    CustomerId Name = Customer.Name;
    if (!Table.ByName.emplace(Name, std::move(Customer)).second)
      Findings.push_back({Place, Name, "a name that occurs once"});
  }
  if (!Findings.empty())
    return Result<CustomerTable>::failure(std::move(Findings));
  return Result<CustomerTable>::success(std::move(Table));
}

const CustomerConfig *customerOfKey(const CustomerTable &Table,
                                    std::string_view Key) {
  auto Holder = Table.ByKey.find(Key);
  if (Holder == Table.ByKey.end())
    return nullptr;
  auto It = Table.ByName.find(Holder->second);
  return It == Table.ByName.end() ? nullptr : &It->second;
}

std::uint64_t hashOfKey(std::string_view Key) {
  return XXH3_64bits(Key.data(), Key.size());
}

CallerIdentity identifyCaller(const CustomerTable &Table, bool PublicRoute,
                              std::string_view Key) {
  if (PublicRoute || Table.empty())
    return {true, {}};
  const CustomerConfig *Customer = customerOfKey(Table, Key);
  if (Customer == nullptr)
    return {};
  return {true, Customer->Name};
}

} // namespace eelgrassloom
