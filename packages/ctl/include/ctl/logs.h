/// \file
/// Reading of the structured logs of one or more processes.

#ifndef EELGRASSLOOM_CTL_LOGS_H
#define EELGRASSLOOM_CTL_LOGS_H

#include "ctl/ctl.h"
#include "kernel/result.h"
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassloom {

/// One line that a process wrote, see docs/EVENTS.md.
struct LogLine {
  /// Unix time in ms on the clock of the writing host.
  std::int64_t At = 0;
  std::string Node;
  unsigned Event = 0;
  std::string Name;
  /// Request, session (0: none) and database that the line is about.
  std::string Request;
  std::uint64_t Session = 0;
  std::string Database;
  /// All other fields as `name=value`.
  std::string Fields;
  /// The line as it was written.
  std::string Json;
};

/// What to show; empty fields select everything.
struct LogFilter {
  std::string Request;
  std::string Node;
  std::string Database;
  /// Numbers of sessions belong to one node.
  std::optional<std::uint64_t> Session;
  /// Changes of primaries, permissions and the promotion duty only.
  bool Promotions = false;
  /// Also shows changes of state within this many ms of a selected line, if
  /// they concern the same database or none.
  std::optional<std::uint32_t> ContextMs;
};

struct LogArguments {
  /// `-` is the standard input.
  std::vector<std::string> Files;
  LogFilter Filter;
  std::size_t Limit = 200;
  bool Json = false;
};

Result<LogArguments> parseLogArguments(int Argc, const char **Argv);

/// Text before the first `{` is skipped: collectors of logs write their own
/// time and origin there. Anything else is a finding.
Result<LogLine> parseLogLine(const std::string &Text);

/// Lines of a stream; those that can't be read are counted in \p Skipped.
std::vector<LogLine> readLog(std::istream &In, std::size_t &Skipped);

/// Selected lines of all processes, oldest first.
std::vector<LogLine> selectLines(std::vector<LogLine> Lines,
                                 const LogFilter &Filter);

/// `eelgrassctl logs`; \p Argv begins with the name of the command.
CtlExit runLogs(int Argc, const char **Argv, std::ostream &Out,
                std::ostream &Err);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CTL_LOGS_H
