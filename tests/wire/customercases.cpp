// Groups of cases with customers and their keys.

#include "cases.h"
#include "samples.h"
#include <algorithm>
#include <array>

namespace eelgrassloom::wiretest {

using namespace std::chrono_literals;

namespace {

/// Limits that the few callers of the test do not reach.
constexpr unsigned HighRate = 3000;
/// Names of customers: words of printable characters.
constexpr std::array<const char *, 5> Names = {"fjordline", "7", "a/b:c",
                                               "READY", "-x"};
/// The customer that has no limit.
constexpr std::size_t Unlimited = 1;
constexpr unsigned RandomKeys = 12;
constexpr std::size_t MaxRandomBytes = 16;
/// Time between two statements of callers whose key is taken away.
constexpr Duration Interval = 40ms;
/// Statements of these callers before and after the change.
constexpr int StatementsBefore = 12;
constexpr int StatementsAfter = 150;
/// Time after KeyApplyTime at which every host must have applied the change.
constexpr Duration Margin = 100ms;
/// Room for the delay of a statement on its way to the proxy.
constexpr Duration BeforeChange = 300ms;
/// Customers that lose and get keys while sessions are open, see changeKeys.
constexpr std::size_t Former = 0;
constexpr std::size_t Next = 2;
const std::string RemovedKey = std::string(soak::KeyMarker) + " removed key";
const std::string MovedKey = std::string(soak::KeyMarker) + " moved\tkey";
const std::string AddedKey = std::string(soak::KeyMarker) + "-added";

/// Unusual bytes on either side of the marker. A configuration holds only valid
/// UTF-8, so that samples with other bytes are left out.
void addKeys(std::vector<std::string> &Keys, const std::string &Bytes) {
  bool Ascii = std::all_of(Bytes.begin(), Bytes.end(), [](char C) {
    return static_cast<unsigned char>(C) < 0x80;
  });
  if (!Ascii)
    return;
  std::string Marker(soak::KeyMarker);
  std::string Number = std::to_string(Keys.size());
  Keys.push_back(Bytes + Marker + Number);
  Keys.push_back(Marker + Number + "x" + Bytes);
}

std::vector<std::string> sampleKeys(CaseContext &C) {
  std::vector<std::string> Keys;
  for (const std::string &Bytes : lastFieldSamples())
    addKeys(Keys, Bytes);
  for (unsigned I = 0; I < RandomKeys; ++I)
    addKeys(Keys, randomLastField(C.Random, MaxRandomBytes));
  for (const char *Text : {"caf\xc3\xa9 ", "\xf0\x9f\x94\x91", "\"\\u0041\\"})
    Keys.push_back(Text + std::string(soak::KeyMarker) + Text);
  return Keys;
}

/// Statements that fail only with the key, or for any reason that the few
/// connections of the run may give.
Demand success(const CaseContext &C) {
  return C.FewConnections ? Demand::Any : Demand::Success;
}

void addKeySession(CaseContext &C, const std::string &Key, const char *Database,
                   std::optional<Instant> At = {}) {
  ScriptWriter S = C.session(Database);
  if (At)
    S.startAt(*At);
  S.useKey(Key);
  S.demand(success(C));
  S.read("item");
  S.write("item", "data");
  S.prepare("s1", true, "shape");
  S.execute("s1", "item data");
  S.begin();
  S.write("item", "data");
  S.commit();
  C.add(S);
}

/// Keys that are no customer's, among them parts of valid ones.
void addUnknownKey(CaseContext &C, const std::string &Key,
                   std::optional<Instant> At = {}) {
  if (!At && !C.Checks.Customers.allowed(Key, soak::now()).empty())
    return;
  ScriptWriter S = C.session();
  if (At)
    S.startAt(*At);
  S.useKey(Key);
  S.demandStartCode("NOAUTH");
  S.read("item");
  C.add(S);
}

void addUnknownKeys(CaseContext &C, const std::string &Key) {
  addUnknownKey(C, Key.substr(0, Key.size() - 1));
  addUnknownKey(C, Key.substr(1));
  addUnknownKey(C, Key + " ");
  addUnknownKey(C, " " + Key);
  addUnknownKey(C, Key + std::string(1, '\0'));
}

/// START lines without the usual fields. None may start a session or show up in
/// a log line or an answer.
void addMalformedStarts(CaseContext &C) {
  std::string Key = C.Checks.Customers.Customers[Former].Keys.front();
  for (const std::string &Line :
       {"START  " + Key, "START\tlatest " + Key, "START" + Key, "start " + Key,
        "STARTS latest " + Key, " START latest " + Key}) {
    ScriptWriter S = C.session();
    S.sendStart(Line);
    S.demandStartCode("MALFORMED");
    S.read("item");
    C.add(S);
  }
}

void addPublicSession(CaseContext &C, const std::string &Key) {
  ScriptWriter S = C.session("public");
  S.useKey(Key);
  S.usePublicRoute();
  S.demand(success(C));
  S.read("item");
  S.write("item", "data");
  C.add(S);
}

/// What a statement outside of transactions must get that is sent at \p At by
/// the holder of a key that is removed.
Demand demandAt(const CaseContext &C, Instant At) {
  if (At < C.ChangeAt - BeforeChange)
    return success(C);
  return At > C.ChangeAt + soak::KeyApplyTime + Margin ? Demand::NotAuthorized
                                                       : Demand::Any;
}

/// Statements while the key is removed or passes to another customer.
void addChangingSession(CaseContext &C, const std::string &Key,
                        const char *Database) {
  ScriptWriter S = C.session(Database);
  S.useKey(Key);
  for (int I = -StatementsBefore; I < StatementsAfter; ++I) {
    Instant At = C.ChangeAt + I * Interval;
    S.waitUntil(At);
    S.demand(Key == RemovedKey ? demandAt(C, At) : success(C));
    if (I % 2 == 0)
      S.read("item");
    else
      S.write("item", "data");
  }
  C.add(S);
}

/// A transaction that is open while the key changes. \p Last is its first
/// statement after the change.
void addOpenTransaction(CaseContext &C, const std::string &Key, TextKind Last,
                        bool FirstOnServer) {
  ScriptWriter S = C.session();
  S.useKey(Key);
  S.demand(success(C));
  S.waitUntil(C.ChangeAt - BeforeChange);
  S.begin();
  if (FirstOnServer)
    S.write("item", "data");
  S.waitUntil(C.ChangeAt + soak::KeyApplyTime + Margin);
  if (C.FewConnections)
    S.demand(Demand::Refused);
  else
    S.demand(Key == RemovedKey ? Demand::NotAuthorized : Demand::Aborted);
  if (Last == TextKind::Commit)
    S.commit();
  else
    S.write("item", "data");
  C.add(S);
}

/// A caller that begins one transaction after the other.
void addTransactionSession(CaseContext &C, const std::string &Key) {
  ScriptWriter S = C.session();
  S.useKey(Key);
  S.demand(Demand::Any);
  for (int I = 0; I < StatementsAfter; I += 5) {
    S.waitUntil(C.ChangeAt + (I - StatementsBefore) * Interval);
    S.begin();
    S.write("item", "data");
    S.waitUntil(C.ChangeAt + (I + 3 - StatementsBefore) * Interval);
    S.write("item", "data");
    S.commit();
  }
  C.add(S);
}

/// Sessions that stay open until the changed keys are in force.
void addChangingSessions(CaseContext &C) {
  for (const std::string &Key : {RemovedKey, MovedKey}) {
    for (unsigned Proxy = 0; Proxy < 2; ++Proxy) {
      addChangingSession(C, Key, Proxy == 0 ? "latest" : "session");
      addTransactionSession(C, Key);
    }
    for (bool FirstOnServer : {false, true}) {
      addOpenTransaction(C, Key, TextKind::Write, FirstOnServer);
      addOpenTransaction(C, Key, TextKind::Commit, FirstOnServer);
    }
  }
  Instant InForce = C.ChangeAt + soak::KeyApplyTime + Margin;
  for (unsigned Proxy = 0; Proxy < 2; ++Proxy) {
    addUnknownKey(C, RemovedKey, InForce);
    addKeySession(C, MovedKey, "latest", InForce);
    addKeySession(C, AddedKey, "latest", InForce);
  }
  C.LongSessions = C.Sessions;
  // It must be refused before the change.
  addUnknownKey(C, AddedKey);
}

} // namespace

void setCustomers(CaseContext &C) {
  auto &Customers = C.Checks.Customers.Customers;
  for (const char *Name : Names)
    Customers.push_back({Name, {}, HighRate, HighRate});
  Customers[Unlimited].RatePerSecond = 0;
  std::size_t Turn = 0;
  for (std::string &Key : sampleKeys(C))
    Customers[Turn++ % Names.size()].Keys.push_back(std::move(Key));
  Customers[Former].Keys.push_back(RemovedKey);
  Customers[Former].Keys.push_back(MovedKey);
}

void changeKeys(CaseContext &C) {
  auto &Customers = C.Checks.Customers.Customers;
  std::vector<std::string> &Keys = Customers[Former].Keys;
  std::erase(Keys, RemovedKey);
  std::erase(Keys, MovedKey);
  Customers[Next].Keys.push_back(MovedKey);
  Customers[Next].Keys.push_back(AddedKey);
}

void buildCustomers(CaseContext &C) {
  addChangingSessions(C);
  constexpr std::array<const char *, 3> Databases = {"latest", "session",
                                                     "latest"};
  for (const soak::TestCustomer &Customer : C.Checks.Customers.Customers)
    for (const std::string &Key : Customer.Keys)
      for (unsigned Proxy = 0; Proxy < 2; ++Proxy)
        if (Key != RemovedKey && Key != MovedKey)
          addKeySession(C, Key, Databases[C.Sessions % Databases.size()]);
  for (const soak::TestCustomer &Customer : C.Checks.Customers.Customers)
    addUnknownKeys(C, Customer.Keys.front());
  addUnknownKey(C, "");
  addUnknownKey(C, Names.front());
  addMalformedStarts(C);
  addPublicSession(C, "");
  addPublicSession(C, "no key");
  addPublicSession(C, C.Checks.Customers.Customers[Former].Keys.front());
}

} // namespace eelgrassloom::wiretest
