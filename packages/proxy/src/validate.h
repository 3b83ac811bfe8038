/// \file
/// Checks of a caller's request that depend on the request alone.

#ifndef EELGRASSLOOM_PROXY_VALIDATE_H
#define EELGRASSLOOM_PROXY_VALIDATE_H

#include "caller.pb.h"
#include "kernel/time.h"
#include <optional>

namespace eelgrassloom::detail {

/// The refusal of a malformed request, or the answer to a request that was
/// issued longer than \p Retention before \p WallMicros, the current wall-clock
/// time, and whose request id may have been forgotten. Nothing if the request
/// can be run.
std::optional<caller::v1::RunAnswer>
validate(const caller::v1::RunRequest &Request, Duration Retention,
         std::int64_t WallMicros);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_VALIDATE_H
