/// \file
/// Latest known status of upstreams, from the probes of this proxy, from the
/// answers of other owners to forwarded statements and from their status
/// reports.

#ifndef EELGRASSLOOM_PROXY_OBSERVATIONS_H
#define EELGRASSLOOM_PROXY_OBSERVATIONS_H

#include "kernel/routing.h"
#include "proxy/snapshot.h"
#include "proxy/upstream.h"
#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassloom::detail {

/// Latest status of one upstream, received at At.
struct Observation {
  UpstreamStatus Status;
  Instant At;
  /// Upper bound of the staleness at At.
  Duration Staleness = Duration::max();
  /// Moving average of the replication lag; zero for a primary.
  Duration Lag{0};
};

/// Expected wait in the queue of an owner by priority, as of At.
struct QueueHint {
  std::array<Duration, PriorityCount> Wait{};
  Instant At;
};

/// Thread-safe table by upstream.
class Observations {
public:
  void observe(const std::string &Database, const UpstreamStatus &Status,
               Duration Staleness, Instant At);
  void observeQueue(const UpstreamId &Id, const QueueHint &Hint);
  /// An upstream is suspected while its latest connection attempt failed.
  void connectionAttempted(const UpstreamId &Id, bool Alive);
  void setSuspected(const UpstreamId &Id, bool Suspected);
  bool suspected(const UpstreamId &Id) const;

  std::optional<Observation> find(const UpstreamId &Id) const;

  /// Input for routing. The group record decides the roles; the role that an
  /// upstream reports counts only while no record is known.
  std::vector<UpstreamSnapshot>
  upstreamSnapshots(const Snapshot &S, const Database &D, Instant Now) const;

  /// True if an upstream of the database other than \p Except was reported
  /// since \p Since.
  bool observedOtherSince(const Database &D, const UpstreamId &Except,
                          Instant Since) const;

private:
  /// When the primary of a database reached its recent positions, to estimate
  /// the lag of replicas.
  struct PrimaryTrace {
    std::deque<std::pair<Instant, Position>> Samples;
  };

  /// How long ago the primary was first observed beyond position \p Applied;
  /// zero if it was not.
  Duration replicationLag(const PrimaryTrace &T, Position Applied,
                          Instant Now) const;

  mutable std::mutex Mutex;
  std::map<UpstreamId, Observation, std::less<>> Latest;
  std::map<UpstreamId, QueueHint, std::less<>> Hints;
  std::map<std::string, PrimaryTrace, std::less<>> Traces;
  std::set<UpstreamId, std::less<>> SuspectedUpstreams;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_OBSERVATIONS_H
