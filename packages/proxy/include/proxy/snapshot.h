/// \file
/// Immutable copy of the control state that the data path reads.

#ifndef EELGRASSLOOM_PROXY_SNAPSHOT_H
#define EELGRASSLOOM_PROXY_SNAPSHOT_H

#include "kernel/model.h"
#include "kernel/position.h"
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassloom {

/// The primary of a database as far as this proxy knows.
struct GroupSnapshot {
  std::uint64_t Term = 0;
  /// Empty while a promotion is in progress.
  UpstreamId Primary;
  TermHistory History;
};

/// The proxy that runs the statements of an upstream.
struct UpstreamOwner {
  ProxyId Owner;
  /// Peer address of the owner, already translated; empty if it is this proxy.
  std::string Address;
};

/// Configuration, primaries, ownership and membership at one point in time.
struct Snapshot {
  /// Version 0 until a configuration is known.
  Configuration Config;
  std::map<std::string, GroupSnapshot, std::less<>> Groups;
  /// Owners by upstream.
  std::map<UpstreamId, UpstreamOwner, std::less<>> Owners;
  /// Peer addresses of live proxies, already translated.
  std::map<ProxyId, std::string, std::less<>> Peers;
  /// Upstreams that receive no new work.
  std::map<UpstreamId, bool, std::less<>> Leaving;
  /// This proxy shuts down and refuses new requests.
  bool Draining = false;
};

/// Publishes snapshots from the control thread to the data path.
class SnapshotHolder {
public:
  std::shared_ptr<const Snapshot> load() const { return Current.load(); }
  void store(std::shared_ptr<const Snapshot> S) { Current.store(std::move(S)); }

private:
  std::atomic<std::shared_ptr<const Snapshot>> Current{
      std::make_shared<const Snapshot>()};
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_SNAPSHOT_H
