/// \file
/// Interface to the platform, which provides a key-value store and a list of
/// hosts. An adapter is a table of functions over plain structs; support for
/// another platform is added by registering another PlatformAdapter.

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

/// An entry of the key-value store. Revision 0 means that the key is absent.
struct PlatformEntry {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
};

/// Result of a call to the platform.
enum class PlatformCode : std::uint8_t {
  Ok,
  /// A compare-and-swap found another revision than the expected one. The reply
  /// carries the current entry.
  Conflict,
  /// The platform did not answer. A compare-and-swap may have taken effect.
  Unavailable,
};

/// Result of a read or a compare-and-swap.
struct PlatformReply {
  PlatformCode Code = PlatformCode::Unavailable;
  PlatformEntry Entry;
};

/// A host of the platform's host list.
struct PlatformHost {
  std::string Id;
  std::string Address;
  std::string FailureDomain;
  /// The host list marks the host as leaving.
  bool Leaving = false;
};

/// Result of a read of the host list.
struct PlatformHosts {
  PlatformCode Code = PlatformCode::Unavailable;
  std::vector<PlatformHost> Hosts;
};

/// A connection to the platform. Each adapter derives its own type.
struct PlatformClient {
  virtual ~PlatformClient() = default;
};

/// A watch in progress. Destroying the object ends the watch.
struct PlatformWatch {
  virtual ~PlatformWatch() = default;
};

using PlatformReplyHandler = std::function<void(const PlatformReply &)>;
using PlatformHostsHandler = std::function<void(const PlatformHosts &)>;
using PlatformEntryHandler = std::function<void(const PlatformEntry &)>;

/// Functions of an adapter. Handlers run on a thread of the adapter.
struct PlatformAdapter {
  std::shared_ptr<PlatformClient> (*Connect)(const std::string &Address);
  void (*Get)(PlatformClient &Client, const std::string &Key, Duration Timeout,
              PlatformReplyHandler Done);
  /// Writes the entry if its key has the expected revision. \p LeaseMillis
  /// greater than zero attaches a store lease of that many milliseconds, after
  /// which the platform deletes the entry.
  void (*CompareAndSwap)(PlatformClient &Client, const PlatformEntry &Entry,
                         std::uint64_t ExpectedRevision,
                         std::uint32_t LeaseMillis, Duration Timeout,
                         PlatformReplyHandler Done);
  /// Reports every entry whose key has the prefix, then every change, until the
  /// stream ends. \p Ended runs when the platform or the network ends it.
  std::shared_ptr<PlatformWatch> (*Watch)(PlatformClient &Client,
                                          const std::string &Prefix,
                                          PlatformEntryHandler Changed,
                                          std::function<void()> Ended);
  void (*ListHosts)(PlatformClient &Client, Duration Timeout,
                    PlatformHostsHandler Done);
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_PLATFORM_H
