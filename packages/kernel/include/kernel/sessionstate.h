/// \file
/// Session variables and prepared statements, and the steps that establish them
/// on a pooled connection.

#ifndef EELGRASSLOOM_KERNEL_SESSIONSTATE_H
#define EELGRASSLOOM_KERNEL_SESSIONSTATE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassloom {

/// A prepared statement, independent of its names.
struct PreparedStatement {
  bool Write = false;
  /// What is prepared: the argument of the caller's PREPARE, which the servers
  /// receive unchanged.
  std::string Shape;

  bool operator==(const PreparedStatement &) const = default;
};

/// Variables that a caller has set and statements that it has prepared. They
/// last as long as its session.
struct SessionState {
  std::map<std::string, std::string, std::less<>> Variables;
  /// By the name that the caller uses.
  std::map<std::string, PreparedStatement, std::less<>> Prepared;
};

/// Variables and prepared statements that exist on a pooled connection.
struct ConnectionState {
  std::map<std::string, std::string, std::less<>> Variables;
  /// Statement names at the server, see serverStatementName().
  std::set<std::string, std::less<>> Prepared;
};

enum class SetupKind : std::uint8_t { Reset, Set, Prepare };

/// One step that changes the state of a connection.
struct SetupStep {
  SetupKind Kind = SetupKind::Reset;
  /// Name of the variable for Set, statement name at the server for Prepare.
  std::string Name;
  std::string Value;
  PreparedStatement Prepared;

  bool operator==(const SetupStep &) const = default;
};

/// Name of a prepared statement at the servers. It depends only on the
/// statement, so that sessions that prepare the same statement share it.
std::string serverStatementName(const PreparedStatement &P);

/// Number of prepared statements after which a connection is reset before
/// another one is prepared.
inline constexpr std::size_t MaxPreparedPerConnection = 200;

/// Steps after which the connection has exactly the variables of the session
/// and, if \p Needed is not null, that prepared statement.
std::vector<SetupStep> setupSteps(const ConnectionState &C,
                                  const SessionState &S,
                                  const PreparedStatement *Needed);

/// Records a step that the server has confirmed.
void apply(ConnectionState &C, const SetupStep &Step);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_SESSIONSTATE_H
