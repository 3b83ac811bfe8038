// What a session is told while the proxy stops.

#include "engine/engine.h"
#include "engine/session.h"

namespace eelgrassloom {
namespace detail {

/// Retry hint of a refusal because of a stop: other proxies run on.
constexpr Duration StopRetryHint = std::chrono::milliseconds(100);

} // namespace detail

bool Session::mustRefuse(StatementKind K) const {
  StopPhase Phase = SessionEngine.stopPhase();
  if (K == StatementKind::Begin || K == StatementKind::BeginRead)
    return Phase >= StopPhase::EndingTransactions;
  return detail::isDataStatement(K) && Phase >= StopPhase::Refusing;
}

/// The caller still has time to send the statement to another proxy, and its
/// answer might not arrive here before the process ends.
void Session::refuseStopping(const Statement &S) {
  if (!resolveRoute()) {
    refuseDatabase(S);
    return;
  }
  RefusedByStop = true;
  QueuedAtRefusal = Queue.size();
  logEnd(StatementOutcome::Refused, S.Id, detail::StoppingReason,
         Duration::zero());
  answerError(ReplyCode::Busy,
              std::string(detail::StoppingReason) + "; retry after " +
                  std::to_string(toMillis(detail::StopRetryHint)) + " ms");
}

void Session::logEnd(StatementOutcome Outcome, std::string_view Statement,
                     std::string_view Reason, Duration Age) {
  SessionEngine.counters().recordStatement(Route.WorkPriority, Outcome, Age);
  SessionEngine.events().write(Outcome == StatementOutcome::Unknown
                                   ? EngineEvent::StatementUnknown
                                   : EngineEvent::StatementRefused,
                               {{"id", Statement},
                                {"session", Id},
                                {"service", Route.Service},
                                {"customer", Customer},
                                {"rank", name(Route.WorkPriority)},
                                {"reason", Reason},
                                {"after_ms", Age}});
}

void Session::recordRefusal(const Statement &S, std::string_view Reason) {
  resolveRoute();
  logEnd(StatementOutcome::Refused, S.Id, Reason, Duration::zero());
}

void Session::abandonStatement() {
  if (!Current)
    return;
  auto Self = shared_from_this();
  JobRef J = Current;
  // Cancelling closes the connection of a transaction, which rolls it back, and
  // nothing that was not sent is sent later.
  bool MayHaveRun = J->Sent || J->ForwardedTo != nullptr;
  ServiceGroup->cancel(J);
  logEnd(MayHaveRun ? StatementOutcome::Unknown : StatementOutcome::Refused,
         J->Call.Id, detail::StoppingReason,
         SessionEngine.runtime().Now() - J->Arrived);
  JobResult Result;
  Result.Reply.NoAnswer = MayHaveRun;
  if (!MayHaveRun) {
    Result.Reply.Error = ReplyCode::Busy;
    Result.Reply.ErrorText = std::string(detail::StoppingReason);
  }
  handleResult(J, std::move(Result));
  processQueue();
}

} // namespace eelgrassloom
