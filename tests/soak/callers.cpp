// The callers of the soak, which check the replies that they get.

#include "standins.h"
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
constexpr unsigned ItemCount = 8;

/// Whether the error code guarantees that the attempt had no effect.
bool isDefiniteFailure(ReplyCode Code) {
  return Code == ReplyCode::Busy || Code == ReplyCode::Aborted ||
         Code == ReplyCode::Lagging || Code == ReplyCode::ReadOnly ||
         Code == ReplyCode::WrongServer ||
         Code == ReplyCode::TooManyConnections;
}

} // namespace

Caller::Caller(io_context &Loop, Oracle &TestOracle, unsigned Number,
               std::vector<std::uint16_t> Ports, std::uint64_t Seed)
    : Loop(Loop), TestOracle(TestOracle), Number(Number),
      Ports(std::move(Ports)), Random(Seed + Number), Socket(Loop),
      Timer(Loop) {}

void Caller::run() { connect(); }

std::string Caller::newRequestId() {
  return "c" + std::to_string(Number) + "x" + std::to_string(++Count);
}

void Caller::connect() {
  if (Stopped)
    return;
  static constexpr std::array<const char *, 3> Databases = {"latest", "session",
                                                            "bounded"};
  Database = Databases[Random() % Databases.size()];
  Started = false;
  Pending.reset();
  Requests.clear();
  UncommittedValues.clear();
  OwnCommits.clear();
  SessionValue.clear();
  Decoder = {};
  Socket = tcp::socket(Loop);
  Port = Ports[Random() % Ports.size()];
  tcp::endpoint To(platform::asio::ip::make_address("127.0.0.1"), Port);
  Socket.async_connect(To, [Self = shared_from_this()](error_code Error) {
    if (Error) {
      runAfter(Self->Loop, 10 * RequestPause, [Self] { Self->connect(); });
      return;
    }
    Self->Output = "START " + Self->Database + " u\r\n";
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
        std::vector<ServerReply> Replies;
        if (!Self->Decoder.feed({Self->Input.data(), Bytes}, Replies))
          Self->TestOracle.Violations.push_back(
              {"MIXED", "malformed reply", 0});
        for (const ServerReply &Reply : Replies)
          Self->handleReply(Reply);
        if (Self->Started && !Self->Pending && Self->Decoder.pendingError())
          Self->handleAnnouncedEnd(*Self->Decoder.pendingError());
        if (Self->Socket.is_open())
          Self->read();
        else
          Self->handleDisconnect();
      });
}

void Caller::handleAnnouncedEnd(ReplyCode Code) {
  if (Code != ReplyCode::Busy || TestOracle.ToldToStop.count(Port) == 0)
    TestOracle.Violations.push_back(
        {"MIXED", "an error without a request at a proxy that does not stop",
         0});
  error_code Ignored;
  Socket.close(Ignored);
}

void Caller::handleDisconnect() {
  Timer.cancel();
  auto Stop = TestOracle.StopRequestedAt.find(Port);
  if (Pending && Stop != TestOracle.StopRequestedAt.end())
    recordLoss(*Pending, Stop->second);
  if (Pending && Pending->Commits)
    ++TestOracle.Unknown;
  Pending.reset();
  runAfter(Loop, RequestPause,
           [Self = shared_from_this()] { Self->connect(); });
}

void Caller::nextOperation() {
  if (Stopped) {
    error_code Ignored;
    Socket.close(Ignored);
    return;
  }
  OperationStart = now();
  Requests.clear();
  UncommittedValues.clear();
  auto Item = [&] { return "k" + std::to_string(Random() % ItemCount); };
  auto Write = [&](bool Commits) {
    std::string Value = "v" + std::to_string(Number) + "." +
                        std::to_string(Count) + "." + std::to_string(Random());
    Requests.push_back({newRequestId(), "WRITE " + Item() + " " + Value, Value,
                        Commits, false});
  };
  bool Writes = Database != "bounded";
  unsigned Kind = Random() % 10;
  if (Kind == 0) {
    std::string Value = "s" + std::to_string(Random() % 100);
    Requests.push_back(
        {newRequestId(), "SET mode " + Value, Value, false, false});
  } else if (Kind < 3 && Writes) {
    Requests.push_back({newRequestId(), "BEGIN", "", false, false});
    Write(false);
    Requests.push_back({newRequestId(), "READ " + Item(), "", false, true});
    Write(false);
    if (Random() % 4 == 0)
      Requests.push_back({newRequestId(), "ROLLBACK", "", false, false});
    else
      Requests.push_back({newRequestId(), "COMMIT", "", true, false});
  } else if (Kind < 6 && Writes) {
    Write(true);
  } else {
    Requests.push_back({newRequestId(), "READ " + Item(), "", false, true});
  }
  sendNext();
}

void Caller::sendNext() {
  Pending = Requests.front();
  Requests.pop_front();
  if (Pending->Reads) {
    ReadContext R{OperationStart, {}, OwnCommits, SessionValue};
    if (Database != "latest")
      R.Bound = Database == "session" ? 2500ms : 1500ms;
    if (Database == "bounded")
      R.OwnCommits.clear();
    TestOracle.Reads[Pending->Id] = R;
  }
  if (!Pending->Value.empty() && Pending->Text[0] == 'W') {
    TestOracle.Writes[Pending->Value];
    UncommittedValues.push_back(Pending->Value);
  }
  SentAt = now();
  Output = "QUERY " + Pending->Id + " " + Pending->Text + "\r\n";
  error_code Ignored; // A broken socket also fails the caller's read.
  platform::asio::write(Socket, platform::asio::buffer(Output), Ignored);
}

void Caller::handleReply(const ServerReply &Reply) {
  if (!Started) {
    Started = true;
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
  if (Reply.ok())
    recordSuccess(R, Reply);
  else
    recordFailure(R, Reply);
  if (!Reply.ok()) {
    Requests.clear();
    if (Reply.State != TransactionState::None)
      Requests.push_back({newRequestId(), "ROLLBACK", "", false, false});
  }
  Duration Pause = Number % BusyCallerInterval == 0 ? 0ms : RequestPause;
  runAfter(Loop, Pause, [Self = shared_from_this()] {
    if (!Self->Socket.is_open() || Self->Pending)
      return;
    if (Self->Requests.empty())
      Self->nextOperation();
    else
      Self->sendNext();
  });
}

void Caller::recordSuccess(const Request &R, const ServerReply &Reply) {
  ++TestOracle.Succeeded;
  if (R.Text.compare(0, 4, "SET ") == 0)
    SessionValue = R.Value;
  if ((R.Reads || R.Commits) && Reply.Signature.empty())
    TestOracle.Violations.push_back({"MIXED", "no signature for " + R.Text, 0});
  auto It = TestOracle.PotentialViolations.find(Reply.Signature);
  if (R.Reads && It != TestOracle.PotentialViolations.end())
    TestOracle.Violations.push_back(It->second);
  if (!R.Commits)
    return;
  auto Commit = TestOracle.CommitOfSignature.find(Reply.Signature);
  if (Commit == TestOracle.CommitOfSignature.end()) {
    TestOracle.Violations.push_back({"MIXED", "no commit for " + R.Id, 0});
    return;
  }
  TestOracle.Acknowledged.emplace_back(now(), Commit->second);
  OwnCommits.push_back(Commit->second);
}

void Caller::recordLoss(const Request &R, Instant StopRequestedAt) {
  auto Sender = TestOracle.Received.find(R.Id);
  std::string Text = R.Id + " '" + R.Text + "' at port " +
                     std::to_string(Port) + ", sent " +
                     std::to_string(toMillis(SentAt - StopRequestedAt)) +
                     " ms after SIGTERM, closed " +
                     std::to_string(toMillis(now() - StopRequestedAt)) + " ms";
  if (Sender != TestOracle.Received.end())
    Text += ", a server had it from " + Sender->second;
  TestOracle.Violations.push_back({"LOST", Text, 0});
}

void Caller::recordFailure(const Request &R, const ServerReply &Reply) {
  if (!isDefiniteFailure(*Reply.Error)) {
    ++TestOracle.Unknown;
    return;
  }
  ++TestOracle.Refused;
  for (const std::string &Value : UncommittedValues)
    TestOracle.Writes[Value].DefinitelyFailed = true;
  if (!R.Value.empty() && R.Text[0] == 'W')
    TestOracle.Writes[R.Value].DefinitelyFailed = true;
}

} // namespace eelgrassloom::soak
