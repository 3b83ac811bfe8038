/// \file
/// Chooses where a proxy that has learned of a newer configuration reads it:
/// from the store or from another proxy. The latter is used if the store does
/// not answer this proxy, or slowly, while other proxies have the
/// configuration.

#ifndef EELGRASSLOOM_KERNEL_CONFIGSOURCE_H
#define EELGRASSLOOM_KERNEL_CONFIGSOURCE_H

#include "kernel/time.h"

namespace eelgrassloom {

/// State of a proxy after another proxy has advertised a newer configuration.
struct ConfigReadState {
  /// Time since a newer configuration, not yet read, was first advertised.
  Duration OutdatedFor{0};
  /// The last call to the store had no answer.
  bool StoreUnreachable = false;
  /// A read from the store is in flight.
  bool ReadingStore = false;
  /// A read from another proxy is in flight.
  bool ReadingProxy = false;
};

/// Reads to start now.
struct ConfigReads {
  bool Store = false;
  /// Read from the proxy that advertised the configuration.
  bool Proxy = false;
};

/// Time for which only the store is read if its last call was answered.
inline constexpr Duration ProxyReadDelay = std::chrono::milliseconds(200);

/// Reads that are due now, at most one at a time from each source. The store is
/// read even while it is lost, because it may answer again at any time.
ConfigReads planConfigReads(const ConfigReadState &State);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_CONFIGSOURCE_H
