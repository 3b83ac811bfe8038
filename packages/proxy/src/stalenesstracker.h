/// \file
/// Staleness bounds by database, from every status this proxy receives.

#ifndef EELGRASSLOOM_PROXY_STALENESSTRACKER_H
#define EELGRASSLOOM_PROXY_STALENESSTRACKER_H

#include "kernel/staleness.h"
#include "proxy/upstream.h"
#include <map>
#include <mutex>
#include <string>

namespace eelgrassloom::detail {

/// Thread-safe.
class StalenessTracker {
public:
  /// \p SentAt is when the exchange was sent that returned the status.
  void observe(const std::string &Database, std::size_t Upstreams,
               const UpstreamStatus &Status, Instant SentAt);
  /// Staleness bound of a log that was read now.
  Duration bound(const std::string &Database, const TermHistory &History,
                 Position Applied, Instant Now) const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, StalenessState, std::less<>> States;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_STALENESSTRACKER_H
