#include "kernel/ownership.h"
#include "schedule.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;

namespace {

std::vector<LiveProxy> proxies(std::size_t Count, std::size_t Domains) {
  std::vector<LiveProxy> Live;
  for (std::size_t I = 0; I < Count; ++I)
    Live.push_back(
        {"p" + std::to_string(I), "d" + std::to_string(I % Domains)});
  return Live;
}

Upstream upstream(std::size_t I, std::size_t Domains) {
  Upstream U;
  U.Id = "u" + std::to_string(I);
  U.FailureDomain = "d" + std::to_string(I % Domains);
  return U;
}

} // namespace

// Guards against a membership change that moves upstreams of other proxies,
// which closes their connections.
TEST_CASE("only the upstreams of a lost proxy move") {
  CHECK(checkProperty(41, 50, [](std::uint64_t Seed) {
    std::size_t Count = 2 + Seed % 40;
    std::vector<LiveProxy> Live = proxies(Count, 4);
    OwnerTable Before = makeOwnerTable(Live);
    ProxyId Lost = Live[Seed / 64 % Count].Id;
    std::string Domain = Live[Seed / 64 % Count].FailureDomain;
    std::erase_if(Live, [&](const LiveProxy &P) { return P.Id == Lost; });
    OwnerTable After = makeOwnerTable(Live);
    bool DomainLeft = After.ByFailureDomain.contains(Domain);
    for (std::size_t I = 0; I < 200; ++I) {
      Upstream U = upstream(I, 4);
      ProxyId Old = *ownerOf(Before, U);
      if (Old != Lost && (DomainLeft || U.FailureDomain != Domain))
        RC_ASSERT(*ownerOf(After, U) == Old);
      RC_ASSERT(*ownerOf(After, U) != Lost);
    }
  }));
}

// Guards against small hosts that run the statements of all others. Load
// pattern: a failure domain of 3 hosts of 0.5 cores and 30 of 0.12.
TEST_CASE("proxies own in proportion to the square of their processor share") {
  std::vector<LiveProxy> Live = proxies(33, 1);
  for (std::size_t I = 0; I < Live.size(); ++I)
    Live[I].MilliCores = I < 3 ? 500 : 120;
  OwnerTable T = makeOwnerTable(Live);
  unsigned OnLarge = 0;
  constexpr unsigned Keys = 2000;
  for (unsigned I = 0; I < Keys; ++I) {
    ProxyId Owner =
        rankedOwners(T, Live[0].FailureDomain, "s" + std::to_string(I)).front();
    OnLarge += Owner == Live[0].Id || Owner == Live[1].Id || Owner == Live[2].Id
                   ? 1
                   : 0;
  }
  // 3 * 0.5^2 of 3 * 0.5^2 + 30 * 0.12^2.
  double Expected = 0.634;
  CHECK(OnLarge > 0.93 * Expected * Keys);
  CHECK(OnLarge < 1.07 * Expected * Keys);
}

// Guards against one proxy that owns far more than its share.
TEST_CASE("upstreams are spread evenly over a failure domain") {
  OwnerTable T = makeOwnerTable(proxies(800, 6));
  std::map<ProxyId, unsigned> Owned;
  for (std::size_t I = 0; I < 5100; ++I)
    ++Owned[*ownerOf(T, upstream(I, 6))];
  unsigned Max = 0;
  for (const auto &[Id, Count] : Owned)
    Max = std::max(Max, Count);
  CHECK(Max <= 20);
  CHECK(Owned.size() > 780);
}

// Guards against an upstream without owner while any proxy is live.
TEST_CASE("upstreams of a failure domain without proxies have an owner") {
  std::vector<LiveProxy> Live = proxies(4, 2);
  Upstream Orphan = upstream(1, 1);
  Orphan.FailureDomain = "elsewhere";
  CHECK(ownerOf(makeOwnerTable(Live), Orphan) != nullptr);
  CHECK(ownerOf(makeOwnerTable({}), Orphan) == nullptr);
  // A leaving proxy owns an upstream only if all proxies are leaving.
  for (LiveProxy &P : Live)
    P.Leaving = P.Id != "p3";
  CHECK(*ownerOf(makeOwnerTable(Live), upstream(0, 2)) == "p3");
  Live.back().Leaving = true;
  CHECK(ownerOf(makeOwnerTable(Live), Orphan) != nullptr);
}

// Guards against too many platform watches, and against voters that are counted
// twice in a majority.
TEST_CASE("watch holders and voters are bounded and unique") {
  OwnerTable T = makeOwnerTable(proxies(60, 6));
  auto Holders = watchHolders(T, 2);
  CHECK(Holders.size() == 12);
  CHECK(std::adjacent_find(Holders.begin(), Holders.end()) == Holders.end());
  Database D{"x", {upstream(0, 6), upstream(1, 6), upstream(2, 6)}};
  CHECK(votersOf(T, D).size() == 3);
  CHECK(votersOf(makeOwnerTable(proxies(1, 1)), D).size() == 1);
}

// Guards against three simultaneous owners, or ten new ones, that exceed the
// connection cap.
TEST_CASE("the quotas of simultaneous owners fit into the connection cap") {
  Upstream U;
  for (U.ConnectionCap = 3; U.ConnectionCap < 100; ++U.ConnectionCap)
    CHECK(3 * connectionQuota(U) <= U.ConnectionCap);
  for (U.ConnectionCap = 10; U.ConnectionCap < 100; ++U.ConnectionCap)
    CHECK(10 * connectionQuota(U, Duration(0)) <= U.ConnectionCap);
}

// Guards against a failed proxy that changes the order of the others, and
// against an owner in another failure domain while this one has proxies.
TEST_CASE("the ranking contains the proxies of the failure domain") {
  OwnerTable T = makeOwnerTable(proxies(12, 4));
  std::vector<ProxyId> Ranked = rankedOwners(T, "d1", "orders");
  CHECK(Ranked.size() == 3);
  for (const ProxyId &Id : Ranked)
    CHECK((Id == "p1" || Id == "p5" || Id == "p9"));
  std::vector<LiveProxy> Fewer = proxies(12, 4);
  std::erase_if(Fewer,
                [&](const LiveProxy &P) { return P.Id == Ranked.front(); });
  std::vector<ProxyId> After =
      rankedOwners(makeOwnerTable(Fewer), "d1", "orders");
  CHECK(After == std::vector<ProxyId>(Ranked.begin() + 1, Ranked.end()));
  CHECK(rankedOwners(T, "elsewhere", "orders").size() == 12);
}
