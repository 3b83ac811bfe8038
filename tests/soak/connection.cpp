// The connections of the soak's database servers and the checks of what they
// run.

#include "connection.h"
#include "samples.h"
#include <boost/asio/write.hpp>

namespace eelgrassloom::soak {

namespace {

/// While a server repeats answers, it repeats one in this many.
constexpr unsigned RepeatInterval = 4;
/// Longest time between an answer and its repetition.
constexpr unsigned MaxRepeatMillis = 200;
/// Longest random row in bytes.
constexpr std::size_t MaxRowBytes = 40;

std::string positionText(const Position &P) {
  return std::to_string(P.Term) + "." + std::to_string(P.Index);
}

} // namespace

void Connection::read() {
  Socket.async_read_some(
      platform::asio::buffer(Buffer),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        if (Error || !Self->Parent->Up) {
          Self->close();
          return;
        }
        if (Self->Parent->Mode != NetworkMode::DropAll)
          Self->Input.append({Self->Buffer.data(), Bytes});
        Self->processLines();
        Self->read();
      });
}

void Connection::close() {
  error_code Ignored;
  Socket.close(Ignored);
  Parent->OpenConnections.erase(shared_from_this());
}

void Connection::processLines() {
  while (auto Line = Input.next()) {
    std::string_view Rest = *Line;
    if (wiretest::takeField(Rest) == "QUERY") {
      std::string Id(wiretest::takeField(Rest));
      Parent->TestOracle.Received[Id] = ClientName;
      checkCustomer(Id);
    }
    if (Line->find(KeyMarker) != std::string::npos)
      Parent->TestOracle.Violations.push_back(
          {"KEY", "at a server: " + wiretest::printable(*Line), 0});
    runAfter(Parent->Loop, Parent->StatementTime,
             [Self = shared_from_this(), Line = *Line] {
               if (Self->Parent->Up && Self->Socket.is_open())
                 Self->run(Line);
             });
  }
}

void Connection::send(const std::string &Text) {
  if (Parent->Mode != NetworkMode::Normal)
    return;
  error_code Ignored; // A broken socket also fails the pending read.
  platform::asio::write(Socket, platform::asio::buffer(Text), Ignored);
}

void Connection::sendReply(wiretest::Answer A) {
  A.State = InTransaction ? 'T' : 'I';
  A.Position = positionText(Parent->position());
  std::string Bytes = wiretest::encodeAnswer(A);
  send(Bytes);
  std::mt19937_64 &Random = Parent->TestOracle.Random;
  if (!Parent->RepeatsAnswers || Random() % RepeatInterval != 0)
    return;
  auto Delay = std::chrono::milliseconds(Random() % (MaxRepeatMillis + 1));
  runAfter(Parent->Loop, Delay, [Self = shared_from_this(), Bytes] {
    if (Self->Socket.is_open())
      Self->send(Bytes);
  });
}

void Connection::sendDone(std::vector<std::string> Rows) {
  wiretest::Answer A;
  A.Rows = std::move(Rows);
  A.Signature = "-";
  sendReply(std::move(A));
}

void Connection::sendError(const char *Code) {
  wiretest::Answer A;
  A.Code = Code;
  A.ErrorText = "-";
  sendReply(std::move(A));
}

void Connection::sendSigned(const std::string &Id, const std::string &Signature,
                            std::vector<std::string> Rows) {
  Parent->TestOracle.Answers[Signature] = {Id, Rows};
  wiretest::Answer A;
  A.Signature = Signature;
  A.Rows = std::move(Rows);
  if (Parent->TestOracle.Planted == PlantedFault::Rows && !A.Rows.empty())
    A.Rows.back() += "x";
  sendReply(std::move(A));
}

std::string Connection::newSignature() {
  Oracle &O = Parent->TestOracle;
  std::string Signature = "s" + std::to_string(O.NextSignature++);
  if (O.Random() % 2 == 0)
    Signature += wiretest::randomLastField(O.Random, MaxRowBytes);
  return Signature;
}

void Connection::run(const std::string &Line) {
  std::string_view Rest = Line;
  std::string_view Word = wiretest::takeField(Rest);
  if (Word == "START") {
    start(Rest);
    return;
  }
  std::string Id(wiretest::takeField(Rest));
  if (Word != "QUERY" || Id.empty()) {
    Parent->TestOracle.Violations.push_back(
        {"UNASKED", "a line that is no query: " + wiretest::printable(Line),
         0});
    close();
    return;
  }
  std::string_view Text = Rest;
  if (wiretest::takeField(Rest) == "AFTER") {
    auto P = wiretest::parsePosition(wiretest::takeField(Rest));
    if (!P || P->first > Parent->Term || P->second > Parent->Log.size()) {
      sendError("LAGGING");
      return;
    }
    Text = Rest;
  }
  if (Id == "-")
    runOwn(Text);
  else
    runStatement(Id, Text);
}

void Connection::start(std::string_view Rest) {
  wiretest::takeField(Rest);
  ClientName = wiretest::takeField(Rest);
  if (Parent->TestOracle.Planted == PlantedFault::Customer)
    ClientName += "x";
  if (Rest != Parent->Id)
    send("ERR WRONGNODE -\r\n");
  else
    sendReply({});
}

void Connection::runOwn(std::string_view Text) {
  std::string_view Rest = Text;
  std::string_view Word = wiretest::takeField(Rest);
  if (Text == "BEGIN" || Text == "BEGIN READ") {
    begin(Text != "BEGIN");
    return;
  }
  if (Text == "STATUS") {
    sendDone({(Parent->IsPrimary ? "primary " : "replica ") +
              std::to_string(Parent->Term) + " " +
              positionText(Parent->position()) + " 0 0 0 0"});
    return;
  }
  std::string Name(wiretest::takeField(Rest));
  if (Text == "RESET") {
    SessionValues.clear();
    Prepared.clear();
  } else if (Text == "ROLLBACK") {
    InTransaction = false;
    Pending.clear();
  } else if (Word == "SET") {
    if (Parent->TestOracle.Planted != PlantedFault::Values)
      SessionValues[Name] = Rest;
  } else if (Word == "PREPARE") {
    std::string_view Mode = wiretest::takeField(Rest);
    if (Mode != "READ" && Mode != "WRITE") {
      sendError("MALFORMED");
      return;
    }
    Prepared[Name] = {Mode == "WRITE", std::string(Rest)};
  } else if (Word == "DEALLOC") {
    Prepared.erase(Name);
  } else {
    // Only a caller reads, writes or commits.
    Parent->TestOracle.Violations.push_back(
        {"UNASKED", "without id: " + wiretest::printable(Text), 0});
    sendError("MALFORMED");
    return;
  }
  sendDone();
}

void Connection::begin(bool ReadOnly) {
  if (!ReadOnly && !Parent->IsPrimary) {
    sendError("READONLY");
    return;
  }
  InTransaction = true;
  Pending.clear();
  sendDone();
}

void Connection::runStatement(const std::string &Id, std::string_view Text) {
  std::string_view Arguments = Text;
  std::string_view Word = wiretest::takeField(Arguments);
  std::string Name;
  if (Word == "EXEC") {
    Name = wiretest::takeField(Arguments);
    auto It = Prepared.find(Name);
    if (It == Prepared.end()) {
      sendError("NOSTMT");
      return;
    }
    Word = It->second.Writes ? "WRITE" : "READ";
    Text = Arguments;
  }
  if (!checkStatement(Id, Text, Name)) {
    sendError("MALFORMED");
    return;
  }
  if (Word == "READ")
    readItem(Id, std::string(Arguments));
  else if (Word == "WRITE")
    writeItem(Id, Arguments);
  else if (Word == "COMMIT")
    commit(Id);
  else
    sendError("MALFORMED");
}

void Connection::checkCustomer(const std::string &Id) {
  Oracle &O = Parent->TestOracle;
  auto It = O.Statements.find(Id);
  if (O.Customers.Customers.empty() || It == O.Statements.end())
    return;
  const SentStatement &S = It->second;
  std::string Problem = O.Customers.problem(S.Key, ClientName, now());
  if (!Problem.empty())
    O.Violations.push_back(
        {"KEY", wiretest::printable(Id) + " with " + S.Key + " " + Problem, 0});
  if (O.ReachedOperations.insert(S.Operation).second)
    O.OperationTimes[ClientName].push_back(now());
}

bool Connection::checkStatement(const std::string &Id, std::string_view Text,
                                const std::string &Name) {
  Oracle &O = Parent->TestOracle;
  auto It = O.Statements.find(Id);
  bool Unasked = It == O.Statements.end() || It->second.Text != Text;
  if (Unasked)
    O.Violations.push_back(
        {"UNASKED", wiretest::printable(Id) + " " + wiretest::printable(Text),
         0});
  if (It == O.Statements.end())
    return false;
  std::optional<PreparedStatement> Runs;
  if (!Name.empty())
    Runs = Prepared[Name];
  if (Runs != It->second.Prepared)
    O.Violations.push_back(
        {"PINNED",
         wiretest::printable(Id) + " runs as " +
             wiretest::printable(Runs ? Runs->Shape : "no prepared statement"),
         0});
  return true;
}

void Connection::checkSession(const std::string &Id,
                              const std::string &Signature) {
  Oracle &O = Parent->TestOracle;
  if (SessionValues != O.Statements[Id].SessionValues)
    O.PotentialViolations[Signature] = {
        "PINNED", wiretest::printable(Id) + " runs with other values", 0};
}

void Connection::readItem(const std::string &Id, const std::string &Item) {
  std::string Signature = newSignature();
  checkRead(Id, Signature);
  checkSession(Id, Signature);
  std::vector<std::string> Rows = {"none"};
  for (const Commit &C : Parent->Log)
    if (auto It = C.Writes.find(Item); It != C.Writes.end())
      Rows[0] = It->second;
  std::mt19937_64 &Random = Parent->TestOracle.Random;
  for (std::uint64_t More = Random() % 3; More != 0; --More)
    Rows.push_back(wiretest::randomLastField(Random, MaxRowBytes));
  sendSigned(Id, Signature, std::move(Rows));
}

void Connection::checkRead(const std::string &Id,
                           const std::string &Signature) {
  auto It = Parent->TestOracle.Reads.find(Id);
  auto &PotentialViolations = Parent->TestOracle.PotentialViolations;
  if (It == Parent->TestOracle.Reads.end()) {
    Parent->TestOracle.Violations.push_back(
        {"UNASKED", wiretest::printable(Id), 0});
    return;
  }
  const ReadContext &R = It->second;
  for (CommitId Own : R.OwnCommits)
    if (Parent->CommitIds.count(Own) == 0)
      PotentialViolations[Signature] = {
          "STALE",
          wiretest::printable(Id) + " lacks a commit of its session on " +
              Parent->Id,
          Own};
  for (const auto &[At, Commit] : Parent->TestOracle.Acknowledged)
    if (At < R.Start - R.Bound && Parent->CommitIds.count(Commit) == 0)
      PotentialViolations[Signature] = {
          "STALE",
          wiretest::printable(Id) + " lacks an acknowledged commit on " +
              Parent->Id,
          Commit};
}

void Connection::writeItem(const std::string &Id, std::string_view Arguments) {
  if (!Parent->IsPrimary) {
    sendError("READONLY");
    return;
  }
  std::string Item(wiretest::takeField(Arguments));
  Pending[Item] = Arguments;
  if (!InTransaction) {
    commit(Id);
    return;
  }
  std::string Signature = newSignature();
  checkSession(Id, Signature);
  sendSigned(Id, Signature);
}

void Connection::commit(const std::string &Id) {
  if (!Parent->IsPrimary && !Pending.empty()) {
    InTransaction = false;
    Pending.clear();
    sendError("READONLY");
    return;
  }
  InTransaction = false;
  std::string Signature = newSignature();
  checkSession(Id, Signature);
  if (!Pending.empty()) {
    Commit C{Parent->TestOracle.NextCommit++, Parent->Term, std::move(Pending),
             now()};
    Pending.clear();
    for (const auto &Write : C.Writes)
      ++Parent->TestOracle.Writes[Write.second].TimesApplied;
    Parent->TestOracle.CommitOfSignature[Signature] = C.Id;
    Parent->CommitIds.insert(C.Id);
    Parent->Log.push_back(std::move(C));
  }
  sendSigned(Id, Signature);
}

} // namespace eelgrassloom::soak
