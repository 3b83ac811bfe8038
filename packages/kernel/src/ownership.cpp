#include "kernel/ownership.h"
#include <algorithm>
#include <array>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

static std::uint64_t hashOf(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

static std::uint64_t score(const HashedProxy &P, std::uint64_t KeyHash) {
  std::array<std::uint64_t, 2> Both = {P.Hash, KeyHash};
  return XXH3_64bits(Both.data(), sizeof(Both));
}

static const HashedProxy *winner(const std::vector<HashedProxy> &Candidates,
                                 std::uint64_t KeyHash) {
  const HashedProxy *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const HashedProxy &P : Candidates) {
    std::uint64_t Score = score(P, KeyHash);
    if (Best && (Score < BestScore || (Score == BestScore && Best->Id <= P.Id)))
      continue;
    Best = &P;
    BestScore = Score;
  }
  return Best;
}

static std::vector<ProxyId> ranked(std::vector<HashedProxy> Candidates,
                                   std::string_view Key) {
  std::uint64_t KeyHash = hashOf(Key);
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const HashedProxy &A, const HashedProxy &B) {
              return std::pair(score(A, KeyHash), B.Id) >
                     std::pair(score(B, KeyHash), A.Id);
            });
  std::vector<ProxyId> Ids;
  Ids.reserve(Candidates.size());
  for (const HashedProxy &P : Candidates)
    Ids.push_back(P.Id);
  return Ids;
}

} // namespace detail

OwnerTable makeOwnerTable(const std::vector<LiveProxy> &Live) {
  OwnerTable T;
  bool AllLeaving = std::all_of(Live.begin(), Live.end(),
                                [](const LiveProxy &P) { return P.Leaving; });
  for (const LiveProxy &P : Live) {
    if (P.Leaving && !AllLeaving)
      continue;
    detail::HashedProxy Hashed{P.Id, detail::hashOf(P.Id)};
    T.ByFailureDomain[P.FailureDomain].push_back(Hashed);
    T.All.push_back(Hashed);
  }
  return T;
}

const ProxyId *ownerOf(const OwnerTable &T, const Upstream &U) {
  auto Domain = T.ByFailureDomain.find(U.FailureDomain);
  const auto &Candidates =
      Domain == T.ByFailureDomain.end() ? T.All : Domain->second;
  const auto *Owner = detail::winner(Candidates, detail::hashOf(U.Id));
  return Owner ? &Owner->Id : nullptr;
}

std::vector<ProxyId> votersOf(const OwnerTable &T, const Database &D) {
  std::vector<ProxyId> Voters;
  for (const Upstream &U : D.Upstreams)
    if (const ProxyId *Owner = ownerOf(T, U))
      Voters.push_back(*Owner);
  std::sort(Voters.begin(), Voters.end());
  Voters.erase(std::unique(Voters.begin(), Voters.end()), Voters.end());
  return Voters;
}

std::vector<ProxyId> rankedOwners(const OwnerTable &T,
                                  std::string_view FailureDomain,
                                  std::string_view Key) {
  auto Domain = T.ByFailureDomain.find(FailureDomain);
  return detail::ranked(
      Domain == T.ByFailureDomain.end() ? T.All : Domain->second, Key);
}

std::set<ProxyId> ownersOf(const OwnerTable &T, std::string_view Key) {
  std::set<ProxyId> Owners;
  std::uint64_t KeyHash = detail::hashOf(Key);
  for (const auto &[Domain, Proxies] : T.ByFailureDomain)
    if (const auto *Owner = detail::winner(Proxies, KeyHash))
      Owners.insert(Owner->Id);
  return Owners;
}

std::vector<ProxyId> watchHolders(const OwnerTable &T,
                                  unsigned PerFailureDomain) {
  std::vector<ProxyId> Holders;
  for (const auto &[Domain, Proxies] : T.ByFailureDomain) {
    std::vector<ProxyId> Ranked = detail::ranked(Proxies, "platform watch");
    if (Ranked.size() > PerFailureDomain)
      Ranked.resize(PerFailureDomain);
    Holders.insert(Holders.end(), Ranked.begin(), Ranked.end());
  }
  std::sort(Holders.begin(), Holders.end());
  return Holders;
}

unsigned connectionQuota(const Upstream &U, Duration OwnedFor) {
  constexpr unsigned Owners = 3;
  constexpr unsigned NewOwners = 10;
  return std::max(1U, U.ConnectionCap /
                          (OwnedFor < NewOwnerTime ? NewOwners : Owners));
}

} // namespace eelgrassloom
