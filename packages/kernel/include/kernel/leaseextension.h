/// \file
/// Extension of a primary lease while the store can't be reached: a quorum of
/// peers confirms that they have not acknowledged a revocation of the primary.
/// It is used in an outage of the store, and by proxies that are partitioned
/// from the store but reach their peers.

#ifndef EELGRASSLOOM_KERNEL_LEASEEXTENSION_H
#define EELGRASSLOOM_KERNEL_LEASEEXTENSION_H

#include "kernel/model.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace eelgrassloom {

/// Peers whose extension requests a proxy has answered, by revoked service.
using AnsweredProxies =
    std::map<std::string, std::set<ProxyId, std::less<>>, std::less<>>;

/// Epochs that a proxy knows. Only records that it has read from the store
/// since its start count, because a restarted proxy has forgotten what it
/// acknowledged before.
struct KnownEpochs {
  /// Epoch of the primary record, by service.
  std::map<std::string, std::uint64_t, std::less<>> RecordEpochs;
  /// Latest revoked epoch that the proxy has acknowledged, by service.
  std::map<std::string, std::uint64_t, std::less<>> Acknowledged;
  /// Peers whose requests this proxy answered shortly before it acknowledged,
  /// within leaseWithMargin(). A service has no entry if the proxy had just
  /// started and does not know whom its earlier run answered.
  AnsweredProxies Answered;
};

/// True if the peer allows a lease on the primary of \p Epoch of \p Service to
/// be extended: it has read the record of that epoch or an earlier one and has
/// acknowledged no revocation with a later epoch.
bool allowsExtension(const KnownEpochs &Peer, std::string_view Service,
                     std::uint64_t Epoch);

/// Number of proxies, including the requester, that must allow an extension:
/// two thirds of \p Proxies, rounded up.
std::size_t extensionQuorum(std::size_t Proxies);

/// Number of proxies that must have acknowledged a revocation so that the
/// others can no longer reach an extension quorum: six tenths of \p Proxies,
/// rounded up. The sum with extensionQuorum() exceeds \p Proxies by a reserve,
/// so that small differences between the proxy lists of two proxies are
/// harmless.
std::size_t revocationQuorum(std::size_t Proxies);

/// A proxy list that is older than this is not used to determine a quorum.
inline constexpr Duration MaxProxyListAge = std::chrono::seconds(20);

/// One round of extension requests to all peers.
struct ExtensionRound {
  std::uint64_t Exchange = 0;
  Instant StartedAt;
  /// Peers that allowed the extension, by service.
  std::map<std::string, std::set<ProxyId>, std::less<>> AllowedBy;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_LEASEEXTENSION_H
