#include "validate.h"
#include "answers.h"
#include "limits.h"
#include <algorithm>

namespace eelgrassloom::detail {

using namespace caller::v1;

namespace {

constexpr std::size_t MaxRequestIdBytes = 256;
constexpr std::size_t MaxNameBytes = 256;
constexpr std::uint32_t MaxDeadlineMillis = 3'600'000;

/// Describes what is wrong with the request; empty if it is well-formed.
std::string problem(const RunRequest &R) {
  bool InTransaction = !R.transaction().empty();
  bool Ends = R.step() == STEP_COMMIT || R.step() == STEP_ROLLBACK;
  if (R.database().empty())
    return "database is empty";
  if (R.workload_class().empty())
    return "workload_class is empty";
  if (std::max(R.database().size(), R.workload_class().size()) > MaxNameBytes)
    return "database or workload_class is longer than " +
           std::to_string(MaxNameBytes) + " bytes";
  if (!Step_IsValid(R.step()))
    return "step " + std::to_string(R.step()) + " does not exist";
  if (!Ends && R.access() != ACCESS_READ && R.access() != ACCESS_WRITE)
    return "access is neither ACCESS_READ nor ACCESS_WRITE";
  if (Ends && !InTransaction)
    return "a commit or rollback needs the handle of its transaction";
  if (R.step() == STEP_BEGIN && InTransaction)
    return "a transaction can't begin inside another one";
  if (R.deadline_ms() > MaxDeadlineMillis)
    return "deadline_ms is greater than " + std::to_string(MaxDeadlineMillis);
  if (R.request_id().size() > MaxRequestIdBytes)
    return "request_id is longer than " + std::to_string(MaxRequestIdBytes) +
           " bytes";
  if (!R.request_id().empty() && R.issued_at_ms() <= 0)
    return "a request with a request_id needs issued_at_ms";
  if (!R.non_idempotent())
    return "";
  // Inside a transaction only the commit has an effect of its own.
  if (InTransaction && R.step() != STEP_COMMIT)
    return "";
  if (R.access() == ACCESS_READ)
    return "a non-idempotent request must have ACCESS_WRITE";
  if (R.request_id().empty() && R.step() != STEP_BEGIN)
    return "a non-idempotent request needs a request_id and issued_at_ms";
  return "";
}

} // namespace

std::optional<RunAnswer> validate(const RunRequest &R, Duration Retention,
                                  std::int64_t WallMicros) {
  if (R.ByteSizeLong() > MaxRequestBytes)
    return refused(REASON_TOO_LARGE,
                   "the request has " + std::to_string(R.ByteSizeLong()) +
                       " bytes, more than " + std::to_string(MaxRequestBytes));
  std::string Problem = problem(R);
  if (!Problem.empty())
    return refused(REASON_BAD_REQUEST, std::move(Problem));
  bool Recorded = !R.request_id().empty() &&
                  (R.access() == ACCESS_WRITE || R.step() == STEP_COMMIT);
  if (Recorded && WallMicros / 1000 - R.issued_at_ms() > toMillis(Retention))
    return unknown(REASON_ID_EXPIRED, "the request was issued before the "
                                      "retention horizon of request ids");
  return std::nullopt;
}

} // namespace eelgrassloom::detail
