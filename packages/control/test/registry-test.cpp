#include "fakestore.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::test;
using namespace std::chrono_literals;

// An entry of another writer was taken for a server, and logged at each read.
TEST_CASE("a foreign entry among the servers is logged once and not used") {
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

// DRAIN: proxies that the store turns away were told by others that the
// registry differs, but never how.
TEST_CASE("changes of the registry reach proxies that the store turns away") {
  using Ids = std::vector<std::string>;
  for (const Ids &TurnedAway :
       {Ids{"p0"}, Ids{"p1", "p5"}, Ids{"p0", "p2", "p5", "p7"}}) {
    Fleet F(8, 4);
    F.advance(10s);
    F.Keys.PartitionedProxies = {TurnedAway.begin(), TurnedAway.end()};
    F.Keys.Rejecting = true;
    F.advance(2s);
    F.Keys.Items.erase("servers/c");
    F.Keys.put("servers/b", "up"); // Servers write their entries all the time.
    F.advance(6s);
    for (auto &P : F.Members)
      CHECK(P->Control->serverCount() == 2);
  }
}
