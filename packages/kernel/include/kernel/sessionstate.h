/// \file
/// Values and prepared statements of a session, and the steps that establish
/// them on a pooled connection.

#ifndef EELGRASSLOOM_KERNEL_SESSIONSTATE_H
#define EELGRASSLOOM_KERNEL_SESSIONSTATE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassloom {

struct PreparedStatement {
  bool Write = false;
  std::string Shape;

  bool operator==(const PreparedStatement &) const = default;
};

/// What a caller has set and prepared; lasts as long as its session.
struct SessionState {
  std::map<std::string, std::string, std::less<>> Variables;
  /// By the caller's name.
  std::map<std::string, PreparedStatement, std::less<>> Prepared;
};

/// What a pooled connection holds at its server.
struct ConnectionState {
  std::map<std::string, std::string, std::less<>> Variables;
  /// Names at the server, see serverStatementName().
  std::set<std::string, std::less<>> Prepared;
};

enum class SetupKind : std::uint8_t { Reset, Set, Prepare };

/// One step that changes the state of a connection.
struct SetupStep {
  SetupKind Kind = SetupKind::Reset;
  /// Set: name of the value. Prepare: name at the server.
  std::string Name;
  std::string Value;
  PreparedStatement Prepared;

  bool operator==(const SetupStep &) const = default;
};

/// Name of a prepared statement at the servers. It depends on the statement
/// only, so that sessions that prepare the same statement share it.
std::string serverStatementName(const PreparedStatement &P);

/// Statements that a connection keeps prepared before it is reset.
inline constexpr std::size_t MaxPreparedPerConnection = 200;

/// Steps after which the connection holds exactly the session's values and, if
/// \p Needed is not null, that prepared statement.
std::vector<SetupStep> setupSteps(const ConnectionState &C,
                                  const SessionState &S,
                                  const PreparedStatement *Needed);

/// Records a step that the server has confirmed.
void apply(ConnectionState &C, const SetupStep &Step);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_SESSIONSTATE_H
