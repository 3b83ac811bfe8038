#include "ctl/print.h"
#include "runtime/escape.h"
#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <map>
#include <string>
#include <vector>

namespace eelgrassloom {
namespace detail {
namespace {

using Row = std::vector<std::string>;

/// A row of texts that other programs sent.
Row escapedRow(Row Cells) {
  for (std::string &Cell : Cells)
    Cell = escapeText(Cell);
  return Cells;
}

/// Prints rows in aligned columns; the first row holds the headings.
void printTable(std::ostream &Out, const std::vector<Row> &Rows) {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const Row &R : Rows)
    for (std::size_t I = 0; I < R.size(); ++I)
      Widths[I] = std::max(Widths[I], R[I].size());
  for (const Row &R : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < R.size(); ++I) {
      Line += R[I];
      if (I + 1 < R.size())
        Line += std::string(Widths[I] - R[I].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out << Line << '\n';
  }
}

std::string orDash(const std::string &Text) {
  return Text.empty() ? "-" : Text;
}

std::string yesNo(bool Value) { return Value ? "yes" : "no"; }

std::string roleName(types::v1::UpstreamRole R) {
  switch (R) {
  case types::v1::UPSTREAM_ROLE_PRIMARY:
    return "primary";
  case types::v1::UPSTREAM_ROLE_REPLICA:
    return "replica";
  default:
    return "-";
  }
}

std::string position(const types::v1::Position &P) {
  return std::to_string(P.term()) + "/" + std::to_string(P.index());
}

std::string health(const operators::v1::UpstreamHealth &U) {
  if (U.leaving())
    return U.suspected() ? "leaving, suspected" : "leaving";
  if (!U.has_status())
    return "not observed";
  return U.suspected() ? "suspected" : "in service";
}

void printMembers(std::ostream &Out, const operators::v1::StatusAnswer &A) {
  std::vector<Row> Rows = {
      {"PROXY", "STATE", "FAILURE DOMAIN", "PEER ADDRESS", "INCARNATION"}};
  for (const auto &M : A.members())
    Rows.push_back(escapedRow({M.id(), M.state(), M.failure_domain(),
                               M.address(), std::to_string(M.incarnation())}));
  printTable(Out, Rows);
}

void printUpstreams(std::ostream &Out, const operators::v1::StatusAnswer &A) {
  std::vector<Row> Rows = {{"DATABASE", "UPSTREAM", "FAILURE DOMAIN", "OWNER",
                            "ROLE", "POSITION", "HEALTH", "CONNECTIONS",
                            "IN FLIGHT", "QUEUED", "STALENESS"}};
  for (const auto &U : A.upstreams())
    Rows.push_back(
        escapedRow({U.database(), U.id(), U.failure_domain(), orDash(U.owner()),
                    roleName(U.status().role()),
                    U.has_status() ? position(U.status().applied()) : "-",
                    health(U), std::to_string(U.connections()),
                    std::to_string(U.in_flight()), std::to_string(U.queued()),
                    U.status().role() == types::v1::UPSTREAM_ROLE_PRIMARY
                        ? "-"
                        : std::to_string(U.staleness_ms()) + " ms"}));
  printTable(Out, Rows);
}

void printGroups(std::ostream &Out, const operators::v1::StatusAnswer &A) {
  std::vector<Row> Rows = {{"DATABASE", "TERM", "STATE", "PRIMARY"}};
  for (const auto &G : A.groups())
    Rows.push_back(escapedRow(
        {G.database(), std::to_string(G.term()),
         G.state() == config::v1::GROUP_STATE_STABLE ? "stable" : "electing",
         orDash(G.primary())}));
  printTable(Out, Rows);
}

void printChanges(
    std::ostream &Out,
    const google::protobuf::RepeatedPtrField<config::v1::Change> &Changes) {
  std::vector<Row> Rows = {{"PLACE", "BEFORE", "AFTER", "REASON"}};
  for (const auto &C : Changes)
    Rows.push_back(escapedRow(
        {C.place(), orDash(C.before()), orDash(C.after()), C.reason()}));
  printTable(Out, Rows);
}

std::string clockTime(std::int64_t Micros) {
  constexpr std::int64_t PerSecond = 1000000;
  auto Seconds = static_cast<std::time_t>(Micros / PerSecond);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%d %H:%M:%S", &Parts);
  std::string Fraction = std::to_string(Micros % PerSecond);
  return std::string(Text.data()) + "." +
         std::string(6 - std::min<std::size_t>(6, Fraction.size()), '0') +
         Fraction + "Z";
}

/// The fields of the subject, already escaped.
std::string subject(const operators::v1::Event &E) {
  std::string Text;
  auto Append = [&](const char *Key, const std::string &Value) {
    if (!Value.empty())
      Text +=
          std::string(Text.empty() ? "" : " ") + Key + "=" + escapeWord(Value);
  };
  Append("database", E.database());
  Append("upstream", E.upstream());
  Append("request", E.request_id());
  Append("session", E.session());
  Append("plan", E.plan());
  return Text;
}

} // namespace
} // namespace detail

void print(std::ostream &Out, const operators::v1::StatusAnswer &A) {
  Out << "proxy " << escapeText(A.proxy()) << " in "
      << escapeText(A.failure_domain()) << ", configuration version "
      << A.configuration_version()
      << ", platform reachable: " << detail::yesNo(A.platform_reachable())
      << ", draining: " << detail::yesNo(A.draining()) << "\n";
  for (const std::string &Note : A.notes())
    Out << "note: " << escapeText(Note) << "\n";
  Out << "\n";
  detail::printMembers(Out, A);
  if (!A.groups().empty()) {
    Out << "\n";
    detail::printGroups(Out, A);
  }
  if (!A.upstreams().empty()) {
    Out << "\n";
    detail::printUpstreams(Out, A);
  }
}

void print(std::ostream &Out, const operators::v1::PlanAnswer &A) {
  if (A.plan_id().empty()) {
    Out << "no plan:\n";
    for (const auto &F : A.findings())
      Out << "  " << escapeText(F.place()) << ": \"" << escapeText(F.value())
          << "\" is not valid; allowed: " << escapeText(F.allowed()) << "\n";
    return;
  }
  Out << "plan " << A.plan_id() << " for configuration version "
      << A.base_version() << "\n\n";
  detail::printChanges(Out, A.changes());
  Out << "\nnothing has changed; to apply it: eelgrassctl confirm "
      << A.plan_id() << "\n";
}

void print(std::ostream &Out, const operators::v1::ConfirmAnswer &A) {
  Out << escapeText(A.message()) << "\n";
  if (A.since().empty())
    return;
  Out << "accepted since the plan was made:\n\n";
  detail::printChanges(Out, A.since());
}

void print(std::ostream &Out, const operators::v1::TimelineAnswer &A) {
  std::map<std::string, std::int64_t> Offsets;
  for (const auto &C : A.clocks())
    Offsets[C.proxy()] = C.offset_us();
  std::vector<detail::Row> Rows = {
      {"TIME", "PROXY", "EVENT", "SUBJECT", "TEXT"}};
  for (const auto &E : A.events())
    Rows.push_back(
        {detail::clockTime(E.at_us() - Offsets[E.proxy()]),
         escapeText(E.proxy()),
         "E" + std::to_string(E.number()) + " " + escapeText(E.name()),
         detail::subject(E), escapeText(E.text())});
  detail::printTable(Out, Rows);
  Out << "\n";
  for (const auto &C : A.clocks())
    Out << "clock of " << escapeText(C.proxy()) << ": " << std::showpos
        << C.offset_us() << std::noshowpos << " us, error at most "
        << C.error_us() << " us\n";
  for (const std::string &Proxy : A.unreachable())
    Out << "unreachable: " << escapeText(Proxy) << "; its events are missing\n";
}

} // namespace eelgrassloom
