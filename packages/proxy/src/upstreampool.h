/// \file
/// Admission queue, slots and connection pool of one owned upstream.

#ifndef EELGRASSLOOM_PROXY_UPSTREAMPOOL_H
#define EELGRASSLOOM_PROXY_UPSTREAMPOOL_H

#include "datapathstate.h"
#include "kernel/health.h"
#include "kernel/limit.h"
#include <deque>
#include <unordered_map>

namespace eelgrassloom::detail {

/// A connection of the pool. Connection is set before the object is shared.
struct PooledConnection {
  std::shared_ptr<UpstreamConnection> Connection;
};
using ConnectionRef = std::shared_ptr<PooledConnection>;

/// Exchanged, or the reason why the task was not sent.
enum class TaskOutcome : std::uint8_t {
  /// The task was sent; Reply tells how the exchange ended.
  Exchanged,
  QueueFull,
  /// The deadline has passed, or the expected wait exceeds it.
  TooLate,
  /// The deadline passed while the task was queued.
  Expired,
  /// No connection could be opened.
  Unavailable,
  /// This proxy does not own the upstream, or does not any more.
  NotOwner,
};

struct TaskResult {
  TaskOutcome Outcome = TaskOutcome::Exchanged;
  UpstreamReply Reply;
  Instant SentAt;
  /// If the task was not sent: expected wait of a new statement.
  Duration RetryAfter{0};
  /// Set if the task pins its connection and the reply is Ok. The receiver
  /// returns it by UpstreamPool::release().
  ConnectionRef Connection;
};

/// One exchange with the upstream.
struct UpstreamTask {
  Priority WorkPriority = Priority::Normal;
  Instant Deadline;
  UpstreamCall Call;
  /// Connection of an open transaction; if null, the pool provides one.
  ConnectionRef Pinned;
  /// The connection goes to Done instead of back to the pool.
  bool Pin = false;
  std::function<void(TaskResult)> Done;
};

/// Admits tasks by priority and runs them on pooled connections. Thread-safe:
/// one mutex guards all state, and handlers run without it.
class UpstreamPool : public std::enable_shared_from_this<UpstreamPool> {
public:
  static std::shared_ptr<UpstreamPool> create(DataPathStateRef P,
                                              const Upstream &Target,
                                              std::string Database,
                                              const PriorityShares &Shares);

  /// Queues the task or refuses it; its Done runs exactly once.
  void submit(UpstreamTask Task);

  /// Takes back a pinned connection. \p Reuse may only be set if no exchange is
  /// in progress on it; otherwise the connection is closed.
  void release(ConnectionRef C, bool Reuse);

  /// Applies a changed configuration of an upstream with the same address.
  void configure(const Upstream &Target, const PriorityShares &Shares);

  /// Refuses new tasks except steps of open transactions. Queued and running
  /// tasks end normally.
  void retire();

  /// Queries the status on every idle connection before its next use, and
  /// closes those that do not answer.
  void verifyIdle();

  std::array<Duration, PriorityCount> expectedWaits() const;
  OwnedUpstream summary() const;
  /// Number of queued and running tasks.
  std::size_t inProgress() const;
  /// Number of connections that transactions may pin at a time: those that are
  /// not needed to fill the slots, at least one.
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

  /// Largest number of connections of the pool.
  unsigned poolLimit() const;

  // Functions with a Deferred parameter are called with the mutex held. The
  // caller runs the collected calls after it has released the mutex.

  /// Starts the jobs that admission selects and ends those that waited too
  /// long.
  void schedule(Deferred &Out);
  void startJob(TicketId Id, Deferred &Out);
  /// Sends the call of a job.
  void dispatch(TicketId Id, ConnectionRef C, Deferred &Out);
  void finished(TicketId Id, const UpstreamReply &R);
  void expired(TicketId Id);
  /// Ends a job that was not sent. \p HeldSlot: admission had started it.
  void finishUnsent(TicketId Id, TaskOutcome Outcome, bool HeldSlot,
                    Deferred &Out);
  /// Gives a connection to the first job that waits for one, or keeps it idle.
  void returnToPool(ConnectionRef C, Deferred &Out);
  void drop(ConnectionRef C, Deferred &Out);
  /// Opens connections for waiting jobs and for all slots, within the limit of
  /// the pool and the backoff.
  void openConnections(Deferred &Out);
  void opened(ConnectionRef C, const UpstreamReply &R);
  Duration exchangeTimeout(const UpstreamTask &Task, Instant Now) const;
  void verifyIdleLocked(Duration Timeout, Deferred &Out);
  void verified(ConnectionRef C, const UpstreamReply &R);
  /// Ends all jobs that wait for a connection as Unavailable.
  void failWaiting(Deferred &Out);

  const DataPathStateRef P;
  const std::string Database;
  /// As configured at creation. Later changes of Slots and ConnectionCap are
  /// applied to the members below.
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
  /// Open connections: idle, running an exchange, pinned or being verified.
  unsigned OpenConnections = 0;
  unsigned OpeningConnections = 0;
  Duration Backoff{0};
  Instant RetryOpenAt;
  bool RetryScheduled = false;
  bool Retired = false;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_UPSTREAMPOOL_H
