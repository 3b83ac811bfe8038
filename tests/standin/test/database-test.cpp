#include "database.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;
using namespace eelgrassloom::standin;
using namespace eelgrassloom::upstream::v1;

namespace {

std::string append(const std::string &Key, const std::string &Item) {
  v1::Statement S;
  S.set_key(Key);
  S.set_append(Item);
  return S.SerializeAsString();
}

std::string get(const std::string &Key) {
  v1::Statement S;
  S.set_key(Key);
  S.set_get(true);
  return S.SerializeAsString();
}

ServerFrame write(Database &Db, std::uint64_t Term, const std::string &Item,
                  const std::string &RequestId = "") {
  Execute E;
  E.set_write(true);
  E.set_term(Term);
  E.set_statement(append("k", Item));
  E.set_request_id(RequestId);
  E.set_issued_at_ms(1000);
  return Db.write(E, 1000);
}

std::string content(const Database &Db) {
  Execute E;
  E.set_statement(get("k"));
  v1::Value V;
  V.ParseFromString(Db.read(E).result());
  std::string Text;
  for (const std::string &Item : V.list())
    Text += Item;
  return Text;
}

Position at(std::uint64_t Term, std::uint64_t Index) {
  Position P;
  P.set_term(Term);
  P.set_index(Index);
  return P;
}

bool replicate(Database &Replica, const Database &Primary) {
  v1::PullRequest Request;
  std::string Address;
  return Replica.nextPull(Request, Address) &&
         Replica.replicate(Request.term(),
                           Primary.pull(Request, monotonicUs()));
}

void elect(Database &Db, std::uint64_t Term) {
  REQUIRE(Db.raiseTerm(Term, "c").code() == CODE_OK);
  REQUIRE(Db.promote(Term, "c").code() == CODE_OK);
}

} // namespace

// Guards against two candidates that both win the same term because a server
// accepts the term from each of them.
TEST_CASE("a term is raised for one candidate and never lowered") {
  Database Db("a");
  CHECK(Db.raiseTerm(3, "x").code() == CODE_OK);
  CHECK(Db.raiseTerm(3, "x").code() == CODE_OK);
  CHECK(Db.raiseTerm(3, "y").code() == CODE_STALE_TERM);
  CHECK(Db.raiseTerm(2, "x").code() == CODE_STALE_TERM);
  CHECK(Db.status().raised_term() == 3);
  CHECK(Db.promote(3, "y").code() != CODE_OK);
  CHECK(Db.promote(4, "x").code() != CODE_OK);
  CHECK(Db.promote(3, "x").code() == CODE_OK);
  CHECK(Db.promote(3, "x").code() == CODE_OK);
  CHECK(Db.log().size() == 1);
}

// Guards against a second primary in a term: a replica of the term that is
// promoted in it.
TEST_CASE("a replica of a term can't be promoted in it, nor its primary "
          "follow") {
  Database Db("a");
  Db.raiseTerm(2, "x");
  CHECK(Db.follow(2, "p").code() == CODE_OK);
  CHECK(Db.promote(2, "x").code() == CODE_ERROR);
  Database Primary("p");
  elect(Primary, 2);
  CHECK(Primary.follow(2, "a").code() == CODE_ERROR);
  CHECK(Primary.follow(1, "a").code() == CODE_STALE_TERM);
}

// Guards against a former primary that still acknowledges writes after a higher
// term was raised.
TEST_CASE("a raised term rejects writes, commits, replication and "
          "confirmations of lower terms") {
  Database Primary("p");
  elect(Primary, 1);
  Database Replica("f");
  Replica.follow(1, "p");
  REQUIRE(write(Primary, 1, "a").code() == CODE_OK);
  REQUIRE(replicate(Replica, Primary));
  CHECK(Replica.confirm(1, at(1, 2)).code() == CODE_OK);
  CHECK(write(Primary, 2, "b").code() == CODE_NOT_PRIMARY);
  CHECK(write(Replica, 1, "b").code() == CODE_NOT_PRIMARY);

  Transaction T;
  Begin B;
  B.set_write(true);
  B.set_term(1);
  REQUIRE(Primary.begin(B, T).code() == CODE_OK);
  REQUIRE(write(Primary, 1, "b").code() == CODE_OK);
  v1::PullRequest Request;
  std::string Address;
  REQUIRE(Replica.nextPull(Request, Address));
  v1::PullAnswer Late = Primary.pull(Request, monotonicUs());
  REQUIRE(Late.entries_size() == 1);

  REQUIRE(Replica.raiseTerm(2, "c").code() == CODE_OK);
  CHECK_FALSE(Replica.replicate(1, Late));
  CHECK_FALSE(Replica.nextPull(Request, Address));
  CHECK(Replica.status().applied().index() == 2);
  CHECK(Replica.confirm(1, at(1, 2)).code() == CODE_STALE_TERM);

  REQUIRE(Primary.raiseTerm(2, "c").code() == CODE_OK);
  CHECK(write(Primary, 1, "c").code() == CODE_STALE_TERM);
  CHECK(Primary.commit(T, {}, 1000).code() == CODE_STALE_TERM);
  CHECK(Primary.confirm(1, {}).code() == CODE_STALE_TERM);
  CHECK(Primary.pull(Request, monotonicUs()).code() == CODE_STALE_TERM);
  CHECK(Primary.confirm(3, {}).code() == CODE_BEHIND);
}

// Guards against entries that a promotion discarded but that stay visible at
// the former primary.
TEST_CASE("a replica truncates its log to the common history and rebuilds its "
          "state") {
  Database Old("o");
  elect(Old, 1);
  Database New("n");
  New.follow(1, "o");
  write(Old, 1, "a", "id-a");
  REQUIRE(replicate(New, Old));
  REQUIRE(write(Old, 1, "x", "id-x").position().index() == 3);
  write(Old, 1, "y");
  elect(New, 2);
  REQUIRE(write(New, 2, "b").position().index() == 4);
  REQUIRE(content(Old) == "axy");

  REQUIRE(Old.follow(2, "n").code() == CODE_OK);
  REQUIRE(replicate(Old, New));
  CHECK(content(Old) == "ab");
  CHECK(Old.status().applied().term() == 2);
  CHECK(Old.status().history_size() == 2);
  CHECK(Old.holds(at(1, 2)) == CODE_OK);
  CHECK(Old.holds(at(1, 3)) == CODE_POSITION_LOST);
  CHECK(Old.holds(at(2, 2)) == CODE_POSITION_LOST);
  CHECK(Old.holds(at(2, 4)) == CODE_OK);
  CHECK(Old.holds(at(2, 5)) == CODE_BEHIND);
  CHECK(Old.holds(at(3, 1)) == CODE_BEHIND);
  // The record of the request was discarded together with its effect, so the
  // retry runs once in the new history.
  elect(Old, 3);
  ServerFrame Retry = write(Old, 3, "x", "id-x");
  CHECK_FALSE(Retry.recorded());
  CHECK(write(Old, 3, "x", "id-x").recorded());
  CHECK(content(Old) == "abx");
  CHECK(write(Old, 3, "a", "id-a").position().index() == 2);
}

// Guards against a position of a term that did not survive being reported as
// held by a server whose history never had that term.
TEST_CASE("a position of a term that the history skips is lost") {
  Database Db("a");
  elect(Db, 1);
  write(Db, 1, "a");
  elect(Db, 3);
  CHECK(Db.holds(at(2, 3)) == CODE_POSITION_LOST);
  CHECK(Db.holds(at(2, 1)) == CODE_POSITION_LOST);
  CHECK(Db.confirm(3, at(2, 3)).code() == CODE_POSITION_LOST);
}

// Guards against a write that runs although the promotion lost the position
// that its session has seen, and against a retry that is refused for that
// reason although the answer of its first run is recorded.
TEST_CASE("a write whose minimum position was lost does not run") {
  Database Db("a");
  elect(Db, 1);
  write(Db, 1, "a", "id");
  elect(Db, 2);
  Execute E;
  E.set_write(true);
  E.set_term(2);
  E.set_statement(append("k", "b"));
  E.set_request_id("other");
  E.set_issued_at_ms(1000);
  *E.mutable_min_position() = at(1, 3);
  CHECK(Db.write(E, 1000).code() == CODE_POSITION_LOST);
  CHECK(content(Db) == "a");
  E.set_request_id("id");
  E.set_statement(append("k", "a"));
  CHECK(Db.write(E, 1000).recorded());
  E.set_statement(append("k", "b"));
  E.set_request_id("other");
  *E.mutable_min_position() = at(1, 2);
  CHECK(Db.write(E, 1000).code() == CODE_OK);
  CHECK(content(Db) == "ab");
}

// Guards against a history that names terms of which the promoted log has no
// entry.
TEST_CASE("a lagging replica that is promoted drops terms it has not "
          "reached") {
  Database First("f");
  elect(First, 1);
  write(First, 1, "a");
  elect(First, 2);
  write(First, 2, "b");
  Database Lagging("l");
  Lagging.follow(2, "f");
  v1::PullRequest Request;
  std::string Address;
  REQUIRE(Lagging.nextPull(Request, Address));
  v1::PullAnswer Answer = First.pull(Request, monotonicUs());
  REQUIRE(Answer.entries_size() == 4);
  Answer.mutable_entries()->DeleteSubrange(1, 3);
  REQUIRE(Lagging.replicate(2, Answer));
  CHECK(Lagging.status().history_size() == 2);
  elect(Lagging, 3);
  REQUIRE(Lagging.status().history_size() == 2);
  CHECK(Lagging.status().history(1).term() == 3);
  CHECK(Lagging.status().history(1).start() == 1);
  CHECK(Lagging.holds(at(2, 3)) == CODE_POSITION_LOST);
  CHECK(Lagging.holds(at(1, 2)) == CODE_POSITION_LOST);
}

// Guards against a retry that runs a request a second time, and against running
// a request whose id has expired.
TEST_CASE("a request id runs once, also after replication and a promotion") {
  Database Primary("p");
  elect(Primary, 1);
  Database Replica("f");
  Replica.follow(1, "p");
  ServerFrame First = write(Primary, 1, "a", "id");
  REQUIRE(replicate(Replica, Primary));
  elect(Replica, 2);
  ServerFrame Retry = write(Replica, 2, "a", "id");
  CHECK(Retry.recorded());
  CHECK(Retry.result() == First.result());
  CHECK(Retry.position().term() == 1);
  CHECK(content(Replica) == "a");

  Execute Late;
  Late.set_write(true);
  Late.set_term(2);
  Late.set_statement(append("k", "a"));
  Late.set_request_id("id");
  Late.set_issued_at_ms(1000);
  CHECK(Replica.write(Late, 1001 + Replica.RetentionMs).code() ==
        CODE_ID_EXPIRED);
  CHECK(content(Replica) == "a");
}

// Guards against transactions that see each other's uncommitted writes or that
// commit only in part.
TEST_CASE("a transaction sees its own writes and commits in one entry or not "
          "at all") {
  Database Db("a");
  elect(Db, 1);
  Begin B;
  B.set_write(true);
  B.set_term(1);
  Transaction One;
  Transaction Two;
  Db.begin(B, One);
  Db.begin(B, Two);
  Execute E;
  E.set_statement(append("k", "1"));
  v1::Value V;
  Db.run(One, E);
  V.ParseFromString(Db.run(One, E).result());
  CHECK(V.list_size() == 2);
  E.set_statement(append("k", "2"));
  V.ParseFromString(Db.run(Two, E).result());
  CHECK(V.list_size() == 1);
  CHECK(content(Db).empty());
  Commit C;
  C.set_request_id("one");
  C.set_issued_at_ms(1000);
  REQUIRE(Db.commit(One, C, 1000).code() == CODE_OK);
  CHECK(content(Db) == "11");
  CHECK(Db.log().size() == 2);
  CHECK(Db.commit(Two, {}, 1000).code() == CODE_ERROR);
  CHECK(Db.commit(One, C, 1000).recorded());
  CHECK(content(Db) == "11");
}

// Guards against a restarted server that has lost a raised term or a log entry.
TEST_CASE("the journal restores log, terms and records") {
  std::vector<v1::JournalRecord> Journal;
  Database Db("a", [&](const auto &R) { Journal.push_back(R); });
  elect(Db, 1);
  write(Db, 1, "a", "id");
  Database New("n");
  elect(New, 2);
  Db.follow(2, "n");
  REQUIRE(replicate(Db, New));
  elect(Db, 5);
  write(Db, 5, "b", "id");
  Database Restored("a");
  for (const auto &R : Journal)
    Restored.restore(R);
  CHECK(Restored.status().SerializeAsString() ==
        Db.status().SerializeAsString());
  CHECK(content(Restored) == "b");
  CHECK(write(Restored, 5, "b", "id").recorded());
}

// Guards against a caller who gets the answer of another caller, because both
// chose the same request id.
TEST_CASE("a request id of another request is an error") {
  Database Db("a");
  elect(Db, 1);
  write(Db, 1, "a", "id");
  CHECK(write(Db, 1, "b", "id").code() == CODE_ID_REUSED);
  Execute E;
  E.set_write(true);
  E.set_term(1);
  E.set_statement(append("k", "a"));
  E.set_request_id("id");
  E.set_issued_at_ms(1001);
  CHECK(Db.write(E, 1001).code() == CODE_ID_REUSED);
  Begin B;
  B.set_write(true);
  B.set_term(1);
  Transaction T;
  Db.begin(B, T);
  E.set_statement(append("k", "c"));
  Db.run(T, E);
  Commit C;
  C.set_request_id("id");
  C.set_issued_at_ms(1001);
  CHECK(Db.commit(T, C, 1001).code() == CODE_ID_REUSED);
  CHECK(content(Db) == "a");
  // The statements of a transaction that is tried again may differ, because
  // they may depend on what it read.
  C.set_request_id("commit");
  CHECK(Db.commit(T, C, 1001).code() == CODE_OK);
  Db.begin(B, T);
  E.set_statement(append("k", "d"));
  Db.run(T, E);
  CHECK(Db.commit(T, C, 1001).recorded());
  CHECK(content(Db) == "ac");
}
