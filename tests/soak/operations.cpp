// The random operations of the soak's callers.

#include "callers.h"
#include "samples.h"

namespace eelgrassloom::soak {

namespace {

constexpr unsigned ItemCount = 8;

constexpr std::array<const char *, ItemCount> Items = {
    "k0", "k1\n", "k\r2", "\xffk3", "k4", "k\t5", "READY", "k7\r"};
/// Longest random part of a field in bytes.
constexpr std::size_t MaxRandomBytes = 20;
/// Every n-th operation uses prepared statements.
constexpr unsigned PreparedInterval = 5;

} // namespace

std::string Caller::newRequestId() {
  return "c" + std::to_string(Number) + "x" + std::to_string(++Count) +
         fieldBytes();
}

std::string Caller::fieldBytes() {
  return Bytes() % 2 == 0 ? "" : wiretest::randomField(Bytes, MaxRandomBytes);
}

std::string Caller::lastFieldBytes() {
  return Bytes() % 2 == 0 ? ""
                          : wiretest::randomLastField(Bytes, MaxRandomBytes);
}

std::string Caller::item() { return Items[Random() % ItemCount]; }

std::string Caller::newValue() {
  return "v" + std::to_string(Number) + "." + std::to_string(Count) + "." +
         std::to_string(Random()) + lastFieldBytes();
}

void Caller::nextOperation() {
  if (Stopped) {
    error_code Ignored;
    Socket.close(Ignored);
    return;
  }
  OperationStart = now();
  Operation = TestOracle.NextOperation++;
  Requests.clear();
  UncommittedValues.clear();
  bool Writes = Database != "bounded";
  unsigned Kind = Random() % 10;
  if (Bytes() % PreparedInterval == 0)
    addPreparedOperation(Writes);
  else if (Kind == 0)
    Requests.push_back(set());
  else if (Kind < 3 && Writes)
    addTransaction();
  else if (Kind < 6 && Writes)
    Requests.push_back(write(true));
  else
    Requests.push_back(read(item()));
  sendNext();
}

Caller::Request Caller::control(const std::string &Text, bool Commits) {
  return {newRequestId(), Text, "", Commits};
}

Caller::Request Caller::read(const std::string &Item) {
  return {newRequestId(), "READ " + Item, "", false, true, RequestKind::Read};
}

Caller::Request Caller::write(bool Commits) {
  std::string Value = newValue();
  std::string Text = "WRITE " + item() + " " + Value;
  return {newRequestId(), Text, Value, Commits, false, RequestKind::Write};
}

Caller::Request Caller::set() {
  std::string Name = Bytes() % 4 == 0 ? "mo\nde" : "mode";
  std::string Value = "s" + std::to_string(Random() % 100) + lastFieldBytes();
  return {newRequestId(),
          "SET " + Name + " " + Value,
          Value,
          false,
          false,
          RequestKind::Set,
          Name};
}

void Caller::addTransaction() {
  Requests.push_back(control("BEGIN"));
  Requests.push_back(write(false));
  Requests.push_back(read(item()));
  Requests.push_back(write(false));
  if (Random() % 4 == 0)
    Requests.push_back(control("ROLLBACK"));
  else
    Requests.push_back(control("COMMIT", true));
}

/// Prepares a statement unless the session has one of this name, runs it, and
/// deallocates it at times. All callers use the same names.
void Caller::addPreparedOperation(bool MayWrite) {
  std::string Name = Bytes() % 2 == 0 ? "s1" : "s\n2";
  auto Known = Prepared.find(Name);
  PreparedStatement P;
  if (Known != Prepared.end() && (MayWrite || !Known->second.Writes)) {
    P = Known->second;
  } else {
    P = {MayWrite && Bytes() % 2 == 0,
         "shape" + std::to_string(Bytes() % 4) + lastFieldBytes()};
    Requests.push_back(
        {newRequestId(),
         "PREPARE " + Name + (P.Writes ? " WRITE " : " READ ") + P.Shape, "",
         false, false, RequestKind::Prepare, Name, P});
  }
  std::string Value = P.Writes ? newValue() : "";
  std::string Arguments = item() + (P.Writes ? " " + Value : "");
  Requests.push_back({newRequestId(), "EXEC " + Name + " " + Arguments, Value,
                      P.Writes, !P.Writes,
                      P.Writes ? RequestKind::Write : RequestKind::Read, Name,
                      P, Arguments});
  if (Bytes() % 3 == 0)
    Requests.push_back({newRequestId(), "DEALLOC " + Name, "", false, false,
                        RequestKind::Deallocate, Name});
}

} // namespace eelgrassloom::soak
