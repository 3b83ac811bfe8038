// Permission to begin operations of customers whose number of operations is
// limited.

#include "engine/engine.h"
#include "engine/session.h"

namespace eelgrassloom {
namespace detail {

constexpr std::string_view OverLimitReason =
    "the limit of the customer is reached";

} // namespace detail

bool Session::needsPermit(const Job &J) const {
  bool Begins =
      J.Kind == JobKind::Autocommit || J.Kind == JobKind::FirstInTransaction;
  return Begins && !Customer.empty() && SessionEngine.limiter().Acquire;
}

void Session::requestPermit(const JobRef &J) {
  const OperationLimiter &Limiter = SessionEngine.limiter();
  Limiter.Acquire(Customer,
                  [Self = shared_from_this(), J](OperationPermit Permit) {
                    Engine &E = Self->SessionEngine;
                    E.counters().recordOperation(J->Customer, Permit.Granted);
                    if (J->Finished) {
                      // The caller has left meanwhile.
                      if (Permit.Granted)
                        E.limiter().GiveBack(J->Customer);
                      return;
                    }
                    if (!Permit.Granted) {
                      Self->refuseOverLimit(J, Permit.RetryAfter);
                      return;
                    }
                    J->HoldsPermit = true;
                    Self->ServiceGroup->submit(J);
                  });
}

void Session::refuseOverLimit(const JobRef &J, Duration RetryAfter) {
  J->Finished = true;
  logEnd(StatementOutcome::Refused, J->Call.Id, detail::OverLimitReason,
         SessionEngine.runtime().Now() - J->Arrived);
  JobResult Result;
  Result.Reply.Error = ReplyCode::Busy;
  Result.Reply.ErrorText = std::string(detail::OverLimitReason) +
                           "; retry after " +
                           std::to_string(toMillis(RetryAfter)) + " ms";
  auto Done = std::move(J->Done);
  Done(std::move(Result));
}

void Session::giveBackPermit(const Job &J, const ServerReply &Reply) {
  bool DidNotRun = Reply.Error && detail::keepsNothing(*Reply.Error) &&
                   *Reply.Error != ReplyCode::Aborted;
  if (J.HoldsPermit && DidNotRun && !J.ReachedServer)
    SessionEngine.limiter().GiveBack(J.Customer);
}

} // namespace eelgrassloom
