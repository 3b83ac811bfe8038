/// \file
/// Runs statements on the upstreams that this proxy owns.

#ifndef EELGRASSLOOM_PROXY_STATEMENTEXECUTOR_H
#define EELGRASSLOOM_PROXY_STATEMENTEXECUTOR_H

#include "confirm.h"
#include "transactions.h"
#include <atomic>

namespace eelgrassloom::detail {

/// A statement or a transaction step at its owner.
struct Execution;
using ExecutionRef = std::shared_ptr<Execution>;

class StatementExecutor
    : public std::enable_shared_from_this<StatementExecutor> {
public:
  explicit StatementExecutor(DataPathStateRef P) : P(std::move(P)) {}

  /// \p Done runs exactly once.
  void runForwarded(const peer::v1::Forward &Request, ForwardHandler Done);
  void snapshotChanged();
  peer::v1::StatusReport report(const std::string &Database) const;
  std::vector<OwnedUpstream> owned() const;
  /// Statements in progress and open transactions.
  std::size_t inProgress() const;
  /// Ends probes and closes idle connections.
  void close();

private:
  struct PooledUpstream {
    std::shared_ptr<UpstreamPool> Pool;
    std::shared_ptr<StatusProber> Prober;
    std::string Database;
  };
  /// Probes a primary that another proxy owns.
  struct PrimaryProbe {
    UpstreamId Primary;
    std::string Address;
    std::shared_ptr<StatusProber> Prober;
  };

  std::shared_ptr<UpstreamPool> pool(const UpstreamId &Id) const;
  PooledUpstream startUpstream(const Upstream &U, const std::string &Database,
                               const Snapshot &S);
  void updatePrimaryProbes(const Snapshot &S);
  void startPrimaryProbe(const Upstream &U, const std::string &Database);
  void observeStatus(const std::string &Database, const UpstreamStatus &Status,
                     Instant SentAt);

  void runStatement(const ExecutionRef &E);
  void statementDone(const ExecutionRef &E, const TaskResult &R);
  void begin(const ExecutionRef &E);
  void begun(const ExecutionRef &E, const TaskResult &R);
  void runStep(const ExecutionRef &E);
  void stepDone(const ExecutionRef &E, const TransactionRef &T,
                const TaskResult &R);
  void commitDone(const ExecutionRef &E, const TransactionRef &T,
                  const TaskResult &R);
  void endTransaction(const TransactionRef &T,
                      const caller::v1::RunAnswer &Answer, bool ConnectionOpen,
                      bool Reuse);
  void confirm(const ExecutionRef &E, const TaskResult &R, Durability Needed,
               std::function<void(Confirmation)> Done);
  void finish(const ExecutionRef &E, caller::v1::RunAnswer Answer,
              const TaskResult *R = nullptr,
              Duration Staleness = Duration::max());
  void rollBackAbandoned();

  const DataPathStateRef P;
  Confirmer Confirmations;
  Transactions OpenTransactions;
  std::atomic<std::size_t> Running = 0;
  std::atomic<bool> Closed = false;
  mutable std::mutex Mutex;
  std::map<UpstreamId, PooledUpstream, std::less<>> Table;
  std::map<std::string, PrimaryProbe, std::less<>> PrimaryProbes;
  /// Upstreams given up that still have work in progress.
  std::vector<std::shared_ptr<UpstreamPool>> RetiredPools;
  bool AbandonedScheduled = false;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_STATEMENTEXECUTOR_H
