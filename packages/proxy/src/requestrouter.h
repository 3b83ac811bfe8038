/// \file
/// Handles requests of callers at the proxy that received them: validates each
/// request, chooses an upstream, has the owner of that upstream run the request
/// and retries where that is safe.

#ifndef EELGRASSLOOM_PROXY_REQUESTROUTER_H
#define EELGRASSLOOM_PROXY_REQUESTROUTER_H

#include "kernel/retry.h"
#include "kernel/token.h"
#include "statementexecutor.h"
#include "statusreports.h"
#include "wirestatus.h"
#include <set>

namespace eelgrassloom::detail {

/// A request of a caller from its arrival to its answer.
struct PendingRequest {
  caller::v1::RunRequest Request;
  AnswerHandler Done;
  SessionToken Token;
  /// Position of the database that the session has seen.
  Position SessionPosition;
  Instant Started;
  Instant Deadline;
  Priority WorkPriority = Priority::Normal;
  /// Largest staleness that the answer to a read may have. Zero: the answer
  /// must be current.
  Duration StalenessBound{0};
  /// Upstreams at which a read has failed. They are chosen again only if no
  /// other upstream can run it.
  std::vector<UpstreamId> Excluded;
  /// Upstream of the current attempt.
  UpstreamId Target;
  /// When the request started to wait for an upstream that can run it.
  std::optional<Instant> WaitingSince;
  /// Status reports of other owners were already requested for this request.
  bool StatusPulled = false;
  unsigned Attempts = 0;
  /// Answer to an attempt of a write that may have run. A refusal of a later
  /// attempt would claim that the request did not run, so this answer is given
  /// instead.
  std::optional<caller::v1::RunAnswer> MayHaveRun;
  /// Set once. Results of attempts in progress are dropped from then on.
  std::atomic<bool> Answered = false;

  bool write() const { return Request.access() == caller::v1::ACCESS_WRITE; }
  bool begin() const { return Request.step() == caller::v1::STEP_BEGIN; }
  EventSubject subject() const {
    return {Request.database(), Target, Request.request_id(), Token.Session,
            ""};
  }
};
using PendingRequestRef = std::shared_ptr<PendingRequest>;

/// Thread-safe. Requests that upstreams of this proxy run go to the executor,
/// all others are forwarded to the owner by a peer message.
class RequestRouter : public std::enable_shared_from_this<RequestRouter> {
public:
  RequestRouter(DataPathStateRef P,
                std::shared_ptr<StatementExecutor> Executor);

  /// \p Done runs exactly once.
  void run(const caller::v1::RunRequest &Request, AnswerHandler Done);
  /// Requests of callers that are not answered yet.
  std::size_t inProgress() const { return Running; }
  /// Answers all requests in progress as unknown, because the process ends.
  void abandonRequests();

private:
  using PeerDone = std::function<void(PeerCode, peer::v1::ForwardAnswer)>;

  /// Validates the request and fills in what routing needs. Returns the answer
  /// if the request can't be run here.
  std::optional<caller::v1::RunAnswer> prepare(PendingRequest &C,
                                               const Snapshot &S);
  RouteRequest routeRequest(const PendingRequest &C) const;
  /// Starts one attempt: chooses an upstream, after requesting status reports
  /// if too little is known about the upstreams, and sends the request.
  void route(const PendingRequestRef &C);
  /// Chooses an upstream. Returns nothing if the request was answered or will
  /// be routed again later.
  std::optional<Route> choose(const PendingRequestRef &C, const Snapshot &S,
                              const Database &D);
  /// Routes the request again later; refuses it after MaxUpstreamWait.
  void handleNoUpstream(const PendingRequestRef &C, const Snapshot &S);
  /// Refuses the request if the wait expected at another owner exceeds its
  /// deadline. Returns true if it did.
  bool refuseEarly(const PendingRequestRef &C, const Route &R,
                   const Snapshot &S,
                   const std::vector<UpstreamSnapshot> &Snapshots);
  /// Runs the request at the owner of the chosen upstream.
  void attempt(const PendingRequestRef &C, const Route &R, const Snapshot &S);
  /// Answers the request or retries it, depending on how the attempt ended.
  void attempted(const PendingRequestRef &C, PeerCode Code,
                 const peer::v1::ForwardAnswer &F);
  /// Checks the answer to a read against the session and the staleness bound.
  void verifyRead(const PendingRequestRef &C, const peer::v1::ForwardAnswer &F);
  /// Routes the request again if a retry is safe, can finish before the
  /// deadline and is within the retry budget; otherwise answers with
  /// \p Otherwise. \p Exclude excludes the current upstream for reads.
  void retry(const PendingRequestRef &C, AttemptOutcome LastOutcome,
             caller::v1::RunAnswer Otherwise, bool Exclude, Duration Delay);
  /// Sends a step of an open transaction to the proxy that holds it.
  void step(const PendingRequestRef &C, const Snapshot &S);
  void stepDone(const PendingRequestRef &C, PeerCode Code,
                const peer::v1::ForwardAnswer &F);

  void send(const std::string &Address, peer::v1::Forward F, Duration Timeout,
            PeerDone Done);
  void finish(const PendingRequestRef &C, caller::v1::RunAnswer Answer);
  /// Passes the complete answer to the caller and counts it. Called once for a
  /// request.
  void deliver(const PendingRequestRef &C, caller::v1::RunAnswer Answer);

  const DataPathStateRef P;
  const std::shared_ptr<StatementExecutor> Executor;
  const std::shared_ptr<StatusReports> Reports;
  std::atomic<std::size_t> Running = 0;
  std::mutex Mutex;
  /// Requests that were accepted and are not answered yet.
  std::set<PendingRequestRef> Pending;
  RetryBudget Budget;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_REQUESTROUTER_H
