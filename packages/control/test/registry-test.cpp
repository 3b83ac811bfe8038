#include "fakestore.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

// Guards against an entry of another writer being taken for a server and being
// logged at each read.
TEST_CASE("an invalid entry among the servers is logged once and not used") {
  Fleet F(4, 2);
  F.Keys.put("servers/odd", "foreign");
  F.advance(10s);
  std::string Lines = F.proxy(0).Events->take();
  std::size_t Count = 0;
  for (std::size_t At = 0;
       (At = Lines.find("\"input-rejected\"", At)) != std::string::npos; ++At)
    ++Count;
  CHECK(Count == 1);
  F.Keys.Items.erase("servers/c");
  ++F.Keys.Revision;
  F.advance(6s);
  for (auto &P : F.Members)
    CHECK(P->Control->serverCount() == 2);
}

// Guards against new work for a server that has left: proxies that the store
// rejected learned from peers that the list of servers differs, but not how.
TEST_CASE("changes of the servers reach proxies that the store rejects") {
  using Ids = std::vector<std::string>;
  for (const Ids &Rejected :
       {Ids{"p0"}, Ids{"p1", "p5"}, Ids{"p0", "p2", "p5", "p7"}}) {
    Fleet F(8, 4);
    F.advance(10s);
    F.Keys.PartitionedProxies = {Rejected.begin(), Rejected.end()};
    F.Keys.Rejecting = true;
    F.advance(2s);
    F.Keys.Items.erase("servers/c");
    F.Keys.put("servers/b",
               "up"); // Servers rewrite their entries all the time.
    F.advance(6s);
    for (auto &P : F.Members)
      CHECK(P->Control->serverCount() == 2);
  }
}

// Guards against ids that shift the words of a protocol line: entries of the
// store were checked, those of another proxy were not.
TEST_CASE("invalid servers in the list of another proxy are not used") {
  Fleet F(4, 2);
  F.advance(10s);
  for (auto &P : F.Members)
    P->Forwarder->setStateProviders(
        [Control = P->Control.get()] { return Control->currentConfig(); },
        [Control = P->Control.get()] {
          ServersList List = Control->currentServers();
          List.Servers.push_back(List.Servers.front());
          List.Servers.back().Id = "x\r\nQUERY";
          return List;
        });
  F.Keys.PartitionedProxies = {"p0"};
  F.Keys.Rejecting = true;
  F.advance(2s);
  F.Keys.Items.erase("servers/c");
  F.Keys.put("servers/b", "up"); // Servers rewrite their entries all the time.
  F.advance(6s);
  CHECK(F.proxy(0).Control->serverCount() == 2);
}

// Guards against a name that is not UTF-8 in the registration, whose encoder
// throws for it.
TEST_CASE("a malformed name in a datagram does not end the process") {
  Fleet F(4, 2);
  F.advance(10s);
  PeerMessage M;
  M.From = "\xff";
  M.Exchange = 1;
  for (auto &P : F.Members)
    P->PeerProxies->received("p9", encode(M));
  F.Reachable.erase("a");
  CHECK_NOTHROW(F.advance(8s));
  CHECK(F.Promotions.size() == 1);
}
