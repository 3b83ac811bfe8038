#include "kernel/staleness.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Keeps the newest half and every second sample of the older half.
void thin(std::vector<PrimarySample> &Samples) {
  std::size_t Half = Samples.size() / 2;
  std::size_t Kept = 0;
  for (std::size_t I = 0; I < Samples.size(); ++I)
    if (I >= Half || I % 2 == 1)
      Samples[Kept++] = Samples[I];
  Samples.resize(Kept);
}

/// True if \p A makes \p B redundant: A is not older, and every log that
/// contains the position of B contains that of A.
bool covers(const PrimarySample &A, const PrimarySample &B) {
  return A.At >= B.At && A.Committed <= B.Committed;
}

/// Inserts a sample in order of time unless another one covers it, and drops
/// the unconfirmed ones that it covers or whose term it replaces.
void insert(StalenessState &S, const PrimarySample &New) {
  auto &Samples = S.Samples;
  std::uint64_t Newest = 0;
  for (const PrimarySample &P : Samples)
    Newest = std::max(Newest, P.Term);
  // A replaced primary that still answers must not displace the samples of
  // its successor.
  if (New.Term < Newest)
    return;
  if (std::any_of(Samples.begin(), Samples.end(), [&](const PrimarySample &P) {
        return P.Term == New.Term && covers(P, New);
      }))
    return;
  std::erase_if(Samples, [&](const PrimarySample &P) {
    return !P.Confirmed && (P.Term < New.Term || covers(New, P));
  });
  auto Place = std::upper_bound(
      Samples.begin(), Samples.end(), New.At,
      [](Instant At, const PrimarySample &P) { return At < P.At; });
  Samples.insert(Place, New);
  if (Samples.size() > std::max<std::size_t>(2, S.Options.MaxSamples))
    thin(Samples);
}

/// True if a majority of the upstreams reported no higher term at or after the
/// time of the sample.
bool confirmedByMajority(const StalenessState &S, const PrimarySample &P) {
  std::size_t Count = 0;
  for (const auto &[Id, Seen] : S.RaisedTerms)
    if (Seen.SentAt >= P.At && Seen.Term <= P.Term)
      ++Count;
  return Count >= majority(S.Options.Upstreams);
}

/// Marks the samples that a majority confirms and drops those that the newest
/// confirmed one covers.
void confirm(StalenessState &S) {
  const PrimarySample *Newest = nullptr;
  for (PrimarySample &P : S.Samples) {
    if (!P.Confirmed)
      P.Confirmed = confirmedByMajority(S, P);
    if (P.Confirmed)
      Newest = &P;
  }
  if (!Newest)
    return;
  std::erase_if(S.Samples, [Kept = *Newest](const PrimarySample &P) {
    return P.At < Kept.At && covers(Kept, P);
  });
}

/// Newest confirmed sample that the log contains; null if there is none.
const PrimarySample *newestContained(const StalenessState &S,
                                     const TermHistory &History,
                                     Position Applied) {
  for (auto P = S.Samples.rbegin(); P != S.Samples.rend(); ++P)
    if (P->Confirmed && contains(History, Applied, P->Committed))
      return &*P;
  return nullptr;
}

} // namespace detail

void observe(StalenessState &S, const StatusObservation &O) {
  RaisedTermSeen &Seen = S.RaisedTerms[O.Id];
  if (O.SentAt >= Seen.SentAt)
    Seen = {O.RaisedTerm, O.SentAt};
  if (O.UpstreamRole == Role::Primary && !O.History.empty())
    detail::insert(S, {O.SentAt, O.Applied, O.History.back().Term, false});
  detail::confirm(S);
}

Duration stalenessBound(const StalenessState &S, const TermHistory &History,
                        Position Applied, Instant Now) {
  const PrimarySample *P = detail::newestContained(S, History, Applied);
  return P ? std::max(Duration::zero(), Now - P->At) : Duration::max();
}

Duration estimatedLag(const StalenessState &S, const TermHistory &History,
                      Position Applied) {
  const PrimarySample *P = detail::newestContained(S, History, Applied);
  auto Newest = std::find_if(S.Samples.rbegin(), S.Samples.rend(),
                             [](const auto &X) { return X.Confirmed; });
  return P ? Newest->At - P->At : Duration::zero();
}

} // namespace eelgrassloom
