/// \file
/// Recorded histories of concurrent sessions and the checkers of the
/// guarantees. Every write appends a unique value to the list of a key.

#ifndef EELGRASSLOOM_TESTS_FLEET_HISTORY_H
#define EELGRASSLOOM_TESTS_FLEET_HISTORY_H

#include "kernel/position.h"
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace eelgrassloom {

enum class OperationOutcome : std::uint8_t {
  Ok,
  Refused,
  Unknown,
  Failed,
  PositionLost
};

enum class OperationKind : std::uint8_t { Append, Read, FailingWrite };

/// One request of a session. Requests of a session never overlap.
struct Operation {
  unsigned Session = 0;
  OperationKind Kind = OperationKind::Read;
  std::string Database;
  std::string Key;
  /// Value appended; empty for reads.
  std::string Value;
  std::string RequestId;
  /// Request id that the answer carries.
  std::string AnsweredId;
  /// Requests of one transaction share its name; empty outside.
  std::string Transaction;
  bool Replicated = false;
  /// The session's bound; zero means that only session order counts.
  std::int64_t StalenessMicros = 0;
  OperationOutcome Outcome = OperationOutcome::Unknown;
  /// List that the answer holds.
  std::vector<std::string> List;
  Position At;
  std::int64_t InvokedMicros = 0;
  std::int64_t ReturnedMicros = 0;
};

/// One entry of the final log of a database.
struct LogEntry {
  Position At;
  std::string RequestId;
  std::vector<std::string> Values;
};

struct FinalLog {
  std::string Database;
  std::vector<LogEntry> Entries;
};

/// A majority of a database's upstreams had raised the term by this time.
struct TermRaise {
  std::string Database;
  std::uint64_t Term = 0;
  std::int64_t AtMicros = 0;
};

/// Configuration version that one life of a proxy reported.
struct VersionSample {
  std::string ProxyIncarnation;
  std::uint64_t Version = 0;
};

struct FullHistory {
  std::vector<Operation> Operations;
  std::vector<FinalLog> Logs;
  std::vector<TermRaise> Raises;
  std::vector<VersionSample> Versions;
};

/// Thread-safe collector of operations.
class Recorder {
public:
  void add(Operation Op) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Operations.push_back(std::move(Op));
  }
  std::vector<Operation> take() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return std::move(Operations);
  }

private:
  std::mutex Mutex;
  std::vector<Operation> Operations;
};

using Violations = std::vector<std::string>;

/// A session's reads contain its acknowledged writes until it is told that a
/// position was lost.
Violations checkReadYourWrites(const FullHistory &H);
/// A value is in the log at most once.
Violations checkAtMostOnce(const FullHistory &H);
/// Acknowledged replicated writes are in the final log.
Violations checkDurable(const FullHistory &H);
/// No write that started after a term was raised is acknowledged in an
/// earlier term.
Violations checkFenced(const FullHistory &H);
/// Answers carry the id of their request, and the list that belongs to it.
Violations checkAnswers(const FullHistory &H);
/// Refused and failed writes are not in the log.
Violations checkNotRun(const FullHistory &H);
/// Values of a transaction are in one log entry, with no others.
Violations checkTransactions(const FullHistory &H);
/// Reads within a bound contain all durable writes acknowledged before it.
Violations checkStaleness(const FullHistory &H);
/// No proxy reports an older configuration than before.
Violations checkVersions(const FullHistory &H);

/// Runs all checkers.
Violations checkAll(const FullHistory &H);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_TESTS_FLEET_HISTORY_H
