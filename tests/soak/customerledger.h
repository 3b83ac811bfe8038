/// \file
/// The customers of tests with real processes: their part of the configuration,
/// and which customer has held each key at which time.

#ifndef EELGRASSLOOM_SOAK_CUSTOMERLEDGER_H
#define EELGRASSLOOM_SOAK_CUSTOMERLEDGER_H

#include "timers.h"
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrassloom::soak {

/// Every key contains this text, and nothing else does.
inline constexpr std::string_view KeyMarker = "K3Y";
/// Time within which each host must apply a changed key.
inline constexpr Duration KeyApplyTime = std::chrono::seconds(5);

struct TestCustomer {
  std::string Name;
  /// Valid UTF-8.
  std::vector<std::string> Keys;
  /// No limit if it is 0.
  unsigned RatePerSecond = 0;
  unsigned Burst = 0;
};

/// Customers of the configuration, and the holders of their keys over time.
class CustomerLedger {
public:
  /// The configuration's list of customers, as JSON.
  std::string json() const;
  /// Records the keys of the customers as those that the store has
  /// acknowledged at \p At.
  void acknowledge(Instant At);
  /// Customers as which a statement with the key may reach a server at \p At.
  /// A former holder counts until hosts must have applied the change.
  std::set<std::string> allowed(const std::string &Key, Instant At) const;
  /// Customer that has held the key at least for KeyApplyTime at \p At; empty
  /// if there is none.
  std::string holder(const std::string &Key, Instant At) const;
  /// A key that a caller may use: mostly a current one, at times a former or an
  /// unknown one.
  std::string pick(std::mt19937_64 &Random) const;
  /// Adds, removes or moves a key.
  void change(std::mt19937_64 &Random);
  bool isCustomer(const std::string &Name) const;
  /// What is wrong with a statement of a caller with \p Key on a connection of
  /// \p Client; empty if nothing is.
  std::string problem(const std::string &Key, const std::string &Client,
                      Instant At) const;

  std::vector<TestCustomer> Customers;

private:
  /// By key: its holders in turn, and since when. Empty name: no holder.
  std::map<std::string, std::vector<std::pair<Instant, std::string>>> Holders;
  unsigned AddedKeys = 0;
};

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_CUSTOMERLEDGER_H
