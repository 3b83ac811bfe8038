/// \file
/// Checks of a caller's request that need no other state.

#ifndef EELGRASSLOOM_PROXY_VALIDATE_H
#define EELGRASSLOOM_PROXY_VALIDATE_H

#include "caller.pb.h"
#include "kernel/time.h"
#include <optional>

namespace eelgrassloom::detail {

/// The refusal of a malformed request, or the answer to one whose request id
/// is older than \p Retention; nothing if the request can be run.
std::optional<caller::v1::RunAnswer>
validate(const caller::v1::RunRequest &Request, Duration Retention,
         std::int64_t WallMicros);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_VALIDATE_H
