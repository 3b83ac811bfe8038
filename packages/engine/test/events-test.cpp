#include "engine/events.h"
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace eelgrassloom;

TEST_CASE("a line is valid JSON with number, name and fields") {
  EventWriter W("n\"1", [] { return std::int64_t{5}; });
  W.write(EngineEvent::StoreUnreachable, {{"text", "a\"b\n"}, {"count", 3}});
  CHECK(W.take() == "{\"at\":5,\"node\":\"n\\\"1\",\"event\":120,\"name\":"
                    "\"store-lost\",\"text\":\"a\\\"b\\u000a\",\"count\":3}\n");
  CHECK(W.empty());
}

// Guards against a log that grows with the load.
TEST_CASE("lines beyond the limit of a second are counted") {
  std::int64_t Now = 1000;
  EventWriter W("n", [&] { return Now; });
  for (int I = 0; I < 1000; ++I)
    W.write(EngineEvent::StoreUnreachable, {});
  std::string First = W.take();
  CHECK(std::count(First.begin(), First.end(), '\n') == 5);
  Now = 2000;
  W.write(EngineEvent::StoreUnreachable, {});
  CHECK(W.take().find("\"lines\":995") != std::string::npos);
}

TEST_CASE("the catalogue lists every event") {
  std::ifstream File(EELGRASSLOOM_SOURCE_DIR "/docs/EVENTS.md");
  std::stringstream Text;
  Text << File.rdbuf();
  for (const EngineEventKind &Kind : EngineEventKinds) {
    std::string Row = "| " + std::to_string(Kind.Number) + " | " +
                      std::string(Kind.Name) + " |";
    CHECK_MESSAGE(Text.str().find(Row) != std::string::npos, Row);
  }
}

// An entry of another writer is quoted in the findings.
TEST_CASE("long texts of a line are cut") {
  EventWriter W("n", [] { return std::int64_t{5}; });
  W.write(EngineEvent::InputRejected, {{"findings", std::string(100000, 'x')}});
  CHECK(W.take().size() < 1000);
}
