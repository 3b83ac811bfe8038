#include "control/configreader.h"
#include "fakestore.h"
#include <algorithm>
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

namespace {

/// Time within which all proxies must apply a new configuration, see
/// Fleet::addProxy.
constexpr Duration ConfigApplyTime = 3s;

bool allHave(Fleet &F, std::uint64_t Version) {
  return std::all_of(F.Members.begin(), F.Members.end(), [&](const auto &P) {
    return P->SessionEngine->config().Version >= Version;
  });
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Without these events the log does not tell a proxy that never learned of a
// newer configuration from one that could not read it.
TEST_CASE("each step to a newer configuration is logged") {
  Fleet F(6, 1);
  F.advance(10s);
  std::size_t I = F.firstNonPoller();
  F.proxy(I).Events->take();
  F.Keys.put("rules", "2");
  F.advance(2s);
  std::string Lines = F.proxy(I).Events->take();
  CHECK(contains(Lines, "\"configuration-heard\""));
  CHECK(contains(Lines, "\"configuration-read\",\"source\":\"store\","
                        "\"outcome\":\"ok\""));
  CHECK(contains(Lines, "\"configuration-applied\",\"version\":2"));
  CHECK(F.proxy(I).Control->configStatus().Version == 2);
  CHECK_FALSE(F.proxy(I).Control->configStatus().Outdated);
}

// Guards against a fleet that loads the store while it waits for its first
// configuration: every proxy read the missing key several times a second.
TEST_CASE("a missing configuration is read once and found by the polls") {
  Fleet F(0);
  F.Keys.Items.erase("rules");
  for (const char *Id : {"p0", "p1", "p2"})
    F.addProxy(Id);
  F.advance(3s);
  for (auto &P : F.Members) {
    std::string Lines = P->Events->take();
    std::size_t Reads = 0;
    for (std::size_t At = Lines.find("\"configuration-read\"");
         At != std::string::npos;
         At = Lines.find("\"configuration-read\"", At + 1))
      ++Reads;
    CHECK(Reads == 1);
  }
  F.Keys.put("rules", "3");
  F.advance(1s);
  CHECK(allHave(F, 3));
}

// Guards against an older configuration replacing a newer one.
TEST_CASE("a configuration whose version is not newer is rejected and logged") {
  Fleet F(1);
  F.advance(2s);
  F.Keys.put("rules", "5");
  F.advance(2s);
  F.proxy(0).Events->take();
  F.Keys.put("rules", "4");
  F.advance(2s);
  CHECK(F.proxy(0).SessionEngine->config().Version == 5);
  CHECK(contains(F.proxy(0).Events->take(),
                 "\"configuration-rejected\",\"version\":4,\"in_force\":5"));
  F.Keys.put("rules", "6");
  F.advance(2s);
  CHECK(F.proxy(0).SessionEngine->config().Version == 6);
}

TEST_CASE(
    "a refused database is logged with the configuration version in force") {
  Fleet F(1);
  F.advance(2s);
  F.proxy(0).Events->take();
  CHECK(F.proxy(0).SessionEngine->open({"unknown", {}}, {}).Opened == nullptr);
  CHECK(contains(F.proxy(0).Events->take(),
                 "\"database-refused\",\"id\":\"\",\"database\":\"unknown\","
                 "\"version\":1"));
}

// Guards against a configuration that is applied too late: a read over a
// hanging connection took longer than the configuration apply time, and no
// other read was started meanwhile.
TEST_CASE("a configuration is applied in time although connections hang") {
  for (int Offset = 0; Offset < 24; ++Offset) {
    Fleet F(8, 4);
    F.advance(10s + Offset * 37ms);
    for (auto &P : F.Members)
      F.Keys.HungConnections.insert(P->Id);
    F.advance(Offset * 97ms);
    F.Keys.put("rules", "2");
    F.advance(ConfigApplyTime);
    CHECK(allHave(F, 2));
  }
}

// Guards against a configuration that is applied too late: proxies that the
// store rejected learned from peers that there was a newer configuration, but
// not which one.
TEST_CASE("a configuration reaches proxies that the store rejects") {
  using Ids = std::vector<std::string>;
  for (const Ids &Rejected :
       {Ids{"p0"}, Ids{"p1", "p5"}, Ids{"p0", "p2", "p5", "p7"},
        Ids{"p1", "p2", "p3", "p4", "p5", "p6", "p7"}}) {
    for (bool Rejecting : {false, true}) {
      Fleet F(8, 4);
      F.advance(10s);
      F.Keys.PartitionedProxies = {Rejected.begin(), Rejected.end()};
      F.Keys.Rejecting = Rejecting;
      for (std::uint64_t Version = 2; Version < 8; ++Version) {
        F.advance(Version * 430ms);
        F.Keys.put("rules", std::to_string(Version));
        F.advance(ConfigApplyTime);
        CHECK(allHave(F, Version));
      }
    }
  }
}

// Guards against load between the proxies: while the store answers, a
// configuration that changes often must not be sent from proxy to proxy.
TEST_CASE(
    "proxies read a newer configuration from the store while it answers") {
  Fleet F(8, 4);
  F.advance(10s);
  for (auto &P : F.Members)
    P->Events->take();
  for (int Version = 2; Version < 12; ++Version) {
    F.Keys.put("rules", std::to_string(Version));
    F.advance(600ms);
  }
  for (auto &P : F.Members)
    CHECK_FALSE(contains(P->Events->take(), "\"source\":\"p"));
}

// Guards against a value that can't be decoded being taken as the newest
// configuration.
TEST_CASE("an invalid configuration leaves the one in force") {
  for (const std::string &Bad :
       {std::string(InvalidConfig), std::string(NoConnectionsPrefix) + "3"}) {
    Fleet F(8, 4);
    F.advance(10s);
    F.Keys.put("rules", "2");
    F.advance(ConfigApplyTime);
    std::uint64_t Valid = F.proxy(0).Control->currentConfig().Revision;
    F.Keys.ConfigsSent.clear();
    F.Keys.put("rules", Bad);
    for (int I = 0; I < 20; ++I) {
      F.advance(500ms);
      CHECK(F.leaseCount() == 8);
    }
    for (auto &P : F.Members) {
      CHECK(P->SessionEngine->config().Version == 2);
      CHECK(P->Control->currentConfig().Revision == Valid);
      CHECK_FALSE(P->Control->configStatus().Outdated);
      CHECK(contains(P->Events->take(), "\"configuration-rejected\""));
      // The invalid value is not read again and again.
      CHECK(F.Keys.ConfigsSent[P->Id] <= 3);
    }
    F.Keys.put("rules", "4");
    F.advance(ConfigApplyTime);
    CHECK(allHave(F, 4));
  }
}

// Guards against a proxy that serves nothing because it was started while the
// stored configuration was invalid.
TEST_CASE("a proxy that starts takes the last valid configuration from peers") {
  Fleet F(8, 4);
  F.advance(10s);
  F.Keys.put("rules", "2");
  F.advance(ConfigApplyTime);
  F.Keys.put("rules", InvalidConfig);
  F.advance(1s);
  F.addProxy("late");
  F.advance(ConfigApplyTime);
  CHECK(allHave(F, 2));
}

// Guards against the loss of all primary leases: polls whose condition on the
// configuration key never held did not renew them.
TEST_CASE("a configuration that is removed and written again is applied") {
  Fleet F(8, 4);
  F.advance(10s);
  F.Keys.Items.erase("rules");
  ++F.Keys.Revision;
  for (int I = 0; I < 10; ++I) {
    F.advance(500ms);
    CHECK(F.leaseCount() == 8);
    CHECK(allHave(F, 1));
  }
  F.Keys.put("rules", "2");
  F.advance(ConfigApplyTime);
  CHECK(allHave(F, 2));
}

// Guards against proxies that report a newer configuration for ever. A proxy
// that starts between two writes of the same version knows another revision
// than its peers, and they must not take it as newer.
TEST_CASE("a configuration rewritten with an old version is not newer") {
  for (const char *Rewritten : {"5", "4"}) {
    Fleet F(3);
    F.advance(10s);
    F.Keys.put("rules", "5");
    F.advance(ConfigApplyTime);
    F.Keys.put("rules", Rewritten);
    F.advance(ConfigApplyTime);
    std::size_t Added = 0;
    while (Added == 0 || !F.Members.back()->PeerProxies->isPoller()) {
      F.addProxy("late" + std::to_string(Added++));
      F.advance(5s);
    }
    F.advance(8s);
    for (auto &P : F.Members) {
      ConfigStatus State = P->Control->configStatus();
      CHECK_FALSE(State.Outdated);
      CHECK(State.PollAge < 2s);
    }
    CHECK(F.leaseCount() == 3 + Added);
  }
}
