/// \file
/// Requests of callers at the proxy that received them.

#ifndef EELGRASSLOOM_PROXY_REQUESTROUTER_H
#define EELGRASSLOOM_PROXY_REQUESTROUTER_H

#include "kernel/retry.h"
#include "kernel/token.h"
#include "statementexecutor.h"
#include "wirestatus.h"

namespace eelgrassloom::detail {

/// A request of a caller from its arrival to its answer.
struct Call {
  caller::v1::RunRequest Request;
  AnswerHandler Done;
  SessionToken Token;
  Position SessionPosition;
  Instant Started;
  Instant Deadline;
  Priority WorkPriority = Priority::Normal;
  Duration StalenessBound{0};
  std::vector<UpstreamId> Excluded;
  /// Upstream of the current attempt.
  UpstreamId Target;
  /// When the request started to wait for a primary.
  std::optional<Instant> WaitingSince;
  bool Pulled = false;
  unsigned Attempts = 0;

  bool write() const { return Request.access() == caller::v1::ACCESS_WRITE; }
  bool begin() const { return Request.step() == caller::v1::STEP_BEGIN; }
  EventSubject subject() const {
    return {Request.database(), Target, Request.request_id(), Token.Session,
            ""};
  }
};
using CallRef = std::shared_ptr<Call>;

class RequestRouter : public std::enable_shared_from_this<RequestRouter> {
public:
  RequestRouter(DataPathStateRef P,
                std::shared_ptr<StatementExecutor> Executor);

  void run(const caller::v1::RunRequest &Request, AnswerHandler Done);
  std::size_t inProgress() const { return Running; }

private:
  using PeerDone = std::function<void(PeerCode, peer::v1::ForwardAnswer)>;

  /// The refusal of a request that can't be run here.
  std::optional<caller::v1::RunAnswer> prepare(Call &C, const Snapshot &S);
  RouteRequest routeRequest(const Call &C) const;
  void route(const CallRef &C);
  /// Chooses an upstream; nothing if the call was answered or waits.
  std::optional<Route> choose(const CallRef &C, const Snapshot &S,
                              const Database &D);
  void noUpstream(const CallRef &C, const Snapshot &S);
  bool refuseEarly(const CallRef &C, const Route &R, const Snapshot &S,
                   const std::vector<UpstreamSnapshot> &Snapshots);
  void attempt(const CallRef &C, const Route &R, const Snapshot &S);
  void attempted(const CallRef &C, PeerCode Code,
                 const peer::v1::ForwardAnswer &F);
  void verifyRead(const CallRef &C, const peer::v1::ForwardAnswer &F);
  /// Tries again if that is safe, useful and within the budget; otherwise
  /// answers with \p Otherwise.
  void retry(const CallRef &C, AttemptOutcome End,
             caller::v1::RunAnswer Otherwise, bool Exclude, Duration Delay);
  void step(const CallRef &C, const Snapshot &S);
  void stepDone(const CallRef &C, PeerCode Code,
                const peer::v1::ForwardAnswer &F);

  void send(const std::string &Address, peer::v1::Forward F, Duration Timeout,
            PeerDone Done);
  /// True unless the owners were asked within the probe interval.
  bool mayPull(const Database &D);
  /// Asks the other owners for their upstreams of a database; \p Done runs
  /// once, after their reports or a short wait.
  void pull(const Snapshot &S, const Database &D, std::function<void()> Done);
  void observeAnswer(const std::string &Database,
                     const peer::v1::ForwardAnswer &F);
  void observeReport(const std::string &Database,
                     const peer::v1::ObservedUpstream &U);
  void finish(const CallRef &C, caller::v1::RunAnswer Answer);

  const DataPathStateRef P;
  const std::shared_ptr<StatementExecutor> Executor;
  std::atomic<std::size_t> Running = 0;
  std::mutex Mutex;
  RetryBudget Budget;
  /// Last status pull, by database.
  std::map<std::string, Instant, std::less<>> PulledAt;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_REQUESTROUTER_H
