#include "kernel/revisiontimes.h"
#include <algorithm>

namespace eelgrassloom {

void addRevision(RevisionTimes &Times, std::uint64_t Revision, Instant Now) {
  auto &Samples = Times.Samples;
  // One sample beyond the retention is kept, so that older revisions have a
  // bound as well.
  while (Samples.size() > 1 && Now - Samples[1].At > RevisionRetention)
    Samples.pop_front();
  if (Samples.empty() || Samples.back().Revision < Revision)
    Samples.push_back({Revision, Now});
}

std::optional<Instant> madeBy(const RevisionTimes &Times,
                              std::uint64_t Revision) {
  auto Found = std::partition_point(
      Times.Samples.begin(), Times.Samples.end(),
      [&](const RevisionTimes::Sample &S) { return S.Revision < Revision; });
  if (Found == Times.Samples.end())
    return std::nullopt;
  return Found->At;
}

} // namespace eelgrassloom
