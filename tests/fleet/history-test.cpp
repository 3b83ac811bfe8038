#include "history.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

namespace {

Operation append(unsigned Session, std::string Value, std::int64_t At) {
  Operation Op;
  Op.Session = Session;
  Op.Kind = OperationKind::Append;
  Op.Database = "orders";
  Op.Key = "k";
  Op.Value = Value;
  Op.RequestId = Op.AnsweredId = "id-" + Value;
  Op.Replicated = true;
  Op.Outcome = OperationOutcome::Ok;
  Op.List = {std::move(Value)};
  Op.At = {1, 1};
  Op.InvokedMicros = At;
  Op.ReturnedMicros = At + 10;
  return Op;
}

Operation readOp(unsigned Session, std::vector<std::string> List,
                 std::int64_t At) {
  Operation Op = append(Session, "", At);
  Op.Kind = OperationKind::Read;
  Op.List = std::move(List);
  Op.RequestId = Op.AnsweredId = "read";
  return Op;
}

FullHistory correctHistory() {
  FullHistory H;
  H.Operations = {append(1, "a", 0), readOp(1, {"a"}, 100)};
  H.Logs = {{"orders", {{{1, 1}, "id-a", {"a"}}}}};
  return H;
}

} // namespace

// Guards against checkers that report correct histories.
TEST_CASE("a correct history has no violations") {
  CHECK(checkAll(correctHistory()).empty());
}

// Guards against a read-your-writes checker that accepts a stale read.
TEST_CASE("a session that misses its own write is reported") {
  FullHistory H = correctHistory();
  H.Operations[1].List = {};
  CHECK(checkReadYourWrites(H).size() == 1);
  Operation Lost = readOp(1, {}, 50);
  Lost.Outcome = OperationOutcome::PositionLost;
  H.Operations.insert(H.Operations.begin() + 1, Lost);
  CHECK(checkReadYourWrites(H).empty());
}

// Guards against a read-your-writes checker that exempts more reads than those
// with a staleness bound that the primary answered.
TEST_CASE("only bounded reads at the primary leave later reads free") {
  for (bool Bounded : {false, true})
    for (bool AtPrimary : {false, true}) {
      CAPTURE(Bounded);
      CAPTURE(AtPrimary);
      FullHistory H = correctHistory();
      Operation Shows = readOp(1, {"a", "of another session"}, 50);
      Shows.StalenessMicros = Bounded ? 5'000'000 : 0;
      Shows.AtPrimary = AtPrimary;
      H.Operations.insert(H.Operations.begin() + 1, Shows);
      CHECK(checkReadYourWrites(H).empty() == (Bounded && AtPrimary));
      // Such a read itself must show the session's own write.
      H.Operations[1].List = {};
      CHECK(!checkReadYourWrites(H).empty());
    }
}

// Guards against an at-most-once checker that overlooks a duplicate run.
TEST_CASE("a value that ran twice is reported") {
  FullHistory H = correctHistory();
  H.Logs[0].Entries.push_back({{1, 2}, "id-a", {"a"}});
  CHECK(checkAtMostOnce(H).size() == 1);
}

// Guards against a durability checker that overlooks an acknowledged write that
// a promotion lost.
TEST_CASE("a lost replicated write is reported") {
  FullHistory H = correctHistory();
  H.Logs[0].Entries.clear();
  CHECK(checkDurable(H).size() == 1);
}

// Guards against a fencing checker that overlooks an acknowledgement from a
// former primary, or reports a write that started before the term was raised.
TEST_CASE("an acknowledgement after a raised term is reported") {
  FullHistory H = correctHistory();
  H.Raises = {{"orders", 2, -5}};
  CHECK(checkFenced(H).size() == 1);
  H.Raises = {{"orders", 2, 5}};
  CHECK(checkFenced(H).empty());
}

// Guards against an answer checker that overlooks swapped answers.
TEST_CASE("an answer to another request is reported") {
  FullHistory H = correctHistory();
  H.Operations[0].AnsweredId = "id-b";
  H.Operations[0].List = {"a", "b"};
  CHECK(checkAnswers(H).size() == 2);
}

// Guards against a checker that overlooks a write that ran although it was
// refused.
TEST_CASE("a refused write in the log is reported") {
  FullHistory H = correctHistory();
  H.Operations[0].Outcome = OperationOutcome::Refused;
  CHECK(checkNotRun(H).size() == 1);
}

// Guards against a transaction checker that overlooks mixed or partial
// transactions.
TEST_CASE("mixed or partial transactions are reported") {
  FullHistory H;
  for (const char *Value : {"t1-a", "t1-b", "t2-a"}) {
    Operation Op = append(1, Value, 0);
    Op.Transaction = std::string(Value, 2);
    H.Operations.push_back(Op);
  }
  H.Logs = {
      {"orders", {{{1, 1}, "t1", {"t1-a", "t2-a"}}, {{1, 2}, "t1", {"t1-b"}}}}};
  CHECK(checkTransactions(H).size() == 2);
}

// Guards against a staleness checker that overlooks a read beyond its bound, or
// reports a read within it.
TEST_CASE("a read beyond its staleness bound is reported") {
  FullHistory H = correctHistory();
  H.Operations[1] = readOp(2, {}, 1000);
  H.Operations[1].StalenessMicros = 500;
  CHECK(checkStaleness(H).size() == 1);
  H.Operations[1].StalenessMicros = 2000;
  CHECK(checkStaleness(H).empty());
}

// Guards against a version checker that overlooks a configuration that went
// back.
TEST_CASE("an older configuration version is reported") {
  FullHistory H;
  H.Versions = {{"p1", 3}, {"p2", 1}, {"p1", 2}};
  CHECK(checkVersions(H).size() == 1);
}
