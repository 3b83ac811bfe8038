/// \file
/// Detects that this proxy is on the minority side of a network partition: its
/// failure domain is partitioned from the other ones and from the store, while
/// callers still reach it. Its primary leases expire and can't be extended, so
/// callers are better served by proxies of other failure domains.

#ifndef EELGRASSLOOM_KERNEL_ISOLATION_H
#define EELGRASSLOOM_KERNEL_ISOLATION_H

#include "kernel/time.h"

namespace eelgrassloom {

/// Contact of a proxy with other failure domains and with the store.
struct CrossDomainContact {
  /// Proxies of other failure domains are registered.
  bool CrossDomainPeersKnown = false;
  /// When such a proxy last answered a ping.
  Instant ProxyContactAt;
  /// Start of the last poll of the store that was answered.
  Instant StorePolledAt;
  /// The poller of the failure domain answers, so that StorePolledAt is up to
  /// date.
  bool PollerAnswers = true;
};

/// Interval of pings to one proxy of each other failure domain.
inline constexpr Duration CrossDomainPingInterval =
    std::chrono::milliseconds(250);
/// The proxies of other failure domains have timed out if none of them answered
/// for this time, in which several pings are sent.
inline constexpr Duration CrossDomainTimeout = std::chrono::milliseconds(1000);
/// The store has timed out if it did not answer for this time, which covers one
/// poll interval and the relay of the result by the poller. It is short,
/// because the load balancer waits for two failed probes before it sends
/// callers elsewhere.
inline constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
/// The timeout of the store is longer by this while the poller does not answer:
/// the proxy needs this time to notice it and to poll the store itself.
inline constexpr Duration PollerLossTime = std::chrono::milliseconds(500);

/// True if neither the proxies of other failure domains nor the store answer.
/// The loss of only one of them is no partition: all other proxies may have
/// failed, or the store may be unavailable.
bool isolated(const CrossDomainContact &Contact, Instant Now);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_ISOLATION_H
