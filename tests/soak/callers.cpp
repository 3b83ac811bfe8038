// Callers of the soak.

#include "standins.h"
#include <boost/asio/write.hpp>

namespace eelgrassloom::soak {

using namespace std::chrono_literals;

namespace {

constexpr Duration RequestTimeout = 6s;
constexpr Duration Pause = 25ms;
constexpr unsigned Items = 8;

/// Promises that nothing of the attempt is kept.
bool isPromise(ReplyCode Code) {
  return Code == ReplyCode::Busy || Code == ReplyCode::Aborted ||
         Code == ReplyCode::Lagging || Code == ReplyCode::ReadOnly ||
         Code == ReplyCode::WrongServer || Code == ReplyCode::TooMany;
}

} // namespace

Caller::Caller(io_context &Loop, Truth &Shared, unsigned Number,
               std::vector<std::uint16_t> Ports, std::uint64_t Seed)
    : Loop(Loop), Shared(Shared), Number(Number), Ports(std::move(Ports)),
      Random(Seed + Number), Socket(Loop), Timer(Loop) {}

void Caller::run() { connect(); }

std::string Caller::newId() {
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
  Plan.clear();
  Open.clear();
  Own.clear();
  SessionValue.clear();
  Decoder = {};
  Socket = tcp::socket(Loop);
  tcp::endpoint To(platform::asio::ip::make_address("127.0.0.1"),
                   Ports[Random() % Ports.size()]);
  Socket.async_connect(To, [Self = shared_from_this()](error_code Error) {
    if (Error) {
      after(Self->Loop, 10 * Pause, [Self] { Self->connect(); });
      return;
    }
    Self->Output = "START " + Self->Database + " u\r\n";
    error_code Ignored; // The reader notices a broken socket.
    platform::asio::write(Self->Socket, platform::asio::buffer(Self->Output),
                          Ignored);
    Self->read();
  });
}

void Caller::read() {
  Timer.expires_after(RequestTimeout);
  Timer.async_wait([Self = shared_from_this()](error_code Error) {
    error_code Ignored; // Ends the read below.
    if (!Error)
      Self->Socket.close(Ignored);
  });
  Socket.async_read_some(
      platform::asio::buffer(Input),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        if (Error) {
          Self->ended();
          return;
        }
        std::vector<ServerReply> Replies;
        if (!Self->Decoder.feed({Self->Input.data(), Bytes}, Replies))
          Self->Shared.Violations.push_back({"MIXED", "not a reply", 0});
        for (const ServerReply &Reply : Replies)
          Self->replied(Reply);
        if (Self->Socket.is_open())
          Self->read();
        else
          Self->ended();
      });
}

void Caller::ended() {
  Timer.cancel();
  if (Pending && Pending->Commits)
    ++Shared.Unknown;
  Pending.reset();
  after(Loop, Pause, [Self = shared_from_this()] { Self->connect(); });
}

void Caller::nextOperation() {
  if (Stopped) {
    error_code Ignored;
    Socket.close(Ignored);
    return;
  }
  OperationStart = now();
  Plan.clear();
  Open.clear();
  auto Item = [&] { return "k" + std::to_string(Random() % Items); };
  auto Write = [&](bool Commits) {
    std::string Value = "v" + std::to_string(Number) + "." +
                        std::to_string(Count) + "." + std::to_string(Random());
    Plan.push_back(
        {newId(), "WRITE " + Item() + " " + Value, Value, Commits, false});
  };
  bool Writes = Database != "bounded";
  unsigned Kind = Random() % 10;
  if (Kind == 0) {
    std::string Value = "s" + std::to_string(Random() % 100);
    Plan.push_back({newId(), "SET mode " + Value, Value, false, false});
  } else if (Kind < 3 && Writes) {
    Plan.push_back({newId(), "BEGIN", "", false, false});
    Write(false);
    Plan.push_back({newId(), "READ " + Item(), "", false, true});
    Write(false);
    if (Random() % 4 == 0)
      Plan.push_back({newId(), "ROLLBACK", "", false, false});
    else
      Plan.push_back({newId(), "COMMIT", "", true, false});
  } else if (Kind < 6 && Writes) {
    Write(true);
  } else {
    Plan.push_back({newId(), "READ " + Item(), "", false, true});
  }
  sendNext();
}

void Caller::sendNext() {
  Pending = Plan.front();
  Plan.pop_front();
  if (Pending->Reads) {
    ReadContext R{OperationStart, {}, Own, SessionValue};
    if (Database != "latest")
      R.Bound = Database == "session" ? 2500ms : 1500ms;
    if (Database == "bounded")
      R.Own.clear();
    Shared.Reads[Pending->Id] = R;
  }
  if (!Pending->Value.empty() && Pending->Text[0] == 'W') {
    Shared.Writes[Pending->Value];
    Open.push_back(Pending->Value);
  }
  Output = "QUERY " + Pending->Id + " " + Pending->Text + "\r\n";
  error_code Ignored; // The reader notices a broken socket.
  platform::asio::write(Socket, platform::asio::buffer(Output), Ignored);
}

void Caller::replied(const ServerReply &Reply) {
  if (!Started) {
    Started = true;
    nextOperation();
    return;
  }
  if (!Pending) {
    Shared.Violations.push_back({"MIXED", "an answer to nothing", 0});
    return;
  }
  Request R = *Pending;
  Pending.reset();
  if (Reply.ok())
    noteSuccess(R, Reply);
  else
    noteFailure(R, Reply);
  if (!Reply.ok()) {
    Plan.clear();
    if (Reply.State != TransactionState::None)
      Plan.push_back({newId(), "ROLLBACK", "", false, false});
  }
  after(Loop, Pause, [Self = shared_from_this()] {
    if (!Self->Socket.is_open() || Self->Pending)
      return;
    if (Self->Plan.empty())
      Self->nextOperation();
    else
      Self->sendNext();
  });
}

void Caller::noteSuccess(const Request &R, const ServerReply &Reply) {
  ++Shared.Succeeded;
  if (R.Text.compare(0, 4, "SET ") == 0)
    SessionValue = R.Value;
  if ((R.Reads || R.Commits) && Reply.Signature.empty())
    Shared.Violations.push_back({"MIXED", "no signature for " + R.Text, 0});
  auto It = Shared.Suspicions.find(Reply.Signature);
  if (R.Reads && It != Shared.Suspicions.end())
    Shared.Violations.push_back(It->second);
  if (!R.Commits)
    return;
  auto Commit = Shared.CommitOfSignature.find(Reply.Signature);
  if (Commit == Shared.CommitOfSignature.end()) {
    Shared.Violations.push_back({"MIXED", "no commit for " + R.Id, 0});
    return;
  }
  Shared.Acknowledged.emplace_back(now(), Commit->second);
  Own.push_back(Commit->second);
}

void Caller::noteFailure(const Request &R, const ServerReply &Reply) {
  if (!isPromise(*Reply.Error)) {
    ++Shared.Unknown;
    return;
  }
  ++Shared.Refused;
  for (const std::string &Value : Open)
    Shared.Writes[Value].Promised = true;
  if (!R.Value.empty() && R.Text[0] == 'W')
    Shared.Writes[R.Value].Promised = true;
}

} // namespace eelgrassloom::soak
