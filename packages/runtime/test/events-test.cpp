#include "runtime/events.h"
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace eelgrassloom;

// Guards against a documented catalogue that differs from the code.
TEST_CASE("docs/EVENTS.md lists exactly the events of the code") {
  std::ifstream In(EELGRASSLOOM_SOURCE_DIR "/docs/EVENTS.md");
  REQUIRE(In.good());
  std::vector<std::string> Rows;
  for (std::string Line; std::getline(In, Line);)
    if (Line.rfind("| E", 0) == 0)
      Rows.push_back(Line);
  static const char *const Levels[] = {"debug", "info", "warning", "error"};
  REQUIRE(Rows.size() == eventCatalogue().size());
  std::size_t I = 0;
  for (const EventKind &K : eventCatalogue()) {
    std::ostringstream Want;
    Want << "| E" << K.Number << " | " << K.Name << " | "
         << Levels[static_cast<std::size_t>(K.Level)] << " | " << K.Description
         << " |";
    CHECK(Rows[I++] == Want.str());
  }
}

// Guards against a ring buffer that grows without bound and against filters
// that are ignored.
TEST_CASE("the ring buffer keeps the latest events and filters them") {
  auto Log = EventLog::create(Clock::paused(), 3);
  for (int I = 0; I < 5; ++I)
    Log->record(events::RequestRefused,
                {"db", "", "r" + std::to_string(I), "", ""}, "queue full");
  CHECK(Log->select({}).size() == 3);
  CHECK(Log->select({"", "r4", "", "", 10}).size() == 1);
  CHECK(Log->select({"", "r0", "", "", 10}).empty());
  CHECK(Log->select({"db", "", "", "", 2}).front().Subject.RequestId == "r3");
}

// Guards against a timeline whose memory a caller chooses by long texts.
TEST_CASE("the texts of an event are stored up to a size") {
  auto Log = EventLog::create(Clock::paused(), 10);
  Log->record(events::RequestRefused,
              {std::string(100000, 'd'), "", std::string(100000, 'r'), "", ""},
              std::string(100000, 't'));
  EventRecord R = Log->select({}).front();
  CHECK(R.Subject.Database.size() + R.Subject.RequestId.size() + R.Text.size() <
        4000);
  CHECK(Log->select({"", std::string(100000, 'r'), "", "", 10}).size() == 1);
}
