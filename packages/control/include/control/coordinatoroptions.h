/// \file
/// Intervals and limits of the coordination of the proxies.

#ifndef EELGRASSLOOM_CONTROL_COORDINATOROPTIONS_H
#define EELGRASSLOOM_CONTROL_COORDINATOROPTIONS_H

#include "kernel/time.h"

namespace eelgrassloom {

struct CoordinatorOptions {
  /// Interval of the poll, the conditional read that renews primary leases and
  /// finds changes.
  Duration PollInterval = std::chrono::milliseconds(500);
  /// Duration of a primary lease, counted from the start of the poll or of the
  /// round of peer requests that gave it.
  Duration LeaseDuration = std::chrono::milliseconds(1200);
  /// A poller whose last poll is older than the interval by this much when it
  /// answers has lost the store; covers an answer that takes long.
  Duration PollerSlack = std::chrono::milliseconds(200);
  /// When a poll is overdue by this much, the proxy requests the last polls of
  /// its peers and, if no poller extends its primary leases, a lease extension.
  Duration PollSlack = std::chrono::milliseconds(250);
  /// Pause after a poll that got no answer. It doubles with each further
  /// failure, up to MaxPollRetry.
  Duration PollRetry = std::chrono::milliseconds(150);
  Duration MaxPollRetry = std::chrono::milliseconds(600);
  /// The same pause for proxies that are not pollers; it does not double. Also
  /// the pause before a proxy watches the store again.
  Duration RelayedPollRetry = std::chrono::milliseconds(1200);
  /// Interval at which a proxy that relies on a poller still polls the store
  /// itself.
  Duration OwnPollInterval = std::chrono::seconds(20);
  /// Relayed polls renew the primary leases of a proxy for this long after its
  /// own last poll. A proxy that was evicted must notice it well within
  /// EvictedLeaseTime.
  Duration MaxRelayedTime = std::chrono::seconds(25);
  /// A proxy polls the store itself if its last relayed poll is older than
  /// PollInterval by this much. It covers two requests to the poller, and the
  /// poller's timers, and must be less than the time that then remains of the
  /// primary lease, which is LeaseDuration minus PollInterval.
  Duration RelayedPollSlack = std::chrono::milliseconds(600);
  /// Timeout of a store call, counted from the last byte received.
  Duration CallTimeout = std::chrono::milliseconds(900);
  /// Pause after a failed read of the registered proxies during an outage of
  /// the store.
  Duration ProxiesRetry = std::chrono::milliseconds(1500);
  /// Interval of reads of the registered proxies.
  Duration ProxiesInterval = std::chrono::milliseconds(4000);
  /// Interval of the first reads after the start, until the proxies that
  /// started together with this one have registered.
  Duration FirstProxiesInterval = std::chrono::milliseconds(1000);
  unsigned FirstProxiesReads = 3;
  /// Delay of the first watch after the start. By then most proxies know their
  /// poller, which watches for them.
  Duration FirstWatch = std::chrono::milliseconds(2500);
  /// Interval at which the holder of the promotion lock reads the
  /// registrations.
  Duration HolderProxiesInterval = std::chrono::milliseconds(400);
  /// The same interval during a promotion.
  Duration RevokingProxiesInterval = std::chrono::milliseconds(120);
  /// Interval of the log events about a promotion in progress.
  Duration PromotionWaitLogInterval = std::chrono::milliseconds(500);
  /// A proxy counts as reachable if the holder of the promotion lock has
  /// received a message from it, or has seen that it polled the store, within
  /// this time. Longer than the poll interval plus the time of an answer.
  Duration ReachableTime = std::chrono::milliseconds(1000);
  /// Interval at which the holder of the promotion lock requests
  /// acknowledgements and pings the proxies.
  Duration AcknowledgementInterval = std::chrono::milliseconds(200);
  /// Interval at which a proxy acquires or renews the promotion lock, if that
  /// is due, and takes the next step of each promotion.
  Duration PromotionInterval = std::chrono::milliseconds(100);
  Duration PromotionLockLeaseDuration = std::chrono::milliseconds(1500);
  Duration PromotionLockRenewInterval = std::chrono::milliseconds(500);
  /// Upper limit of the random delay before a proxy acquires a free promotion
  /// lock.
  Duration MaxPromotionLockDelay = std::chrono::milliseconds(300);
  /// Hosts with a smaller processor share leave the lock to others if they can:
  /// its holder reads the registrations of the whole fleet several times a
  /// second, and pings all proxies while a primary is unreachable.
  unsigned MinHolderMilliCores = 200;
  /// Additional delay for such hosts; longer than the poll interval, so that
  /// they see that another proxy has acquired the lock.
  Duration SmallHostLockDelay = std::chrono::milliseconds(600);
  /// A holder of the promotion lock that shuts down continues the promotions in
  /// progress for up to this time before it releases the lock. Well within the
  /// grace period of a shutdown.
  Duration PromotionFinishTime = std::chrono::milliseconds(2000);
  /// Statements in progress on a revoked primary may run for this long before
  /// the proxy acknowledges the revocation.
  Duration QuiesceTime = std::chrono::milliseconds(400);
  /// Time after this proxy has seen a new era of the store, within which the
  /// proxies write back the primary records that the store has lost. Longer
  /// than a lease, and than it takes each proxy to learn of the era and to
  /// poll.
  Duration RecordRestoreTime = std::chrono::seconds(3);
  /// Upper limit of the random delay before a proxy writes a lost record back;
  /// the pollers do it first.
  Duration MaxRestoreDelay = std::chrono::milliseconds(300);
  /// Number of records that the holder of the promotion lock confirms in each
  /// step, so that the write rate of the store is not exceeded.
  unsigned ConfirmationsPerStep = 20;
  /// Longest time that a watch waits for a change.
  Duration WatchTime = std::chrono::seconds(25);
};

/// Returns options with which a new configuration is found within
/// \p ConfigApplyTime.
CoordinatorOptions coordinatorOptions(Duration ConfigApplyTime);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_COORDINATOROPTIONS_H
