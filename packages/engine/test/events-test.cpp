#include "engine/events.h"
#include "kernel/logtext.h"
#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
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

namespace {

/// The text that a reader of the log gets for a field with these bytes.
std::string loggedText(const std::string &Bytes) {
  EventWriter Writer("n", [] { return std::int64_t{5}; });
  Writer.write(EngineEvent::InputRejected, {{"id", Bytes}});
  std::string Line = Writer.take();
  REQUIRE(std::count(Line.begin(), Line.end(), '\n') == 1);
  return nlohmann::json::parse(Line).at("id").get<std::string>();
}

} // namespace

// Guards against lines that no reader of JSON accepts: ids and names of callers
// hold any bytes.
TEST_CASE("any bytes give a line of valid JSON") {
  CHECK(loggedText("a\xff\x80z") == "a\\xff\\x80z");
  CHECK(loggedText("caf\xc3\xa9") == "caf\xc3\xa9");
  // Overlong form, surrogate, above U+10FFFF, cut character.
  CHECK(loggedText("\xc0\xaf") == "\\xc0\\xaf");
  CHECK(loggedText("\xed\xa0\x80") == "\\xed\\xa0\\x80");
  CHECK(loggedText("\xf4\x90\x80\x80") == "\\xf4\\x90\\x80\\x80");
  CHECK(loggedText("\xe2\x82") == "\\xe2\\x82");
  CHECK(loggedText(std::string("\0\x7f\"\\\r\n", 6)) ==
        std::string("\0\x7f\"\\\r\n", 6));
  CHECK(rc::check([](const std::string &Bytes) {
    RC_ASSERT(loggedText(Bytes) == logText(Bytes));
  }));
}

TEST_CASE("a long text is cut at the end of a character") {
  std::string Start(599, 'x');
  CHECK(loggedText(Start + "\xe2\x82\xac") == Start);
  CHECK(loggedText(Start + "\xff\xff") == Start + "\\xff");
  CHECK(loggedText(Start + "\"\"") == Start + "\"");
}
