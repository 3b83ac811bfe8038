/// \file
/// Where a proxy that knows of newer rules reads them. Failure patterns: a
/// store that does not answer this proxy, or slowly, while other proxies have
/// the rules.

#ifndef EELGRASSLOOM_KERNEL_CONFIGSOURCE_H
#define EELGRASSLOOM_KERNEL_CONFIGSOURCE_H

#include "kernel/time.h"

namespace eelgrassloom {

/// What is known when another proxy names newer rules.
struct RulesWait {
  /// Time since newer rules were first named and not yet read.
  Duration Since{0};
  /// The last call to the store had no answer.
  bool StoreLost = false;
  bool ReadingStore = false;
  bool AskingProxy = false;
};

struct RulesReads {
  bool Store = false;
  /// Ask the proxy that named them.
  bool Proxy = false;
};

/// The store alone is asked for this long, if it has answered before.
inline constexpr Duration RulesStorePatience = std::chrono::milliseconds(200);

RulesReads planRulesReads(const RulesWait &Wait);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_CONFIGSOURCE_H
