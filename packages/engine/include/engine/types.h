/// \file
/// Statements and answers of the session engine, independent of any wire
/// format.

#ifndef EELGRASSLOOM_ENGINE_TYPES_H
#define EELGRASSLOOM_ENGINE_TYPES_H

#include "kernel/position.h"
#include "kernel/sessionstate.h"
#include "kernel/time.h"
#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassloom {

enum class StatementKind : std::uint8_t {
  Begin,
  /// Begins a transaction that only reads.
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  Deallocate,
  /// Not a statement.
  Invalid,
};
inline constexpr std::array<std::string_view, 11> StatementKindNames = {
    "begin", "begin-read", "commit",  "rollback",   "read",   "write",
    "set",   "prepare",    "execute", "deallocate", "invalid"};
constexpr std::string_view name(StatementKind K) {
  return StatementKindNames[static_cast<std::size_t>(K)];
}

/// One statement of a caller.
struct Statement {
  StatementKind Kind = StatementKind::Invalid;
  /// Chosen by the caller, sent on unchanged.
  std::string Id;
  /// As received; sent on unchanged, except for names of prepared statements.
  std::string Text;
  /// Set: name of the value. Prepare, Execute, Deallocate: statement name.
  std::string Name;
  /// Set: value. Prepare: shape. Execute: what follows the name.
  std::string Argument;
  /// Prepare: the statement writes.
  bool PreparesWrite = false;
};

/// Why a statement has no result.
enum class ReplyCode : std::uint8_t {
  Busy,
  Aborted,
  Lagging,
  ReadOnly,
  WrongServer,
  TooManyConnections,
  Unknown,
  Timeout,
  Failed,
  NoStatement,
  NoDatabase,
  Malformed,
  TooBig,
  Other,
};
inline constexpr std::array<std::string_view, 14> ReplyCodeNames = {
    "busy",        "aborted",   "lagging", "read-only", "wrong-server",
    "too-many",    "unknown",   "timeout", "failed",    "no-statement",
    "no-database", "malformed", "too-big", "other"};
constexpr std::string_view name(ReplyCode C) {
  return ReplyCodeNames[static_cast<std::size_t>(C)];
}

enum class TransactionState : std::uint8_t {
  None,
  Open,
  /// An error occurred; only the end of the transaction is accepted.
  Failed,
};

/// What a server is asked to do.
enum class ServerCommand : std::uint8_t {
  /// Run a caller's statement as it was received.
  Statement,
  /// Run a prepared statement.
  Execute,
  /// Change the state of the connection.
  Setup,
  Begin,
  BeginReadOnly,
  RollBack,
  /// Report role, term and log position.
  Status,
};

/// One exchange with a server.
struct ServerCall {
  /// Empty for a call of the proxy itself.
  std::string Id;
  /// Statement, Execute: text of the caller; Execute without its own name.
  std::string Text;
  /// The server must hold this position, or it does not run the statement.
  std::optional<Position> MinPosition;
  ServerCommand Command = ServerCommand::Statement;
  /// Setup: the change.
  SetupStep Step = {};
  /// Execute: name of the statement at the server.
  std::string Name = {};
};
inline ServerCall makeCall(ServerCommand Command) {
  ServerCall Call;
  Call.Command = Command;
  return Call;
}

/// Answer of a server to one statement.
struct ServerReply {
  /// The connection ended before the answer was complete.
  bool NoAnswer = false;
  std::optional<ReplyCode> Error;
  std::string ErrorText;
  std::vector<std::string> Rows;
  std::string Signature;
  TransactionState State = TransactionState::None;
  /// Position of the server's log.
  std::optional<Position> LogPosition;

  bool ok() const { return !NoAnswer && !Error; }
};

/// Answer to a caller.
struct CallerReply {
  std::optional<ReplyCode> Error;
  std::string ErrorText;
  std::vector<std::string> Rows;
  /// Empty if the proxy answered itself.
  std::string Signature;
  TransactionState State = TransactionState::None;
  std::optional<Position> LogPosition;
};

/// Open connection to a server. One exchange is in progress at a time.
class ServerConnection {
public:
  using ReplyHandler = std::function<void(std::vector<ServerReply>)>;

  virtual ~ServerConnection() = default;
  /// Sends statements together; \p Done receives one reply each. If the
  /// connection ends early the last reply is marked as lost.
  virtual void exchange(std::vector<ServerCall> Calls, ReplyHandler Done) = 0;
  /// Closes the connection; a pending exchange is not answered.
  virtual void close() = 0;
};

enum class DialOutcome : std::uint8_t {
  Connected,
  /// The port refused the connection: no process listens there.
  Refused,
  TimedOut,
  /// The server has too many connections.
  TooManyConnections,
  /// Another server listens at the address.
  WrongServer,
  /// The server rejected the session for another reason.
  Rejected,
};
inline constexpr std::array<std::string_view, 6> DialOutcomeNames = {
    "connected", "refused",      "timed-out",
    "too-many",  "wrong-server", "rejected"};
constexpr std::string_view name(DialOutcome O) {
  return DialOutcomeNames[static_cast<std::size_t>(O)];
}

struct DialResult {
  DialOutcome Outcome = DialOutcome::TimedOut;
  std::shared_ptr<ServerConnection> Connection;
  std::optional<Position> LogPosition;
};

/// Functions that the engine and the control logic take from their process.
struct RuntimeHooks {
  /// A clock that also counts suspensions of the host.
  std::function<Instant()> Now;
  /// Runs a function once after a time.
  std::function<void(Duration, std::function<void()>)> After;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_TYPES_H
