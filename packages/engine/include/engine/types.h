/// \file
/// Statements, answers and connections of the session engine, independent of
/// any wire format, and the functions that it takes from its process.

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

/// Kind of a statement, as far as the proxy distinguishes them.
enum class StatementKind : std::uint8_t {
  Begin,
  /// Begins a read-only transaction.
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  Deallocate,
  /// Text that is not a valid statement.
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
  /// Request id, chosen by the caller and passed to the server unchanged.
  std::string Id;
  /// Text as received. It is passed to the server unchanged, except that the
  /// name of a prepared statement is replaced.
  std::string Text;
  /// Set: name of the variable. Prepare, Execute, Deallocate: name of the
  /// statement.
  std::string Name;
  /// Set: value. Prepare: the text to prepare, called the shape of the
  /// statement. Execute: the text that follows the name.
  std::string Argument;
  /// Prepare: the prepared statement writes.
  bool PreparesWrite = false;
};

/// Why a statement has no result.
enum class ReplyCode : std::uint8_t {
  /// It did not run: the server is overloaded, or no server can run it in time.
  Busy,
  /// The transaction was rolled back; nothing of it is kept.
  Aborted,
  /// The server does not hold the required position yet.
  Lagging,
  /// The server is not primary, or the primary lease has ended.
  ReadOnly,
  /// Another server listens at the address.
  WrongServer,
  TooManyConnections,
  /// A write or commit had no answer; it may have run.
  Unknown,
  /// A read had no answer.
  Timeout,
  /// The server reported a failure; the statement may have run.
  Failed,
  /// No prepared statement has this name.
  NoStatement,
  /// There is no route for the database.
  NoDatabase,
  /// The text is not a valid statement, or the state of the session does not
  /// allow the statement.
  Malformed,
  /// The message exceeds the size limit.
  TooBig,
  /// A code that this proxy does not know.
  Other,
  /// The key of the caller identifies no customer. The number of each code is
  /// part of the messages between proxies, so that new codes come last.
  NotAuthorized,
};
inline constexpr std::array<std::string_view, 15> ReplyCodeNames = {
    "busy",        "aborted",   "lagging", "read-only", "wrong-server",
    "too-many",    "unknown",   "timeout", "failed",    "no-statement",
    "no-database", "malformed", "too-big", "other",     "not-authorized"};
constexpr std::string_view name(ReplyCode C) {
  return ReplyCodeNames[static_cast<std::size_t>(C)];
}

/// State of the transaction of a session or connection.
enum class TransactionState : std::uint8_t {
  None,
  Open,
  /// An error occurred; only a commit or rollback is accepted.
  Failed,
};

/// Kind of a request to a server.
enum class ServerCommand : std::uint8_t {
  /// Run a statement of a caller as it was received.
  Statement,
  /// Run a prepared statement.
  Execute,
  /// Change the session state of the connection: one SetupStep.
  Setup,
  Begin,
  BeginReadOnly,
  RollBack,
  /// Report role, term and log position.
  Status,
};

/// A request to a server. Its answer is a ServerReply.
struct ServerCall {
  /// Request id of the caller; empty for a request of the proxy itself.
  std::string Id;
  /// Statement: text of the caller. Execute: text of the caller after the name.
  std::string Text;
  /// Position that the server must hold; it refuses the request otherwise.
  std::optional<Position> MinPosition;
  ServerCommand Command = ServerCommand::Statement;
  /// Setup: the change.
  SetupStep Step = {};
  /// Execute: name of the prepared statement at the server.
  std::string Name = {};
};
/// A request without text, for example RollBack or Status.
inline ServerCall makeCall(ServerCommand Command) {
  ServerCall Call;
  Call.Command = Command;
  return Call;
}

/// Answer of a server to one request.
struct ServerReply {
  /// The connection ended before the answer was complete.
  bool NoAnswer = false;
  /// With NoAnswer: the connection had ended before, so that the request was
  /// not sent.
  bool NotSent = false;
  std::optional<ReplyCode> Error;
  std::string ErrorText;
  std::vector<std::string> Rows;
  /// Text of the server that confirms a success; the caller receives it
  /// unchanged.
  std::string Signature;
  /// False if the server has sent only the state and the position, with which
  /// it answers the opening of a connection but no request.
  bool Result = true;
  /// State of the transaction on the connection.
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
  /// Signature of the server; empty if the proxy itself answered.
  std::string Signature;
  TransactionState State = TransactionState::None;
  std::optional<Position> LogPosition;
};

/// Open connection to a server. One exchange is in progress at a time.
class ServerConnection {
public:
  using ReplyHandler = std::function<void(std::vector<ServerReply>)>;

  virtual ~ServerConnection() = default;
  /// Sends requests together; \p Done receives one reply each. If the
  /// connection ends early, the replies end with one whose NoAnswer is set.
  virtual void exchange(std::vector<ServerCall> Calls, ReplyHandler Done) = 0;
  /// False if no new work must be given to the connection, because it has ended
  /// or answers on it can't be told apart any more. What is in progress on it
  /// may be finished.
  virtual bool usable() const { return true; }
  /// Closes the connection; the handler of a pending exchange is not called.
  virtual void close() = 0;
};

/// Result of opening a connection to a server.
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

/// Connection and LogPosition are set only if the outcome is Connected.
struct DialResult {
  DialOutcome Outcome = DialOutcome::TimedOut;
  std::shared_ptr<ServerConnection> Connection;
  std::optional<Position> LogPosition;
};

/// Functions that the engine and the control logic take from their process.
struct RuntimeHooks {
  /// Reads a clock that also counts suspensions of the host.
  std::function<Instant()> Now;
  /// Runs a function once after a delay.
  std::function<void(Duration, std::function<void()>)> After;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_TYPES_H
