/// \file
/// Queue, slots and connections of one owned upstream.

#ifndef EELGRASSLOOM_PROXY_UPSTREAMPOOL_H
#define EELGRASSLOOM_PROXY_UPSTREAMPOOL_H

#include "datapathstate.h"
#include "kernel/health.h"
#include "kernel/limit.h"
#include <deque>
#include <unordered_map>

namespace eelgrassloom::detail {

/// A connection of the pool. Link is set before anyone else sees it.
struct PooledConnection {
  std::shared_ptr<UpstreamConnection> Connection;
};
using ConnectionRef = std::shared_ptr<PooledConnection>;

enum class TaskOutcome : std::uint8_t {
  /// Reply says how the exchange ended.
  Exchanged,
  /// The rest did not run.
  QueueFull,
  TooLate,
  Expired,
  Unavailable,
  NotOwner,
};

struct TaskResult {
  TaskOutcome Outcome = TaskOutcome::Exchanged;
  UpstreamReply Reply;
  Instant SentAt;
  /// Expected wait of a new statement, after a refusal.
  Duration RetryAfter{0};
  /// Set when the work asked to keep its connection and the reply is Ok.
  ConnectionRef Connection;
};

/// One exchange with the upstream.
struct UpstreamTask {
  Priority WorkPriority = Priority::Normal;
  Instant Deadline;
  UpstreamCall Call;
  /// Connection of an open transaction; null takes one from the pool.
  ConnectionRef Pinned;
  /// Hands the connection to the caller instead of back to the pool.
  bool Pin = false;
  std::function<void(TaskResult)> Done;
};

/// Thread-safe; all state is under one mutex. Handlers run without it.
class UpstreamPool : public std::enable_shared_from_this<UpstreamPool> {
public:
  static std::shared_ptr<UpstreamPool> create(DataPathStateRef P,
                                              const Upstream &Target,
                                              std::string Database,
                                              const PriorityShares &Shares);

  /// Queues the work or refuses it; Done runs exactly once.
  void submit(UpstreamTask Task);

  /// Takes back a kept connection; \p Reuse only if no exchange is open on it.
  void release(ConnectionRef C, bool Reuse);

  /// Applies a changed configuration of the same address.
  void configure(const Upstream &Target, const PriorityShares &Shares);

  /// Refuses new work except steps of open transactions; running work ends
  /// normally.
  void retire();

  /// Checks every idle connection before its next use.
  void verifyIdle();

  std::array<Duration, PriorityCount> expectedWaits() const;
  OwnedUpstream summary() const;
  /// Queued and running work.
  std::size_t inProgress() const;
  /// Kept connections that statements can spare.
  unsigned maxPinned() const;
  const Upstream &target() const { return Target; }

private:
  struct Job {
    UpstreamTask Task;
    Timer::Id Expiry = 0;
    Instant SentAt;
    ConnectionRef Connection;
  };

  UpstreamPool(DataPathStateRef P, const Upstream &Target, std::string Database,
               const PriorityShares &Shares);

  unsigned poolLimit() const;
  void schedule(Deferred &Out);
  void startJob(TicketId Id, Deferred &Out);
  void dispatch(TicketId Id, ConnectionRef C, Deferred &Out);
  void finished(TicketId Id, const UpstreamReply &R);
  void expired(TicketId Id);
  void finishUnsent(TicketId Id, TaskOutcome End, bool HeldSlot, Deferred &Out);
  void returnToPool(ConnectionRef C, Deferred &Out);
  void drop(ConnectionRef C, Deferred &Out);
  void openConnections(Deferred &Out);
  void opened(ConnectionRef C, const UpstreamReply &R);
  Duration exchangeTimeout(const UpstreamTask &Task, Instant Now) const;
  void verifyIdleLocked(Duration Timeout, Deferred &Out);
  void verified(ConnectionRef C, const UpstreamReply &R);
  void failWaiting(Deferred &Out);

  const DataPathStateRef P;
  const std::string Database;
  /// Slots and ConnectionCap of the configuration are kept apart below.
  const Upstream Target;
  mutable std::mutex Mutex;
  unsigned Slots;
  unsigned ConnectionCap;
  AdmissionState Admission;
  LimitState Limit;
  HealthState Health;
  TicketId NextTicket = 1;
  std::unordered_map<TicketId, Job> Jobs;
  /// Jobs that hold a slot and wait for a connection.
  std::deque<TicketId> Waiting;
  std::vector<ConnectionRef> Idle;
  /// Open connections: idle, running, kept or being verified.
  unsigned OpenConnections = 0;
  unsigned OpeningConnections = 0;
  Duration Backoff{0};
  Instant RetryOpenAt;
  bool RetryScheduled = false;
  bool Retired = false;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_UPSTREAMPOOL_H
