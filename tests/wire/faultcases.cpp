// Groups of cases with faults of servers and with large messages.

#include "cases.h"
#include <array>

namespace eelgrassloom::wiretest {

using namespace std::chrono_literals;

namespace {

constexpr unsigned RepeatedSessions = 160;
/// Percentage of the answers that are sent twice.
constexpr unsigned RepeatedAnswers = 25;
/// Longest time between an answer and its repetition.
constexpr unsigned MaxRepeatMillis = 200;
/// The same where few answers come again but after many others on their
/// connection.
constexpr unsigned LateSessions = 1600;
constexpr unsigned LateAnswers = 1;
constexpr unsigned MaxLateMillis = 3000;
constexpr unsigned UnsignedSessions = 40;
/// Bytes of "QUERY", of an id and of the blanks after them.
constexpr std::size_t QueryWordBytes = 6;
constexpr std::size_t RowWordBytes = 4;
/// As long as any name that the proxy gives to a prepared statement.
constexpr const char *LongName = "a-name-of-thirty-two-characters1";

AnswerPlan repeatedLate(CaseContext &C) {
  AnswerPlan P;
  if (C.Random() % 100 < LateAnswers)
    P.RepeatAfter = std::chrono::milliseconds(C.Random() % (MaxLateMillis + 1));
  return P;
}

AnswerPlan repeated(CaseContext &C) {
  AnswerPlan P;
  if (C.Random() % 100 < RepeatedAnswers)
    P.RepeatAfter =
        std::chrono::milliseconds(C.Random() % (MaxRepeatMillis + 1));
  if (C.Random() % 10 == 0) {
    P.Code = C.Random() % 2 == 0 ? "FAILED" : "BUSY";
    P.ErrorText = "planned";
  }
  return P;
}

/// Extends the text of the statement so that its message has \p Bytes bytes.
void extend(Statement &S, std::size_t Bytes) {
  std::size_t Have = QueryWordBytes + S.Id.size() + 1 + S.Text.size();
  std::string Filler(Bytes - Have, 'x');
  S.Text += Filler;
  if (S.Kind == TextKind::Execute)
    S.Arguments += Filler;
}

void addLimitSession(CaseContext &C, std::size_t Bytes, Demand Wanted,
                     bool SplitsLineEnd, const char *Database) {
  ScriptWriter Read = C.session(Database);
  Read.demand(Wanted);
  extend(Read.read("item"), Bytes);
  Script S = Read.take();
  S.SplitsLineEnd = SplitsLineEnd;
  C.Scripts.push_back(std::move(S));
  ScriptWriter Write = C.session();
  Write.demand(Wanted);
  extend(Write.write("item", "data"), Bytes);
  C.add(Write);
}

void addLongSetupSession(CaseContext &C, std::size_t Bytes) {
  // The parts of the messages around shape, value and arguments are less than
  // this.
  constexpr std::size_t Around = 120;
  ScriptWriter S = C.session();
  std::string Long(Bytes - Around, 's');
  S.prepare(LongName, true, Long);
  extend(S.execute(LongName, "item data"), Bytes);
  S.set("mode", Long);
  S.read("item");
  C.add(S);
}

} // namespace

void buildRepeatedAnswers(CaseContext &C) {
  C.Shared.RepeatedOwnAnswers = RepeatedAnswers;
  for (unsigned I = 0; I < RepeatedSessions; ++I) {
    ScriptWriter S = C.session(I % 4 == 3 ? "session" : "latest");
    S.demand(Demand::Any);
    auto Name = std::to_string(I % 5);
    S.set("mode", Name);
    S.prepare("s1", I % 2 == 0, "shape" + Name);
    for (unsigned Part = 0; Part < 3; ++Part) {
      S.plan(repeated(C));
      S.read("item" + Name);
      S.plan(repeated(C));
      S.write("item" + Name, "data");
      S.plan(repeated(C));
      S.execute("s1", "item data");
    }
    S.begin(I % 4 == 0);
    S.plan(repeated(C));
    S.read("item");
    S.plan(repeated(C));
    if (I % 4 != 0)
      S.write("item", "data");
    S.plan(repeated(C));
    if (I % 5 == 0)
      S.rollback();
    else
      S.commit();
    S.read("item");
    C.add(S);
  }
}

void buildLateAnswers(CaseContext &C) {
  for (unsigned I = 0; I < LateSessions; ++I) {
    ScriptWriter S = C.session();
    S.demand(Demand::Any);
    for (unsigned Part = 0; Part < 7; ++Part) {
      S.plan(repeatedLate(C));
      S.read("item");
      S.plan(repeatedLate(C));
      S.write("item", "data");
    }
    C.add(S);
  }
}

void buildUnsignedAnswers(CaseContext &C) {
  for (unsigned I = 0; I < UnsignedSessions; ++I) {
    AnswerPlan P;
    P.UnsignedRuns = I % 2 == 0 ? 1 : 100;
    P.NoRows = I % 3 == 0;
    ScriptWriter S = C.session(I % 4 == 3 ? "session" : "latest");
    S.prepare("s1", false, "shape");
    S.demand(Demand::Any);
    S.plan(P);
    S.read("item");
    S.plan(P);
    S.execute("s1", "item");
    S.plan(P);
    S.write("item", "data");
    S.demand(Demand::Success);
    S.read("item");
    S.execute("s1", "item");
    S.write("item", "data");
    S.demand(Demand::Any);
    S.begin();
    if (I % 2 == 0)
      S.plan(P);
    S.write("item", "data");
    if (I % 2 == 1)
      S.plan(P);
    S.commit();
    C.add(S);
  }
}

void buildLimits(CaseContext &C) {
  for (bool SplitsLineEnd : {false, true}) {
    addLimitSession(C, MaxLineBytes - 1, Demand::Success, SplitsLineEnd,
                    "latest");
    addLimitSession(C, MaxLineBytes, Demand::Success, SplitsLineEnd, "latest");
    addLimitSession(C, MaxLineBytes + 1, Demand::TooBig, SplitsLineEnd,
                    "latest");
    addLimitSession(C, MaxLineBytes + 5000, Demand::TooBig, SplitsLineEnd,
                    "latest");
    // A position that the proxy adds may not fit.
    addLimitSession(C, MaxLineBytes, Demand::SuccessOrTooBig, SplitsLineEnd,
                    "session");
    addLimitSession(C, MaxLineBytes, Demand::SuccessOrTooBig, SplitsLineEnd,
                    "bounded");
  }
  addLongSetupSession(C, MaxLineBytes);
  addLongSetupSession(C, MaxLineBytes);
  for (int I = 0; I < 40; ++I) {
    ScriptWriter S = C.session();
    S.read("after");
    C.add(S);
  }
}

void buildLargeAnswers(CaseContext &C) {
  for (std::size_t Less : {0, 1, 5, 4000}) {
    ScriptWriter S = C.session();
    AnswerPlan P;
    P.Rows = {std::string(MaxLineBytes - RowWordBytes - Less, 'r'), "small"};
    S.plan(P);
    S.read("item");
    S.read("after");
    C.add(S);
  }
  for (std::size_t Count : {1000, 3000, 6000}) {
    ScriptWriter S = C.session();
    AnswerPlan P;
    for (std::size_t I = 0; I < Count; ++I)
      P.Rows.push_back(std::to_string(I) + std::string(1000, 'r'));
    S.plan(P);
    S.read("item");
    S.read("after");
    C.add(S);
  }
}

} // namespace eelgrassloom::wiretest
