/// \file
/// Boundary to the platform: a function table over plain structs. Another
/// platform is attached by registering another PlatformAdapter.

#ifndef EELGRASSLOOM_PROXY_PLATFORM_H
#define EELGRASSLOOM_PROXY_PLATFORM_H

#include "kernel/registry.h"
#include "kernel/time.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassloom {

/// A key of the key-value service. Revision 0 means that the key is absent.
struct PlatformEntry {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
};

enum class PlatformCode : std::uint8_t {
  Ok,
  /// Compare-and-swap: the revision differs; the entry is the current one.
  Conflict,
  /// No answer; a compare-and-swap may have taken effect.
  Unavailable,
};

struct PlatformReply {
  PlatformCode Code = PlatformCode::Unavailable;
  PlatformEntry Entry;
};

struct PlatformHost {
  std::string Id;
  std::string Address;
  std::string FailureDomain;
  bool Leaving = false;
};

struct PlatformHosts {
  PlatformCode Code = PlatformCode::Unavailable;
  std::vector<PlatformHost> Hosts;
};

/// Connection to the platform. Adapters derive from it.
struct PlatformClient {
  virtual ~PlatformClient() = default;
};

/// A watch in progress; destroying it ends the watch.
struct PlatformWatch {
  virtual ~PlatformWatch() = default;
};

using PlatformReplyHandler = std::function<void(const PlatformReply &)>;
using PlatformHostsHandler = std::function<void(const PlatformHosts &)>;
using PlatformEntryHandler = std::function<void(const PlatformEntry &)>;

/// Plug-in: handlers run on a thread of the adapter.
struct PlatformAdapter {
  std::shared_ptr<PlatformClient> (*Connect)(const std::string &Address);
  void (*Get)(PlatformClient &Client, const std::string &Key, Duration Timeout,
              PlatformReplyHandler Done);
  /// \p LeaseMillis greater than zero gives the entry a lease of that length.
  void (*CompareAndSwap)(PlatformClient &Client, const PlatformEntry &Entry,
                         std::uint64_t ExpectedRevision,
                         std::uint32_t LeaseMillis, Duration Timeout,
                         PlatformReplyHandler Done);
  /// Reports every entry under the prefix, then every change, until it ends.
  std::shared_ptr<PlatformWatch> (*Watch)(PlatformClient &Client,
                                          const std::string &Prefix,
                                          PlatformEntryHandler Changed,
                                          std::function<void()> Ended);
  void (*ListHosts)(PlatformClient &Client, Duration Timeout,
                    PlatformHostsHandler Done);
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_PLATFORM_H
