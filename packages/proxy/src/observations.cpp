#include "observations.h"
#include <algorithm>

namespace eelgrassloom::detail {
namespace {

constexpr std::size_t MaxPrimarySamples = 64;
constexpr Duration MinSampleSpacing = std::chrono::milliseconds(1);
/// A new sample has a weight of 1 / LagWeight in the moving average of the lag.
constexpr int LagWeight = 8;

} // namespace

void Observations::observe(const std::string &Database,
                           const UpstreamStatus &Status, Duration Staleness,
                           Instant At) {
  if (Status.Id.empty())
    return;
  std::lock_guard<std::mutex> Lock(Mutex);
  PrimaryTrace &Trace = Traces[Database];
  Observation &O = Latest[Status.Id];
  if (Status.UpstreamRole == Role::Primary) {
    auto &S = Trace.Samples;
    // A sample tells when a position was first observed, so only progress adds
    // one.
    if (S.empty() || (Status.Applied > S.back().second &&
                      At - S.back().first >= MinSampleSpacing))
      S.emplace_back(At, Status.Applied);
    if (S.size() > MaxPrimarySamples)
      S.pop_front();
    O.Lag = Duration::zero();
  } else {
    O.Lag += (replicationLag(Trace, Status.Applied, At) - O.Lag) / LagWeight;
  }
  O.Status = Status;
  O.At = At;
  O.Staleness = Staleness;
}

Duration Observations::replicationLag(const PrimaryTrace &T, Position Applied,
                                      Instant Now) const {
  for (const auto &[At, P] : T.Samples)
    if (P > Applied)
      return std::max(Duration::zero(), Now - At);
  return Duration::zero();
}

void Observations::observeQueue(const UpstreamId &Id, const QueueHint &Hint) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Hints[Id] = Hint;
}

void Observations::connectionAttempted(const UpstreamId &Id, bool Alive) {
  setSuspected(Id, !Alive);
}

void Observations::setSuspected(const UpstreamId &Id, bool Suspected) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Suspected)
    SuspectedUpstreams.insert(Id);
  else
    SuspectedUpstreams.erase(Id);
}

bool Observations::suspected(const UpstreamId &Id) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return SuspectedUpstreams.contains(Id);
}

std::optional<Observation> Observations::find(const UpstreamId &Id) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = Latest.find(Id);
  if (It == Latest.end())
    return std::nullopt;
  return It->second;
}

std::vector<UpstreamSnapshot>
Observations::upstreamSnapshots(const Snapshot &S, const Database &D,
                                Instant Now) const {
  auto Group = S.Groups.find(D.Name);
  const GroupSnapshot *G = Group == S.Groups.end() ? nullptr : &Group->second;
  std::vector<UpstreamSnapshot> Snapshots;
  Snapshots.reserve(D.Upstreams.size());
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const Upstream &U : D.Upstreams) {
    UpstreamSnapshot V;
    V.Id = U.Id;
    V.FailureDomain = U.FailureDomain;
    V.Leaving = U.Leaving || S.Leaving.contains(U.Id);
    V.Suspected = SuspectedUpstreams.contains(U.Id);
    if (auto It = Latest.find(U.Id); It != Latest.end()) {
      const Observation &O = It->second;
      V.UpstreamRole = O.Status.UpstreamRole;
      V.Applied = O.Status.Applied;
      V.History = O.Status.History;
      V.ObservedAt = O.At;
      V.Staleness = O.Staleness;
      V.Lag = O.Lag;
      V.Leaving = V.Leaving || O.Status.Leaving;
    }
    if (G) {
      V.UpstreamRole = U.Id == G->Primary ? Role::Primary : Role::Replica;
      // The group record can be newer than the last status of the primary.
      if (U.Id == G->Primary &&
          (V.History.empty() ||
           (!G->History.empty() &&
            G->History.back().Term > V.History.back().Term)))
        V.History = G->History;
    }
    if (auto It = Hints.find(U.Id); It != Hints.end())
      for (std::size_t I = 0; I < PriorityCount; ++I)
        // The owner's queue drains while the hint ages.
        V.QueueWait[I] = std::max(Duration::zero(),
                                  It->second.Wait[I] - (Now - It->second.At));
    Snapshots.push_back(std::move(V));
  }
  return Snapshots;
}

bool Observations::observedOtherSince(const Database &D,
                                      const UpstreamId &Except,
                                      Instant Since) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return std::any_of(
      D.Upstreams.begin(), D.Upstreams.end(), [&](const Upstream &U) {
        auto It = Latest.find(U.Id);
        return U.Id != Except && It != Latest.end() && It->second.At >= Since;
      });
}

} // namespace eelgrassloom::detail
