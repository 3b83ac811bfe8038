/// \file
/// Interface through which sessions obtain permission to begin an operation of
/// a customer whose number of operations is limited.

#ifndef EELGRASSLOOM_ENGINE_LIMITER_H
#define EELGRASSLOOM_ENGINE_LIMITER_H

#include "kernel/customers.h"
#include "kernel/time.h"
#include <functional>

namespace eelgrassloom {

/// Answer to a request to begin an operation.
struct OperationPermit {
  bool Granted = false;
  /// If not granted: when the caller should try again.
  Duration RetryAfter{0};
};

/// Functions of the limiter. Both are empty if no operations are limited.
struct OperationLimiter {
  /// Requests permission for one operation. \p Done runs exactly once, possibly
  /// before this call returns.
  std::function<void(const CustomerId &Customer,
                     std::function<void(OperationPermit)> Done)>
      Acquire;
  /// Returns the permission of an operation of which nothing was sent to a
  /// server.
  std::function<void(const CustomerId &Customer)> GiveBack;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_LIMITER_H
