/// \file
/// Clock and timers of tests with real processes.

#ifndef EELGRASSLOOM_SOAK_TIMERS_H
#define EELGRASSLOOM_SOAK_TIMERS_H

#include "net.h"

namespace eelgrassloom::soak {

using platform::asio::io_context;

/// Time on the boot clock, see platform::bootTime.
Instant now();
/// Calls \p Run on the loop after the duration \p D.
void runAfter(io_context &Loop, Duration D, std::function<void()> Run);

} // namespace eelgrassloom::soak

#endif // EELGRASSLOOM_SOAK_TIMERS_H
