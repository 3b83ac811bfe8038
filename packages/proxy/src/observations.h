/// \file
/// What this proxy knows about upstreams: from its own probes, from forwarded
/// answers and from status reports of other owners.

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

/// Latest report about one upstream.
struct Observation {
  UpstreamStatus Status;
  Instant At;
  Duration Staleness = Duration::max();
  Duration Lag{0};
};

/// Expected waits in the queue of an owner, as of an instant.
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
  void connectionAttempted(const UpstreamId &Id, bool Alive);
  void setSuspected(const UpstreamId &Id, bool Suspected);
  bool suspected(const UpstreamId &Id) const;

  std::optional<Observation> find(const UpstreamId &Id) const;

  /// Views for routing. The group record decides the role; the upstream's own
  /// role counts only while no record is known.
  std::vector<UpstreamSnapshot>
  upstreamSnapshots(const Snapshot &S, const Database &D, Instant Now) const;

  /// True if an upstream of the database other than \p Except was reported
  /// since \p Since.
  bool observedOtherSince(const Database &D, const UpstreamId &Except,
                          Instant Since) const;

private:
  /// Where the primary of a database was, to estimate the lag of replicas.
  struct PrimaryTrace {
    std::deque<std::pair<Instant, Position>> Samples;
  };

  Duration behindFor(const PrimaryTrace &T, Position Applied,
                     Instant Now) const;

  mutable std::mutex Mutex;
  std::map<UpstreamId, Observation, std::less<>> Table;
  std::map<UpstreamId, QueueHint, std::less<>> Hints;
  std::map<std::string, PrimaryTrace, std::less<>> Traces;
  std::set<UpstreamId, std::less<>> Suspects;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_OBSERVATIONS_H
