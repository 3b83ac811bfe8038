/// \file
/// Tracks by database how stale the data of its upstreams can be, from every
/// status that this proxy receives.

#ifndef EELGRASSLOOM_PROXY_STALENESSTRACKER_H
#define EELGRASSLOOM_PROXY_STALENESSTRACKER_H

#include "kernel/staleness.h"
#include "proxy/upstream.h"
#include <map>
#include <mutex>
#include <string>

namespace eelgrassloom::detail {

/// Thread-safe wrapper of kernel/staleness.h.
class StalenessTracker {
public:
  /// \p Upstreams is the size of the group. \p SentAt is when the request was
  /// sent that the upstream answered with the status.
  void observe(const std::string &Database, std::size_t Upstreams,
               const UpstreamStatus &Status, Instant SentAt);
  /// Upper bound of the staleness of a log that was read at \p Now;
  /// Duration::max() if no bound is known.
  Duration bound(const std::string &Database, const TermHistory &History,
                 Position Applied, Instant Now) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, StalenessState, std::less<>> States;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_STALENESSTRACKER_H
