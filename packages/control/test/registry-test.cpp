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
