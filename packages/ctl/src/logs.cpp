#include "ctl/logs.h"
#include "runtime/escape.h"
#include "runtime/options.h"
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace eelgrassloom {
namespace detail {
namespace {

using nlohmann::json;

enum LogFlag : int {
  RequestFlag = 1,
  SessionFlag,
  NodeFlag,
  DatabaseFlag,
  PromotionsFlag,
  ContextFlag,
  LimitFlag,
  JsonFlag,
};

const poptOption LogOptions[] = {
    {"request", 0, POPT_ARG_STRING, nullptr, RequestFlag, nullptr, nullptr},
    {"session", 0, POPT_ARG_STRING, nullptr, SessionFlag, nullptr, nullptr},
    {"node", 0, POPT_ARG_STRING, nullptr, NodeFlag, nullptr, nullptr},
    {"database", 0, POPT_ARG_STRING, nullptr, DatabaseFlag, nullptr, nullptr},
    {"promotions", 0, POPT_ARG_NONE, nullptr, PromotionsFlag, nullptr, nullptr},
    {"context-ms", 0, POPT_ARG_STRING, nullptr, ContextFlag, nullptr, nullptr},
    {"limit", 0, POPT_ARG_STRING, nullptr, LimitFlag, nullptr, nullptr},
    {"json", 0, POPT_ARG_NONE, nullptr, JsonFlag, nullptr, nullptr},
    POPT_TABLEEND};

/// Event numbers, see docs/EVENTS.md. Those from FirstPromotionEvent and below
/// FirstStatementEvent are about primaries, leases and the promotion lock.
constexpr unsigned FirstPromotionEvent = 140;
constexpr unsigned FirstStatementEvent = 160;
constexpr unsigned LastStatementEvent = 165;
constexpr unsigned LinesDroppedEvent = 171;

bool isStatementEvent(const LogLine &L) {
  return L.Event >= FirstStatementEvent && L.Event <= LastStatementEvent;
}

bool isPromotionEvent(const LogLine &L) {
  return L.Event >= FirstPromotionEvent && L.Event < FirstStatementEvent;
}

template <class Number>
void parseNumberFlag(const std::string &Flag, const std::string &Text,
                     Number &Into, std::vector<Finding> &Findings) {
  if (auto Value = parseNumber<Number>(Text))
    Into = *Value;
  else
    Findings.push_back({Flag, Text, "a number from 0"});
}

void parseLogFlag(int Which, const std::string &Value, LogArguments &A,
                  std::vector<Finding> &Findings) {
  LogFilter &F = A.Filter;
  switch (Which) {
  case RequestFlag:
    F.Request = Value;
    break;
  case SessionFlag:
    parseNumberFlag("--session", Value, F.Session.emplace(), Findings);
    break;
  case NodeFlag:
    F.Node = Value;
    break;
  case DatabaseFlag:
    F.Database = Value;
    break;
  case PromotionsFlag:
    F.Promotions = true;
    break;
  case ContextFlag:
    parseNumberFlag("--context-ms", Value, F.ContextMs.emplace(), Findings);
    break;
  case LimitFlag:
    parseNumberFlag("--limit", Value, A.Limit, Findings);
    break;
  default:
    A.Json = true;
  }
}

bool selected(const LogLine &L, const LogFilter &F) {
  return (F.Request.empty() || L.Request == F.Request) &&
         (F.Node.empty() || L.Node == F.Node) &&
         (F.Database.empty() || L.Database == F.Database) &&
         (!F.Session || L.Session == *F.Session) &&
         (!F.Promotions || isPromotionEvent(L));
}

/// True if the line is a state change within \p ContextMs of a selected line
/// and the two are not about different databases. Lines on statements and on
/// dropped log lines are no state changes.
bool inContext(const LogLine &L, const std::vector<LogLine> &Selected,
               std::uint32_t ContextMs) {
  if (isStatementEvent(L) || L.Event == LinesDroppedEvent)
    return false;
  // The selected lines are sorted by time.
  auto First = std::lower_bound(
      Selected.begin(), Selected.end(), L.At - ContextMs,
      [](const LogLine &S, std::int64_t At) { return S.At < At; });
  for (auto S = First; S != Selected.end() && S->At <= L.At + ContextMs; ++S)
    if (L.Database.empty() || S->Database.empty() || S->Database == L.Database)
      return true;
  return false;
}

std::string timeOfDay(std::int64_t UnixMs) {
  std::time_t Seconds = UnixMs / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  std::snprintf(Text, sizeof Text, "%02d:%02d:%02d.%03d", Parts.tm_hour,
                Parts.tm_min, Parts.tm_sec, static_cast<int>(UnixMs % 1000));
  return Text;
}

void printLine(std::ostream &Out, const LogLine &L, bool Json) {
  if (Json)
    Out << L.Json << "\n";
  else
    Out << timeOfDay(L.At) << " " << escapeText(L.Node) << " " << L.Event << " "
        << escapeText(L.Name) << L.Fields << "\n";
}

LogLine decodeLine(const json &Value, std::string Text) {
  LogLine L;
  L.At = Value.at("at").get<std::int64_t>();
  L.Node = Value.at("node").get<std::string>();
  L.Event = Value.at("event").get<unsigned>();
  L.Name = Value.at("name").get<std::string>();
  L.Request = Value.value("id", "");
  L.Session = Value.value("session", std::uint64_t{0});
  L.Database = Value.value("service", "");
  for (const auto &[Key, Field] : Value.items())
    if (Key != "at" && Key != "node" && Key != "event" && Key != "name")
      L.Fields += " " + escapeText(Key) + "=" +
                  escapeText(Field.is_string() ? Field.get<std::string>()
                                               : Field.dump());
  L.Json = std::move(Text);
  return L;
}

} // namespace
} // namespace detail

Result<LogArguments> parseLogArguments(int Argc, const char **Argv) {
  LogArguments A;
  std::vector<Finding> Findings;
  A.Files = parseOptions(
      Argc, Argv, detail::LogOptions,
      [&](int Which, const std::string &Value) {
        detail::parseLogFlag(Which, Value, A, Findings);
      },
      Findings);
  if (A.Files.empty())
    Findings.push_back({"logs", "", "files with logs, or -"});
  if (!Findings.empty())
    return Result<LogArguments>::failure(std::move(Findings));
  return Result<LogArguments>::success(std::move(A));
}

Result<LogLine> parseLogLine(const std::string &Text) {
  std::size_t Start = Text.find('{');
  if (Start == std::string::npos)
    return Result<LogLine>::failure({{"line", Text, "a JSON object"}});
  std::string Json = Text.substr(Start);
  try {
    return Result<LogLine>::success(
        detail::decodeLine(detail::json::parse(Json), Json));
  } catch (const detail::json::exception &E) {
    return Result<LogLine>::failure({{"line", Text, E.what()}});
  }
}

std::vector<LogLine> readLog(std::istream &In, std::size_t &Skipped) {
  std::vector<LogLine> Lines;
  for (std::string Text; std::getline(In, Text);) {
    if (Text.empty())
      continue;
    auto Line = parseLogLine(Text);
    if (Line)
      Lines.push_back(std::move(Line).value());
    else
      ++Skipped;
  }
  return Lines;
}

std::vector<LogLine> selectLines(std::vector<LogLine> Lines,
                                 const LogFilter &Filter) {
  std::stable_sort(
      Lines.begin(), Lines.end(),
      [](const LogLine &A, const LogLine &B) { return A.At < B.At; });
  std::vector<LogLine> Selected;
  std::copy_if(Lines.begin(), Lines.end(), std::back_inserter(Selected),
               [&](const LogLine &L) { return detail::selected(L, Filter); });
  if (!Filter.ContextMs)
    return Selected;
  std::vector<LogLine> WithContext;
  std::copy_if(Lines.begin(), Lines.end(), std::back_inserter(WithContext),
               [&](const LogLine &L) {
                 return detail::selected(L, Filter) ||
                        detail::inContext(L, Selected, *Filter.ContextMs);
               });
  return WithContext;
}

CtlExit runLogs(int Argc, const char **Argv, std::ostream &Out,
                std::ostream &Err) {
  auto Parsed = parseLogArguments(Argc, Argv);
  if (!Parsed) {
    Err << toString(Parsed.findings()) << "\n"
        << "eelgrassctl --help lists commands and flags\n";
    return CtlExit::BadUsage;
  }
  const LogArguments &A = Parsed.value();
  std::vector<LogLine> Lines;
  std::size_t Skipped = 0;
  for (const std::string &File : A.Files) {
    std::ifstream In;
    if (File != "-") {
      In.open(File);
      if (!In) {
        Err << File << " can't be read\n";
        return CtlExit::Failed;
      }
    }
    auto Read = readLog(File == "-" ? std::cin : In, Skipped);
    std::move(Read.begin(), Read.end(), std::back_inserter(Lines));
  }
  Lines = selectLines(std::move(Lines), A.Filter);
  std::size_t Shown = std::min(Lines.size(), A.Limit);
  for (std::size_t I = 0; I < Shown; ++I)
    detail::printLine(Out, Lines[I], A.Json);
  if (Shown < Lines.size())
    Err << Lines.size() - Shown << " more lines; see --limit\n";
  if (Skipped > 0)
    Err << Skipped << " lines are not structured logs\n";
  return CtlExit::Done;
}

} // namespace eelgrassloom
