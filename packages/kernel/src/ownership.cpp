#include "kernel/ownership.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

static std::uint64_t hashOf(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

/// Assumed processor share of a host that does not report it.
constexpr double DefaultMilliCores = 250;

static double weightOf(unsigned MilliCores) {
  double Share = MilliCores == 0 ? DefaultMilliCores : MilliCores;
  return Share * Share;
}

/// Weighted rendezvous hashing. For equal weights the order is that of the
/// hashes.
static double score(const HashedProxy &P, std::uint64_t KeyHash) {
  std::array<std::uint64_t, 2> Both = {P.Hash, KeyHash};
  std::uint64_t Hash = XXH3_64bits(Both.data(), sizeof(Both));
  // A double holds 53 bits; half a step keeps the value between 0 and 1.
  double Uniform = std::ldexp(static_cast<double>(Hash >> 11) + 0.5, -53);
  return -P.Weight / std::log(Uniform);
}

static const HashedProxy *winner(const std::vector<HashedProxy> &Candidates,
                                 std::uint64_t KeyHash) {
  const HashedProxy *Best = nullptr;
  double BestScore = 0;
  for (const HashedProxy &P : Candidates) {
    double Score = score(P, KeyHash);
    if (Best && (Score < BestScore || (Score == BestScore && Best->Id <= P.Id)))
      continue;
    Best = &P;
    BestScore = Score;
  }
  return Best;
}

static std::vector<ProxyId> ranked(const std::vector<HashedProxy> &Candidates,
                                   std::string_view Key) {
  std::uint64_t KeyHash = hashOf(Key);
  std::vector<std::pair<double, std::size_t>> Scores;
  Scores.reserve(Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    Scores.emplace_back(score(Candidates[I], KeyHash), I);
  std::sort(Scores.begin(), Scores.end(), [&](const auto &A, const auto &B) {
    if (A.first != B.first)
      return A.first > B.first;
    return Candidates[A.second].Id < Candidates[B.second].Id;
  });
  std::vector<ProxyId> Ids;
  Ids.reserve(Candidates.size());
  for (const auto &Entry : Scores)
    Ids.push_back(Candidates[Entry.second].Id);
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
    detail::HashedProxy Hashed{P.Id, detail::hashOf(P.Id),
                               detail::weightOf(P.MilliCores)};
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
