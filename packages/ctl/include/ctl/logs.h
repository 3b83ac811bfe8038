/// \file
/// The command logs: merges the structured logs of several
/// eelgrassloom-platform processes and selects lines from them.

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

/// One log line of a process; docs/EVENTS.md describes the fields.
struct LogLine {
  /// Unix time in ms on the clock of the writing host.
  std::int64_t At = 0;
  /// Name of the writing host.
  std::string Node;
  /// Number of the event.
  unsigned Event = 0;
  std::string Name;
  /// Request, session and database that the line is about. Session 0 and empty
  /// texts mean that it is about none. The database is the log field `service`.
  std::string Request;
  std::uint64_t Session = 0;
  std::string Database;
  /// All other fields as `name=value`.
  std::string Fields;
  /// The line as it was written.
  std::string Json;
};

/// Selects lines; empty fields match all.
struct LogFilter {
  std::string Request;
  std::string Node;
  std::string Database;
  /// Each node numbers its own sessions, so this is unique only together with
  /// the node.
  std::optional<std::uint64_t> Session;
  /// Only changes of primaries, primary leases and the promotion lock.
  bool Promotions = false;
  /// Also selects state changes within this many ms of a selected line, unless
  /// the two are about different databases.
  std::optional<std::uint32_t> ContextMs;
};

/// Parsed arguments of the command.
struct LogArguments {
  /// Paths; `-` is the standard input.
  std::vector<std::string> Files;
  LogFilter Filter;
  /// Maximum number of lines to print.
  std::size_t Limit = 200;
  /// Print the lines as they were written.
  bool Json = false;
};

/// Parses the arguments. All findings are reported together.
Result<LogArguments> parseLogArguments(int Argc, const char **Argv);

/// Parses one line. Text before the first `{` is skipped, because log
/// collectors put their own time and origin there. A line that is not a JSON
/// object with the common fields is a finding.
Result<LogLine> parseLogLine(const std::string &Text);

/// Parses all lines of a stream. Adds the number of lines that are not
/// structured log lines to \p Skipped; empty lines are ignored.
std::vector<LogLine> readLog(std::istream &In, std::size_t &Skipped);

/// The lines that match the filter, oldest first.
std::vector<LogLine> selectLines(std::vector<LogLine> Lines,
                                 const LogFilter &Filter);

/// Runs `eelgrassctl logs`; \p Argv begins with the name of the command.
CtlExit runLogs(int Argc, const char **Argv, std::ostream &Out,
                std::ostream &Err);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CTL_LOGS_H
