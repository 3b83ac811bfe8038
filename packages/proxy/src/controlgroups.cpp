#include "controlstate.h"
#include "proxy/configwire.h"
#include <algorithm>

namespace eelgrassloom::detail {
namespace {

/// Timeout of a call to an upstream during a promotion. Opening a connection
/// takes about 10 ms; an upstream that exceeds the timeout is treated as
/// unreachable.
constexpr Duration PromotionCallTimeout = std::chrono::milliseconds(250);
/// Timeout of the request to follow a new primary.
constexpr Duration FollowTimeout = std::chrono::seconds(1);
/// Interval of reads of a primary record that no peer has sent.
constexpr Duration RecordReadInterval = std::chrono::seconds(1);

template <class... Ts> struct Overloaded : Ts... { using Ts::operator()...; };
template <class... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

/// Version of the gossip item. A learned record gets the version of an electing
/// one. The stable record of its own term and every record of a later term
/// therefore replace it; the electing record of its own term does not.
std::uint64_t itemVersion(const GroupRecord &R, bool Learned) {
  return groupVersion(R.Term, !Learned && R.Phase == GroupPhase::Stable);
}

/// Name of the candidate in calls to upstreams. An upstream accepts a term that
/// it has raised already only from the same candidate. The nonce distinguishes
/// the attempts of a proxy, so that a later attempt can't use a term that was
/// promised to an abandoned one.
std::string candidateName(const ControlState &S, std::uint64_t Nonce) {
  return S.C.Options.Id + "#" + std::to_string(Nonce);
}

/// Null if this proxy is not a voter for the database.
FailoverGroup *failoverGroup(ControlState &S, const std::string &Database) {
  auto It = S.FailoverGroups.find(Database);
  return It == S.FailoverGroups.end() ? nullptr : &It->second;
}

CallOutcome outcome(UpstreamCode Code) {
  if (Code == UpstreamCode::Ok)
    return CallOutcome::Ok;
  return unanswered(Code) ? CallOutcome::Unknown : CallOutcome::Refused;
}

/// Carries out the actions of one database's failover state machine.
class GroupActions {
public:
  GroupActions(ControlState &S, std::string Database)
      : S(S), Name(std::move(Database)) {}

  void operator()(const RequestVote &A) const {
    peer::v1::PeerMessage M;
    M.mutable_vote_request()->set_database(Name);
    M.mutable_vote_request()->set_term(A.Term);
    M.mutable_vote_request()->set_primary(A.Primary);
    std::string Address = peerAddress(S, A.To);
    if (Address.empty())
      return;
    Duration Timeout = failoverGroup(S, Name)->Failover.Options.VoteTimeout;
    peerRequest(S, Address, std::move(M), Timeout,
                [Db = Name, From = A.To](ControlState &State, PeerCode Code,
                                         const peer::v1::PeerMessage &R) {
                  if (Code == PeerCode::Ok && R.has_vote_answer())
                    stepGroup(
                        State, Db,
                        VoteReceived{From, R.vote_answer().term(),
                                     R.vote_answer().primary_reachable()});
                });
  }

  void operator()(const ReadRecord &A) const {
    platformGet(S, groupKey(Name),
                [Db = Name, A](ControlState &State, const PlatformReply &R) {
                  RecordRead Read;
                  Read.Attempt = A.Attempt;
                  Read.Ok = R.Code == PlatformCode::Ok;
                  Read.Revision = R.Entry.Revision;
                  Read.Ok = Read.Ok && decode(R.Entry, Db, Read.Record);
                  stepGroup(State, Db, Read);
                });
  }

  void operator()(const SwapRecord &A) const {
    PlatformEntry Entry{groupKey(Name),
                        configwire::toWire(A.Record).SerializeAsString(), 0};
    platformSwap(S, Entry, A.ExpectedRevision,
                 [Db = Name, A](ControlState &State, const PlatformReply &R) {
                   stepGroup(State, Db, swapped(A, R, Db));
                 });
  }

  void operator()(const QueryStatus &A) const { call(A, UpstreamCall()); }
  void operator()(const RaiseTerm &A) const {
    UpstreamCall Call;
    Call.Operation = UpstreamOperation::RaiseTerm;
    Call.Term = A.Term;
    Call.Candidate = candidate();
    call(A, Call);
  }
  void operator()(const Promote &A) const {
    S.C.Events->record(events::TermRaised, {Name, A.Upstream, "", "", ""},
                       "term " + std::to_string(A.Term) +
                           " is held by a majority");
    UpstreamCall Call;
    Call.Operation = UpstreamOperation::Promote;
    Call.Term = A.Term;
    Call.Candidate = candidate();
    call(A, Call);
  }

  void operator()(const Follow &A) const {
    const Database *D = findDatabase(S.Config, Name);
    const Upstream *Target = D ? findUpstream(*D, A.Upstream) : nullptr;
    const Upstream *Primary = D ? findUpstream(*D, A.Primary) : nullptr;
    if (!Target || !Primary)
      return;
    UpstreamCall Call;
    Call.Operation = UpstreamOperation::Follow;
    Call.Term = A.Term;
    // The upstream dials this address itself; this proxy's address map does not
    // apply to it.
    Call.PrimaryAddress = Primary->Address;
    upstreamExchange(S, Name, *Target, Call, FollowTimeout,
                     [Db = Name](ControlState &State, const UpstreamReply &R) {
                       if (R.Code == UpstreamCode::Ok)
                         statusObserved(State, Db, R.Status);
                     });
  }

  void operator()(const PublishRecord &A) const {
    acceptGroup(S, A.Record, false);
  }

  void operator()(const LogProgress &N) const {
    EventSubject Subject{Name, N.Upstream, "", "", ""};
    std::string Text = "term " + std::to_string(N.Term) + ", reason " +
                       std::string(eelgrassloom::name(N.Reason)) + ", phase " +
                       std::string(eelgrassloom::name(N.Phase));
    switch (N.Kind) {
    case FailoverProgress::PrimaryUnreachable:
      S.C.Events->record(events::PrimaryUnreachable, Subject, Text);
      break;
    case FailoverProgress::Claimed:
      S.C.Events->record(events::ElectionStarted, Subject, Text);
      break;
    case FailoverProgress::Promoted:
      S.C.Events->record(events::PrimaryPromoted, Subject, Text);
      break;
    case FailoverProgress::Abandoned:
      S.C.Events->record(events::ElectionLost, Subject, Text);
      break;
    case FailoverProgress::AttemptStarted:
    case FailoverProgress::Finished:
    case FailoverProgress::PauseDiscarded:
      break;
    }
  }

private:
  std::string candidate() const {
    return candidateName(S,
                         failoverGroup(S, Name)->Failover.Current.Target.Nonce);
  }

  /// Calls an upstream over a new connection and hands the result to the state
  /// machine, with the attempt and the phase of the action.
  template <class Action>
  void call(const Action &A, const UpstreamCall &Call) const {
    UpstreamAnswered Answer;
    Answer.Attempt = A.Attempt;
    Answer.Phase = A.Phase;
    Answer.Upstream = A.Upstream;
    const Database *D = findDatabase(S.Config, Name);
    const Upstream *Target = D ? findUpstream(*D, A.Upstream) : nullptr;
    if (!Target) {
      S.Post([Db = Name, Answer](ControlState &State) {
        stepGroup(State, Db, Answer);
      });
      return;
    }
    upstreamExchange(
        S, Name, *Target, Call, PromotionCallTimeout,
        [Db = Name, Answer](ControlState &State, const UpstreamReply &R) {
          UpstreamAnswered Completed = Answer;
          Completed.Outcome = outcome(R.Code);
          Completed.Status = configwire::replicationStatus(R.Status);
          stepGroup(State, Db, Completed);
          if (Completed.Outcome == CallOutcome::Ok)
            statusObserved(State, Db, R.Status);
        });
  }

  /// Decodes a primary record; an absent one gets term 0. Returns false if the
  /// value is malformed.
  static bool decode(const PlatformEntry &Entry, const std::string &Db,
                     GroupRecord &Out) {
    config::v1::GroupRecord Wire;
    if (Entry.Revision != 0 &&
        (!Wire.ParseFromString(Entry.Value) || Wire.database() != Db))
      return false;
    Out = configwire::group(Wire);
    Out.Database = Db;
    return true;
  }

  static RecordSwapped swapped(const SwapRecord &A, const PlatformReply &R,
                               const std::string &Db) {
    RecordSwapped E;
    E.Attempt = A.Attempt;
    E.Revision = R.Entry.Revision;
    if (R.Code == PlatformCode::Ok) {
      E.Outcome = SwapOutcome::Swapped;
      E.Record = A.Record;
    } else if (R.Code == PlatformCode::Conflict &&
               decode(R.Entry, Db, E.Record)) {
      E.Outcome = SwapOutcome::Conflict;
    }
    return E;
  }

  ControlState &S;
  std::string Name;
};

/// Reads a primary record from the platform and hands it, or its absence, to
/// the state machine.
void readRecord(ControlState &S, const std::string &Database) {
  FailoverGroup &G = *failoverGroup(S, Database);
  G.Reading = true;
  G.NextRead = S.Now + jittered(S, RecordReadInterval);
  platformGet(S, groupKey(Database),
              [Database](ControlState &State, const PlatformReply &R) {
                FailoverGroup *Group = failoverGroup(State, Database);
                if (!Group)
                  return;
                Group->Reading = false;
                if (R.Code != PlatformCode::Ok)
                  return;
                Group->RecordRead = true;
                if (R.Entry.Revision != 0) {
                  groupRead(State, R.Entry);
                  return;
                }
                RecordSeen Absent;
                Absent.Record.Database = Database;
                stepGroup(State, Database, Absent);
              });
}

/// Returns a copy of the database in which every upstream for which isLeaving()
/// is true is marked as leaving.
Database withLeaving(const ControlState &S, const Database &D) {
  Database Marked = D;
  for (Upstream &U : Marked.Upstreams)
    U.Leaving = isLeaving(S, U);
  return Marked;
}

} // namespace

std::string groupKey(const std::string &Database) {
  return "group/" + Database;
}

std::string groupItemValue(const GroupRecord &R, bool Learned) {
  config::v1::GroupRecord Wire = configwire::toWire(R);
  if (Learned) {
    Wire.clear_candidate();
    Wire.clear_nonce();
  }
  return Wire.SerializeAsString();
}

void acceptGroup(ControlState &S, const GroupRecord &R, bool Learned) {
  auto It = S.Groups.find(R.Database);
  if (It != S.Groups.end() &&
      itemVersion(R, Learned) <=
          itemVersion(It->second.Record, It->second.Learned))
    return;
  S.Groups[R.Database] = {R, Learned};
  S.OwnershipDirty = true;
  S.C.Events->record(
      events::GroupAccepted, {R.Database, R.Primary, "", "", ""},
      "term " + std::to_string(R.Term) +
          (Learned
               ? ", learned from the status of the primary"
               : (R.Phase == GroupPhase::Stable ? ", stable" : ", electing")));
  putItems(S, {{groupKey(R.Database), itemVersion(R, Learned),
                groupItemValue(R, Learned)}});
}

void groupReceived(ControlState &S, const GroupRecord &R) {
  acceptGroup(S, R, false);
  if (FailoverGroup *G = failoverGroup(S, R.Database)) {
    G->RecordRead = true;
    stepGroup(S, R.Database, RecordSeen{R});
  }
}

void stepGroup(ControlState &S, const std::string &Database,
               const FailoverEvent &Event) {
  FailoverGroup *G = failoverGroup(S, Database);
  if (!G)
    return;
  FailoverActions Actions = step(G->Failover, Event, S.Now, S.Random);
  for (const FailoverAction &A : Actions) {
    // An earlier action may have changed the ownership, so that this proxy is
    // no longer a voter.
    if (!failoverGroup(S, Database))
      return;
    std::visit(GroupActions(S, Database), A);
  }
}

void stepAllGroups(ControlState &S, const FailoverEvent &Event) {
  std::vector<std::string> Names;
  for (const auto &Entry : S.FailoverGroups)
    Names.push_back(Entry.first);
  for (const std::string &Name : Names)
    stepGroup(S, Name, Event);
}

void configureGroups(ControlState &S) {
  std::set<std::string, std::less<>> Keep;
  for (const Database &D : S.Config.Databases) {
    std::vector<ProxyId> Voters = votersOf(S.Owners, D);
    bool IsVoter =
        std::find(Voters.begin(), Voters.end(), S.C.Options.Id) != Voters.end();
    if (!IsVoter || S.Draining)
      continue;
    Keep.insert(D.Name);
    Database Marked = withLeaving(S, D);
    if (failoverGroup(S, D.Name)) {
      stepGroup(S, D.Name, GroupConfigured{Marked, Voters});
      continue;
    }
    FailoverOptions Options;
    Options.Tolerance = S.C.Options.FailoverTolerance;
    Options.PauseLimit = PauseLimit;
    S.FailoverGroups[D.Name].Failover =
        makeFailover(Options, S.C.Options.Id, Marked, Voters, S.Now);
    stepGroup(S, D.Name, PlatformReachable{S.Platform.Reachable});
    auto Known = S.Groups.find(D.Name);
    if (Known != S.Groups.end() && !Known->second.Learned)
      stepGroup(S, D.Name, RecordSeen{Known->second.Record});
  }
  std::erase_if(S.FailoverGroups,
                [&](const auto &Entry) { return !Keep.contains(Entry.first); });
}

void tickGroups(ControlState &S) {
  std::vector<std::string> Unread;
  for (const auto &Entry : S.FailoverGroups)
    if (!Entry.second.RecordRead && !Entry.second.Reading &&
        S.Now >= Entry.second.NextRead)
      Unread.push_back(Entry.first);
  for (const std::string &Name : Unread)
    readRecord(S, Name);
  stepAllGroups(S, FailoverTick{});
}

void voteRequested(ControlState &S, const peer::v1::VoteRequest &Request,
                   const PeerResponder &Respond) {
  const FailoverGroup *G = failoverGroup(S, Request.database());
  peer::v1::PeerMessage M;
  auto *Answer = M.mutable_vote_answer();
  Answer->set_database(Request.database());
  Answer->set_term(Request.term());
  // A proxy that is not a voter does not probe the primary and can't confirm
  // that it is unreachable.
  Answer->set_primary_reachable(
      !G ||
      primaryReachable(G->Failover, Request.term(), Request.primary(), S.Now));
  Respond(std::move(M));
}

} // namespace eelgrassloom::detail
