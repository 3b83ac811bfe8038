#include "kernel/failover.h"
#include "randomtime.h"
#include <algorithm>
#include <tuple>

namespace eelgrassloom {
namespace detail {

static std::uint64_t makeNonce(std::mt19937_64 &Random) {
  return std::uniform_int_distribution<std::uint64_t>(1)(Random);
}

/// Context that the handlers of one step share.
struct Step {
  FailoverState &S;
  Instant Now;
  std::mt19937_64 &Random;
  FailoverActions Actions;

  void logProgress(FailoverProgress Kind, UpstreamId Upstream = UpstreamId()) {
    Actions.emplace_back(LogProgress{
        Kind, S.Current.Reason, S.Current.Phase,
        std::max(S.Record.Term, S.Current.Target.Term), std::move(Upstream)});
  }
};

static bool active(const FailoverState &S) {
  return S.Current.Phase != AttemptPhase::None;
}

/// True if the current attempt of this proxy wrote the record.
static bool ownRecord(const FailoverState &S, const GroupRecord &R) {
  return R.Candidate == S.Self && R.Nonce == S.Current.Id && active(S);
}

static bool isVoter(const FailoverState &S) {
  return std::find(S.Voters.begin(), S.Voters.end(), S.Self) != S.Voters.end();
}

/// True if an upstream is no longer configured or is marked as leaving, by the
/// configuration or by itself.
static bool leaving(const FailoverState &S, const UpstreamId &Id) {
  const Upstream *U = findUpstream(S.Group, Id);
  if (!U || U->Leaving)
    return true;
  auto It = S.Contacts.find(Id);
  return It != S.Contacts.end() && It->second.Status.Leaving;
}

static bool unreachableForTolerance(const FailoverState &S, const Contact &C) {
  return C.FailingSince &&
         C.LastFailure - *C.FailingSince >= S.Options.Tolerance;
}

/// True if the upstream is primary and has accepted no later term than \p Term.
static bool serves(const ReplicationStatus &Status, std::uint64_t Term) {
  return Status.UpstreamRole == Role::Primary && Status.RaisedTerm <= Term;
}

/// Ends the attempt. The next one may start after \p Pause plus jitter of the
/// same size.
static void stop(Step &C, Duration Pause) {
  C.S.Current = FailoverAttempt();
  C.S.NextAttempt = C.Now + Pause + uniform(Pause, C.Random);
}

/// Ends an attempt that has not finished. The pause is longer after a planned
/// attempt, which is not urgent, unless it has already replaced the stable
/// record.
static void abandon(Step &C) {
  if (!active(C.S))
    return;
  C.logProgress(FailoverProgress::Abandoned);
  bool Planned = C.S.Current.Reason == AttemptReason::Planned &&
                 C.S.Record.Phase == GroupPhase::Stable;
  stop(C, Planned ? C.S.Options.PlannedBackoff : C.S.Options.Backoff);
}

/// Replaces the known record if \p R is newer. Returns false if it is not.
static bool acceptRecord(Step &C, const GroupRecord &R) {
  FailoverState &S = C.S;
  bool First = !S.RecordKnown;
  S.RecordKnown = true;
  if (First)
    S.RecordSince = C.Now;
  if (!newer(R, S.Record))
    return false;
  S.Record = R;
  S.RecordSince = C.Now;
  S.HighestTerm = std::max(S.HighestTerm, R.Term);
  S.StallDelay = uniform(S.Options.StallJitter, C.Random);
  S.FailedVotes = 0;
  // Failures before the promotion say nothing about the new primary.
  if (auto It = S.Contacts.find(R.Primary); It != S.Contacts.end())
    It->second.FailingSince.reset();
  C.Actions.emplace_back(PublishRecord{R});
  return true;
}

/// Handles a record from the platform or a peer. A newer record that the
/// current attempt did not write ends the attempt.
static void handleRecord(Step &C, const GroupRecord &R) {
  if (acceptRecord(C, R) && active(C.S) && !ownRecord(C.S, R))
    abandon(C);
}

static void enter(Step &C, AttemptPhase Phase) {
  FailoverAttempt &A = C.S.Current;
  A.Phase = Phase;
  A.PhaseStarted = C.Now;
  A.NextRetry = C.Now + C.S.Options.RetryInterval;
  A.MajorityAt.reset();
  A.Answers.clear();
  A.Failed.clear();
}

/// Sends the request of the current phase to an upstream.
static void call(Step &C, const UpstreamId &Id) {
  const FailoverAttempt &A = C.S.Current;
  switch (A.Phase) {
  case AttemptPhase::Surveying:
  case AttemptPhase::CatchingUp:
    C.Actions.emplace_back(QueryStatus{A.Id, A.Phase, Id});
    break;
  case AttemptPhase::Raising:
    C.Actions.emplace_back(RaiseTerm{A.Id, A.Phase, Id, A.Target.Term});
    break;
  case AttemptPhase::Promoting:
    C.Actions.emplace_back(Promote{A.Id, A.Phase, Id, A.Target.Term});
    break;
  default:
    break;
  }
}

/// Sends the request of the current phase to all upstreams that have not
/// answered it.
static void callAll(Step &C) {
  for (const Upstream &U : C.S.Group.Upstreams)
    if (!C.S.Current.Answers.contains(U.Id))
      call(C, U.Id);
}

static void startSurvey(Step &C) {
  enter(C, AttemptPhase::Surveying);
  callAll(C);
}

static void readRecord(Step &C) {
  C.S.Current.NextRetry = C.Now + C.S.Options.RetryInterval;
  C.Actions.emplace_back(ReadRecord{C.S.Current.Id});
}

static void swapRecord(Step &C) {
  FailoverAttempt &A = C.S.Current;
  A.NextRetry = C.Now + C.S.Options.RetryInterval;
  C.Actions.emplace_back(SwapRecord{A.Id, A.Revision, A.Target});
}

static void begin(Step &C, AttemptReason Reason) {
  FailoverState &S = C.S;
  S.Current = FailoverAttempt();
  S.Current.Reason = Reason;
  S.Current.Id = makeNonce(C.Random);
  S.Current.Started = C.Now;
  S.Current.OldPrimary = S.Record.Primary;
  if (Reason != AttemptReason::Unreachable) {
    C.logProgress(FailoverProgress::AttemptStarted);
    startSurvey(C);
    return;
  }
  enter(C, AttemptPhase::Voting);
  C.logProgress(FailoverProgress::PrimaryUnreachable, S.Record.Primary);
  S.Current.Agreeing.insert(S.Self);
  if (S.Current.Agreeing.size() >= majority(S.Voters.size())) {
    startSurvey(C);
    return;
  }
  for (const ProxyId &Voter : S.Voters)
    if (Voter != S.Self)
      C.Actions.emplace_back(
          RequestVote{Voter, S.Record.Term, S.Record.Primary});
}

/// Ends a vote without a majority and backs off exponentially.
static void votesFailed(Step &C) {
  FailoverState &S = C.S;
  constexpr unsigned MaxDoublings = 6;
  Duration Pause = std::min(S.Options.MaxVoteBackoff,
                            S.Options.VoteBackoff *
                                (1U << std::min(S.FailedVotes, MaxDoublings)));
  ++S.FailedVotes;
  stop(C, Pause);
}

/// True if the primary is leaving and another upstream can take its place.
static bool primaryLeaving(const FailoverState &S) {
  return leaving(S, S.Record.Primary) &&
         std::any_of(S.Group.Upstreams.begin(), S.Group.Upstreams.end(),
                     [&](const Upstream &U) { return !leaving(S, U.Id); });
}

/// Starts an attempt if there is a reason for one, see AttemptReason.
static void startAttemptIfNeeded(Step &C) {
  FailoverState &S = C.S;
  if (!S.PlatformAvailable || !S.RecordKnown || !isVoter(S) ||
      C.Now < S.NextAttempt || S.Group.Upstreams.empty())
    return;
  Duration Age = C.Now - S.RecordSince;
  if (S.Record.Term == 0) {
    if (Age >= S.StallDelay)
      begin(C, AttemptReason::Absent);
    return;
  }
  if (S.Record.Phase == GroupPhase::Electing) {
    // An electing record of this proxy's own abandoned attempt can be
    // superseded without waiting for the stall timeout.
    if (S.Record.Candidate == S.Self ||
        Age >= S.Options.StallTimeout + S.StallDelay)
      begin(C, AttemptReason::Stalled);
    return;
  }
  auto Primary = S.Contacts.find(S.Record.Primary);
  if (Primary != S.Contacts.end() &&
      unreachableForTolerance(S, Primary->second))
    begin(C, AttemptReason::Unreachable);
  else if (primaryLeaving(S) && Age >= S.StallDelay)
    begin(C, AttemptReason::Planned);
}

/// The upstream to promote: the one whose last log entry is latest. Among equal
/// logs an upstream that is not leaving is preferred, then the present primary.
static UpstreamId selectNewPrimary(const FailoverState &S) {
  auto Key = [&](const auto &Entry) {
    return std::tuple(Entry.second.Applied, !leaving(S, Entry.first),
                      Entry.second.UpstreamRole == Role::Primary);
  };
  auto Best = std::max_element(
      S.Current.Answers.begin(), S.Current.Answers.end(),
      [&](const auto &A, const auto &B) { return Key(A) < Key(B); });
  return Best->first;
}

/// True once a majority has answered and either all other upstreams have
/// answered or failed, or the straggler timeout has passed. An old primary that
/// was found unreachable is not waited for.
static bool answersComplete(Step &C) {
  FailoverAttempt &A = C.S.Current;
  std::size_t Expected = C.S.Group.Upstreams.size();
  if (A.Answers.size() < majority(Expected))
    return false;
  if (!A.MajorityAt)
    A.MajorityAt = C.Now;
  std::size_t Done = A.Answers.size() + A.Failed.size();
  if (A.Reason == AttemptReason::Unreachable && !A.OldPrimary.empty() &&
      !A.Answers.contains(A.OldPrimary) && !A.Failed.contains(A.OldPrimary))
    ++Done;
  return Done >= Expected ||
         C.Now - *A.MajorityAt >= C.S.Options.StragglerTimeout;
}

/// Condition for going on with a planned promotion: a replica is at most
/// CatchUpEntries behind the primary, or the primary is no longer configured.
static bool replicaCanCatchUp(const FailoverState &S) {
  const FailoverAttempt &A = S.Current;
  auto Old = A.Answers.find(S.Record.Primary);
  if (Old == A.Answers.end())
    return !findUpstream(S.Group, S.Record.Primary);
  return std::any_of(A.Answers.begin(), A.Answers.end(), [&](const auto &E) {
    const Position &P = E.second.Applied;
    return !leaving(S, E.first) && P.Term == Old->second.Applied.Term &&
           P.Index + S.Options.CatchUpEntries >= Old->second.Applied.Index;
  });
}

/// Checks the answers to the survey. Abandons the attempt if the primary still
/// serves; otherwise goes on once the answers are complete.
static void checkSurvey(Step &C) {
  FailoverState &S = C.S;
  auto Old = S.Current.Answers.find(S.Record.Primary);
  if (S.Current.Reason == AttemptReason::Unreachable &&
      Old != S.Current.Answers.end() && serves(Old->second, S.Record.Term)) {
    S.Contacts[S.Record.Primary].FailingSince.reset();
    abandon(C);
    return;
  }
  if (!answersComplete(C))
    return;
  if (S.Current.Reason == AttemptReason::Planned && !replicaCanCatchUp(S)) {
    abandon(C);
    return;
  }
  if (S.Current.Reason == AttemptReason::Unreachable)
    C.logProgress(FailoverProgress::AttemptStarted);
  enter(C, AttemptPhase::Reading);
  readRecord(C);
}

static void raiseTerms(Step &C) {
  enter(C, AttemptPhase::Raising);
  callAll(C);
}

/// Chooses the term of the attempt and writes the electing record, unless the
/// platform holds a newer record than the known one.
static void claim(Step &C, const RecordRead &R) {
  FailoverState &S = C.S;
  if (newer(R.Record, S.Record)) {
    handleRecord(C, R.Record);
    return;
  }
  FailoverAttempt &A = S.Current;
  A.Target = GroupRecord();
  A.Target.Database = S.Group.Name;
  A.Target.Term = std::max(S.Record.Term, S.HighestTerm) + 1;
  A.Target.Candidate = S.Self;
  A.Target.Nonce = A.Id;
  A.Target.History = S.Record.History;
  A.Revision = R.Revision;
  enter(C, AttemptPhase::Claiming);
  swapRecord(C);
}

/// The electing record is stored: raises the term, in a planned promotion first
/// on the old primary alone.
static void claimed(Step &C, std::uint64_t Revision) {
  FailoverState &S = C.S;
  const UpstreamId &Old = S.Current.OldPrimary;
  S.Current.Revision = Revision;
  acceptRecord(C, S.Current.Target);
  C.logProgress(FailoverProgress::Claimed);
  if (S.Current.Reason != AttemptReason::Planned ||
      !findUpstream(S.Group, Old)) {
    raiseTerms(C);
    return;
  }
  enter(C, AttemptPhase::CatchingUp);
  C.Actions.emplace_back(RaiseTerm{S.Current.Id, AttemptPhase::CatchingUp, Old,
                                   S.Current.Target.Term});
}

/// The stable record is stored: tells the other upstreams to follow the new
/// primary and ends the attempt.
static void finished(Step &C) {
  FailoverState &S = C.S;
  acceptRecord(C, S.Current.Target);
  C.logProgress(FailoverProgress::Finished, S.Record.Primary);
  for (const Upstream &U : S.Group.Upstreams)
    if (U.Id != S.Record.Primary) {
      S.Contacts[U.Id].LastFollow = C.Now;
      C.Actions.emplace_back(Follow{U.Id, S.Record.Term, S.Record.Primary});
    }
  bool Planned = S.Current.Reason == AttemptReason::Planned;
  stop(C, Planned ? S.Options.PlannedBackoff : S.Options.Backoff);
}

/// Goes on to raise the term on all upstreams once a replica has applied
/// everything that the old primary accepted, or the catch-up time has passed.
static void catchUp(Step &C) {
  FailoverState &S = C.S;
  FailoverAttempt &A = S.Current;
  bool CaughtUp =
      A.CatchUpPosition &&
      std::any_of(A.Answers.begin(), A.Answers.end(), [&](const auto &E) {
        return E.first != A.OldPrimary && !leaving(S, E.first) &&
               E.second.Applied >= *A.CatchUpPosition;
      });
  if (CaughtUp || C.Now - A.PhaseStarted >= S.Options.CatchUpTime)
    raiseTerms(C);
}

/// Promotes the upstream with the latest log once enough upstreams have raised
/// their term.
static void checkRaisedTerms(Step &C) {
  if (!answersComplete(C))
    return;
  FailoverState &S = C.S;
  UpstreamId Best = selectNewPrimary(S);
  enter(C, AttemptPhase::Promoting);
  S.Current.Chosen = Best;
  call(C, Best);
}

/// The chosen upstream has become primary: writes the stable record. Its
/// history is the one that the upstream reports, with the new term added if the
/// upstream has not included it.
static void promoted(Step &C, const ReplicationStatus &Status) {
  FailoverAttempt &A = C.S.Current;
  A.Target.Phase = GroupPhase::Stable;
  A.Target.Primary = A.Chosen;
  A.Target.History = Status.History;
  if (A.Target.History.empty() || A.Target.History.back().Term < A.Target.Term)
    A.Target.History.push_back({A.Target.Term, Status.Applied.Index});
  C.logProgress(FailoverProgress::Promoted, A.Chosen);
  enter(C, AttemptPhase::Finishing);
  swapRecord(C);
}

/// Runs the timers of the current phase.
static void progress(Step &C) {
  FailoverState &S = C.S;
  FailoverAttempt &A = S.Current;
  // After the promotion the database becomes writable only with the stable
  // record, so that compare-and-swap has no timeout: it is repeated until it
  // succeeds or another record is seen.
  if (A.Phase != AttemptPhase::Finishing &&
      C.Now - A.Started >= S.Options.AttemptTimeout) {
    abandon(C);
    return;
  }
  switch (A.Phase) {
  case AttemptPhase::Voting:
    if (C.Now - A.PhaseStarted >= S.Options.VoteTimeout)
      votesFailed(C);
    return;
  case AttemptPhase::Surveying:
    checkSurvey(C);
    break;
  case AttemptPhase::CatchingUp:
    catchUp(C);
    break;
  case AttemptPhase::Raising:
    checkRaisedTerms(C);
    break;
  default:
    break;
  }
  if (!active(S) || C.Now < A.NextRetry)
    return;
  A.NextRetry = C.Now + S.Options.RetryInterval;
  switch (A.Phase) {
  case AttemptPhase::Reading:
  case AttemptPhase::Claiming:
  case AttemptPhase::Finishing:
    // A swap without a response may have taken effect. Reading the record
    // shows whether it did.
    readRecord(C);
    break;
  case AttemptPhase::Promoting:
    call(C, A.Chosen);
    break;
  case AttemptPhase::CatchingUp:
    if (!A.CatchUpPosition)
      C.Actions.emplace_back(
          RaiseTerm{A.Id, A.Phase, A.OldPrimary, A.Target.Term});
    break;
  default:
    A.Failed.clear();
    callAll(C);
    break;
  }
}

/// Discards everything learned before a pause of this process.
static void discard(Step &C) {
  FailoverState &S = C.S;
  if (active(S))
    C.logProgress(FailoverProgress::PauseDiscarded);
  S.Contacts.clear();
  S.DiscardedAt = C.Now;
  S.RecordSince = C.Now;
  S.FailedVotes = 0;
  stop(C, S.Options.Backoff);
}

static void handle(Step &C, const FailoverTick &) {
  if (active(C.S))
    progress(C);
  if (!active(C.S))
    startAttemptIfNeeded(C);
}

static void handle(Step &C, const GroupConfigured &E) {
  FailoverState &S = C.S;
  bool SameUpstreams = std::equal(
      S.Group.Upstreams.begin(), S.Group.Upstreams.end(),
      E.Group.Upstreams.begin(), E.Group.Upstreams.end(),
      [](const Upstream &A, const Upstream &B) { return A.Id == B.Id; });
  S.Group = E.Group;
  S.Voters = E.Voters;
  std::erase_if(S.Contacts, [&](const auto &Entry) {
    return !findUpstream(S.Group, Entry.first);
  });
  // An attempt counts its majority over a fixed set of upstreams.
  if (!SameUpstreams)
    abandon(C);
}

static void handle(Step &C, const RecordSeen &E) { handleRecord(C, E.Record); }

static void handle(Step &C, const PlatformReachable &E) {
  C.S.PlatformAvailable = E.Available;
}

/// Tells an upstream to follow the primary if it missed the promotion or has
/// stopped replicating.
static void followIfNeeded(Step &C, const UpstreamId &Id, Contact &Known) {
  FailoverState &S = C.S;
  if (S.Record.Phase != GroupPhase::Stable || S.Record.Term == 0 ||
      Id == S.Record.Primary || Known.Status.RaisedTerm > S.Record.Term ||
      C.Now - Known.LastFollow < S.Options.FollowInterval)
    return;
  bool Outdated = Known.Status.RaisedTerm < S.Record.Term ||
                  Known.Status.UpstreamRole == Role::Primary;
  auto Primary = S.Contacts.find(S.Record.Primary);
  bool Stuck = Primary != S.Contacts.end() &&
               Known.Status.Applied != Primary->second.Status.Applied &&
               C.Now - Known.LastProgress >= S.Options.FollowInterval;
  if (!Outdated && !Stuck)
    return;
  Known.LastFollow = C.Now;
  C.Actions.emplace_back(Follow{Id, S.Record.Term, S.Record.Primary});
}

static void handle(Step &C, const UpstreamContact &E) {
  FailoverState &S = C.S;
  if (!findUpstream(S.Group, E.Upstream))
    return;
  if (!E.Status && E.StartedAt < S.DiscardedAt)
    return;
  Contact &Known = S.Contacts[E.Upstream];
  bool Failing = !E.Status;
  if (E.Status) {
    S.HighestTerm = std::max(S.HighestTerm, E.Status->RaisedTerm);
    if (E.Status->Applied != Known.Status.Applied)
      Known.LastProgress = C.Now;
    Known.Status = *E.Status;
    // A primary that no longer serves its term counts as unreachable.
    Failing = E.Upstream == S.Record.Primary &&
              S.Record.Phase == GroupPhase::Stable &&
              !serves(*E.Status, S.Record.Term);
  }
  if (Failing) {
    if (!Known.FailingSince)
      Known.FailingSince = E.StartedAt;
    Known.LastFailure = C.Now;
  } else {
    Known.FailingSince.reset();
    if (E.Upstream == S.Record.Primary) {
      S.FailedVotes = 0;
      if (S.Current.Phase == AttemptPhase::Voting)
        abandon(C);
    }
  }
  if (E.Status)
    followIfNeeded(C, E.Upstream, Known);
}

static void handle(Step &C, const VoteReceived &E) {
  FailoverState &S = C.S;
  if (S.Current.Phase != AttemptPhase::Voting || E.Term != S.Record.Term ||
      E.PrimaryReachable ||
      std::find(S.Voters.begin(), S.Voters.end(), E.From) == S.Voters.end())
    return;
  S.Current.Agreeing.insert(E.From);
  if (S.Current.Agreeing.size() >= majority(S.Voters.size()))
    startSurvey(C);
}

/// Continues from the stored record after a compare-and-swap, whether or not
/// its outcome was reported.
static void resolveSwap(Step &C, const GroupRecord &Record,
                        std::uint64_t Revision) {
  FailoverState &S = C.S;
  FailoverAttempt &A = S.Current;
  bool Own = ownRecord(S, Record) && Record.Term == A.Target.Term;
  if (A.Phase == AttemptPhase::Claiming) {
    if (Own)
      claimed(C, Revision);
    else if (Revision == A.Revision)
      swapRecord(C);
    else if (newer(Record, S.Record))
      handleRecord(C, Record);
    else
      abandon(C);
    return;
  }
  if (Own && Record.Phase == GroupPhase::Stable) {
    finished(C);
  } else if (Own) {
    A.Revision = Revision;
    swapRecord(C);
  } else if (newer(Record, S.Record)) {
    handleRecord(C, Record);
  } else {
    abandon(C);
  }
}

static bool swapping(const FailoverState &S) {
  return S.Current.Phase == AttemptPhase::Claiming ||
         S.Current.Phase == AttemptPhase::Finishing;
}

static void handle(Step &C, const RecordSwapped &E) {
  FailoverState &S = C.S;
  if (E.Attempt != S.Current.Id || !swapping(S))
    return;
  switch (E.Outcome) {
  case SwapOutcome::Swapped:
  case SwapOutcome::Conflict:
    resolveSwap(C, E.Record, E.Revision);
    return;
  case SwapOutcome::Unknown:
    readRecord(C);
    return;
  }
}

static void handle(Step &C, const RecordRead &E) {
  FailoverState &S = C.S;
  if (E.Attempt != S.Current.Id || !E.Ok)
    return;
  if (S.Current.Phase == AttemptPhase::Reading)
    claim(C, E);
  else if (swapping(S))
    resolveSwap(C, E.Record, E.Revision);
}

/// Handles an answer in CatchingUp. The first one of the old primary fixes the
/// position that a replica has to reach; the replicas are queried after it.
static void handleCatchUpAnswer(Step &C, const UpstreamAnswered &E) {
  FailoverAttempt &A = C.S.Current;
  A.Answers[E.Upstream] = E.Status;
  if (E.Upstream == A.OldPrimary && !A.CatchUpPosition) {
    A.CatchUpPosition = E.Status.Applied;
    for (const Upstream &U : C.S.Group.Upstreams)
      if (U.Id != A.OldPrimary)
        call(C, U.Id);
    return;
  }
  catchUp(C);
  // Queries the replica again until one has caught up.
  if (A.Phase == AttemptPhase::CatchingUp && A.CatchUpPosition &&
      E.Upstream != A.OldPrimary)
    call(C, E.Upstream);
}

static void handle(Step &C, const UpstreamAnswered &E) {
  FailoverState &S = C.S;
  FailoverAttempt &A = S.Current;
  if (E.Outcome != CallOutcome::Unknown)
    S.HighestTerm = std::max(S.HighestTerm, E.Status.RaisedTerm);
  if (!active(S) || E.Attempt != A.Id || E.Phase != A.Phase)
    return;
  bool Superseded =
      E.Outcome == CallOutcome::Refused && A.Phase != AttemptPhase::Surveying;
  if (Superseded) {
    abandon(C);
    return;
  }
  if (E.Outcome == CallOutcome::Ok)
    A.Failed.erase(E.Upstream);
  else
    A.Failed.insert(E.Upstream);
  switch (A.Phase) {
  case AttemptPhase::Surveying:
    if (E.Outcome == CallOutcome::Ok)
      A.Answers[E.Upstream] = E.Status;
    checkSurvey(C);
    return;
  case AttemptPhase::CatchingUp:
    if (E.Outcome == CallOutcome::Ok)
      handleCatchUpAnswer(C, E);
    return;
  case AttemptPhase::Raising:
    if (E.Outcome == CallOutcome::Ok)
      A.Answers[E.Upstream] = E.Status;
    checkRaisedTerms(C);
    return;
  case AttemptPhase::Promoting:
    if (E.Outcome == CallOutcome::Ok)
      promoted(C, E.Status);
    return;
  default:
    return;
  }
}

static void handle(Step &C, const PauseDetected &) { discard(C); }

} // namespace detail

bool newer(const GroupRecord &A, const GroupRecord &B) {
  return std::pair(A.Term, A.Phase) > std::pair(B.Term, B.Phase);
}

FailoverState makeFailover(FailoverOptions Options, ProxyId Self,
                           Database Group, std::vector<ProxyId> Voters,
                           Instant Now) {
  FailoverState S;
  S.Options = Options;
  S.Self = std::move(Self);
  S.Group = std::move(Group);
  S.Record.Database = S.Group.Name;
  S.Voters = std::move(Voters);
  S.RecordSince = Now;
  S.NextAttempt = Now;
  S.DiscardedAt = Now;
  S.LastStep = Now;
  return S;
}

FailoverActions step(FailoverState &S, const FailoverEvent &Event, Instant Now,
                     std::mt19937_64 &Random) {
  detail::Step C{S, Now, Random, {}};
  if (Now - S.LastStep > S.Options.PauseLimit)
    detail::discard(C);
  S.LastStep = Now;
  std::visit([&](const auto &E) { detail::handle(C, E); }, Event);
  return std::move(C.Actions);
}

bool primaryReachable(const FailoverState &S, std::uint64_t Term,
                      const UpstreamId &Primary, Instant Now) {
  // The requester must not promote on the basis of an outdated record. A
  // process that was paused can't tell whether the primary is unreachable.
  if (S.Record.Term > Term || Now - S.LastStep > S.Options.PauseLimit)
    return true;
  auto It = S.Contacts.find(Primary);
  return It == S.Contacts.end() ||
         !detail::unreachableForTolerance(S, It->second);
}

} // namespace eelgrassloom
