/// \file
/// Whether this proxy is on the small side of a network partition. Failure
/// pattern: a failure domain that is cut off from the others and from the
/// store, while its callers still reach its proxies. Its permissions end and
/// cannot be extended, so that callers are served better elsewhere.

#ifndef EELGRASSLOOM_KERNEL_ISOLATION_H
#define EELGRASSLOOM_KERNEL_ISOLATION_H

#include "kernel/time.h"

namespace eelgrassloom {

/// What a proxy has heard from outside of its failure domain.
struct CrossDomainContact {
  /// Proxies of other failure domains are registered.
  bool CrossDomainPeersKnown = false;
  /// Last answer of such a proxy to a probe.
  Instant ProxyContactAt;
  /// Start of the last check of the store that was answered.
  Instant StorePolledAt;
};

/// Interval of probes to one proxy of each other failure domain.
inline constexpr Duration CrossDomainPingInterval =
    std::chrono::milliseconds(250);
/// Without an answer for this time, several probes, proxies are silent.
inline constexpr Duration CrossDomainTimeout = std::chrono::milliseconds(1000);
/// The same for the store: one check interval and the time until its result is
/// relayed.
inline constexpr Duration StoreTimeout = std::chrono::milliseconds(1500);

/// True if neither the proxies of other failure domains nor the store answer.
/// The loss of one of them alone is no partition: all other proxies may have
/// failed, or the store may be away.
bool isolated(const CrossDomainContact &Contact, Instant Now);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_ISOLATION_H
