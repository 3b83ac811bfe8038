/// \file
/// Failover and planned promotion of the primary of a database. Each voter of a
/// database, that is each proxy that owns one of its upstreams, runs one state
/// machine for it. The machines agree through compare-and-swaps of the group
/// record on the platform: the proxy that writes the electing record of a term
/// is the only one that may promote an upstream in this term.

#ifndef EELGRASSLOOM_KERNEL_FAILOVER_H
#define EELGRASSLOOM_KERNEL_FAILOVER_H

#include "kernel/model.h"
#include "kernel/position.h"
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassloom {

/// Electing: a proxy has claimed the term and has not published the primary of
/// the term yet.
enum class GroupPhase : std::uint8_t { Electing, Stable };

/// The record of a database's primary, the value of `group/<database>` on the
/// platform. Records are ordered by (Term, Phase); a record is only replaced by
/// a later one.
struct GroupRecord {
  std::string Database;
  /// Term 0 stands for an absent record.
  std::uint64_t Term = 0;
  GroupPhase Phase = GroupPhase::Electing;
  /// Empty while electing.
  UpstreamId Primary;
  /// The proxy that claimed the term.
  ProxyId Candidate;
  /// Identifies one attempt of one proxy.
  std::uint64_t Nonce = 0;
  TermHistory History;

  bool operator==(const GroupRecord &) const = default;
};

/// True if \p A is later than \p B and replaces it.
bool newer(const GroupRecord &A, const GroupRecord &B);

struct FailoverOptions {
  /// A primary counts as failed once new connections to it have failed for this
  /// time.
  Duration Tolerance = std::chrono::milliseconds(800);
  /// Time for the other voters to answer a vote request.
  Duration VoteTimeout = std::chrono::milliseconds(150);
  /// Interval at which unanswered requests of an attempt are sent again.
  Duration RetryInterval = std::chrono::milliseconds(200);
  /// Wait for the remaining upstreams once a majority has answered.
  Duration StragglerTimeout = std::chrono::milliseconds(50);
  /// A planned promotion starts only if some replica is at most this many log
  /// entries behind the primary.
  std::uint64_t CatchUpEntries = 200;
  /// Time that a planned promotion waits for a replica to catch up. The
  /// promotion goes on after it even if no replica has.
  Duration CatchUpTime = std::chrono::milliseconds(500);
  /// An attempt that takes longer is abandoned.
  Duration AttemptTimeout = std::chrono::milliseconds(1200);
  /// An electing record of this age, plus jitter, is superseded by a new
  /// attempt, because its candidate may have stopped.
  Duration StallTimeout = std::chrono::milliseconds(1500);
  Duration StallJitter = std::chrono::milliseconds(500);
  /// Pause between attempts, plus jitter of the same size.
  Duration Backoff = std::chrono::milliseconds(200);
  /// Pause after a vote without a majority. It doubles with each further failed
  /// vote, up to the maximum.
  Duration VoteBackoff = std::chrono::milliseconds(50);
  Duration MaxVoteBackoff = std::chrono::seconds(2);
  /// Pause between planned promotions, which are not urgent.
  Duration PlannedBackoff = std::chrono::seconds(5);
  /// Shortest time between two Follow calls to an upstream. A replica that
  /// differs from the primary and makes no progress for this time is told to
  /// follow again.
  Duration FollowInterval = std::chrono::seconds(1);
  /// A longer gap between two steps means that this process was paused: the
  /// current attempt and all contacts are discarded.
  Duration PauseLimit = std::chrono::milliseconds(600);
};

/// The state of an upstream as it reports it.
struct ReplicationStatus {
  Role UpstreamRole = Role::Unknown;
  /// Highest term that the upstream has accepted. It takes part in no earlier
  /// term.
  std::uint64_t RaisedTerm = 0;
  /// Last log entry that the upstream has applied.
  Position Applied;
  TermHistory History;
  /// The upstream is being taken out of service.
  bool Leaving = false;
};

/// Why an attempt was started.
enum class AttemptReason : std::uint8_t {
  /// The primary is unreachable.
  Unreachable,
  /// The primary is leaving.
  Planned,
  /// The database has no record yet.
  Absent,
  /// An electing record is older than the stall timeout, or is left from an
  /// abandoned attempt of this proxy.
  Stalled,
};
inline constexpr std::array<std::string_view, 4> AttemptReasonNames = {
    "unreachable", "planned", "absent", "stalled"};
constexpr std::string_view name(AttemptReason R) {
  return AttemptReasonNames[static_cast<std::size_t>(R)];
}

/// Phases of an attempt in the order in which they run. Voting is run only if
/// the primary is unreachable, CatchingUp only in a planned promotion.
enum class AttemptPhase : std::uint8_t {
  /// No attempt is running.
  None,
  /// Asks the other voters whether they reach the primary.
  Voting,
  /// Checks that a majority of the upstreams answers.
  Surveying,
  /// Reads the record and its revision from the platform.
  Reading,
  /// Writes the electing record by compare-and-swap.
  Claiming,
  /// Raises the term on the old primary, which stops its writes, and waits
  /// until a replica has applied its whole log.
  CatchingUp,
  /// Raises the term on all upstreams and waits for a majority.
  Raising,
  /// Promotes the upstream with the latest log.
  Promoting,
  /// Writes the stable record by compare-and-swap.
  Finishing,
};
inline constexpr std::array<std::string_view, 9> AttemptPhaseNames = {
    "none",        "voting",  "surveying", "reading",  "claiming",
    "catching-up", "raising", "promoting", "finishing"};
constexpr std::string_view name(AttemptPhase P) {
  return AttemptPhaseNames[static_cast<std::size_t>(P)];
}

/// One attempt of this proxy to promote an upstream.
struct FailoverAttempt {
  AttemptPhase Phase = AttemptPhase::None;
  AttemptReason Reason = AttemptReason::Unreachable;
  /// Random id, echoed in all results; results of other attempts are ignored.
  /// It is also the nonce of the records that the attempt writes.
  std::uint64_t Id = 0;
  /// The record that the next compare-and-swap writes.
  GroupRecord Target;
  /// Revision of the stored record that the compare-and-swap expects.
  std::uint64_t Revision = 0;
  Instant Started;
  Instant PhaseStarted;
  Instant NextRetry;
  /// When a majority of the upstreams had first answered in the current phase.
  std::optional<Instant> MajorityAt;
  /// Voters that can't reach the primary either, including this proxy.
  std::set<ProxyId> Agreeing;
  /// Successful answers in the current phase.
  std::map<UpstreamId, ReplicationStatus> Answers;
  /// Upstreams that failed or refused in the current phase.
  std::set<UpstreamId> Failed;
  /// In Promoting and Finishing: the upstream that becomes primary.
  UpstreamId Chosen;
  UpstreamId OldPrimary;
  /// In CatchingUp: last position of the old primary after it raised its term.
  std::optional<Position> CatchUpPosition;
};

/// Results of this proxy's latest connections to an upstream.
struct Contact {
  /// Status of the last success.
  ReplicationStatus Status;
  /// Start of the first failed connection since the last success.
  std::optional<Instant> FailingSince;
  /// End of the last failed connection.
  Instant LastFailure;
  /// When the upstream was last told to follow the primary.
  Instant LastFollow;
  /// When Status.Applied last changed.
  Instant LastProgress;
};

/// The state machine of one database on one proxy.
struct FailoverState {
  FailoverOptions Options;
  ProxyId Self;
  Database Group;
  /// Owners of the database's upstreams. An attempt is started only if this
  /// proxy is one of them.
  std::vector<ProxyId> Voters;
  /// The latest known record.
  GroupRecord Record;
  /// When Record was learned, or the end of a pause of this process.
  Instant RecordSince;
  /// The platform or a peer has said whether there is a record. Until then its
  /// absence doesn't start an attempt.
  bool RecordKnown = false;
  bool PlatformAvailable = false;
  std::map<UpstreamId, Contact> Contacts;
  FailoverAttempt Current;
  /// Highest term that any upstream reported.
  std::uint64_t HighestTerm = 0;
  /// No attempt is started before this instant.
  Instant NextAttempt;
  /// Random delay, drawn when a record is accepted and zero until then. An
  /// electing record is superseded after StallTimeout plus this delay, so that
  /// the voters don't all start at once; a planned promotion starts only once
  /// the record is as old as this delay.
  Duration StallDelay{0};
  /// Votes without a majority since the last successful contact with the
  /// primary, the last change of the record or the last pause of this process.
  unsigned FailedVotes = 0;
  /// End of the last pause of this process. Failures of connections that were
  /// started before it are ignored.
  Instant DiscardedAt;
  Instant LastStep;
};

// Events.

/// Runs timers; expected at least every 100 ms.
struct FailoverTick {};

/// The database, its voters or their order changed.
struct GroupConfigured {
  Database Group;
  std::vector<ProxyId> Voters;
};

/// A record from the platform or from a peer; term 0 means that the platform
/// says that there is none.
struct RecordSeen {
  GroupRecord Record;
};

/// Whether the platform can be reached. No attempt is started without it.
struct PlatformReachable {
  bool Available = false;
};

/// A probe through a new connection ended, or an existing connection delivered
/// a status. Failures of existing connections are not reported.
struct UpstreamContact {
  UpstreamId Upstream;
  /// When the connection attempt started.
  Instant StartedAt;
  /// Empty if the new connection failed.
  std::optional<ReplicationStatus> Status;
};

/// Answer of another voter to a RequestVote.
struct VoteReceived {
  ProxyId From;
  std::uint64_t Term = 0;
  bool PrimaryReachable = true;
};

/// Conflict: the stored revision was not the expected one. Unknown: no answer;
/// the swap may have taken effect.
enum class SwapOutcome : std::uint8_t { Swapped, Conflict, Unknown };

/// Result of a SwapRecord.
struct RecordSwapped {
  std::uint64_t Attempt = 0;
  SwapOutcome Outcome = SwapOutcome::Unknown;
  /// The stored record and its revision after the call, unless the outcome is
  /// unknown.
  GroupRecord Record;
  std::uint64_t Revision = 0;
};

/// Result of a ReadRecord.
struct RecordRead {
  std::uint64_t Attempt = 0;
  /// False if the platform did not answer.
  bool Ok = false;
  /// Term 0 if the key is absent.
  GroupRecord Record;
  std::uint64_t Revision = 0;
};

/// Outcome of a call to an upstream.
enum class CallOutcome : std::uint8_t {
  Ok,
  /// The upstream answered and refused.
  Refused,
  /// No answer; the call may have run.
  Unknown,
};

/// Result of QueryStatus, RaiseTerm or Promote.
struct UpstreamAnswered {
  std::uint64_t Attempt = 0;
  /// Copied from the action, like Attempt and Upstream. Answers that arrive in
  /// a later phase are ignored.
  AttemptPhase Phase = AttemptPhase::None;
  UpstreamId Upstream;
  CallOutcome Outcome = CallOutcome::Unknown;
  /// Valid unless the outcome is unknown.
  ReplicationStatus Status;
};

/// This process was paused: discards the current attempt and all contacts.
struct PauseDetected {};

using FailoverEvent =
    std::variant<FailoverTick, GroupConfigured, RecordSeen, PlatformReachable,
                 UpstreamContact, VoteReceived, RecordSwapped, RecordRead,
                 UpstreamAnswered, PauseDetected>;

// Actions.

/// Asks another voter whether it reaches the primary; answered with
/// VoteReceived.
struct RequestVote {
  ProxyId To;
  std::uint64_t Term = 0;
  UpstreamId Primary;
};

/// Reads `group/<database>` from the platform; answered with RecordRead.
struct ReadRecord {
  std::uint64_t Attempt = 0;
};

/// Writes `group/<database>` if its revision is the expected one; answered with
/// RecordSwapped.
struct SwapRecord {
  std::uint64_t Attempt = 0;
  std::uint64_t ExpectedRevision = 0;
  GroupRecord Record;
};

/// Status query over a new connection; answered with UpstreamAnswered.
struct QueryStatus {
  std::uint64_t Attempt = 0;
  AttemptPhase Phase = AttemptPhase::None;
  UpstreamId Upstream;
};
/// Makes an upstream accept the term of this candidate and refuse earlier terms
/// and other candidates of this term. Uses a new connection; answered with
/// UpstreamAnswered.
struct RaiseTerm {
  std::uint64_t Attempt = 0;
  AttemptPhase Phase = AttemptPhase::None;
  UpstreamId Upstream;
  std::uint64_t Term = 0;
};
/// Makes an upstream the primary of the term. Uses a new connection; answered
/// with UpstreamAnswered.
struct Promote {
  std::uint64_t Attempt = 0;
  AttemptPhase Phase = AttemptPhase::None;
  UpstreamId Upstream;
  std::uint64_t Term = 0;
};

/// Tells an upstream to replicate from the primary; no answer is needed.
struct Follow {
  UpstreamId Upstream;
  std::uint64_t Term = 0;
  UpstreamId Primary;
};

/// The known record was replaced by a later one: publish it in the snapshot and
/// to the peers.
struct PublishRecord {
  GroupRecord Record;
};

/// Steps of an attempt that are reported to the event log.
enum class FailoverProgress : std::uint8_t {
  /// The primary was unreachable for the tolerance; the other voters are asked.
  PrimaryUnreachable,
  AttemptStarted,
  /// The electing record was written.
  Claimed,
  Promoted,
  /// The stable record was written.
  Finished,
  Abandoned,
  /// The attempt was discarded because this process was paused.
  PauseDiscarded,
};
inline constexpr std::array<std::string_view, 7> FailoverProgressNames = {
    "primary unreachable",
    "attempt started",
    "term claimed",
    "promoted",
    "finished",
    "abandoned",
    "pause discarded"};
constexpr std::string_view name(FailoverProgress K) {
  return FailoverProgressNames[static_cast<std::size_t>(K)];
}

/// Reports progress of an attempt to the event log.
struct LogProgress {
  FailoverProgress Kind = FailoverProgress::AttemptStarted;
  AttemptReason Reason = AttemptReason::Unreachable;
  AttemptPhase Phase = AttemptPhase::None;
  std::uint64_t Term = 0;
  UpstreamId Upstream;
};

using FailoverAction =
    std::variant<RequestVote, ReadRecord, SwapRecord, QueryStatus, RaiseTerm,
                 Promote, Follow, PublishRecord, LogProgress>;
using FailoverActions = std::vector<FailoverAction>;

/// Initial state for a database whose record is not known yet.
FailoverState makeFailover(FailoverOptions Options, ProxyId Self,
                           Database Group, std::vector<ProxyId> Voters,
                           Instant Now);

/// Handles one event and returns the actions to perform. If more than
/// Options.PauseLimit has passed since the last step, the current attempt and
/// all contacts are discarded first.
FailoverActions step(FailoverState &S, const FailoverEvent &Event, Instant Now,
                     std::mt19937_64 &Random);

/// Answer to the vote request of another voter: false only if this proxy could
/// not reach \p Primary for the tolerance either. It is true if this proxy
/// knows a record of a later term than \p Term, or was paused since the last
/// step.
bool primaryReachable(const FailoverState &S, std::uint64_t Term,
                      const UpstreamId &Primary, Instant Now);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_FAILOVER_H
