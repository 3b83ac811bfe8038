/// \file
/// Interface to upstreams (database servers): a function table over plain
/// structs. Support for another database is added by registering another
/// UpstreamAdapter.

#ifndef EELGRASSLOOM_PROXY_UPSTREAM_H
#define EELGRASSLOOM_PROXY_UPSTREAM_H

#include "kernel/model.h"
#include "kernel/position.h"
#include "kernel/registry.h"
#include <functional>
#include <memory>
#include <string>

namespace eelgrassloom {

/// What an upstream reports about itself.
struct UpstreamStatus {
  UpstreamId Id;
  Role UpstreamRole = Role::Unknown;
  /// Highest term that was raised at this upstream; it rejects lower terms.
  std::uint64_t RaisedTerm = 0;
  /// Position of the last log entry that this upstream holds.
  Position Applied;
  TermHistory History;
  /// The upstream is about to leave and should get no new work.
  bool Leaving = false;
};

/// Operations of upstream.proto.
enum class UpstreamOperation : std::uint8_t {
  Execute,
  Begin,
  Commit,
  Rollback,
  Status,
  RaiseTerm,
  Promote,
  Follow,
  ConfirmTerm,
};

/// One request to an upstream. The operation decides which fields apply; see
/// upstream.proto.
struct UpstreamCall {
  UpstreamOperation Operation = UpstreamOperation::Status;
  bool Write = false;
  std::string Statement;
  std::uint64_t Term = 0;
  std::string RequestId;
  std::int64_t IssuedAtMillis = 0;
  /// Execute: position that the session has seen; a read waits for it, and a
  /// write without a recorded answer does not run unless the log has it.
  /// ConfirmTerm: position that the upstream must hold.
  Position MinPosition;
  /// Longest time that the upstream may wait to reach MinPosition.
  Duration Wait{0};
  std::string Candidate;
  std::string PrimaryAddress;
};

/// How one exchange ended.
enum class UpstreamCode : std::uint8_t {
  Ok,
  /// The database reported an error; nothing changed.
  Error,
  /// The upstream is not the primary.
  NotPrimary,
  /// The term of the call is lower than a term raised at the upstream.
  StaleTerm,
  /// The upstream did not reach MinPosition within the wait.
  Behind,
  TooManyConnections,
  /// The request id is older than the retention of recorded answers.
  IdExpired,
  /// The connection has no open transaction.
  NoTransaction,
  /// MinPosition is not part of the history of the upstream.
  PositionLost,
  /// The request id is recorded for another request; nothing changed.
  IdReused,
  /// No answer within the timeout; the call may have run.
  TimedOut,
  /// The connection ended before the answer; the call may have run.
  ConnectionLost,
};

/// True if there was no answer: whether the call ran is unknown, and its
/// connection can't be used any more.
inline bool unanswered(UpstreamCode Code) {
  return Code == UpstreamCode::TimedOut || Code == UpstreamCode::ConnectionLost;
}

/// The answer of an upstream to one exchange, or why there is none.
struct UpstreamReply {
  UpstreamCode Code = UpstreamCode::ConnectionLost;
  std::string Message;
  std::string Result;
  /// Position of a write, or the position at which a read ran.
  Position At;
  /// The reply is the recorded answer of an earlier run with the same request
  /// id.
  bool Recorded = false;
  UpstreamStatus Status;
};

using UpstreamReplyHandler = std::function<void(const UpstreamReply &)>;

/// One database connection. Adapters derive from it.
struct UpstreamConnection {
  virtual ~UpstreamConnection() = default;
};

/// Destination of a connection and the proxy that opens it.
struct UpstreamTarget {
  /// Address to dial, already translated.
  std::string Address;
  std::string Database;
  ProxyId Proxy;
};

/// Function table of a plug-in. Handlers run on a thread of the adapter,
/// exactly once per call.
struct UpstreamAdapter {
  /// Opens a connection; \p Opened receives the status of the upstream, or the
  /// reason why there is no connection.
  std::shared_ptr<UpstreamConnection> (*Connect)(const UpstreamTarget &Target,
                                                 Duration Timeout,
                                                 UpstreamReplyHandler Opened);
  /// Starts one exchange. After TimedOut or ConnectionLost the connection is
  /// unusable. At most one exchange is in progress on a connection.
  void (*Call)(UpstreamConnection &Connection, const UpstreamCall &Request,
               Duration Timeout, UpstreamReplyHandler Done);
  void (*Close)(UpstreamConnection &Connection);
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_UPSTREAM_H
