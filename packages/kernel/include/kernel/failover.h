/// \file
/// Replacement of a primary: one state machine for each database on each of
/// its watchers.

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

enum class GroupPhase : std::uint8_t { Electing, Stable };

/// The operators' record of the primary, value of `group/<database>`. Records
/// are ordered by (Term, Phase) and only rise.
struct GroupRecord {
  std::string Database;
  /// Term 0 stands for an absent record.
  std::uint64_t Term = 0;
  GroupPhase Phase = GroupPhase::Electing;
  /// Empty while electing.
  UpstreamId Primary;
  ProxyId Candidate;
  /// Identifies one attempt of one proxy.
  std::uint64_t Nonce = 0;
  TermHistory History;

  bool operator==(const GroupRecord &) const = default;
};

/// True if \p A replaces \p B.
bool newer(const GroupRecord &A, const GroupRecord &B);

struct FailoverOptions {
  /// Proven unreachability of a primary before a promotion.
  Duration Tolerance = std::chrono::milliseconds(800);
  Duration VoteTimeout = std::chrono::milliseconds(150);
  /// Interval at which unanswered requests of an attempt are sent again.
  Duration RetryInterval = std::chrono::milliseconds(200);
  /// Wait for the remaining upstreams once a majority has answered.
  Duration StragglerTimeout = std::chrono::milliseconds(50);
  /// Largest lag of a replica at the start of a planned promotion, in log
  /// entries.
  std::uint64_t CatchUpEntries = 200;
  /// Time in which a replica may catch up in a planned promotion.
  Duration CatchUpTime = std::chrono::milliseconds(500);
  /// An attempt that takes longer is abandoned.
  Duration AttemptTimeout = std::chrono::milliseconds(1200);
  /// An electing record of this age, plus jitter, is superseded.
  Duration StallTimeout = std::chrono::milliseconds(1500);
  Duration StallJitter = std::chrono::milliseconds(500);
  /// Pause between attempts, plus jitter of the same size.
  Duration Backoff = std::chrono::milliseconds(200);
  /// Pause after the other watchers disagreed, doubled up to the largest.
  Duration VoteBackoff = std::chrono::milliseconds(50);
  Duration MaxVoteBackoff = std::chrono::seconds(2);
  /// Pause between planned promotions, which are not urgent.
  Duration PlannedBackoff = std::chrono::seconds(5);
  Duration FollowInterval = std::chrono::seconds(1);
  /// A gap between steps above this discards everything pending.
  Duration PauseLimit = std::chrono::milliseconds(600);
};

/// What an upstream says about itself.
struct ReplicationStatus {
  Role UpstreamRole = Role::Unknown;
  std::uint64_t RaisedTerm = 0;
  Position Applied;
  TermHistory History;
  bool Leaving = false;
};

enum class AttemptReason : std::uint8_t {
  /// The primary is unreachable.
  Unreachable,
  /// The primary is leaving.
  Planned,
  /// There is no record yet.
  Absent,
  /// An electing record is too old.
  Stalled,
};
inline constexpr std::array<std::string_view, 4> AttemptReasonNames = {
    "unreachable", "planned", "absent", "stalled"};
constexpr std::string_view name(AttemptReason R) {
  return AttemptReasonNames[static_cast<std::size_t>(R)];
}

enum class AttemptPhase : std::uint8_t {
  None,
  /// Asks the other watchers.
  Voting,
  /// Checks that a majority of the upstreams answers.
  Surveying,
  /// Reads the record and its revision.
  Reading,
  /// Compare-and-swap of the electing record.
  Claiming,
  /// Raises the term on the old primary only and waits for a replica.
  CatchingUp,
  Raising,
  Promoting,
  /// Compare-and-swap of the stable record.
  Finishing,
};
inline constexpr std::array<std::string_view, 9> AttemptPhaseNames = {
    "none",        "voting",  "surveying", "reading",  "claiming",
    "catching-up", "raising", "promoting", "finishing"};
constexpr std::string_view name(AttemptPhase P) {
  return AttemptPhaseNames[static_cast<std::size_t>(P)];
}

struct FailoverAttempt {
  AttemptPhase Phase = AttemptPhase::None;
  AttemptReason Reason = AttemptReason::Unreachable;
  /// Echoed in all results; results of other attempts are ignored.
  std::uint64_t Id = 0;
  /// What the compare-and-swap writes.
  GroupRecord Target;
  std::uint64_t Revision = 0;
  Instant Started;
  Instant PhaseStarted;
  Instant NextRetry;
  /// When a majority had answered in the current phase.
  std::optional<Instant> MajorityAt;
  std::set<ProxyId> Agreeing;
  std::map<UpstreamId, ReplicationStatus> Answers;
  /// Upstreams that failed or refused in this phase.
  std::set<UpstreamId> Failed;
  UpstreamId Chosen;
  UpstreamId OldPrimary;
  /// In CatchingUp: log of the old primary after it raised its term.
  std::optional<Position> CatchUpPosition;
};

/// Last contact of this proxy with an upstream.
struct Contact {
  ReplicationStatus Status;
  /// Start of the first failed connection since the last success.
  std::optional<Instant> FailingSince;
  /// End of the last failed connection.
  Instant LastFailure;
  Instant LastFollow;
  /// When Status.Applied last changed.
  Instant LastProgress;
};

struct FailoverState {
  FailoverOptions Options;
  ProxyId Self;
  Database Group;
  /// Watchers of the database, including this proxy.
  std::vector<ProxyId> Voters;
  GroupRecord Record;
  Instant RecordSince;
  /// Until the platform or a peer said whether there is a record, its absence
  /// starts nothing.
  bool RecordKnown = false;
  bool PlatformAvailable = false;
  std::map<UpstreamId, Contact> Contacts;
  FailoverAttempt Current;
  /// Highest term that any upstream reported.
  std::uint64_t HighestTerm = 0;
  Instant NextAttempt;
  Duration StallDelay{0};
  unsigned FailedVotes = 0;
  /// Failures of connections that started before this instant don't count.
  Instant DiscardedAt;
  Instant LastStep;
};

// Events.

/// Runs timers; expected every 100 ms or more often.
struct FailoverTick {};

/// The database, the watchers or their order changed.
struct GroupConfigured {
  Database Group;
  std::vector<ProxyId> Voters;
};

/// A record from the platform or from a peer; term 0 means that the platform
/// says that there is none.
struct RecordSeen {
  GroupRecord Record;
};

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

struct VoteReceived {
  ProxyId From;
  std::uint64_t Term = 0;
  bool PrimaryReachable = true;
};

enum class SwapOutcome : std::uint8_t { Swapped, Conflict, Unknown };

struct RecordSwapped {
  std::uint64_t Attempt = 0;
  SwapOutcome Outcome = SwapOutcome::Unknown;
  /// The entry after the call, unless the outcome is unknown.
  GroupRecord Record;
  std::uint64_t Revision = 0;
};

struct RecordRead {
  std::uint64_t Attempt = 0;
  /// False if the platform did not answer.
  bool Ok = false;
  /// Term 0 if the key is absent.
  GroupRecord Record;
  std::uint64_t Revision = 0;
};

enum class CallOutcome : std::uint8_t {
  Ok,
  /// The upstream answered and refused.
  Refused,
  /// No answer; the call may have run.
  Unknown,
};

/// Answer to QueryStatus, RaiseTerm or Promote, with the fields of the action.
struct UpstreamAnswered {
  std::uint64_t Attempt = 0;
  /// Phase in the action that is answered.
  AttemptPhase Phase = AttemptPhase::None;
  UpstreamId Upstream;
  CallOutcome Outcome = CallOutcome::Unknown;
  /// Valid unless the outcome is unknown.
  ReplicationStatus Status;
};

/// This process was paused.
struct PauseDetected {};

using FailoverEvent =
    std::variant<FailoverTick, GroupConfigured, RecordSeen, PlatformReachable,
                 UpstreamContact, VoteReceived, RecordSwapped, RecordRead,
                 UpstreamAnswered, PauseDetected>;

// Actions.

struct RequestVote {
  ProxyId To;
  std::uint64_t Term = 0;
  UpstreamId Primary;
};

/// Get of `group/<database>`, answered with RecordRead.
struct ReadRecord {
  std::uint64_t Attempt = 0;
};

/// Answered with RecordSwapped.
struct SwapRecord {
  std::uint64_t Attempt = 0;
  std::uint64_t ExpectedRevision = 0;
  GroupRecord Record;
};

/// Calls over a new connection; each is answered with UpstreamAnswered.
struct QueryStatus {
  std::uint64_t Attempt = 0;
  AttemptPhase Phase = AttemptPhase::None;
  UpstreamId Upstream;
};
struct RaiseTerm {
  std::uint64_t Attempt = 0;
  AttemptPhase Phase = AttemptPhase::None;
  UpstreamId Upstream;
  std::uint64_t Term = 0;
};
struct Promote {
  std::uint64_t Attempt = 0;
  AttemptPhase Phase = AttemptPhase::None;
  UpstreamId Upstream;
  std::uint64_t Term = 0;
};

/// Tells an upstream to follow the primary; no answer is needed.
struct Follow {
  UpstreamId Upstream;
  std::uint64_t Term = 0;
  UpstreamId Primary;
};

/// The record rose: publish it in the snapshot and to the peers.
struct PublishRecord {
  GroupRecord Record;
};

enum class FailoverProgress : std::uint8_t {
  /// The tolerance passed; the other watchers are asked.
  PrimaryUnreachable,
  AttemptStarted,
  Claimed,
  Promoted,
  Finished,
  Abandoned,
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

/// For the event log.
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

FailoverState makeFailover(FailoverOptions Options, ProxyId Self,
                           Database Group, std::vector<ProxyId> Voters,
                           Instant Now);

/// Handles one event. A gap between steps above Options.PauseLimit first
/// discards what is pending.
FailoverActions step(FailoverState &S, const FailoverEvent &Event, Instant Now,
                     std::mt19937_64 &Random);

/// Answer to the vote request of another watcher: false only if this proxy
/// could not reach that primary for the tolerance either.
bool primaryReachable(const FailoverState &S, std::uint64_t Term,
                      const UpstreamId &Primary, Instant Now);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_FAILOVER_H
