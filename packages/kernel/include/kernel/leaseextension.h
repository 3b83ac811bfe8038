/// \file
/// Extension of the permission to use a primary while the store can't be
/// reached: enough peers confirm that they have not acknowledged its
/// revocation. Failure pattern: an outage of the store, or proxies that alone
/// are cut off from it.

#ifndef EELGRASSLOOM_KERNEL_LEASEEXTENSION_H
#define EELGRASSLOOM_KERNEL_LEASEEXTENSION_H

#include "kernel/model.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace eelgrassloom {

/// By revoked service: proxies whose questions one has answered.
using AnsweredProxies =
    std::map<std::string, std::set<ProxyId, std::less<>>, std::less<>>;

/// Epochs that a proxy knows; only records that it has read from the store in
/// this run count, because a restarted proxy has forgotten what it
/// acknowledged.
struct KnownEpochs {
  std::map<std::string, std::uint64_t, std::less<>> RecordEpochs;
  std::map<std::string, std::uint64_t, std::less<>> Acknowledged;
  /// Proxies whose questions this one answered within the lease and its margin
  /// before it acknowledged. No entry: it does not know, because it had just
  /// started.
  AnsweredProxies Answered;
};

/// True if the proxy confirms that \p Epoch of \p Service may still be used.
bool allowsExtension(const KnownEpochs &Peer, std::string_view Service,
                     std::uint64_t Epoch);

/// Proxies, with the asking one, that must vouch: two thirds.
std::size_t extensionQuorum(std::size_t Proxies);

/// Proxies that must have acknowledged a revocation before the others can no
/// longer reach a quorum. Together with extensionQuorum() more than all, so
/// that some differences between the lists of two proxies do no harm.
std::size_t revocationQuorum(std::size_t Proxies);

/// A list of the proxies that is older than this is not used for a quorum.
inline constexpr Duration MaxProxyListAge = std::chrono::seconds(20);

/// One round of questions to all peers.
struct ExtensionRound {
  std::uint64_t Exchange = 0;
  Instant StartedAt;
  /// Peers that vouched, by service.
  std::map<std::string, std::set<ProxyId>, std::less<>> AllowedBy;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_LEASEEXTENSION_H
