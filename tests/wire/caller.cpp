#include "caller.h"
#include <boost/asio/write.hpp>

namespace eelgrassloom::wiretest {

using namespace std::chrono_literals;

namespace {

constexpr Duration AnswerTimeout = 8s;
/// Time at the end of a session in which nothing may arrive.
constexpr Duration SilenceTime = 20ms;
/// Time between the two bytes of a line end that is split.
constexpr Duration SplitTime = 30ms;

} // namespace

void Caller::run() {
  if (Todo.Scripts.empty()) {
    Done();
    return;
  }
  Current = std::move(Todo.Scripts.front());
  Todo.Scripts.pop_front();
  Instant At = Current.StartAt.value_or(soak::now());
  if (At <= soak::now())
    connect();
  else
    runAfter(Loop, At - soak::now(),
             [Self = shared_from_this()] { Self->connect(); });
}

void Caller::connect() {
  Input = {};
  Reader = {};
  Pending.reset();
  Next = 0;
  Started = Finishing = false;
  ++Connections;
  Socket = tcp::socket(Loop);
  tcp::endpoint To(platform::asio::ip::make_address("127.0.0.1"),
                   Todo.Ports.at(Current.Proxy));
  Socket.async_connect(To, [Self = shared_from_this()](error_code Error) {
    if (Error) {
      Self->handleLoss();
      return;
    }
    Self->Socket.set_option(tcp::no_delay(true));
    Self->waitFor(AnswerTimeout);
    const Script &S = Self->Current;
    std::string Key = S.Key.empty() ? "" : " " + S.Key;
    Self->send(S.StartLine.empty() ? "START " + S.Database + Key : S.StartLine);
    Self->read();
  });
}

void Caller::waitFor(Duration D) {
  Timer.expires_after(D);
  Timer.async_wait([Self = shared_from_this()](error_code Error) {
    error_code Ignored; // Closing the socket ends the pending read.
    if (!Error)
      Self->Socket.close(Ignored);
  });
}

void Caller::send(const std::string &Line) {
  error_code Ignored; // A broken socket also fails the pending read.
  if (!Current.SplitsLineEnd) {
    platform::asio::write(
        Socket, platform::asio::buffer(Line + std::string(LineEnd)), Ignored);
    return;
  }
  platform::asio::write(Socket, platform::asio::buffer(Line + "\r"), Ignored);
  runAfter(Loop, SplitTime, [Self = shared_from_this(), Of = Connections] {
    error_code Failed; // As above.
    if (Self->Connections != Of)
      return; // The answer came before the line was complete.
    platform::asio::write(Self->Socket, platform::asio::buffer("\n", 1),
                          Failed);
  });
}

void Caller::read() {
  Socket.async_read_some(
      platform::asio::buffer(Buffer),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        if (Error) {
          Self->handleLoss();
          return;
        }
        Self->Input.append({Self->Buffer.data(), Bytes});
        while (auto Line = Self->Input.next())
          if (Self->Socket.is_open())
            Self->handleLine(*Line);
        if (Self->Socket.is_open())
          Self->read();
        else
          Self->handleLoss();
      });
}

void Caller::handleLine(const std::string &Line) {
  std::string Key = Pending ? Pending->Id : Current.Statements.front()->Id;
  if (Started && !Pending)
    Todo.Checks.fail(Key, "MIXED",
                     "a line that answers nothing: " + printable(Line));
  if (Line.find(soak::KeyMarker) != std::string::npos)
    Todo.Checks.fail(Key, "KEY", "a key in the answer " + printable(Line));
  Answer A;
  switch (Reader.add(Line, A)) {
  case LineResult::Partial:
    return;
  case LineResult::Malformed: {
    Todo.Checks.fail(Key, "MIXED", "malformed answer: " + printable(Line));
    error_code Ignored; // The session ends in any case.
    Socket.close(Ignored);
    return;
  }
  case LineResult::Complete:
    handleAnswer(A);
  }
}

void Caller::handleAnswer(const Answer &A) {
  if (!Started) {
    Started = true;
    if (!Current.StartCode.empty()) {
      Todo.Checks.fail(Current.Statements.front()->Id, "KEY",
                       "a session started with the key " +
                           printable(Current.Key));
      Next = Current.Statements.size();
    }
    sendNext();
    return;
  }
  if (!Pending)
    return;
  StatementRef S = std::move(Pending);
  Pending.reset();
  Todo.Checks.checkAnswer(*S, A);
  // What follows depends on it.
  bool EndsSession =
      A.Code && (!isData(S->Kind) || S->Transaction != 0 || A.State != 'I');
  if (EndsSession)
    Next = Current.Statements.size();
  sendNext();
}

void Caller::sendNext() {
  if (Next == Current.Statements.size()) {
    Finishing = true;
    waitFor(SilenceTime);
    return;
  }
  const std::optional<Instant> &At = Current.Statements[Next]->NotBefore;
  if (At && soak::now() < *At) {
    Timer.expires_after(*At - soak::now());
    Timer.async_wait([Self = shared_from_this()](error_code Error) {
      if (!Error)
        Self->sendNext();
    });
    return;
  }
  Pending = Current.Statements[Next++];
  waitFor(AnswerTimeout);
  send("QUERY " + Pending->Id + " " + Pending->Text);
}

void Caller::checkRefusedStart() {
  if (Reader.pendingCode() != Current.StartCode)
    Todo.Checks.fail(Current.Statements.front()->Id, "KEY",
                     "START with the key " + printable(Current.Key) +
                         " is not answered " + Current.StartCode);
}

void Caller::handleLoss() {
  Timer.cancel();
  if (Pending && Reader.pendingCode() == "TOOBIG" &&
      Pending->Wanted == Demand::SuccessOrTooBig)
    Pending->Wanted = Demand::TooBig;
  if (Pending && Reader.pendingCode() && keepsNothing(*Reader.pendingCode()))
    Pending->Refused = true;
  if (Pending)
    Todo.Checks.checkNoAnswer(*Pending);
  else if (!Started && !Current.StartCode.empty())
    checkRefusedStart();
  else if (!Finishing)
    Todo.Checks.fail(Current.Statements.front()->Id, "NOANSWER",
                     "the session did not start");
  if (!Reader.empty() && !Reader.pendingCode())
    Todo.Checks.fail(Current.Statements.front()->Id, "MIXED",
                     "the connection ended inside an answer");
  Pending.reset();
  error_code Ignored; // The socket is not used again.
  Socket.close(Ignored);
  run();
}

} // namespace eelgrassloom::wiretest
