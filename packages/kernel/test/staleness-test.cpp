#include "kernel/staleness.h"
#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace eelgrassloom;
using namespace std::chrono_literals;

namespace {

struct ModelUpstream {
  Role UpstreamRole = Role::Replica;
  std::uint64_t Raised = 1;
  TermHistory History = {{1, 0}};
  std::vector<std::uint64_t> Log; // Term of each entry.

  Position applied() const {
    return Log.empty() ? Position{} : Position{Log.back(), Log.size()};
  }
};

/// Length of the common prefix of two logs.
std::size_t common(const std::vector<std::uint64_t> &A,
                   const std::vector<std::uint64_t> &B) {
  std::size_t Count = 0;
  while (Count < A.size() && Count < B.size() && A[Count] == B[Count])
    ++Count;
  return Count;
}

/// Three upstreams with promotions, partitioned old primaries and status
/// answers that arrive late and out of order.
struct Model {
  std::array<ModelUpstream, 3> Upstreams;
  std::size_t Primary = 0;
  std::uint64_t Term = 1;
  /// Commit times of the entries of the current primary.
  std::vector<Instant> CommittedAt;
  Instant Now;
  StalenessState State;
  std::vector<StatusObservation> Exchanges; // Evaluated, not yet delivered.

  Model() { Upstreams[0].UpstreamRole = Role::Primary; }

  void commit(std::size_t U) {
    if (Upstreams[U].UpstreamRole != Role::Primary)
      return;
    Upstreams[U].Log.push_back(Upstreams[U].History.back().Term);
    if (U == Primary)
      CommittedAt.push_back(Now);
  }

  void replicate(std::size_t U, std::size_t Entries) {
    if (Upstreams[U].UpstreamRole == Role::Primary)
      return;
    const ModelUpstream &From = Upstreams[Primary];
    ModelUpstream &To = Upstreams[U];
    std::size_t Common = common(To.Log, From.Log);
    std::size_t End = std::min(From.Log.size(), Common + Entries);
    To.Log.assign(From.Log.begin(),
                  From.Log.begin() + static_cast<std::ptrdiff_t>(End));
    To.History = From.History;
    To.Raised = std::max(To.Raised, Term);
  }

  /// Promotes an upstream while the old primary is partitioned and keeps its
  /// role.
  void promote(std::size_t U) {
    if (U == Primary)
      return;
    std::size_t Third = 3 - U - Primary;
    ModelUpstream &New = Upstreams[U];
    Upstreams[U].Raised = Upstreams[Third].Raised = ++Term;
    Upstreams[Third].UpstreamRole = Role::Replica;
    New.UpstreamRole = Role::Primary;
    std::erase_if(New.History,
                  [&](const TermStart &T) { return T.Start > New.Log.size(); });
    New.History.push_back({Term, New.Log.size()});
    // Entries of a lost branch that the new primary brings back count as
    // committed from now on.
    CommittedAt.resize(common(New.Log, Upstreams[Primary].Log));
    CommittedAt.resize(New.Log.size(), Now);
    Primary = U;
  }

  void query(std::size_t U, Duration Delay) {
    const ModelUpstream &Up = Upstreams[U];
    Exchanges.push_back({std::to_string(U), Up.UpstreamRole, Up.Raised,
                         Up.applied(), Up.History, Now - Delay});
  }

  Duration staleness(const ModelUpstream &U) const {
    const auto &Log = Upstreams[Primary].Log;
    for (std::size_t I = 0; I < Log.size(); ++I)
      if (I >= U.Log.size() || U.Log[I] != Log[I])
        return Now - CommittedAt[I];
    return Duration::zero();
  }
};

/// Numbers of checked bounds: finite ones, those below the true staleness, and
/// steps with too many samples.
struct Outcome {
  unsigned Bounded = 0, Understated = 0, TooMany = 0;
};

/// Runs a random sequence of events. With \p Upstreams 1 instead of 3, any
/// single upstream is a majority.
Outcome runHistory(std::uint64_t Seed, std::size_t Upstreams) {
  std::mt19937_64 Random(Seed);
  auto Below = [&](std::uint64_t End) { return Random() % End; };
  Model M;
  M.State.Options.MaxSamples = 2 + Below(20);
  M.State.Options.Upstreams = Upstreams;
  Outcome Out;
  for (int Step = 0; Step < 400; ++Step) {
    M.Now += (1 + Below(20)) * 1ms;
    auto Kind = Below(100);
    auto U = static_cast<std::size_t>(Below(3));
    if (Kind < 25) {
      M.commit(U);
    } else if (Kind < 45) {
      M.replicate(U, 1 + Below(6));
    } else if (Kind < 70) {
      M.query(U, Below(30) * 1ms);
    } else if (Kind < 98 && !M.Exchanges.empty()) {
      auto At = M.Exchanges.begin() +
                static_cast<std::ptrdiff_t>(Below(M.Exchanges.size()));
      observe(M.State, *At);
      M.Exchanges.erase(At);
    } else if (Kind >= 98) {
      M.promote(U);
    }
    Out.TooMany += M.State.Samples.size() > M.State.Options.MaxSamples;
    for (const ModelUpstream &Up : M.Upstreams) {
      Duration Bound = stalenessBound(M.State, Up.History, Up.applied(), M.Now);
      Out.Understated += Bound < M.staleness(Up);
      Out.Bounded += Bound < Duration::max();
    }
  }
  return Out;
}

} // namespace

// Guards against a bound below the true staleness, above all when a partitioned
// primary confirms its own samples.
TEST_CASE("the bound never understates the staleness") {
  unsigned Bounded = 0;
  CHECK(rc::check([&] {
    Outcome Out = runHistory(*rc::gen::arbitrary<std::uint64_t>(), 3);
    RC_ASSERT(Out.Understated == 0U);
    RC_ASSERT(Out.TooMany == 0U);
    Bounded += Out.Bounded;
  }));
  CHECK(Bounded > 0);
  // The check must detect bounds that no majority has confirmed.
  unsigned Understated = 0;
  for (std::uint64_t Seed = 0; Seed < 100; ++Seed)
    Understated += runHistory(Seed, 1).Understated;
  CHECK(Understated > 0);
}

// Guards against a bound that does not fall when the replica catches up.
TEST_CASE("a current replica has the age of the newest confirmed sample") {
  StalenessState S;
  TermHistory History = {{1, 0}};
  for (int I = 1; I <= 1000; ++I) {
    Instant At = Instant() + I * 10ms;
    observe(S, {"p", Role::Primary, 1, {1, std::uint64_t(I)}, History, At});
    observe(S, {"r", Role::Replica, 1, {1, std::uint64_t(I)}, History, At});
  }
  Instant Now = Instant() + 10s + 5ms;
  CHECK(S.Samples.size() <= S.Options.MaxSamples);
  CHECK(stalenessBound(S, History, {1, 1000}, Now) == 5ms);
  CHECK(stalenessBound(S, History, {1, 990}, Now) == 105ms);
  CHECK(estimatedLag(S, History, {1, 990}) == 100ms);
  CHECK(stalenessBound(S, History, {}, Now) == Duration::max());
  CHECK(stalenessBound(S, {{1, 0}, {2, 5}}, {2, 2000}, Now) > 100ms);
}

// Guards against a sample that is confirmed by one upstream alone.
TEST_CASE("a sample needs a majority without a higher term") {
  StalenessState S;
  TermHistory History = {{1, 0}};
  observe(S, {"p", Role::Primary, 1, {1, 5}, History, Instant() + 10ms});
  CHECK(stalenessBound(S, History, {1, 5}, Instant() + 20ms) ==
        Duration::max());
  observe(S, {"q", Role::Replica, 2, {1, 5}, History, Instant() + 15ms});
  CHECK(stalenessBound(S, History, {1, 5}, Instant() + 20ms) ==
        Duration::max());
  observe(S, {"r", Role::Replica, 1, {1, 5}, History, Instant() + 15ms});
  CHECK(stalenessBound(S, History, {1, 5}, Instant() + 20ms) == 10ms);
}
