// Statements of a group that no server can run now: which of them wait, which
// are sent to a fallback proxy and which are refused.

#include "engine/forward.h"
#include "engine/group.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Shortest retry hint of a refusal. Hints are spread over one to three times
/// this value by session, so that callers do not return together.
constexpr Duration MinRetryHint = std::chrono::milliseconds(100);

} // namespace detail

bool Group::canServe(const Job &J, const std::vector<ServerLoad> &Loads,
                     Instant Now) const {
  return primaryReachable(Loads) ||
         servable(makePlacementRequest(J, Now), Loads);
}

/// Sends a statement that no server can run now to a fallback proxy, or refuses
/// it: a caller that is refused at once still has time to try another proxy.
/// During a promotion no proxy can run it, so it is not sent to one; it waits
/// if the successor is expected in time.
void Group::handleUnservable(const JobRef &J,
                             const std::vector<ServerLoad> &Loads,
                             Instant Now) {
  if (J->Finished || !J->Waiting || canServe(*J, Loads, Now))
    return;
  bool Revoked = Record.Stage == GroupStage::Revoking;
  if (!Revoked && Forwarder != nullptr && Forwarder->forwardToFallback(J)) {
    dequeue(J);
    return;
  }
  Duration MaxWait = J->Arrived + maxWait(J->Route.StatementTimeout) - Now;
  if (successorExpected(outage(Now), MaxWait))
    return;
  refuse(J, ReplyCode::Busy, unservableReason(Now), true);
}

PrimaryOutage Group::outage(Instant Now) const {
  PrimaryOutage Outage;
  Outage.Revoked = Record.Stage == GroupStage::Revoking;
  if (!valid(Lease, Now))
    Outage.RecordAge = Now - RecordSeenAt;
  return Outage;
}

std::string_view Group::unservableReason(Instant Now) const {
  if (Record.Stage == GroupStage::Revoking)
    return "the primary is being replaced";
  return valid(Lease, Now) ? "the primary can't be reached"
                           : "no primary may be used";
}

void Group::forwardWaiting() {
  if (!OwnersNeeded || Forwarder->owns(Service))
    return;
  std::vector<JobRef> Jobs(Waiting.begin(), Waiting.end());
  for (const JobRef &J : Jobs) {
    if (J->ForwardedState || !J->Waiting)
      continue;
    dequeue(J);
    J->LocalOnly = false;
    submit(J);
  }
}

/// Time after which the caller should try again: when the promotion is likely
/// to have finished, else a short pause.
Duration Group::retryHint(const Job &J) const {
  Duration Pause = detail::MinRetryHint * static_cast<int>(1 + J.Session % 3);
  PrimaryOutage Outage = outage(Hooks.Now());
  if (Outage.Revoked && Outage.RecordAge)
    Pause +=
        std::max(Duration::zero(), TypicalPromotionTime - *Outage.RecordAge);
  return Pause;
}

bool Group::refuseRemovedKey(const JobRef &J) {
  auto Code = CheckKey ? CheckKey(*J) : std::nullopt;
  if (!Code)
    return false;
  if (J->Running != 0)
    removeFromQueue(J); // The attempt in progress answers it.
  else
    refuse(J, *Code, "the key of the caller was removed");
  return true;
}

void Group::refuseRemovedKeys() {
  std::vector<JobRef> Jobs(Waiting.begin(), Waiting.end());
  for (const JobRef &J : Jobs)
    if (J->Waiting)
      refuseRemovedKey(J);
}

void Group::refuse(const JobRef &J, ReplyCode Code, std::string_view Reason,
                   bool Unservable) {
  Events.write(EngineEvent::StatementRefused,
               {{"id", J->Call.Id},
                {"session", J->Session},
                {"service", Service},
                {"customer", J->Customer},
                {"rank", name(J->Route.WorkPriority)},
                {"reason", Reason},
                {"waiting", static_cast<std::uint64_t>(Waiting.size())},
                {"epoch", Lease.Epoch},
                {"grant_ms", Lease.Until - Hooks.Now()},
                {"after_ms", Hooks.Now() - J->Arrived}});
  Counters.recordStatement(J->Route.WorkPriority, StatementOutcome::Refused,
                           Hooks.Now() - J->Arrived);
  J->Finished = true;
  dequeue(J);
  JobResult Result;
  Result.Unservable = Unservable;
  Result.Reply.Error = Code;
  Result.Reply.ErrorText = Reason;
  // A key that is not known is not known later either.
  if (Code != ReplyCode::NotAuthorized)
    Result.Reply.ErrorText +=
        "; retry after " + std::to_string(toMillis(retryHint(*J))) + " ms";
  auto Done = std::move(J->Done);
  if (Done)
    Done(std::move(Result));
}

} // namespace eelgrassloom
