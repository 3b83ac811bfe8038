// Lines of the log. In a file of its own, because glog defines CHECK too.

#define DOCTEST_CONFIG_NO_SHORT_MACRO_NAMES
#include "runtime/events.h"
#include <doctest/doctest.h>
#include <glog/logging.h>

using namespace eelgrassloom;

namespace {

/// Collects the lines that are logged while it exists.
struct LoggedLines : google::LogSink {
  std::vector<std::string> Lines;

  LoggedLines() { google::AddLogSink(this); }
  ~LoggedLines() override { google::RemoveLogSink(this); }
  LoggedLines(const LoggedLines &) = delete;
  LoggedLines &operator=(const LoggedLines &) = delete;
  void send(google::LogSeverity, const char *, const char *, int,
            const google::LogMessageTime &, const char *Message,
            std::size_t Size) override {
    Lines.emplace_back(Message, Size);
  }
};

} // namespace

// Guards against a caller who forges log lines, or fields of a line, by control
// characters or blanks in a request id.
DOCTEST_TEST_CASE("a logged event is one line, whatever the texts contain") {
  auto Log = EventLog::create(Clock::paused(), 10);
  LoggedLines Logged;
  const std::string Id("a b\nE1 started\r\x1b[2J\0\xff \xc2\x9b", 24);
  Log->record(events::RequestUnknown, {"d\u00e9", "", Id, "", ""},
              "text\u2028with\ttwo\nlines \u00fc");
  DOCTEST_REQUIRE(Logged.Lines.size() == 1);
  DOCTEST_CHECK(Logged.Lines[0] ==
                "E61 request-unknown database=d\u00e9 "
                "request=a\\x20b\\nE1\\x20started\\r\\x1b[2J\\x00\\xff\\x20"
                "\\xc2\\x9b: text\\xe2\\x80\\xa8with\\ttwo\\nlines \u00fc");
  DOCTEST_CHECK(Log->select({"", Id, "", "", 10}).size() == 1);
  // An operator can copy the id from the line.
  DOCTEST_CHECK(
      Log->select({"",
                   "a\\x20b\\nE1\\x20started\\r\\x1b[2J\\x00\\xff\\x20"
                   "\\xc2\\x9b",
                   "", "", 10})
          .size() == 1);
}
