/// \file
/// Validates the values of configurations and registry entries that were read,
/// beyond their types. The limits are wide: they only exclude values that would
/// break the arithmetic or the service.

#ifndef EELGRASSLOOM_KERNEL_VALIDATION_H
#define EELGRASSLOOM_KERNEL_VALIDATION_H

#include "kernel/result.h"
#include "kernel/routes.h"

namespace eelgrassloom {

/// Maximum time in a configuration.
inline constexpr Duration MaxConfigTime = std::chrono::hours(24);
/// Maximum number of connections and of slots of one server.
inline constexpr unsigned MaxConnections = 100000;

/// Errors of a configuration; empty if it can be applied.
std::vector<Finding> validate(const RoutingConfig &Config);

/// Errors of a registry entry; empty if it describes a server.
std::vector<Finding> validate(const ServerEntry &Server);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_VALIDATION_H
