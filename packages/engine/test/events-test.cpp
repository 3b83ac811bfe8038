#include "engine/events.h"
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace eelgrassloom;

TEST_CASE("a line is valid JSON with number, name and fields") {
  EventWriter Writer("n\"1", [] { return std::int64_t{5}; });
  Writer.write(EngineEvent::StoreUnreachable,
               {{"text", "a\"b\n"}, {"count", 3}});
  CHECK(Writer.take() ==
        "{\"at\":5,\"node\":\"n\\\"1\",\"event\":120,\"name\":"
        "\"store-lost\",\"text\":\"a\\\"b\\u000a\",\"count\":3}\n");
  CHECK(Writer.empty());
}

// Guards against a log that grows with the load.
TEST_CASE("lines beyond the limit for each second are counted") {
  std::int64_t Now = 1000;
  EventWriter Writer("n", [&] { return Now; });
  for (int I = 0; I < 1000; ++I)
    Writer.write(EngineEvent::StoreUnreachable, {});
  std::string First = Writer.take();
  CHECK(std::count(First.begin(), First.end(), '\n') == 5);
  Now = 2000;
  Writer.write(EngineEvent::StoreUnreachable, {});
  CHECK(Writer.take().find("\"lines\":995") != std::string::npos);
}

TEST_CASE("docs/EVENTS.md lists every event") {
  std::ifstream File(EELGRASSLOOM_SOURCE_DIR "/docs/EVENTS.md");
  std::stringstream Text;
  Text << File.rdbuf();
  for (const EngineEventKind &Kind : EngineEventKinds) {
    std::string Row = "| " + std::to_string(Kind.Number) + " | " +
                      std::string(Kind.Name) + " |";
    CHECK_MESSAGE(Text.str().find(Row) != std::string::npos, Row);
  }
}

// Guards against long lines: findings quote malformed input of any size.
TEST_CASE("long texts of a line are truncated") {
  EventWriter Writer("n", [] { return std::int64_t{5}; });
  Writer.write(EngineEvent::InputRejected,
               {{"findings", std::string(100000, 'x')}});
  CHECK(Writer.take().size() < 1000);
}
