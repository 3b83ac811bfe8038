/// \file
/// Where a proxy that knows of newer rules reads them. Failure patterns: a
/// store that does not answer this proxy, or slowly, while other proxies have
/// the rules.

#ifndef EELGRASSLOOM_KERNEL_CONFIGSOURCE_H
#define EELGRASSLOOM_KERNEL_CONFIGSOURCE_H

#include "kernel/time.h"

namespace eelgrassloom {

/// What is known when another proxy names newer rules.
struct ConfigReadState {
  /// Time since newer rules were first named and not yet read.
  Duration OutdatedFor{0};
  /// The last call to the store had no answer.
  bool StoreLost = false;
  bool ReadingStore = false;
  bool ReadingProxy = false;
};

struct ConfigReads {
  bool Store = false;
  /// Ask the proxy that named them.
  bool Proxy = false;
};

/// The store alone is asked for this long, if it has answered before.
inline constexpr Duration ProxyReadDelay = std::chrono::milliseconds(200);

ConfigReads planConfigReads(const ConfigReadState &Wait);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_CONFIGSOURCE_H
