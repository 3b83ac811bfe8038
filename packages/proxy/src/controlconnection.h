/// \file
/// A connection for probes and confirmations, separate from the pool that runs
/// statements, and the prober that queries the status of an upstream on it.

#ifndef EELGRASSLOOM_PROXY_CONTROLCONNECTION_H
#define EELGRASSLOOM_PROXY_CONTROLCONNECTION_H

#include "datapathstate.h"
#include <atomic>

namespace eelgrassloom::detail {

/// One connection that is opened when it is first needed and replaced after a
/// call times out. Only for calls that may be repeated, because a call whose
/// connection was lost is sent again. One call at a time.
class ControlConnection
    : public std::enable_shared_from_this<ControlConnection> {
public:
  static std::shared_ptr<ControlConnection>
  create(DataPathStateRef P, Upstream Target, std::string Database);

  /// \p Done runs exactly once, without a lock held.
  void call(UpstreamCall Request, Duration Timeout, UpstreamReplyHandler Done);
  /// Closes the connection; a call in progress still ends.
  void close();

private:
  ControlConnection(DataPathStateRef P, Upstream Target, std::string Database)
      : P(std::move(P)), Target(std::move(Target)),
        Database(std::move(Database)) {}

  struct Exchange {
    UpstreamCall Request;
    Instant Deadline;
    UpstreamReplyHandler Done;
    /// The connection was opened for this call.
    bool Fresh = false;
  };

  void open(std::shared_ptr<Exchange> E);
  void send(std::shared_ptr<Exchange> E,
            std::shared_ptr<UpstreamConnection> Connection);
  void answered(const std::shared_ptr<Exchange> &E, const UpstreamReply &R);

  const DataPathStateRef P;
  const Upstream Target;
  const std::string Database;
  std::mutex Mutex;
  std::shared_ptr<UpstreamConnection> Connection;
  bool Closed = false;
};

/// Queries the status of an upstream once per probe interval until it is
/// stopped.
class StatusProber : public std::enable_shared_from_this<StatusProber> {
public:
  /// Receives the reply and the instant at which the status query was sent.
  using Handler = std::function<void(const UpstreamReply &, Instant SentAt)>;

  static std::shared_ptr<StatusProber> create(DataPathStateRef P,
                                              Upstream Target,
                                              std::string Database,
                                              Handler Answered);
  void start() { probe(); }
  void stop();

private:
  StatusProber(DataPathStateRef P,
               std::shared_ptr<ControlConnection> Connection, Handler Answered)
      : P(std::move(P)), Connection(std::move(Connection)),
        Answered(std::move(Answered)) {}
  void probe();

  const DataPathStateRef P;
  const std::shared_ptr<ControlConnection> Connection;
  const Handler Answered;
  std::atomic<bool> Stopped = false;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_CONTROLCONNECTION_H
