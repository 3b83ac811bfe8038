/// \file
/// Session variables and prepared statements, and the steps that establish them
/// on a pooled connection.

#ifndef EELGRASSLOOM_KERNEL_SESSIONSTATE_H
#define EELGRASSLOOM_KERNEL_SESSIONSTATE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace eelgrassloom {

/// A prepared statement, independent of its names.
struct PreparedStatement {
  bool Write = false;
  /// What is prepared: the argument of the caller's PREPARE, which the servers
  /// receive unchanged.
  std::string Shape;

  bool operator==(const PreparedStatement &) const = default;
  bool operator<(const PreparedStatement &Other) const {
    return std::tie(Write, Shape) < std::tie(Other.Write, Other.Shape);
  }
};

/// Variables that a caller has set and statements that it has prepared. They
/// last as long as its session.
struct SessionState {
  std::map<std::string, std::string, std::less<>> Variables;
  /// By the name that the caller uses.
  std::map<std::string, PreparedStatement, std::less<>> Prepared;
};

/// Maximum total length of the names, values and shapes of one session in
/// bytes. They are kept in memory and sent along with forwarded statements.
inline constexpr std::size_t MaxSessionStateBytes = std::size_t{4} << 20;

/// Total length of the names, values and shapes of a session.
std::size_t sizeInBytes(const SessionState &S);

/// Variables and prepared statements that exist on a pooled connection.
struct ConnectionState {
  std::map<std::string, std::string, std::less<>> Variables;
  /// Names at the server. The proxy numbers the statements of a connection: a
  /// name that held text of a caller could hold a blank, which ends a name.
  std::map<PreparedStatement, std::string> Prepared;
  /// Total length of the shapes of these statements.
  std::size_t ShapeBytes = 0;
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

/// Number of prepared statements after which a connection is reset before
/// another one is prepared.
inline constexpr std::size_t MaxPreparedPerConnection = 200;
/// The same for the total length of their shapes in bytes. A single shape may
/// be longer.
inline constexpr std::size_t MaxShapeBytesPerConnection = std::size_t{1} << 20;

/// Steps after which the connection has exactly the variables of the session
/// and, if \p Needed is not null, that prepared statement. With an open
/// transaction the connection is not reset to make room.
std::vector<SetupStep> setupSteps(const ConnectionState &C,
                                  const SessionState &S,
                                  const PreparedStatement *Needed,
                                  bool InTransaction = false);

/// Records a step that the server has confirmed.
void apply(ConnectionState &C, const SetupStep &Step);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_SESSIONSTATE_H
