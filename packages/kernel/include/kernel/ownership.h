/// \file
/// Assigns upstreams and platform watches to live proxies by rendezvous
/// hashing. Proxies with different membership views may choose different
/// owners; this costs only efficiency.

#ifndef EELGRASSLOOM_KERNEL_OWNERSHIP_H
#define EELGRASSLOOM_KERNEL_OWNERSHIP_H

#include "kernel/model.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassloom {

/// A proxy that takes part in ownership.
struct LiveProxy {
  ProxyId Id;
  std::string FailureDomain;
  /// A leaving proxy owns nothing while another proxy is live and not leaving.
  bool Leaving = false;
  /// Processor share of its host in thousandths of a core; 0: unknown. Load
  /// pattern: hosts of unequal size, whose owners run the statements of all
  /// others. A proxy owns in proportion to the square of its share, so that
  /// small hosts keep processor time for their own callers.
  unsigned MilliCores = 0;
};

namespace detail {

struct HashedProxy {
  ProxyId Id;
  std::uint64_t Hash = 0;
  /// Relative number of keys that it owns.
  double Weight = 1;
};

} // namespace detail

/// Live proxies with their hashes, built once for each membership view.
struct OwnerTable {
  std::map<std::string, std::vector<detail::HashedProxy>, std::less<>>
      ByFailureDomain;
  /// All candidates. Leaving proxies are included only if there are no others.
  std::vector<detail::HashedProxy> All;
};

OwnerTable makeOwnerTable(const std::vector<LiveProxy> &Live);

/// Owner of an upstream: a proxy of its failure domain, or of any failure
/// domain if its own has none. Null if there is no live proxy.
const ProxyId *ownerOf(const OwnerTable &T, const Upstream &U);

/// Owners of the upstreams of a database, sorted and without duplicates. Before
/// a failover of the database each of them votes on whether the primary can be
/// reached.
std::vector<ProxyId> votersOf(const OwnerTable &T, const Database &D);

/// Proxies of a failure domain, or all proxies if it has none, in the order in
/// which they own \p Key: the first one is the owner, and each following one is
/// the owner if all before it have failed.
std::vector<ProxyId> rankedOwners(const OwnerTable &T,
                                  std::string_view FailureDomain,
                                  std::string_view Key);

/// The first owner of \p Key in each failure domain.
std::set<ProxyId> ownersOf(const OwnerTable &T, std::string_view Key);

/// Proxies that hold the platform watches: up to \p PerFailureDomain of each
/// failure domain, sorted by id.
std::vector<ProxyId> watchHolders(const OwnerTable &T,
                                  unsigned PerFailureDomain = 2);

/// Time after which an owner may use its full quota.
inline constexpr Duration NewOwnerTime = std::chrono::seconds(5);

/// Maximum number of connections that one owner opens to an upstream: a third
/// of its cap, at least one, so that three simultaneous owners stay within the
/// cap. When the proxies of a failure domain restart together, they don't know
/// each other yet and several become owners at once. An owner that has owned
/// the upstream for less than NewOwnerTime therefore gets a tenth.
unsigned connectionQuota(const Upstream &U,
                         Duration OwnedFor = Duration::max());

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_OWNERSHIP_H
