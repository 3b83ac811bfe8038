#include "kernel/resend.h"

namespace eelgrassloom {

Instant firstTry(const std::optional<RefusedOperation> &Last, Instant Arrived) {
  if (!Last || Arrived - Last->RefusedAt > ResendWindow)
    return Arrived;
  return Last->FirstTry;
}

} // namespace eelgrassloom
