/// \file
/// The attempts of RequestRouter: a request is sent to the owner of an
/// upstream, and its answer decides whether it is tried again.

#include "answers.h"
#include "requestrouter.h"
#include <algorithm>

namespace eelgrassloom::detail {

using namespace caller::v1;
using std::chrono::milliseconds;

namespace {

/// Delay before a retry that can only succeed after the control thread has
/// published a new snapshot.
constexpr Duration SnapshotUpdateDelay = milliseconds(20);
/// Minimum timeout of one attempt of a read, not counting the wait for a
/// replica to catch up. The deadline of the request still limits it.
constexpr Duration MinReadTimeout = milliseconds(600);
/// The deadline sent to the owner ends this much (at most a tenth of the
/// timeout) before the timeout of this proxy, so that the answer of the owner
/// arrives in time.
constexpr Duration MaxAnswerMargin = milliseconds(10);
/// Expected duration of an attempt in retry decisions; the router has no
/// measured value.
constexpr Duration DefaultAttemptTime = milliseconds(5);

/// Moves the session to the position of a write. If the log that ran it has
/// lost the session's position, the token keeps that position, so that the next
/// request of the session is told.
void advanceSession(PendingRequest &C, const peer::v1::ForwardAnswer &F) {
  UpstreamStatus Status = fromWire(F.status());
  if (lineage(Status.History, C.SessionPosition) != Lineage::Lost)
    advance(C.Token, C.Request.database(), fromWire(F.position()));
}

} // namespace

void RequestRouter::attempt(const PendingRequestRef &C, const Route &R,
                            const Snapshot &S) {
  C->Target = R.Target;
  ++C->Attempts;
  Duration Remaining = C->Deadline - P->now();
  Duration Timeout = Remaining;
  bool Read = !C->write() && !C->begin();
  if (Read)
    Timeout = std::min(
        Remaining, std::max<Duration>(MinReadTimeout + R.Wait, Remaining / 2));
  peer::v1::Forward F;
  *F.mutable_request() = C->Request;
  F.mutable_request()->clear_token();
  F.set_upstream(R.Target);
  F.set_deadline_us(
      toMicros(Timeout - std::min<Duration>(MaxAnswerMargin, Timeout / 10)));
  if (C->SessionPosition != Position{})
    toWire(C->SessionPosition, *F.mutable_min_position());
  F.set_wait_ms(static_cast<std::uint32_t>(toMillis(R.Wait)));
  if (auto It = S.Groups.find(C->Request.database()); It != S.Groups.end())
    F.set_term(It->second.Term);
  P->Context.Events->record(events::RequestRouted, C->subject(), "");
  auto Owner = S.Owners.find(R.Target);
  if (Owner != S.Owners.end() && Owner->second.Owner == P->Context.Options.Id) {
    Executor->runForwarded(
        F, [Self = shared_from_this(), C](const peer::v1::ForwardAnswer &A) {
          Self->attempted(C, PeerCode::Ok, A);
        });
    return;
  }
  if (Owner == S.Owners.end() || Owner->second.Address.empty()) {
    retry(C, AttemptOutcome::NotSent,
          refused(REASON_UPSTREAM_UNAVAILABLE,
                  "the owner of the upstream is not known", milliseconds(50)),
          true, SnapshotUpdateDelay);
    return;
  }
  send(Owner->second.Address, std::move(F), Timeout,
       [Self = shared_from_this(), C](PeerCode Code,
                                      const peer::v1::ForwardAnswer &A) {
         Self->attempted(C, Code, A);
       });
}

void RequestRouter::attempted(const PendingRequestRef &C, PeerCode Code,
                              const peer::v1::ForwardAnswer &F) {
  if (Code == PeerCode::NotSent) {
    retry(C, AttemptOutcome::NotSent,
          refused(REASON_UPSTREAM_UNAVAILABLE,
                  "the owner of the upstream can't be reached",
                  milliseconds(50)),
          true, SnapshotUpdateDelay);
    return;
  }
  if (Code == PeerCode::TimedOut) {
    retry(C, AttemptOutcome::NoAnswer,
          unknown(REASON_CONNECTION_LOST,
                  "the owner of the upstream did not answer"),
          true, Duration::zero());
    return;
  }
  Reports->observeAnswer(C->Request.database(), F);
  const RunAnswer &A = F.answer();
  switch (A.outcome()) {
  case OUTCOME_OK:
    if (C->write() || C->begin()) {
      advanceSession(*C, F);
      finish(C, A);
    } else {
      verifyRead(C, F);
    }
    return;
  case OUTCOME_REFUSED_NOT_RUN: {
    auto S = P->snapshot();
    auto Group = S->Groups.find(C->Request.database());
    bool FromPrimary =
        Group != S->Groups.end() && Group->second.Primary == C->Target;
    // Only the term history of the current primary decides that a position was
    // lost; a replica may still follow an older term with another history.
    bool Final = A.reason() == REASON_BAD_REQUEST ||
                 (A.reason() == REASON_POSITION_LOST && FromPrimary);
    if (Final) {
      if (A.reason() == REASON_POSITION_LOST)
        P->Context.Events->record(events::PositionLost, C->subject(),
                                  "the log of the primary lacks the position");
      finish(C, A);
      return;
    }
    bool SnapshotOutdated = F.not_owner() || A.reason() == REASON_NO_PRIMARY ||
                            A.reason() == REASON_UPSTREAM_UNAVAILABLE;
    retry(C, F.not_owner() ? AttemptOutcome::NotOwner : AttemptOutcome::NotRun,
          A, true, SnapshotOutdated ? SnapshotUpdateDelay : Duration::zero());
    return;
  }
  case OUTCOME_UNKNOWN:
    if (A.reason() == REASON_TOO_LARGE)
      advanceSession(*C, F);
    if (A.reason() == REASON_ID_EXPIRED || A.reason() == REASON_TOO_LARGE)
      finish(C, A);
    else
      // If the term was not confirmed, the retry needs a snapshot with a newer
      // group record.
      retry(C, AttemptOutcome::NoAnswer, A, true,
            A.reason() == REASON_NOT_CONFIRMED ? SnapshotUpdateDelay
                                               : Duration::zero());
    return;
  default:
    finish(C, A);
    return;
  }
}

void RequestRouter::verifyRead(const PendingRequestRef &C,
                               const peer::v1::ForwardAnswer &F) {
  RouteRequest Request = routeRequest(*C);
  Position At = fromWire(F.position());
  UpstreamStatus Status = fromWire(F.status());
  if (satisfies(Request, Status.History, At, fromMicros(F.staleness_us()))) {
    // A read with a staleness bound that fell back to the primary guarantees no
    // more than its bound. Advancing the session to the primary's position
    // would send its next reads to the primary too, until a replica has caught
    // up.
    if (Status.UpstreamRole == Role::Replica ||
        C->StalenessBound <= Duration::zero())
      advance(C->Token, C->Request.database(), At);
    P->Context.Meters->reads(Status.UpstreamRole).Increment();
    finish(C, F.answer());
    return;
  }
  retry(C, AttemptOutcome::NoAnswer,
        unknown(REASON_REPLICA_BEHIND,
                "the answer was older than the session or its bound allows"),
        true, Duration::zero());
}

void RequestRouter::retry(const PendingRequestRef &C,
                          AttemptOutcome LastOutcome, RunAnswer Otherwise,
                          bool Exclude, Duration Delay) {
  RetryContext Context;
  Context.Outcome = LastOutcome;
  Context.Write = C->write() || C->begin();
  // If the answer to a begin is lost, its transaction stays open at the owner,
  // so a begin that may have run is not sent again.
  Context.NonIdempotent = C->Request.non_idempotent() || C->begin();
  Context.HasRequestId = !C->Request.request_id().empty();
  Context.Remaining = C->Deadline - P->now() - Delay;
  Context.ExpectedAttempt = DefaultAttemptTime;
  if (C->write() && LastOutcome == AttemptOutcome::NoAnswer)
    C->MayHaveRun = Otherwise;
  Context.MayHaveRun = C->MayHaveRun.has_value();
  bool Sent = LastOutcome != AttemptOutcome::NotSent;
  // A non-idempotent request is sent to an owner at most once, whatever the
  // answer.
  RetryDecision Decision = RetryDecision::Unsafe;
  if (!(C->Request.non_idempotent() && Sent)) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Decision = mayRetry(Budget, Context);
  }
  if (Decision != RetryDecision::Retry) {
    finish(C, std::move(Otherwise));
    return;
  }
  if (Exclude && !Context.Write)
    C->Excluded.push_back(C->Target);
  P->Context.Events->record(events::RequestRetried, C->subject(),
                            reasonName(Otherwise.reason()));
  auto Reroute = [Self = shared_from_this(), C] { Self->route(C); };
  if (Delay > Duration::zero())
    P->timers().after(Delay, Reroute);
  else
    Reroute();
}

void RequestRouter::step(const PendingRequestRef &C, const Snapshot &S) {
  auto Handle = parseTransactionHandle(C->Request.transaction());
  if (!Handle) {
    finish(C,
           refused(REASON_BAD_REQUEST, "the transaction handle is malformed"));
    return;
  }
  Duration Remaining = C->Deadline - P->now();
  peer::v1::Forward F;
  *F.mutable_request() = C->Request;
  F.mutable_request()->clear_token();
  F.set_transaction(Handle->Id);
  F.set_deadline_us(toMicros(
      Remaining - std::min<Duration>(MaxAnswerMargin, Remaining / 10)));
  PeerDone Done = [Self = shared_from_this(),
                   C](PeerCode Code, const peer::v1::ForwardAnswer &A) {
    Self->stepDone(C, Code, A);
  };
  if (Handle->Owner == P->Context.Options.Id) {
    Executor->runForwarded(
        F, [Done](const peer::v1::ForwardAnswer &A) { Done(PeerCode::Ok, A); });
    return;
  }
  auto Peer = S.Peers.find(Handle->Owner);
  if (Peer == S.Peers.end()) {
    // The proxy that held the transaction is not a live member any more. When
    // its connection ended, the database rolled the transaction back, unless a
    // commit was sent earlier and ran.
    finish(C, C->Request.step() == STEP_COMMIT
                  ? unknown(REASON_TRANSACTION_LOST,
                            "the proxy of the transaction is gone; an earlier "
                            "commit may have run")
                  : failed(REASON_TRANSACTION_LOST,
                           "the proxy of the transaction is gone"));
    return;
  }
  send(Peer->second, std::move(F), Remaining, std::move(Done));
}

void RequestRouter::stepDone(const PendingRequestRef &C, PeerCode Code,
                             const peer::v1::ForwardAnswer &F) {
  if (Code == PeerCode::NotSent) {
    finish(C, refused(REASON_UPSTREAM_UNAVAILABLE,
                      "the proxy of the transaction can't be reached",
                      milliseconds(50)));
    return;
  }
  if (Code == PeerCode::TimedOut) {
    finish(C, unknown(REASON_CONNECTION_LOST,
                      "the proxy of the transaction did not answer"));
    return;
  }
  Reports->observeAnswer(C->Request.database(), F);
  if (F.answer().outcome() == OUTCOME_OK && C->Request.step() == STEP_COMMIT)
    advanceSession(*C, F);
  finish(C, F.answer());
}

void RequestRouter::send(const std::string &Address, peer::v1::Forward F,
                         Duration Timeout, PeerDone Done) {
  peer::v1::PeerMessage M;
  *M.mutable_forward() = std::move(F);
  P->Context.Peers->request(
      Address, std::move(M), Timeout,
      [Done = std::move(Done)](PeerCode Code,
                               const peer::v1::PeerMessage &Answer) {
        // An answer of another type does not tell whether the statement ran, so
        // it counts as no answer.
        if (Code == PeerCode::Ok && !Answer.has_forward_answer())
          Code = PeerCode::TimedOut;
        Done(Code, Answer.forward_answer());
      });
}

} // namespace eelgrassloom::detail
