/// \file
/// Rendezvous hashing of upstreams and platform watches over live proxies.
/// Views may differ between proxies; ownership is a matter of efficiency.

#ifndef EELGRASSLOOM_KERNEL_OWNERSHIP_H
#define EELGRASSLOOM_KERNEL_OWNERSHIP_H

#include "kernel/model.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassloom {

/// A proxy that takes part in ownership.
struct LiveProxy {
  ProxyId Id;
  std::string FailureDomain;
  /// Owns nothing as long as another proxy is live and not leaving.
  bool Leaving = false;
};

namespace detail {

struct HashedProxy {
  ProxyId Id;
  std::uint64_t Hash = 0;
};

} // namespace detail

/// Live proxies with their hashes, built once for each membership view.
struct OwnerTable {
  std::map<std::string, std::vector<detail::HashedProxy>, std::less<>>
      ByFailureDomain;
  /// All candidates; the leaving ones only if there are no others.
  std::vector<detail::HashedProxy> All;
};

OwnerTable makeOwnerTable(const std::vector<LiveProxy> &Live);

/// Owner of an upstream: a proxy of its failure domain, or any proxy if that
/// failure domain has none. Null if there is no live proxy.
const ProxyId *ownerOf(const OwnerTable &T, const Upstream &U);

/// Owners of the upstreams of a database, sorted, each once.
std::vector<ProxyId> votersOf(const OwnerTable &T, const Database &D);

/// Proxies of a failure domain in the order in which they own \p Key; all
/// proxies if the failure domain has none.
std::vector<ProxyId> rankedOwners(const OwnerTable &T,
                                  std::string_view FailureDomain,
                                  std::string_view Key);

/// Proxies that hold the platform watches: up to \p PerFailureDomain of each
/// failure domain, sorted.
std::vector<ProxyId> watchHolders(const OwnerTable &T,
                                  unsigned PerFailureDomain = 2);

/// Time after which an owner may use its full quota.
inline constexpr Duration NewOwnerTime = std::chrono::seconds(5);

/// Connections that one owner may open to an upstream: a third of its cap, at
/// least one, so that three simultaneous owners stay within the cap. While the
/// proxies of a failure domain restart together they don't know each other yet
/// and several become owners at once: an owner that has owned the upstream for
/// less than NewOwnerTime gets a tenth.
unsigned connectionQuota(const Upstream &U,
                         Duration OwnedFor = Duration::max());

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_OWNERSHIP_H
