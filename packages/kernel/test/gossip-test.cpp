#include "kernel/gossip.h"
#include "simulatedfleet.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Keys = 40;

std::string key(std::size_t I) { return "group/" + std::to_string(I); }

/// Counts the changes of an item at a node that did not raise its version.
struct VersionCheck {
  std::map<std::pair<std::size_t, std::string>, std::uint64_t> Last;
  unsigned Regressions = 0;

  void attach(SimulatedFleet &F) {
    F.OnItem = [this](std::size_t Node, const ItemChanged &C) {
      std::uint64_t &Known = Last[{Node, C.Key}];
      Regressions += C.Version <= Known ? 1 : 0;
      Known = C.Version;
    };
  }
};

bool allHold(const SimulatedFleet &F, const std::string &Key,
             std::uint64_t Version) {
  return std::all_of(F.Nodes.begin(), F.Nodes.end(), [&](const FleetNode &N) {
    const Item *I = find(N.Items, Key);
    return I && I->Version == Version;
  });
}

CompositeValue compositeValue(std::uint64_t Version, std::size_t Parts) {
  CompositeValue P{Version, "header " + std::to_string(Version), {}};
  for (std::size_t I = 0; I < Parts; ++I)
    P.Parts.push_back({"db" + std::to_string(100 + I), std::string(200, 'x')});
  return P;
}

/// Pushes all items of \p From to \p To.
void pushAll(GossipState &From, GossipState &To, std::mt19937_64 &Random) {
  ItemPush All;
  for (const auto &[Key, I] : From.Items)
    All.Items.push_back(I);
  received(To, "other", All, {}, Random);
}

/// Runs concurrent writers under loss, a partition and reordering. Returns the
/// number of changes that did not raise a version. With \p IgnoreVersions,
/// nodes set their stored versions to 0.
unsigned runWriters(std::uint64_t Seed, bool IgnoreVersions, bool &Converged) {
  FleetOptions O;
  O.Nodes = 12;
  O.Loss = 0.1;
  O.RemoteDelay = milliseconds(80);
  SimulatedFleet F(O, Seed);
  VersionCheck Check;
  Check.attach(F);
  F.startAll();
  F.Time.runFor(seconds(6));
  std::vector<std::uint64_t> Newest(Keys);
  for (int I = 0; I < 60; ++I) {
    std::size_t K = F.Random() % Keys;
    std::uint64_t Version = Newest[K] + F.Random() % 2;
    Newest[K] = std::max<std::uint64_t>(1, Version);
    F.put(F.Random() % O.Nodes,
          {{key(K), Newest[K], "v" + std::to_string(Newest[K])}});
    if (I == 20)
      F.Cut = [&](std::size_t A, std::size_t B) {
        return F.domain(A) % 2 != F.domain(B) % 2;
      };
    if (I == 40)
      F.Cut = nullptr;
    if (IgnoreVersions)
      for (auto &[Key, Stored] : F.Nodes[F.Random() % O.Nodes].Items.Items)
        Stored.Version = 0;
    F.Time.runFor(milliseconds(100));
  }
  F.Time.runFor(seconds(60));
  Converged = true;
  for (std::size_t K = 0; K < Keys; ++K)
    Converged = Converged && (Newest[K] == 0 || allHold(F, key(K), Newest[K]));
  return Check.Regressions;
}

} // namespace

// Guards against an accepted configuration or group record that reverts to an
// earlier version, and against copies that stay different.
TEST_CASE("versions only rise and all copies converge") {
  CHECK(checkProperty(51, 25, [](std::uint64_t Seed) {
    bool Converged = false;
    RC_ASSERT(runWriters(Seed, false, Converged) == 0U);
    RC_ASSERT(Converged);
  }));
}

// Guards against a version check that can't fail.
TEST_CASE("the version check detects a store that ignores versions") {
  bool Converged = false;
  CHECK(runWriters(1, true, Converged) > 0);
}

// Guards against messages above the size limit, and against a new proxy that
// never obtains a large set of items.
TEST_CASE("a new proxy obtains everything in bounded messages") {
  std::mt19937_64 Random(53);
  GossipState Full;
  GossipState Empty;
  Full.Options.MessageBytes = Empty.Options.MessageBytes = 4000;
  std::vector<Item> Items;
  for (std::size_t I = 0; I < 500; ++I)
    Items.push_back({key(I), 1, std::string(100, 'v')});
  put(Full, Items, {}, Random);
  Instant Now(seconds(1));
  unsigned Rounds = 0;
  for (; Empty.RangeHash != Full.RangeHash && Rounds < 100; ++Rounds) {
    Now += seconds(1);
    auto Request = tick(Empty, {"full"}, Now, Random);
    auto Answer =
        received(Full, "empty", std::get<SendDigest>(Request.at(0)).Digest);
    auto WantedKeys =
        received(Empty, "full", std::get<SendDigest>(Answer.at(0)).Digest);
    auto Reply = received(
        Full, "empty", std::get<SendItems>(WantedKeys.at(0)).Push, {}, Random);
    const ItemPush &Push = std::get<SendItems>(Reply.at(0)).Push;
    std::size_t Bytes = 0;
    for (const Item &I : Push.Items)
      Bytes += I.Key.size() + I.Value.size() + 12;
    CHECK(Bytes <= 4000);
    received(Empty, "full", Push, {}, Random);
  }
  CHECK(Empty.Items.size() == 500);
  CHECK(Rounds < 40);
}

// Guards against the whole configuration being sent for one change, and
// against a mixture of parts of two versions being assembled.
TEST_CASE("only changed parts of a composite value are sent") {
  std::mt19937_64 Random(59);
  GossipState A;
  GossipState B;
  CompositeValue First = compositeValue(1, 100);
  put(A, split(A, "config", First), {}, Random);
  pushAll(A, B, Random);
  REQUIRE(assemble(B, "config") == First);

  CompositeValue Second = First;
  Second.Version = 2;
  Second.Header = "header 2";
  Second.Parts[7].Value = "changed";
  Second.Parts.erase(Second.Parts.begin() + 50);
  std::vector<Item> Changed = split(A, "config", Second);
  CHECK(Changed.size() == 3);
  put(A, Changed, {}, Random);
  CHECK(assemble(A, "config") == Second);
  for (const Item &I : Changed) {
    CHECK(assemble(B, "config") != Second);
    received(B, "a", ItemPush{{I}, {}}, {}, Random);
  }
  CHECK(assemble(B, "config") == Second);
}

// Guards against electing records that replace the stable one of their term.
TEST_CASE("group versions rise by term, then by state") {
  CHECK(groupVersion(3, false) < groupVersion(3, true));
  CHECK(groupVersion(3, true) < groupVersion(4, false));
}

// Guards against a change that takes longer than the target of 3 s.
TEST_CASE("a change reaches every proxy within the target at 10% loss") {
  FleetOptions O;
  O.Nodes = 64;
  O.Loss = 0.1;
  SimulatedFleet F(O, 61);
  F.startAll();
  F.Time.runFor(seconds(20));
  for (std::uint64_t Version = 1; Version <= 20; ++Version) {
    F.put(Version, {{"config", Version, "rules"}});
    CHECK(F.runUntilTrue([&] { return allHold(F, "config", Version); },
                         seconds(20)) < seconds(3));
  }
}
