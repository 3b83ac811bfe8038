/// \file
/// What the stand-ins of the fault soak know about one run, and the violations
/// that they find with it.

#ifndef EELGRASSLOOM_SOAK_ORACLE_H
#define EELGRASSLOOM_SOAK_ORACLE_H

#include "customerledger.h"
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace eelgrassloom::soak {

using platform::error_code;
using platform::tcp;
/// Faults of the stand-ins that no proxy can hide from the checks.
enum class PlantedFault : std::uint8_t {
  None,
  /// Servers send other rows than they record.
  Rows,
  /// Callers send other texts than they record.
  Texts,
  /// Servers confirm a value of the session without storing it.
  Values,
  /// Servers take each customer for another one.
  Customer,
  /// The checks know a lower limit of each customer than the proxies.
  Limit,
};

/// Unique in a run; 0 stands for no commit.
using CommitId = std::uint64_t;

/// One committed write or transaction.
struct Commit {
  CommitId Id = 0;
  std::uint64_t Term = 0;
  /// Value by item.
  std::map<std::string, std::string> Writes;
  Instant At;
};

/// A violation of a guarantee.
struct Violation {
  /// Guarantee that is violated:
  /// - ONE: a promotion call carries a lower fencing token than the request
  ///   before it.
  /// - STALE: a read lacks a commit that it must include.
  /// - PINNED: a statement runs under other session values than its caller's,
  ///   or as another prepared statement than the one that its caller prepared.
  /// - UNASKED: a server gets a statement with a request id that no caller
  /// sent,
  ///   or with another text.
  /// - MIXED: a caller gets a malformed reply, one to another request, other
  ///   rows than the server has sent, or a success without signature.
  /// - TWICE: a write is applied more than once.
  /// - REFUSED: a write that was reported as failed takes effect.
  /// - CONFIG: a proxy applies a change of the configuration too late.
  /// - KEY: a statement runs as another customer than the holder of its
  ///   caller's key, or later than 5 s after the key was removed; or a healthy
  ///   proxy accepts an unknown key or refuses a valid one.
  /// - LIMIT: more operations of a customer reach servers than its limit
  /// allows.
  /// - LOST: a proxy that stops in order ends a connection without an answer
  ///   to a request that the caller has sent on it.
  /// - CRASH: a proxy is ended by a signal other than SIGKILL.
  /// - RECOVER: no request succeeds at the end, after all faults have ended.
  std::string Kind;
  std::string Text;
  /// For STALE: the commit that the server's log lacked when it answered.
  CommitId Missing = 0;
};

/// What a read must return at least, recorded when the caller sends it.
struct ReadContext {
  /// When the operation that the read belongs to began.
  Instant Start;
  /// Staleness bound of the database.
  Duration Bound{0};
  /// Commits of the same session that the read must include.
  std::vector<CommitId> OwnCommits;
};

/// Shape and mode of a prepared statement.
struct PreparedStatement {
  bool Writes = false;
  std::string Shape;
  bool operator==(const PreparedStatement &) const = default;
};

/// What a server must run for a statement of a caller, recorded when the caller
/// sends it.
struct SentStatement {
  /// As sent; for EXEC what follows the name.
  std::string Text;
  /// EXEC: the prepared statement.
  std::optional<PreparedStatement> Prepared;
  std::map<std::string, std::string> SessionValues;
  std::string Key = {};
  /// Unique for each statement outside of transactions and each transaction.
  std::uint64_t Operation = 0;
};

/// An answer of a server to a statement of a caller.
struct SentAnswer {
  std::string Id;
  std::vector<std::string> Rows;
};

/// What happened to one attempted write, found by its unique value.
struct WriteOutcome {
  unsigned TimesApplied = 0;
  /// The caller was told that the write did not take effect.
  bool DefinitelyFailed = false;
};

/// Knowledge of one run that servers and callers share, and the violations
/// found with it.
struct Oracle {
  /// Commits that were reported to a caller as successful, and when.
  std::vector<std::pair<Instant, CommitId>> Acknowledged;
  /// Commits that a promotion discarded.
  std::set<CommitId> RolledBack;
  /// By request id.
  std::unordered_map<std::string, ReadContext> Reads;
  /// By request id.
  std::unordered_map<std::string, SentStatement> Statements;
  /// By signature.
  std::unordered_map<std::string, SentAnswer> Answers;
  /// Fault of the servers and callers themselves that the checks must report.
  PlantedFault Planted = PlantedFault::None;
  /// Bytes of rows and signatures, and the choice of answers that are repeated.
  std::mt19937_64 Random;
  /// Violations in answers of servers, by signature. Each counts only if its
  /// answer reaches the caller as a success.
  std::unordered_map<std::string, Violation> PotentialViolations;
  /// Each answer of a server to a read, a write or a commit has a unique
  /// signature, by which a caller finds what the server did for this answer.
  std::unordered_map<std::string, CommitId> CommitOfSignature;
  /// By value.
  std::unordered_map<std::string, WriteOutcome> Writes;
  /// Requests that a server has received, by id: the proxy that sent them.
  std::unordered_map<std::string, std::string> Received;
  /// Proxies that were told to stop and had no fault since, by the port for
  /// callers: the time of the signal.
  std::map<std::uint16_t, Instant> StopRequestedAt;
  /// Proxies that were told to stop, also after other faults, by the port for
  /// callers.
  std::set<std::uint16_t> ToldToStop;
  /// Customers of the run; none if no keys are checked.
  CustomerLedger Customers;
  /// Whether the proxy with this port for callers must have applied all changes
  /// of the configuration that are old enough.
  std::function<bool(std::uint16_t Port)> MustKnowConfig;
  /// When operations of each customer reached a server first.
  std::map<std::string, std::vector<Instant>> OperationTimes;
  /// Operations that have reached a server.
  std::unordered_set<std::uint64_t> ReachedOperations;
  std::uint64_t NextOperation = 1;
  std::uint64_t RefusedKeys = 0;
  std::vector<Violation> Violations;
  std::uint64_t NextCommit = 1;
  std::uint64_t NextSignature = 1;
  /// Requests by their result. An unknown one may or may not have taken effect.
  std::uint64_t Succeeded = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;

  /// All violations, including those found in Writes, but without those about
  /// missing commits that a promotion rolled back.
  std::vector<Violation> remainingViolations() const;
};

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_ORACLE_H
