#include "ctl/logs.h"
#include "kernel/logtext.h"
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace eelgrassloom;

namespace {

/// Logs of two hosts around a revocation. A log collector has put a prefix on
/// the lines of the second host.
const char *const FirstHost =
    R"({"at":1000,"node":"a","event":130,"name":"server-unreachable","service":"s","server":"i-1","failing_ms":750}
{"at":1900,"node":"a","event":161,"name":"statement-refused","id":"r1","session":4,"service":"s","reason":"the primary is being replaced"}
{"at":1950,"node":"a","event":160,"name":"statement-done","id":"r2","session":5,"service":"s"}
{"at":1960,"node":"a","event":142,"name":"primary-changed","service":"other","epoch":3}
{"at":1970,"node":"a","event":171,"name":"lines-dropped","lines":3}
not a log line
)";
const char *const SecondHost =
    R"(  1.5 b {"at":1500,"node":"b","event":152,"name":"revocation-started","service":"s","epoch":2}
  1.2 b {"at":1200,"node":"b","event":120,"name":"store-lost","checks":0}
  9.9 b {"at":9900,"node":"b","event":121,"name":"store-regained","checks":0}
)";

std::vector<LogLine> bothHosts(std::size_t &Skipped) {
  std::istringstream A(FirstHost);
  std::istringstream B(SecondHost);
  auto Lines = readLog(A, Skipped);
  for (LogLine &L : readLog(B, Skipped))
    Lines.push_back(std::move(L));
  return Lines;
}

std::string names(const LogFilter &Filter) {
  std::size_t Skipped = 0;
  std::string Text;
  for (const LogLine &L : selectLines(bothHosts(Skipped), Filter))
    Text += L.Name + " ";
  return Text;
}

Result<LogArguments> parse(std::vector<const char *> Arguments) {
  Arguments.insert(Arguments.begin(), "logs");
  Arguments.push_back(nullptr);
  return parseLogArguments(static_cast<int>(Arguments.size() - 1),
                           Arguments.data());
}

} // namespace

TEST_CASE("lines of several hosts are merged by time") {
  std::size_t Skipped = 0;
  auto Lines = selectLines(bothHosts(Skipped), {});
  REQUIRE(Lines.size() == 8);
  CHECK(Skipped == 1);
  CHECK(Lines[0].Node == "a");
  CHECK(Lines[1].Name == "store-lost");
  CHECK(Lines[1].Fields == " checks=0");
  CHECK(Lines[7].At == 9900);
}

TEST_CASE("lines are selected by request, session, node and database") {
  LogFilter F;
  F.Request = "r1";
  CHECK(names(F) == "statement-refused ");
  F = {};
  F.Session = 5;
  CHECK(names(F) == "statement-done ");
  F = {};
  F.Node = "b";
  CHECK(names(F) == "store-lost revocation-started store-regained ");
  F = {};
  F.Database = "other";
  CHECK(names(F) == "primary-changed ");
  F = {};
  F.Promotions = true;
  CHECK(names(F) == "revocation-started primary-changed ");
}

// Operators search for the cause of a failed request by its id. They need the
// state changes around it that are about the same database or about whole
// hosts, and no others.
TEST_CASE("the context of a request holds state changes") {
  LogFilter F;
  F.Request = "r1";
  F.ContextMs = 1000;
  CHECK(names(F) == "server-unreachable store-lost revocation-started "
                    "statement-refused ");
}

TEST_CASE("malformed lines are findings") {
  for (const char *Text :
       {"", "{", "[1]", "{}", R"({"at":"x","node":"a","event":1,"name":"n"})",
        R"({"at":1,"node":2,"event":1,"name":"n"})",
        R"({"at":1,"node":"a","event":1,"name":"n","session":"x"})"})
    CHECK_FALSE(parseLogLine(Text));
}

TEST_CASE("all findings of the arguments are reported") {
  CHECK_FALSE(parse({}));
  CHECK(parse({"--session", "x", "--context-ms", "-1"}).findings().size() == 3);
  CHECK_FALSE(parse({"--fly", "file"}));
  auto A = parse({"x.log", "-", "--request", "r", "--limit", "7", "--json"});
  REQUIRE(A);
  CHECK(A.value().Files.size() == 2);
  CHECK(A.value().Limit == 7);
  CHECK(A.value().Json);
}

TEST_CASE("the command prints selected lines and counts those not shown") {
  auto Path = std::filesystem::temp_directory_path() /
              ("logs-test-" + std::to_string(::getpid()) + ".log");
  std::ofstream(Path) << FirstHost;
  std::string File = Path.string();
  std::ostringstream Out;
  std::ostringstream Err;
  const char *Arguments[] = {"eelgrassctl", "logs", File.c_str(),
                             "--limit",     "1",    nullptr};
  CHECK(runCtl(5, Arguments, {}, Out, Err) == CtlExit::Done);
  CHECK(Out.str() == "00:00:01.000 a 130 server-unreachable failing_ms=750 "
                     "server=i-1 service=s\n");
  CHECK(Err.str() == "4 more lines; see --limit\n"
                     "1 lines are not structured logs\n");
  std::filesystem::remove(Path);
  CHECK(runCtl(3, Arguments, {}, Out, Err) == CtlExit::Failed);
}

// Guards against a request that can't be found in the logs because its id holds
// bytes that a line can't.
TEST_CASE("a request is found by its id, whatever its bytes") {
  auto Found = [](const std::string &Id, const std::string &Wanted) {
    nlohmann::json Line = {{"at", 5},
                           {"node", "a"},
                           {"event", 161},
                           {"name", "statement-refused"},
                           {"id", logText(Id)}};
    std::istringstream In(Line.dump());
    std::size_t Skipped = 0;
    LogFilter F;
    F.Request = Wanted;
    return selectLines(readLog(In, Skipped), F).size() == 1 && Skipped == 0;
  };
  for (const std::string &Id :
       {std::string("r\xff\x01"), std::string("\x7f\"\\"),
        std::string("caf\xc3\xa9\xe9"), std::string(700, 'x'),
        std::string(599, 'x') + "\xe2\x82\xac"})
    CHECK_MESSAGE(Found(Id, Id), Id);
  CHECK(Found(std::string("r\0\xff", 3), "r\\x00\\xff"));
  CHECK_FALSE(Found("r", "s"));
}

// Guards against texts of callers that change what a terminal shows.
TEST_CASE("control characters are printed as numbers") {
  auto Path = std::filesystem::temp_directory_path() /
              ("logs-control-test-" + std::to_string(::getpid()) + ".log");
  std::ofstream(Path)
      << R"({"at":1,"node":"a","event":170,"name":"x","id":"\n\u001b[2J\u009b"})";
  std::string File = Path.string();
  std::ostringstream Out;
  std::ostringstream Err;
  const char *Arguments[] = {"eelgrassctl", "logs", File.c_str(), nullptr};
  CHECK(runCtl(3, Arguments, {}, Out, Err) == CtlExit::Done);
  CHECK(Out.str() == "00:00:00.001 a 170 x id=\\x0a\\x1b[2J\\xc2\\x9b\n");
  std::filesystem::remove(Path);
}

// Guards against a request id that prints a second line or controls the
// terminal of the operator.
TEST_CASE("a log line is printed as one line, whatever its texts") {
  auto Path = std::filesystem::temp_directory_path() /
              ("eelgrassctl-texts-" + std::to_string(::getpid()));
  std::ofstream(Path) << R"({"at":1,"node":"a\n","event":161,"name":"n",)"
                      << R"("id":"r\n00:00 forged\u001b"})"
                      << "\n";
  std::ostringstream Out;
  std::ostringstream Err;
  std::string File = Path.string();
  const char *Arguments[] = {"eelgrassctl", "logs", File.c_str(), nullptr};
  CHECK(runCtl(3, Arguments, {}, Out, Err) == CtlExit::Done);
  std::filesystem::remove(Path);
  CHECK(Out.str() == "00:00:00.001 a\\x0a 161 n id=r\\x0a00:00 forged\\x1b\n");
}
