/// \file
/// Callbacks by which the data path reports to the control thread. Calls never
/// block.

#ifndef EELGRASSLOOM_PROXY_OBSERVER_H
#define EELGRASSLOOM_PROXY_OBSERVER_H

#include "kernel/model.h"
#include "proxy/upstream.h"
#include <functional>
#include <string>

namespace eelgrassloom {

/// Each call puts a message into the inbox of the control thread.
struct Observer {
  /// An upstream accepted a connection, or answered a probe or a confirmation.
  /// Answers to statements are not reported.
  std::function<void(const std::string &Database, const UpstreamStatus &)>
      StatusObserved;
  /// A new connection to an upstream was attempted.
  std::function<void(const UpstreamId &, bool Opened)> ConnectionAttempted;
};

/// Load of one owned upstream, which the control thread queries from the data
/// path.
struct OwnedUpstream {
  UpstreamId Id;
  std::string Database;
  unsigned Connections = 0;
  unsigned InFlight = 0;
  unsigned Queued = 0;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_OBSERVER_H
