#include "script.h"

namespace eelgrassloom::wiretest {

namespace {

/// Unique for each statement of the process.
unsigned nextNumber() {
  static unsigned Last = 0;
  return ++Last;
}

} // namespace

ScriptWriter::ScriptWriter(Board &Checks, std::size_t Proxy,
                           std::string Database)
    : Checks(Checks) {
  S.Proxy = Proxy;
  S.Database = std::move(Database);
}

Statement &ScriptWriter::add(TextKind Kind, const std::string &Text) {
  auto New = std::make_shared<Statement>();
  New->Kind = Kind;
  New->Id = IdPrefix + "." + std::to_string(nextNumber());
  New->Text = Text;
  New->Values = Values;
  New->Transaction = Transaction;
  New->Wanted = Wanted;
  New->Key = S.Key;
  New->Public = Public;
  New->NotBefore = NotBefore;
  if (isData(Kind))
    New->Plan = std::move(Plan);
  Plan = AnswerPlan();
  Checks.add(New);
  S.Statements.push_back(New);
  return *New;
}

Statement &ScriptWriter::read(const std::string &Item) {
  return add(TextKind::Read, "READ " + Item);
}

Statement &ScriptWriter::write(const std::string &Item,
                               const std::string &Data) {
  return add(TextKind::Write, "WRITE " + Item + " " + Data);
}

void ScriptWriter::set(const std::string &Name, const std::string &Value) {
  add(TextKind::Set, "SET " + Name + " " + Value);
  Values[Name] = Value;
}

void ScriptWriter::prepare(const std::string &Name, bool Writes,
                           const std::string &Shape) {
  add(TextKind::Prepare,
      "PREPARE " + Name + (Writes ? " WRITE " : " READ ") + Shape);
  Prepared[Name] = {Writes, Shape};
}

void ScriptWriter::dealloc(const std::string &Name) {
  add(TextKind::Deallocate, "DEALLOC " + Name);
  Prepared.erase(Name);
}

Statement &ScriptWriter::execute(const std::string &Name,
                                 const std::string &Arguments) {
  Statement &New = add(TextKind::Execute, "EXEC " + Name + " " + Arguments);
  New.Writes = Prepared[Name].first;
  New.Shape = Prepared[Name].second;
  New.Arguments = Arguments;
  return New;
}

void ScriptWriter::begin(bool ReadOnly) {
  Transaction = nextNumber();
  add(TextKind::Begin, ReadOnly ? "BEGIN READ" : "BEGIN");
}

void ScriptWriter::commit() {
  add(TextKind::Commit, "COMMIT");
  Transaction = 0;
}

void ScriptWriter::rollback() {
  add(TextKind::Rollback, "ROLLBACK");
  Transaction = 0;
}

} // namespace eelgrassloom::wiretest
