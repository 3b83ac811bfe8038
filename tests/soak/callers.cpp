// The callers of the soak, which check the replies that they get.

#include "callers.h"
#include <algorithm>
#include <boost/asio/write.hpp>

namespace eelgrassloom::soak {

using namespace std::chrono_literals;

namespace {

constexpr Duration RequestTimeout = 6s;
/// Pause between two requests of most callers, and before any reconnects.
constexpr Duration RequestPause = 25ms;
/// Every caller with a number that this divides sends its next request as soon
/// as it has the answer, so that its connection is never idle.
constexpr unsigned BusyCallerInterval = 6;
/// Whether the error code guarantees that the attempt had no effect.
bool isDefiniteFailure(std::string_view Code) {
  static constexpr std::array<std::string_view, 7> Codes = {
      "BUSY",      "ABORTED", "LAGGING", "READONLY",
      "WRONGNODE", "TOOMANY", "NOAUTH"};
  return std::find(Codes.begin(), Codes.end(), Code) != Codes.end();
}

} // namespace

Caller::Caller(io_context &Loop, Oracle &TestOracle, unsigned Number,
               std::vector<std::uint16_t> Ports, std::uint64_t Seed)
    : Loop(Loop), TestOracle(TestOracle), Number(Number),
      Ports(std::move(Ports)), Random(Seed + Number), Bytes(Seed + Number + 1),
      Socket(Loop), Timer(Loop) {}

void Caller::run() { connect(); }

void Caller::connect() {
  if (Stopped)
    return;
  static constexpr std::array<const char *, 3> Databases = {"latest", "session",
                                                            "bounded"};
  Database = Databases[Random() % Databases.size()];
  if (!TestOracle.Customers.Customers.empty())
    Key = TestOracle.Customers.pick(Random);
  Started = false;
  Pending.reset();
  Requests.clear();
  UncommittedValues.clear();
  OwnCommits.clear();
  SessionValues.clear();
  Prepared.clear();
  Lines = {};
  Answers = {};
  Socket = tcp::socket(Loop);
  Port = Ports[Random() % Ports.size()];
  tcp::endpoint To(platform::asio::ip::make_address("127.0.0.1"), Port);
  Socket.async_connect(To, [Self = shared_from_this()](error_code Error) {
    if (Error) {
      runAfter(Self->Loop, 10 * RequestPause, [Self] { Self->connect(); });
      return;
    }
    Self->Output = "START " + Self->Database + " " + Self->Key + "\r\n";
    Self->SentAt = now();
    error_code Ignored; // A broken socket also fails the caller's read.
    platform::asio::write(Self->Socket, platform::asio::buffer(Self->Output),
                          Ignored);
    Self->read();
  });
}

void Caller::read() {
  Timer.expires_after(RequestTimeout);
  Timer.async_wait([Self = shared_from_this()](error_code Error) {
    error_code Ignored; // Closing the socket ends the pending read.
    if (!Error)
      Self->Socket.close(Ignored);
  });
  Socket.async_read_some(
      platform::asio::buffer(Input),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        if (Error) {
          Self->handleDisconnect();
          return;
        }
        Self->handleBytes({Self->Input.data(), Bytes});
        if (Self->Socket.is_open())
          Self->read();
        else
          Self->handleDisconnect();
      });
}

void Caller::handleBytes(std::string_view Received) {
  Lines.append(Received);
  while (auto Line = Lines.next()) {
    wiretest::Answer Reply;
    switch (Answers.add(*Line, Reply)) {
    case wiretest::LineResult::Partial:
      break;
    case wiretest::LineResult::Malformed: {
      TestOracle.Violations.push_back(
          {"MIXED", "malformed reply " + wiretest::printable(*Line), 0});
      error_code Ignored; // The session ends in any case.
      Socket.close(Ignored);
      return;
    }
    case wiretest::LineResult::Complete:
      handleReply(Reply);
    }
  }
  if (Started && !Pending && Answers.pendingCode())
    handleAnnouncedEnd(*Answers.pendingCode());
}

void Caller::handleAnnouncedEnd(const std::string &Code) {
  if (Code != "BUSY" || TestOracle.ToldToStop.count(Port) == 0)
    TestOracle.Violations.push_back(
        {"MIXED", "an error without a request at a proxy that does not stop",
         0});
  error_code Ignored;
  Socket.close(Ignored);
}

void Caller::handleDisconnect() {
  Timer.cancel();
  if (!Started && Answers.pendingCode() == "NOAUTH")
    checkStart(false);
  auto Stop = TestOracle.StopRequestedAt.find(Port);
  if (Pending && Stop != TestOracle.StopRequestedAt.end())
    recordLoss(*Pending, Stop->second);
  if (Pending && Pending->Commits)
    ++TestOracle.Unknown;
  Pending.reset();
  runAfter(Loop, RequestPause,
           [Self = shared_from_this()] { Self->connect(); });
}

void Caller::checkStart(bool Accepted) {
  const CustomerLedger &Customers = TestOracle.Customers;
  if (Customers.Customers.empty())
    return;
  TestOracle.RefusedKeys += Accepted ? 0 : 1;
  bool Wrong = Accepted ? Customers.allowed(Key, SentAt).empty()
                        : !Customers.holder(Key, SentAt).empty();
  if (Wrong && TestOracle.MustKnowConfig(Port))
    TestOracle.Violations.push_back({"KEY",
                                     Key +
                                         (Accepted ? " accepted" : " refused") +
                                         " at port " + std::to_string(Port),
                                     0});
}

void Caller::sendNext() {
  Pending = Requests.front();
  Requests.pop_front();
  recordSent(*Pending);
  SentAt = now();
  std::string Text = Pending->Text;
  if (TestOracle.Planted == PlantedFault::Texts && Pending->writes())
    Text += "x";
  Output = "QUERY " + Pending->Id + " " + Text + "\r\n";
  error_code Ignored; // A broken socket also fails the caller's read.
  platform::asio::write(Socket, platform::asio::buffer(Output), Ignored);
}

void Caller::recordSent(const Request &R) {
  SentStatement S{R.Text, std::nullopt, SessionValues, Key, Operation};
  if (!R.Arguments.empty()) {
    S.Text = R.Arguments;
    S.Prepared = R.Prepared;
  }
  TestOracle.Statements[R.Id] = std::move(S);
  if (R.Reads) {
    ReadContext Context{OperationStart, {}, OwnCommits};
    if (Database != "latest")
      Context.Bound = Database == "session" ? 2500ms : 1500ms;
    if (Database == "bounded")
      Context.OwnCommits.clear();
    TestOracle.Reads[R.Id] = Context;
  }
  if (R.writes()) {
    TestOracle.Writes[R.Value];
    UncommittedValues.push_back(R.Value);
  }
}

void Caller::handleReply(const wiretest::Answer &Reply) {
  if (!Started) {
    Started = true;
    checkStart(true);
    nextOperation();
    return;
  }
  if (!Pending) {
    TestOracle.Violations.push_back(
        {"MIXED", "reply without a pending request", 0});
    return;
  }
  Request R = *Pending;
  Pending.reset();
  bool ChangesSession =
      R.Kind != RequestKind::Control && !R.Reads && !R.writes();
  if (!Reply.Code && !Reply.Signature)
    TestOracle.Violations.push_back(
        {"MIXED", "neither DONE nor ERR for " + wiretest::printable(R.Text),
         0});
  if ((!Reply.Code && !Reply.Signature) || (Reply.Code && ChangesSession)) {
    // A session ends after an error of a statement that changes it.
    error_code Ignored;
    Socket.close(Ignored);
    return;
  }
  if (!Reply.Code)
    recordSuccess(R, Reply);
  else
    recordFailure(R, Reply);
  if (Reply.Code) {
    Requests.clear();
    if (Reply.State != 'I')
      Requests.push_back(control("ROLLBACK"));
  }
  if (Reply.Code == "NOAUTH") {
    ++TestOracle.RefusedKeys;
    error_code Ignored; // The next session uses another key.
    Socket.close(Ignored);
    return;
  }
  // A caller that is refused by a limit must not send all the time.
  bool Busy = Number % BusyCallerInterval == 0 &&
              (!Reply.Code || TestOracle.Customers.Customers.empty());
  Duration Pause = Busy ? 0ms : RequestPause;
  runAfter(Loop, Pause, [Self = shared_from_this()] {
    if (!Self->Socket.is_open() || Self->Pending)
      return;
    if (Self->Requests.empty())
      Self->nextOperation();
    else
      Self->sendNext();
  });
}

void Caller::recordSuccess(const Request &R, const wiretest::Answer &Reply) {
  ++TestOracle.Succeeded;
  if (R.Kind == RequestKind::Set)
    SessionValues[R.Name] = R.Value;
  else if (R.Kind == RequestKind::Prepare)
    Prepared[R.Name] = R.Prepared;
  else if (R.Kind == RequestKind::Deallocate)
    Prepared.erase(R.Name);
  if (R.needsSignature())
    checkAnswer(R, Reply);
  else if (!Reply.Rows.empty())
    TestOracle.Violations.push_back(
        {"MIXED", "rows for " + wiretest::printable(R.Text), 0});
  if (!R.Commits)
    return;
  auto Commit = TestOracle.CommitOfSignature.find(*Reply.Signature);
  if (Commit == TestOracle.CommitOfSignature.end()) {
    TestOracle.Violations.push_back({"MIXED", "no commit for " + R.Id, 0});
    return;
  }
  TestOracle.Acknowledged.emplace_back(now(), Commit->second);
  OwnCommits.push_back(Commit->second);
}

void Caller::checkAnswer(const Request &R, const wiretest::Answer &Reply) {
  if (Reply.Signature == "-") {
    TestOracle.Violations.push_back(
        {"MIXED", "no signature for " + wiretest::printable(R.Text), 0});
    return;
  }
  auto Sent = TestOracle.Answers.find(*Reply.Signature);
  if (Sent == TestOracle.Answers.end() || Sent->second.Id != R.Id ||
      Sent->second.Rows != Reply.Rows)
    TestOracle.Violations.push_back({"MIXED",
                                     "other rows or signature than sent for " +
                                         wiretest::printable(R.Id) + " " +
                                         wiretest::printable(R.Text),
                                     0});
  auto It = TestOracle.PotentialViolations.find(*Reply.Signature);
  if (It != TestOracle.PotentialViolations.end())
    TestOracle.Violations.push_back(It->second);
}

void Caller::recordLoss(const Request &R, Instant StopRequestedAt) {
  auto Sender = TestOracle.Received.find(R.Id);
  std::string Text = wiretest::printable(R.Id) + " '" +
                     wiretest::printable(R.Text) + "' at port " +
                     std::to_string(Port) + ", sent " +
                     std::to_string(toMillis(SentAt - StopRequestedAt)) +
                     " ms after SIGTERM, closed " +
                     std::to_string(toMillis(now() - StopRequestedAt)) + " ms";
  if (Sender != TestOracle.Received.end())
    Text += ", a server had it from " + Sender->second;
  TestOracle.Violations.push_back({"LOST", Text, 0});
}

void Caller::recordFailure(const Request &R, const wiretest::Answer &Reply) {
  if (Reply.Code == "NOSTMT")
    TestOracle.Violations.push_back(
        {"PINNED", "unknown to the server: " + wiretest::printable(R.Text), 0});
  if (!isDefiniteFailure(*Reply.Code)) {
    ++TestOracle.Unknown;
    return;
  }
  ++TestOracle.Refused;
  for (const std::string &Value : UncommittedValues)
    TestOracle.Writes[Value].DefinitelyFailed = true;
  if (R.writes())
    TestOracle.Writes[R.Value].DefinitelyFailed = true;
}

} // namespace eelgrassloom::soak
