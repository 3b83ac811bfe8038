/// \file
/// Boundary to the databases: a function table over plain structs. Another
/// kind of database is attached by registering another UpstreamAdapter.

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
  /// Highest term this upstream has promised to; it rejects lower ones.
  std::uint64_t RaisedTerm = 0;
  Position Applied;
  TermHistory History;
  bool Leaving = false;
};

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

/// One request to an upstream; which fields apply depends on the operation and
/// follows upstream.proto.
struct UpstreamCall {
  UpstreamOperation Operation = UpstreamOperation::Status;
  bool Write = false;
  std::string Statement;
  std::uint64_t Term = 0;
  std::string RequestId;
  std::int64_t IssuedAtMillis = 0;
  /// Execute: minimum applied position. ConfirmTerm: position to hold.
  Position MinPosition;
  Duration Wait{0};
  std::string Candidate;
  std::string PrimaryAddress;
};

enum class UpstreamCode : std::uint8_t {
  Ok,
  /// The database reported an error; nothing changed.
  Error,
  NotPrimary,
  StaleTerm,
  Behind,
  TooManyConnections,
  IdExpired,
  NoTransaction,
  PositionLost,
  /// No answer within the timeout; the call may have run.
  TimedOut,
  /// The connection ended before the answer; the call may have run.
  ConnectionLost,
};

struct UpstreamReply {
  UpstreamCode Code = UpstreamCode::ConnectionLost;
  std::string Message;
  std::string Result;
  Position At;
  /// The recorded answer of an earlier run of the same request id.
  bool Recorded = false;
  UpstreamStatus Status;
};

using UpstreamReplyHandler = std::function<void(const UpstreamReply &)>;

/// One database connection. Adapters derive from it.
struct UpstreamConnection {
  virtual ~UpstreamConnection() = default;
};

struct UpstreamTarget {
  /// Address to dial, already translated.
  std::string Address;
  std::string Database;
  ProxyId Proxy;
};

/// Plug-in: handlers run on a thread of the adapter, exactly once per call.
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
