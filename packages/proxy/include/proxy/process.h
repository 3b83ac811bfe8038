/// \file
/// Assembles the parts of one proxy process and runs it until it is told to
/// stop.

#ifndef EELGRASSLOOM_PROXY_PROCESS_H
#define EELGRASSLOOM_PROXY_PROCESS_H

#include "runtime/settings.h"
#include <functional>

namespace eelgrassloom {

/// Runs a proxy. \p WaitForStop returns when the process has to drain. Throws
/// std::runtime_error if an address can't be bound.
void runProxy(const Settings &Options,
              const std::function<void()> &WaitForStop);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_PROXY_PROCESS_H
