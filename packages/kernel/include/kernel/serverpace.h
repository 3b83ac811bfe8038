/// \file
/// Decides from the answers of a server whether it is degraded, and how many
/// statements a proxy runs at once on a server that has just started or come
/// back. Load patterns: a server that is several times slower than its siblings
/// or fails many statements although it reports good health, and a server that
/// has just started and is flooded by the backlog of many proxies. The proxies
/// exchange nothing about it: each sees the condition of a server in the
/// answers that it gets itself.

#ifndef EELGRASSLOOM_KERNEL_SERVERPACE_H
#define EELGRASSLOOM_KERNEL_SERVERPACE_H

#include "kernel/model.h"
#include <array>
#include <optional>
#include <vector>

namespace eelgrassloom {

/// A degraded server gets one trial statement in this time.
inline constexpr Duration TrialInterval = std::chrono::milliseconds(500);

/// How a statement that was sent to a server ended.
enum class ServerOutcome : std::uint8_t {
  Answered,
  /// The server reported a failure, or gave no answer.
  Failed,
  /// The server refused the statement as overloaded.
  Refused,
};

/// The end of one statement at a server.
struct ServerAnswer {
  ServerOutcome Outcome = ServerOutcome::Answered;
  Priority WorkPriority = Priority::Normal;
  /// Siblings run statements of the same kind, so that times can be compared: a
  /// read outside of transactions.
  bool Comparable = false;
  Instant SentAt;
  Instant EndedAt;
};

/// Times of the statements of one priority at one server.
struct WorkloadTime {
  /// Zero without a sample.
  Duration Mean{0};
  /// The latest sample, and when its statement was sent.
  Duration Last{0};
  Instant LastSentAt;
};

struct OutcomeCounts {
  unsigned Total = 0;
  unsigned Failures = 0;
};

/// What a proxy knows about the condition of one server.
struct ServerPace {
  std::array<WorkloadTime, PriorityCount> Times;
  /// Smoothed ratio of its times to those of its siblings.
  double Slowness = 1;
  /// The first statement of the current series of slow ones was sent then.
  std::optional<Instant> SlowSince;
  /// Outcomes of the current and the previous time window.
  OutcomeCounts Current;
  OutcomeCounts Previous;
  Instant WindowStart;
  /// Last refusal as overloaded.
  std::optional<Instant> RefusedAt;

  bool Degraded = false;
  Instant DegradedAt;
  Instant NextTrial;
  /// Trials that succeeded in a row, and how many of them end the condition.
  unsigned GoodTrials = 0;
  unsigned TrialsNeeded = 0;
  /// Last time the server ceased to be degraded.
  std::optional<Instant> RecoveredAt;

  /// Statements of this proxy that may run at once; empty: the normal limit.
  std::optional<unsigned> Limit;
  /// The limit was halved then. Answers to earlier statements do not halve it
  /// again.
  Instant HalvedAt;
};

/// What an answer has changed.
enum class PaceChange : std::uint8_t { None, Degraded, Recovered, PaceEnded };

/// The server has started, or can be reached again: its earlier answers tell
/// nothing about it any more, and it gets one statement at first.
void beginPace(ServerPace &Server, Instant Now);

/// Counts a handshake that failed. The next answer decides with it.
void recordHandshakeFailure(ServerPace &Server, Instant Now);

/// Evaluates the end of a statement. \p Siblings: the other servers of the
/// service. \p NormalLimit: statements that the proxy may run there without a
/// pace.
PaceChange recordAnswer(ServerPace &Server, const ServerAnswer &Answer,
                        const std::vector<const ServerPace *> &Siblings,
                        unsigned NormalLimit);

/// Statements that the proxy may run at once on the server.
unsigned pacedLimit(const ServerPace &Server, unsigned NormalLimit);

/// The server is degraded and may get a trial statement now.
bool trialDue(const ServerPace &Server, Instant Now);
/// A trial statement has started.
void recordTrial(ServerPace &Server, Instant Now);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_SERVERPACE_H
