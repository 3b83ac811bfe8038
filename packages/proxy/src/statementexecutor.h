/// \file
/// Runs statements and transactions on the upstreams that this proxy owns, for
/// its own callers and for other proxies that forward to it.

#ifndef EELGRASSLOOM_PROXY_STATEMENTEXECUTOR_H
#define EELGRASSLOOM_PROXY_STATEMENTEXECUTOR_H

#include "confirm.h"
#include "ownedupstreams.h"
#include "transactions.h"
#include <atomic>

namespace eelgrassloom::detail {

/// A statement or a transaction step that runs at the owner of its upstream.
struct Execution;
using ExecutionRef = std::shared_ptr<Execution>;

/// Thread-safe.
class StatementExecutor
    : public std::enable_shared_from_this<StatementExecutor> {
public:
  explicit StatementExecutor(DataPathStateRef Shared)
      : P(std::move(Shared)), Upstreams(std::make_shared<OwnedUpstreams>(P)) {}

  /// Runs a request on the upstream that it names, or refuses it if this proxy
  /// does not own that upstream. \p Done runs exactly once.
  void runForwarded(const peer::v1::Forward &Request, ForwardHandler Done);
  /// Starts and retires pools and probes after a new snapshot was published.
  void snapshotChanged();
  const OwnedUpstreams &upstreams() const { return *Upstreams; }
  /// Number of statements in progress and open transactions.
  std::size_t inProgress() const;
  /// Stops all probes and closes idle connections; work in progress still
  /// ends.
  void close();

private:
  void runStatement(const ExecutionRef &E);
  void statementDone(const ExecutionRef &E, const TaskResult &R);
  void begin(const ExecutionRef &E);
  void begun(const ExecutionRef &E, const TaskResult &R);
  void runStep(const ExecutionRef &E);
  void stepDone(const ExecutionRef &E, const TransactionRef &T,
                const TaskResult &R);
  void commitDone(const ExecutionRef &E, const TransactionRef &T,
                  const TaskResult &R);
  /// Ends a transaction with \p Answer. \p ConnectionOpen: its connection goes
  /// back to the pool, which closes it unless \p Reuse is set.
  void endTransaction(const TransactionRef &T,
                      const caller::v1::RunAnswer &Answer, bool ConnectionOpen,
                      bool Reuse);
  /// Confirms with the other upstreams of the group that the term of the
  /// execution still holds.
  void confirm(const ExecutionRef &E, const TaskResult &R, Durability Needed,
               std::function<void(Confirmation)> Done);
  void finish(const ExecutionRef &E, caller::v1::RunAnswer Answer,
              const TaskResult *R = nullptr,
              Duration Staleness = Duration::max());
  /// Schedules a check for transactions that exceeded the idle timeout. The
  /// check repeats while transactions are open.
  void scheduleAbandonedCheck();

  const DataPathStateRef P;
  const std::shared_ptr<OwnedUpstreams> Upstreams;
  Confirmer Confirmations;
  Transactions OpenTransactions;
  std::atomic<std::size_t> Running = 0;
  std::atomic<bool> Closed = false;
  std::mutex Mutex;
  bool AbandonedCheckScheduled = false;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_STATEMENTEXECUTOR_H
