#include "kernel/connectioncache.h"
#include <algorithm>
#include <cmath>
#include <tuple>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

/// Age at which a use counts half.
constexpr Duration UseHalfLife = std::chrono::seconds(10);
/// Customers with fewer recent uses are forgotten.
constexpr double MinRecentUse = 0.01;
/// Part of the connections of a server that is left free.
constexpr double ReserveShare = 0.1;

double weightAt(const CustomerUse::Rate &Rate, Instant Now) {
  double Age = std::chrono::duration<double>(Now - Rate.At).count();
  double HalfLife = std::chrono::duration<double>(UseHalfLife).count();
  return Rate.Uses * std::exp2(-Age / HalfLife);
}

/// True if a connection that was used later is idle and of the same customer.
bool isSurplus(const std::vector<CachedConnection> &Open, std::size_t I) {
  for (std::size_t Other = 0; Other < Open.size(); ++Other)
    if (Other != I && !Open[Other].Busy &&
        Open[Other].Customer == Open[I].Customer &&
        std::tie(Open[Other].LastUsed, Other) > std::tie(Open[I].LastUsed, I))
      return true;
  return false;
}

/// The first of the idle connections that may be closed; empty if there is
/// none.
template <typename Predicate>
std::optional<std::size_t>
firstToClose(const std::vector<CachedConnection> &Open, const CustomerUse &Use,
             Instant Now, Predicate MayClose) {
  using Key = std::tuple<bool, double, Instant>;
  std::optional<std::size_t> Best;
  Key BestKey;
  for (std::size_t I = 0; I < Open.size(); ++I) {
    const CachedConnection &C = Open[I];
    if (C.Busy || !MayClose(C))
      continue;
    Key Candidate = {!isSurplus(Open, I), recentUse(Use, C.Customer, Now),
                     C.LastUsed};
    if (!Best || Candidate < BestKey) {
      Best = I;
      BestKey = Candidate;
    }
  }
  return Best;
}

/// True if the transaction may be ended for the blocked customer.
bool mayEndFor(const RestingTransaction &T, const BlockedCustomer &B,
               Instant Now) {
  return T.Customer != B.Customer && Now - T.LastUsed > MaxProtectedRest &&
         std::find(B.Servers.begin(), B.Servers.end(), T.Server) !=
             B.Servers.end();
}

} // namespace detail

void recordUse(CustomerUse &Use, const CustomerId &Customer, Instant Now) {
  std::erase_if(Use.Rates, [&](const auto &Entry) {
    return detail::weightAt(Entry.second, Now) < detail::MinRecentUse;
  });
  CustomerUse::Rate &Rate = Use.Rates[Customer];
  Rate = {detail::weightAt(Rate, Now) + 1, Now};
}

double recentUse(const CustomerUse &Use, std::string_view Customer,
                 Instant Now) {
  auto It = Use.Rates.find(Customer);
  return It == Use.Rates.end() ? 0 : detail::weightAt(It->second, Now);
}

ConnectionRequest requestOfProxy() { return {{}, nullptr, false}; }

std::optional<std::size_t>
chooseEviction(const std::vector<CachedConnection> &Open,
               const CustomerUse &Use, const ConnectionRequest &Request,
               Instant Now) {
  if (!Request.MayEvict)
    return std::nullopt;
  return detail::firstToClose(Open, Use, Now, [&](const CachedConnection &C) {
    bool Wanted = Request.Waiting && Request.Waiting->count(C.Customer) != 0;
    return C.Customer != Request.Customer && !Wanted;
  });
}

std::optional<std::size_t>
chooseToClose(const std::vector<CachedConnection> &Open, const CustomerUse &Use,
              Instant Now) {
  return detail::firstToClose(Open, Use, Now,
                              [](const CachedConnection &) { return true; });
}

std::vector<TransactionToEnd>
chooseTransactionsToEnd(const std::vector<RestingTransaction> &Resting,
                        const std::vector<BlockedCustomer> &Blocked,
                        Instant Now) {
  std::vector<TransactionToEnd> Chosen;
  std::vector<bool> Taken(Resting.size());
  for (const BlockedCustomer &B : Blocked) {
    std::vector<std::size_t> Candidates;
    std::map<std::string_view, unsigned> Held;
    for (std::size_t I = 0; I < Resting.size(); ++I)
      if (!Taken[I] && detail::mayEndFor(Resting[I], B, Now)) {
        Candidates.push_back(I);
        ++Held[Resting[I].Customer];
      }
    auto First = std::min_element(
        Candidates.begin(), Candidates.end(),
        [&](std::size_t L, std::size_t R) {
          const RestingTransaction &A = Resting[L];
          const RestingTransaction &C = Resting[R];
          return std::make_tuple(Held[C.Customer], A.LastUsed) <
                 std::make_tuple(Held[A.Customer], C.LastUsed);
        });
    if (First == Candidates.end())
      continue;
    Taken[*First] = true;
    Chosen.push_back({*First, B.Customer});
  }
  return Chosen;
}

unsigned connectionReserve(unsigned Cap) {
  return static_cast<unsigned>(std::ceil(Cap * detail::ReserveShare));
}

unsigned customerConnectionShare(unsigned Cap, std::size_t Sharers) {
  auto Count = static_cast<unsigned>(std::max<std::size_t>(1, Sharers));
  return std::max(1U, (Cap - std::min(Cap, connectionReserve(Cap))) / Count);
}

std::uint64_t affinityRank(std::string_view Customer, std::string_view Server) {
  return XXH3_64bits_withSeed(Server.data(), Server.size(),
                              XXH3_64bits(Customer.data(), Customer.size()));
}

} // namespace eelgrassloom
