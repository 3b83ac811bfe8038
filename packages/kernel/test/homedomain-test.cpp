#include "kernel/homedomain.h"
#include <doctest/doctest.h>
#include <map>

using namespace eelgrassloom;

namespace {

const std::set<std::string> ThreeDomains = {"a", "b", "c"};
constexpr unsigned Connections = 16;

/// Customers c0, c1 and so on with these limits.
CustomerTable makeCustomers(const std::vector<double> &Rates) {
  std::vector<CustomerConfig> Customers;
  for (std::size_t I = 0; I < Rates.size(); ++I)
    Customers.push_back({"c" + std::to_string(I),
                         {"k" + std::to_string(I)},
                         OperationLimit{Rates[I], 1}});
  return makeCustomerTable(std::move(Customers)).value();
}

} // namespace

// Load: 86 small customers and a large one on 16 connections of each owner.
TEST_CASE("small customers are divided among the failure domains") {
  std::vector<double> Rates(86, 5);
  Rates.push_back(400);
  CustomerTable Customers = makeCustomers(Rates);
  OwnerConnections Owners{ThreeDomains, Connections};
  CHECK(dividesCustomers(Customers, Owners));
  std::map<std::string_view, unsigned> Count;
  for (const auto &Entry : Customers.ByName)
    ++Count[homeDomain(Customers, Entry.first, "s", Owners)];
  CHECK(homeDomain(Customers, "c86", "s", Owners).empty());
  CHECK(Count.size() == 4);
  for (const std::string &Domain : ThreeDomains) {
    CHECK(Count[Domain] > 15);
    CHECK(Count[Domain] < 45);
  }
}

// Guards against one owner with all services of a customer.
TEST_CASE("the services of a customer have different home domains") {
  CustomerTable Customers = makeCustomers(std::vector<double>(40, 5));
  OwnerConnections Owners{ThreeDomains, Connections};
  std::set<std::string_view> Homes;
  for (unsigned I = 0; I < 20; ++I)
    Homes.insert(homeDomain(Customers, "c0", "s" + std::to_string(I), Owners));
  CHECK(Homes.size() == 3);
}

// Guards against statements that cross failure domains without need.
TEST_CASE("with enough connections each owner serves its own callers") {
  CustomerTable Customers = makeCustomers(std::vector<double>(Connections, 5));
  OwnerConnections Owners{ThreeDomains, Connections};
  CHECK_FALSE(dividesCustomers(Customers, Owners));
  CHECK(homeDomain(Customers, "c0", "s", Owners).empty());
  CustomerTable Many = makeCustomers(std::vector<double>(40, 5));
  std::set<std::string> OneDomain = {"a"};
  CHECK(homeDomain(Many, "c0", "s", {OneDomain, Connections}).empty());
  CHECK(homeDomain(Many, "unknown", "s", Owners).empty());
}

// Guards against a customer that moves at the loss of another failure domain.
TEST_CASE("a lost failure domain moves only its own customers") {
  CustomerTable Customers = makeCustomers(std::vector<double>(40, 5));
  std::set<std::string> Left = {"a", "b"};
  for (const auto &Entry : Customers.ByName) {
    std::string_view Before =
        homeDomain(Customers, Entry.first, "s", {ThreeDomains, Connections});
    std::string_view After =
        homeDomain(Customers, Entry.first, "s", {Left, Connections});
    CHECK((Before == "c" || Before == After));
  }
}
