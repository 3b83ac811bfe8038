/// \file
/// Whether values that were read make sense, beyond their types. Limits are
/// wide: they only keep out what would break the arithmetic or the service.

#ifndef EELGRASSLOOM_KERNEL_VALIDATION_H
#define EELGRASSLOOM_KERNEL_VALIDATION_H

#include "kernel/result.h"
#include "kernel/routes.h"

namespace eelgrassloom {

/// Longest time that rules may contain.
inline constexpr Duration MaxConfigTime = std::chrono::hours(24);
/// Most connections and slots of one server.
inline constexpr unsigned MaxConnections = 100000;

/// Empty if the rules can be put into force.
std::vector<Finding> validate(const RoutingConfig &Config);

/// Empty if the entry names a server.
std::vector<Finding> validate(const ServerEntry &Server);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_VALIDATION_H
