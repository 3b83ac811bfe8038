// Groups of cases with unusual bytes in the fields of messages.

#include "cases.h"
#include "samples.h"
#include <array>

namespace eelgrassloom::wiretest {

namespace {

/// Enough for all callers of the test on either proxy.
constexpr unsigned ManyConnections = 60;
/// Fewer than two connections for each proxy.
constexpr unsigned FewConnections = 3;
constexpr std::size_t ProxyCount = 2;
constexpr std::array<const char *, 3> Databases = {"latest", "session",
                                                   "bounded"};
constexpr unsigned RandomSessions = 60;
/// Longest random field in bytes.
constexpr std::size_t MaxRandomBytes = 24;

constexpr std::array<CaseGroup, 12> Groups = {{
    {"changed-texts", buildTexts, ManyConnections, 100},
    {"changed-rows", buildRows, ManyConnections, 85},
    {"shifted-shapes", buildShapes, ManyConnections, 100},
    {"changed-values", buildValues, ManyConnections, 100},
    {"repeated-answers", buildRepeatedAnswers, ManyConnections, 50},
    {"late-answers", buildLateAnswers, ManyConnections, 50},
    {"unsigned-answers", buildUnsignedAnswers, ManyConnections, 50},
    {"message-limits", buildLimits, ManyConnections, 50},
    {"large-answers", buildLargeAnswers, ManyConnections, 100},
    {"forwarded-bytes", buildForwarded, FewConnections, 90},
    {"customers", buildCustomers, ManyConnections, 50, true},
    {"customers-forwarded", buildCustomers, FewConnections, 60, true},
}};

/// Each byte of the answer alone, and any of rows, signature and error text
/// with unusual bytes.
AnswerPlan planWithBytes(const std::string &Bytes, bool SingleBytes) {
  AnswerPlan P;
  // Bytes that end in CR must not be followed by a LF.
  P.Rows = {"first", Bytes, "", Bytes + "|" + Bytes};
  P.SignatureEnd = Bytes;
  P.SingleBytes = SingleBytes;
  return P;
}

void addTextSession(CaseContext &C, const std::string &Last,
                    const std::string &Field) {
  ScriptWriter Read = C.session(Databases[C.Sessions % Databases.size()]);
  Read.read(Last);
  Read.read("after");
  C.add(Read);
  ScriptWriter Write = C.session();
  Write.write("k", Last);
  Write.write(Field, "data");
  C.add(Write);
  ScriptWriter Named = C.session();
  Named.useId(Field);
  Named.read("item");
  Named.write("item", "data");
  C.add(Named);
  ScriptWriter Transaction = C.session("session");
  Transaction.useId(Field);
  Transaction.begin();
  Transaction.read(Last);
  Transaction.write(Field, Last);
  Transaction.commit();
  Transaction.read("after");
  C.add(Transaction);
}

/// The two proxies must not confuse what several callers prepare under one
/// name.
void addShapeSession(CaseContext &C, const std::string &Name,
                     const std::string &Shape, const std::string &Arguments) {
  for (bool Writes : {false, true}) {
    ScriptWriter S = C.session(Writes ? "latest" : Databases[C.Sessions % 3]);
    S.prepare(Name, Writes, Shape);
    S.execute(Name, Arguments);
    S.prepare(Name, !Writes, Shape);
    S.execute(Name, Arguments);
    S.dealloc(Name);
    S.prepare(Name, Writes, "other");
    S.execute(Name, Arguments);
    C.add(S);
  }
}

void addValueSession(CaseContext &C, const std::string &Name,
                     const std::string &Value) {
  ScriptWriter S = C.session();
  S.set(Name, Value);
  S.read("item");
  S.set("mode", Value + "x");
  S.begin();
  S.write("item", "data");
  S.commit();
  S.set(Name, "");
  S.read("item");
  C.add(S);
}

void addRowSession(CaseContext &C, const std::string &Bytes, bool SingleBytes) {
  ScriptWriter S = C.session(Databases[C.Sessions % Databases.size()]);
  S.plan(planWithBytes(Bytes, SingleBytes));
  S.read("item");
  S.read("after");
  C.add(S);
  ScriptWriter Transaction = C.session();
  Transaction.begin();
  Transaction.plan(planWithBytes(Bytes, SingleBytes));
  Transaction.write("item", "data");
  Transaction.plan(planWithBytes(Bytes, SingleBytes));
  Transaction.commit();
  Transaction.read("after");
  C.add(Transaction);
}

void addErrorSession(CaseContext &C, const std::string &Bytes) {
  ScriptWriter S = C.session();
  AnswerPlan P;
  P.Code = "FAILED";
  P.ErrorText = Bytes;
  S.plan(P);
  S.demand(Demand::PlannedError);
  S.write("item", "data");
  S.demand(Demand::Success);
  S.read("after");
  C.add(S);
}

} // namespace

std::span<const CaseGroup> caseGroups() { return Groups; }

ScriptWriter CaseContext::session(std::string Database) {
  return {Checks, Sessions++ % ProxyCount, std::move(Database)};
}

void buildTexts(CaseContext &C) {
  const auto &Fields = fieldSamples();
  std::size_t Next = 0;
  for (const std::string &Last : lastFieldSamples())
    addTextSession(C, Last, Fields[Next++ % Fields.size()]);
  for (unsigned I = 0; I < RandomSessions; ++I)
    addTextSession(C, randomLastField(C.Random, MaxRandomBytes),
                   randomField(C.Random, MaxRandomBytes));
}

void buildRows(CaseContext &C) {
  for (const std::string &Bytes : lastFieldSamples()) {
    addRowSession(C, Bytes, false);
    addRowSession(C, Bytes, true);
    addErrorSession(C, Bytes);
  }
  for (unsigned I = 0; I < RandomSessions; ++I) {
    addRowSession(C, randomLastField(C.Random, MaxRandomBytes), I % 2 == 0);
    addErrorSession(C, randomLastField(C.Random, MaxRandomBytes));
  }
}

void buildShapes(CaseContext &C) {
  const auto &Fields = fieldSamples();
  const auto &Lasts = lastFieldSamples();
  std::size_t Next = 0;
  for (const std::string &Shape : Lasts) {
    addShapeSession(C, "s1", Shape, "item data");
    addShapeSession(C, Fields[Next % Fields.size()], "shape",
                    Lasts[Next % Lasts.size()]);
    ++Next;
  }
  for (unsigned I = 0; I < RandomSessions; ++I)
    addShapeSession(C, randomField(C.Random, 2),
                    randomLastField(C.Random, MaxRandomBytes),
                    randomLastField(C.Random, MaxRandomBytes));
}

void buildValues(CaseContext &C) {
  const auto &Fields = fieldSamples();
  std::size_t Next = 0;
  for (const std::string &Value : lastFieldSamples())
    addValueSession(C, Fields[Next++ % Fields.size()], Value);
  for (unsigned I = 0; I < RandomSessions; ++I)
    addValueSession(C, randomField(C.Random, MaxRandomBytes),
                    randomLastField(C.Random, MaxRandomBytes));
}

void buildForwarded(CaseContext &C) {
  const auto &Fields = fieldSamples();
  std::size_t Next = 0;
  for (const std::string &Bytes : lastFieldSamples()) {
    const std::string &Field = Fields[Next++ % Fields.size()];
    addTextSession(C, Bytes, Field);
    addRowSession(C, Bytes, false);
    addErrorSession(C, Bytes);
    addShapeSession(C, "s1", Bytes, Bytes);
    addValueSession(C, Field, Bytes);
  }
  buildLargeAnswers(C);
}

} // namespace eelgrassloom::wiretest
