#include "runtime/options.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

namespace {

const poptOption Table[] = {
    {"name", 0, POPT_ARG_STRING, nullptr, 1, nullptr, nullptr},
    {"flag", 0, POPT_ARG_NONE, nullptr, 2, nullptr, nullptr},
    POPT_TABLEEND};

/// A command line parsed with the table.
struct ParsedCommandLine {
  explicit ParsedCommandLine(std::vector<const char *> Argv) {
    Argv.insert(Argv.begin(), "program");
    Argv.push_back(nullptr);
    Positionals = parseOptions(
        static_cast<int>(Argv.size() - 1), Argv.data(), Table,
        [this](int Id, const std::string &Value) {
          Handled += std::to_string(Id) + "=" + Value + ";";
        },
        Findings);
  }

  std::string Handled;
  std::vector<std::string> Positionals;
  std::vector<Finding> Findings;
};

} // namespace

TEST_CASE("options and positional arguments are parsed") {
  ParsedCommandLine R({"a", "--name", "x", "b", "--flag"});
  CHECK(R.Handled == "1=x;2=;");
  CHECK(R.Positionals == std::vector<std::string>{"a", "b"});
  CHECK(R.Findings.empty());
}

TEST_CASE("all unknown options are findings, and the others are parsed") {
  ParsedCommandLine R({"--fly", "--name", "x", "--sink", "--name"});
  CHECK(R.Handled == "1=x;");
  CHECK(R.Findings.size() == 3);
}

TEST_CASE("numbers have no sign and nothing after them") {
  CHECK(parseNumber("7") == 7U);
  CHECK(parseNumber<std::uint64_t>("5000000000") == 5000000000U);
  for (const char *Text : {"", "-1", "+1", "1x", " 1", "x", "5000000000"})
    CHECK_FALSE(parseNumber(Text));
}
