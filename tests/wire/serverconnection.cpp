#include "serverconnection.h"
#include <boost/asio/write.hpp>
#include <charconv>

namespace eelgrassloom::wiretest {

using namespace std::chrono_literals;

namespace {

constexpr Duration StatementTime = 1ms;
/// Longest time between an answer and its repetition.
constexpr unsigned MaxRepeatMillis = 200;

std::string positionText(std::uint64_t Number) {
  return "1." + std::to_string(Number);
}

} // namespace

void ServerConnection::read() {
  Socket.async_read_some(
      platform::asio::buffer(Buffer),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        if (Error) {
          Self->close();
          return;
        }
        Self->Input.append({Self->Buffer.data(), Bytes});
        while (auto Line = Self->Input.next())
          Self->Lines.push_back(std::move(*Line));
        Self->processNext();
        if (Self->Socket.is_open())
          Self->read();
      });
}

void ServerConnection::close() {
  error_code Ignored; // The socket is discarded in any case.
  Socket.close(Ignored);
  Pending.clear();
}

void ServerConnection::processNext() {
  if (Busy || Lines.empty())
    return;
  Busy = true;
  runAfter(Parent.Loop, StatementTime, [Self = shared_from_this()] {
    Self->Busy = false;
    if (!Self->Socket.is_open())
      return;
    std::string Line = std::move(Self->Lines.front());
    Self->Lines.pop_front();
    Self->run(Line);
    Self->processNext();
  });
}

void ServerConnection::run(const std::string &Line) {
  if (Line.find(soak::KeyMarker) != std::string::npos)
    Parent.Checks.fail(Line, "KEY", "a server got a key");
  std::string_view Rest = Line;
  std::string_view Word = takeField(Rest);
  if (Line.size() > MaxLineBytes) {
    std::string Key(takeField(Rest));
    Parent.Checks.fail(Key, "TOOBIG",
                       std::to_string(Line.size()) +
                           " bytes: " + printable(Rest));
    close();
    return;
  }
  if (Word == "START") {
    start(Rest);
    return;
  }
  std::string Id(takeField(Rest));
  if (Word != "QUERY" || Id.empty() || ClientName.empty()) {
    Parent.Checks.fail(Line, "UNASKED", "a server got a line that is no query");
    close();
    return;
  }
  std::string_view Text = Rest;
  std::string_view First = takeField(Rest);
  if (First == "AFTER") {
    std::string_view Position = takeField(Rest);
    std::string_view Number = Position.substr(Position.find('.') + 1);
    std::uint64_t Wanted = 0;
    std::from_chars(Number.data(), Number.data() + Number.size(), Wanted);
    if (Wanted > Parent.Shared.Commits) {
      answerError("LAGGING");
      return;
    }
    Text = Rest;
  }
  if (Id == "-") {
    runOwn(Text);
    return;
  }
  Parent.Shared.Senders.insert(ClientName);
  if (StatementRef S = Parent.Checks.find(Id)) {
    runData(*S, Text);
    return;
  }
  Parent.Checks.fail(Line, "UNASKED", "a server got an id that no caller sent");
  answerError("MALFORMED");
}

void ServerConnection::start(std::string_view Rest) {
  takeField(Rest);
  ClientName = takeField(Rest);
  bool Expected = Rest.empty() || Rest == Parent.Id;
  if (Expected)
    send(encodeAnswer(completed({})), false);
  else
    send("ERR WRONGNODE -\r\n", false);
}

void ServerConnection::runOwn(std::string_view Text) {
  std::string_view Rest = Text;
  std::string_view Word = takeField(Rest);
  Answer Ok;
  Ok.Signature = "-";
  if (Text == "BEGIN" || Text == "BEGIN READ") {
    if (InTransaction || (Text == "BEGIN" && !Parent.IsPrimary)) {
      answerError(InTransaction ? "MALFORMED" : "READONLY");
      return;
    }
    InTransaction = true;
    ReadOnly = Text != "BEGIN";
  } else if (Text == "ROLLBACK") {
    finishTransaction();
  } else if (Text == "RESET") {
    Values.clear();
    Prepared.clear();
  } else if (Text == "STATUS") {
    std::string At = positionText(Parent.Shared.Commits);
    Ok.Rows.push_back((Parent.IsPrimary ? "primary 1 " : "replica 1 ") + At +
                      " 1 0 1 2");
  } else {
    runSetup(Word, Rest);
    return;
  }
  answerOwn(std::move(Ok));
}

void ServerConnection::runSetup(std::string_view Word, std::string_view Rest) {
  Answer Ok;
  Ok.Signature = "-";
  std::string Name(takeField(Rest));
  if (Word == "SET") {
    Values[Name] = Rest;
  } else if (Word == "PREPARE") {
    std::string_view Mode = takeField(Rest);
    if (Name.empty() || (Mode != "READ" && Mode != "WRITE")) {
      Parent.Checks.fail("PREPARE " + Name, "UNASKED",
                         "PREPARE with the mode " + printable(Mode));
      answerError("MALFORMED");
      return;
    }
    Prepared[Name] = {Mode == "WRITE", std::string(Rest)};
  } else if (Word == "DEALLOC") {
    Prepared.erase(Name);
  } else {
    Parent.Checks.fail(std::string(Word) + " " + Name, "UNASKED",
                       "a server got a text that is no statement");
    answerError("MALFORMED");
    return;
  }
  answerOwn(std::move(Ok));
}

void ServerConnection::runData(Statement &S, std::string_view Text) {
  bool Writes =
      S.Kind == TextKind::Write || (S.Kind == TextKind::Execute && S.Writes);
  std::string_view Rest = Text;
  if (takeField(Rest) == "EXEC" &&
      Prepared.count(std::string(takeField(Rest))) == 0) {
    answerError("NOSTMT");
    return;
  }
  checkText(S, Text);
  checkSession(S);
  checkCustomer(S);
  if (!isData(S.Kind)) {
    runOwn(Text);
    return;
  }
  if (Failed && S.Kind != TextKind::Commit) {
    answerError("MALFORMED");
    return;
  }
  if (Writes && (!Parent.IsPrimary || ReadOnly)) {
    answerError("READONLY");
    return;
  }
  // A server that refuses a commit as busy has not run it.
  if (S.Kind == TextKind::Commit && S.Plan.Code != "BUSY")
    commit();
  if (Writes && S.Plan.Code.empty())
    applyWrites(Parent.Checks.find(S.Id));
  if (!S.Plan.Code.empty())
    Failed = InTransaction;
  answerData(S);
}

void ServerConnection::checkText(const Statement &S, std::string_view Text) {
  std::string_view Rest = Text;
  if (S.Kind != TextKind::Execute) {
    if (Text != S.Text)
      Parent.Checks.fail(S.Id, "UNASKED",
                         "a server ran " + printable(Text) + " instead of " +
                             printable(S.Text));
    return;
  }
  std::string_view Word = takeField(Rest);
  std::string Name(takeField(Rest));
  auto It = Prepared.find(Name);
  bool Same = Word == "EXEC" && It != Prepared.end() &&
              It->second.Writes == S.Writes && It->second.Shape == S.Shape &&
              Rest == S.Arguments;
  if (Same)
    return;
  std::string Shape = It == Prepared.end() ? "none" : It->second.Shape;
  Parent.Checks.fail(S.Id, "UNASKED",
                     "a server ran " + printable(Text) + " with the shape " +
                         printable(Shape) + " instead of " + printable(S.Text) +
                         " with " + printable(S.Shape));
}

void ServerConnection::checkSession(const Statement &S) {
  if (Values != S.Values) {
    std::string Set;
    for (const auto &[Name, Value] : Values)
      Set.append(Name).append("=").append(Value).append(";");
    Parent.Checks.fail(S.Id, "PINNED",
                       "runs with the values " + printable(Set));
  }
  if (InTransaction != (S.Transaction != 0) ||
      (Transaction != 0 && Transaction != S.Transaction))
    Parent.Checks.fail(S.Id, "PINNED", "runs in another transaction");
  if (InTransaction)
    Transaction = S.Transaction;
}

void ServerConnection::checkCustomer(const Statement &S) {
  const soak::CustomerLedger &Customers = Parent.Checks.Customers;
  if (Customers.Customers.empty())
    return;
  std::string Problem;
  if (!S.Public)
    Problem = Customers.problem(S.Key, ClientName, soak::now());
  else if (Customers.isCustomer(ClientName))
    Problem = "runs as " + ClientName + " for a public route";
  if (!Problem.empty())
    Parent.Checks.fail(S.Id, "KEY", Problem);
}

void ServerConnection::applyWrites(const StatementRef &S) {
  Pending.push_back(S);
  if (!InTransaction)
    commit();
}

void ServerConnection::commit() {
  if (!Pending.empty() && !Failed)
    ++Parent.Shared.Commits;
  if (!Failed)
    for (const StatementRef &S : Pending)
      ++S->Applied;
  finishTransaction();
}

void ServerConnection::finishTransaction() {
  InTransaction = ReadOnly = Failed = false;
  Transaction = 0;
  Pending.clear();
}

Answer ServerConnection::completed(Answer A) const {
  A.State = Failed ? 'E' : InTransaction ? 'T' : 'I';
  A.Position = positionText(Parent.Shared.Commits);
  return A;
}

void ServerConnection::answerData(Statement &S) {
  Answer A;
  if (!S.Plan.Code.empty()) {
    A.Code = S.Plan.Code;
    A.ErrorText = S.Plan.ErrorText;
  } else {
    A.Rows = S.Plan.Rows;
    if (A.Rows.empty() && !S.Plan.NoRows)
      A.Rows.push_back("row of " + S.Id);
    A.Signature = Parent.Checks.nextSignature() + S.Plan.SignatureEnd;
    if (S.Plan.UnsignedRuns != 0) {
      --S.Plan.UnsignedRuns;
      A.Signature = "-";
    }
  }
  S.Sent.push_back(A);
  answer(std::move(A), S.Plan.RepeatAfter, S.Plan.SingleBytes);
}

void ServerConnection::answerOwn(Answer A) {
  std::optional<std::chrono::milliseconds> RepeatAfter;
  if (Parent.Shared.Random() % 100 < Parent.Shared.RepeatedOwnAnswers)
    RepeatAfter = std::chrono::milliseconds(Parent.Shared.Random() %
                                            (MaxRepeatMillis + 1));
  answer(std::move(A), RepeatAfter);
}

void ServerConnection::answerError(std::string_view Code) {
  Answer A;
  A.Code = Code;
  A.ErrorText = "-";
  Failed = InTransaction;
  answerOwn(std::move(A));
}

void ServerConnection::answer(
    Answer A, std::optional<std::chrono::milliseconds> RepeatAfter,
    bool SingleBytes) {
  std::string Bytes = encodeAnswer(completed(std::move(A)));
  send(Bytes, SingleBytes);
  if (RepeatAfter)
    runAfter(Parent.Loop, *RepeatAfter, [Self = shared_from_this(), Bytes] {
      if (Self->Socket.is_open())
        Self->send(Bytes, false);
    });
}

void ServerConnection::send(const std::string &Bytes, bool SingleBytes) {
  error_code Ignored; // A broken socket also fails the pending read.
  if (!SingleBytes) {
    platform::asio::write(Socket, platform::asio::buffer(Bytes), Ignored);
    return;
  }
  for (char C : Bytes)
    platform::asio::write(Socket, platform::asio::buffer(&C, 1), Ignored);
}

} // namespace eelgrassloom::wiretest
