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

class Owner : public std::enable_shared_from_this<Owner> {
public:
  explicit Owner(PartsRef P) : P(std::move(P)) {}

  /// \p Done runs exactly once.
  void forward(const peer::v1::Forward &Request, ForwardHandler Done);
  void snapshotChanged();
  peer::v1::StatusReport report(const std::string &Database) const;
  std::vector<OwnedUpstream> owned() const;
  /// Statements in progress and open transactions.
  std::size_t inProgress() const;
  /// Ends probes and closes idle connections.
  void close();

private:
  struct Entry {
    std::shared_ptr<Runner> Server;
    std::shared_ptr<Prober> Probing;
    std::string Database;
  };
  /// Probes a primary that another proxy owns.
  struct PrimaryProbe {
    UpstreamId Primary;
    std::string Address;
    std::shared_ptr<Prober> Probing;
  };

  std::shared_ptr<Runner> runner(const UpstreamId &Id) const;
  Entry startEntry(const Upstream &U, const std::string &Database,
                   const Snapshot &S);
  void watchPrimaries(const Snapshot &S);
  void startPrimaryProbe(const Upstream &U, const std::string &Database);
  void noteStatus(const std::string &Database, const UpstreamStatus &Status,
                  Instant SentAt);

  void runStatement(const ExecutionRef &E);
  void statementDone(const ExecutionRef &E, const WorkResult &R);
  void begin(const ExecutionRef &E);
  void begun(const ExecutionRef &E, const WorkResult &R);
  void runStep(const ExecutionRef &E);
  void stepDone(const ExecutionRef &E, const TransactionRef &T,
                const WorkResult &R);
  void commitDone(const ExecutionRef &E, const TransactionRef &T,
                  const WorkResult &R);
  void endTransaction(const TransactionRef &T, const caller::v1::RunAnswer &How,
                      bool ConnectionOpen, bool Reuse);
  void confirm(const ExecutionRef &E, const WorkResult &R, Durability Needed,
               std::function<void(Confirmation)> Done);
  void finish(const ExecutionRef &E, caller::v1::RunAnswer Answer,
              const WorkResult *R = nullptr,
              Duration Staleness = Duration::max());
  void rollBackAbandoned();

  const PartsRef P;
  Confirmer Confirming;
  Transactions Open;
  std::atomic<std::size_t> Running = 0;
  std::atomic<bool> Closed = false;
  mutable std::mutex Mutex;
  std::map<UpstreamId, Entry, std::less<>> Table;
  std::map<std::string, PrimaryProbe, std::less<>> PrimaryProbes;
  /// Upstreams given up that still have work in progress.
  std::vector<std::shared_ptr<Runner>> RetiredServers;
  bool AbandonedScheduled = false;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_STATEMENTEXECUTOR_H
