/// \file
/// Pools and probes of the upstreams that this proxy owns.

#ifndef EELGRASSLOOM_PROXY_OWNEDUPSTREAMS_H
#define EELGRASSLOOM_PROXY_OWNEDUPSTREAMS_H

#include "controlconnection.h"
#include "upstreampool.h"
#include <atomic>
#include <map>
#include <mutex>

namespace eelgrassloom::detail {

/// Thread-safe.
class OwnedUpstreams : public std::enable_shared_from_this<OwnedUpstreams> {
public:
  explicit OwnedUpstreams(DataPathStateRef P) : P(std::move(P)) {}

  /// Starts and retires pools and probes for a new snapshot.
  void apply(const Snapshot &S);
  /// The pool of an owned upstream; null if this proxy does not own it or knows
  /// it in another database.
  std::shared_ptr<UpstreamPool> pool(const UpstreamId &Id,
                                     const std::string &Database) const;
  /// Stores the status that an upstream of a database reported.
  void observe(const std::string &Database, const UpstreamStatus &Status,
               Instant SentAt);
  /// Latest observations of the owned upstreams of a database, for other
  /// proxies.
  peer::v1::StatusReport report(const std::string &Database) const;
  std::vector<OwnedUpstream> owned() const;
  /// Stops all probes and closes idle connections; work in progress still
  /// ends.
  void close();

private:
  struct PooledUpstream {
    std::shared_ptr<UpstreamPool> Pool;
    std::shared_ptr<StatusProber> Prober;
    std::string Database;
  };
  /// Probes a primary that another proxy owns, because the staleness bounds of
  /// the owned replicas depend on the status of their primary.
  struct PrimaryProbe {
    UpstreamId Primary;
    std::string Address;
    std::shared_ptr<StatusProber> Prober;
  };

  PooledUpstream startUpstream(const Upstream &U, const std::string &Database,
                               const Snapshot &S);
  void updatePrimaryProbes(const Snapshot &S);
  void startPrimaryProbe(const Upstream &U, const std::string &Database);

  const DataPathStateRef P;
  std::atomic<bool> Closed = false;
  mutable std::mutex Mutex;
  std::map<UpstreamId, PooledUpstream, std::less<>> PooledUpstreams;
  std::map<std::string, PrimaryProbe, std::less<>> PrimaryProbes;
  /// Pools of upstreams that this proxy no longer owns or whose address
  /// changed; they are kept until their work has ended.
  std::vector<std::shared_ptr<UpstreamPool>> RetiredPools;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_OWNEDUPSTREAMS_H
