/// \file
/// A group whose primary is replaced, for tests of promotions.

#ifndef EELGRASSLOOM_KERNEL_TEST_PROMOTIONFIXTURE_H
#define EELGRASSLOOM_KERNEL_TEST_PROMOTIONFIXTURE_H

#include "kernel/promotion.h"
#include <doctest/doctest.h>

namespace eelgrassloom::test {

/// A group of three servers and seven proxies, as the holder of the promotion
/// lock sees them.
struct PromotionFixture {
  PromotionFixture() {
    In.Record = {"s", 1, GroupStage::Stable, "a"};
    In.Proxies = &Proxies;
    In.Statuses = &Statuses;
    In.EarlierCallPossible = false;
    In.CallOutstanding = false;
    for (const char *Id : {"a", "b", "c"}) {
      ServerEntry E;
      E.Id = Id;
      E.Service = "s";
      E.ReportedRole = E.Id == "a" ? Role::Primary : Role::Replica;
      In.Servers.push_back(E);
    }
    In.TotalServers = 9;
    for (int I = 0; I < 7; ++I) {
      ProxyReport P;
      P.Id = "p" + std::to_string(I);
      P.Revision = 1;
      Proxies.push_back(P);
    }
    Now = Instant(std::chrono::seconds(100));
  }

  std::vector<PromotionAction>
  tick(Duration D = std::chrono::milliseconds(100)) {
    Now += D;
    In.ProxiesReadAt = Now;
    return step(S, In, Now);
  }

  void report(int Count) {
    for (int I = 0; I < Count; ++I)
      Proxies[I].Unreachable.insert("a");
  }

  /// Applies the record write among the actions; false if there is none.
  bool stored(const std::vector<PromotionAction> &Actions) {
    for (const auto &Action : Actions)
      if (const auto *R = std::get_if<WritePrimaryRecord>(&Action)) {
        In.Record = R->Record;
        return true;
      }
    return false;
  }

  /// Lets all proxies report the primary until its record is revoked.
  void revoke() {
    report(7);
    tick();
    REQUIRE(stored(tick(std::chrono::milliseconds(400))));
    REQUIRE(In.Record.Stage == GroupStage::Revoking);
    tick();
  }

  void acknowledge(int Count) {
    for (int I = 0; I < Count; ++I)
      Proxies[I].Acknowledged["s"] = In.Record.Epoch;
  }

  void status(const char *Id, Role R, std::uint64_t Index,
              std::uint64_t Term = 1) {
    Now += std::chrono::milliseconds(
        1); // The query is sent after all earlier events.
    Statuses[Id] = {true, R, Term, {1, Index}, Now};
  }

  /// The server that the actions promote; empty if there is none.
  UpstreamId promoted(const std::vector<PromotionAction> &Actions) {
    for (const auto &Action : Actions)
      if (const auto *P = std::get_if<PromoteServer>(&Action))
        return P->Id;
    return {};
  }

  PromotionState S;
  PromotionInput In;
  std::vector<ProxyReport> Proxies;
  std::map<UpstreamId, ServerStatus, std::less<>> Statuses;
  Instant Now;
};

} // namespace eelgrassloom::test

#endif // EELGRASSLOOM_KERNEL_TEST_PROMOTIONFIXTURE_H
