#include "kernel/primary.h"
#include <algorithm>

namespace eelgrassloom {

bool valid(const PrimaryLease &Lease, Instant Now) {
  return !Lease.Primary.empty() && Now < Lease.Until;
}

void addPosition(PrimaryPositions &P, const PrimaryPosition &Sample) {
  while (!P.Recent.empty() &&
         P.Recent.front().At + PositionRetention < Sample.At)
    P.Recent.pop_front();
  // Answers may arrive out of order; an older exchange adds nothing.
  if (!P.Recent.empty() && Sample.Epoch == P.Recent.back().Epoch &&
      Sample.At < P.Recent.back().At + MinSampleInterval)
    return;
  if (!P.Recent.empty() && Sample.Epoch < P.Recent.back().Epoch)
    return;
  P.Recent.push_back(Sample);
}

std::optional<Position> requiredPosition(const PrimaryPositions &P,
                                         Instant ReadStart, Duration Bound) {
  // The samples are in order of time, but for those of a new epoch that were
  // requested before the last one of the old epoch. A later sample than needed
  // is strict enough as well.
  auto Sample = std::partition_point(
      P.Recent.begin(), P.Recent.end(),
      [&](const PrimaryPosition &Each) { return Each.At < ReadStart - Bound; });
  if (Sample == P.Recent.end())
    return std::nullopt;
  return Sample->Committed;
}

SessionCommit lastCommitAt(const SessionCommits &Commits,
                           std::string_view Service) {
  auto It = Commits.find(Service);
  return It == Commits.end() ? SessionCommit() : It->second;
}

std::optional<Position> requiredForSession(const PrimaryPositions &P,
                                           const SessionCommit &C,
                                           std::uint64_t Epoch) {
  if (C.Committed.Term == 0)
    return Position{};
  if (C.Epoch == Epoch)
    return C.Committed;
  for (const PrimaryPosition &Sample : P.Recent)
    if (Sample.Epoch == Epoch)
      return Sample.Committed;
  return std::nullopt;
}

} // namespace eelgrassloom
