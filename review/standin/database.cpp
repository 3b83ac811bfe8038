#include "database.h"
#include <algorithm>
#include <sstream>

namespace review {

namespace {

/// A former primary notices the new one after this time.
constexpr std::int64_t DemotionMs = 1000;

std::string text(const Position &P) {
  return std::to_string(P.Term) + "." + std::to_string(P.Number);
}

std::vector<std::string> split(const std::string &Line) {
  std::istringstream In(Line);
  std::vector<std::string> Words;
  for (std::string Word; In >> Word;)
    Words.push_back(Word);
  return Words;
}

} // namespace

/// A connection to a server. Requests run one after the other.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
public:
  ServerSession(ServerRef Parent, tcp::socket Socket)
      : Parent(std::move(Parent)), Socket(std::move(Socket)) {}

  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
          if (Error) {
            Self->end();
            return;
          }
          if (!Self->Parent->Dark)
            Self->Input.append(Self->Buffer.data(), Bytes);
          Self->next();
          Self->read();
        });
  }

  void reset() {
    error_code Ignored;
    Socket.set_option(tcp::socket::linger(true, 0), Ignored);
    Socket.close(Ignored);
  }

private:
  void end() {
    error_code Ignored;
    Socket.close(Ignored);
    Parent->Sessions.erase(shared_from_this());
  }

  void next() {
    std::size_t End = Input.find("\r\n");
    if (Busy || End == std::string::npos)
      return;
    std::string Line = Input.substr(0, End);
    Input.erase(0, End + 2);
    Busy = true;
    auto W = split(Line);
    bool Data = W.size() > 2 && (W[2] == "READ" || W[2] == "WRITE" ||
                                 W[2] == "COMMIT" || W[2] == "AFTER");
    if (Data && W[1] != "-" && Parent->Parent.Reached)
      Parent->Parent.Reached(Parent, W[1]);
    after(Parent->Loop, Data ? Parent->Parent.WorkMs : 1,
          [Self = shared_from_this(), W] {
            if (Self->Parent->Up && Self->Socket.is_open())
              Self->run(W);
          });
  }

  void send(const std::string &Body) {
    if (Parent->Dark)
      return; // The session ends when the server can be reached again.
    auto Out = std::make_shared<std::string>(Body + "READY " + State + " " +
                                             text(Parent->position()) + "\r\n");
    asio::async_write(
        Socket, asio::buffer(*Out),
        [Self = shared_from_this(), Out](error_code, std::size_t) {});
    Busy = false;
    next();
  }

  void fail(const std::string &Code) {
    if (State == 'T')
      State = 'E';
    send("ERR " + Code + " -\r\n");
  }

  std::string signature() {
    static std::uint64_t Next = 1;
    return "sig." + Parent->Id + "." + std::to_string(Next++);
  }

  void run(std::vector<std::string> W) {
    if (W.size() >= 3 && W[0] == "START") {
      if (W[1] != Parent->Parent.Name || (W.size() > 3 && W[3] != Parent->Id))
        send("ERR WRONGNODE -\r\n");
      else
        send("");
      return;
    }
    if (W.size() < 3 || W[0] != "QUERY") {
      end();
      return;
    }
    std::string Id = W[1];
    W.erase(W.begin(), W.begin() + 2);
    if (W[0] == "AFTER" && W.size() > 2) {
      Position P;
      std::sscanf(W[1].c_str(), "%lu.%lu", &P.Term, &P.Number);
      if (!Parent->contains(P)) {
        fail("LAGGING");
        return;
      }
      W.erase(W.begin(), W.begin() + 2);
    }
    statement(Id, W);
  }

  void statement(const std::string &Id, const std::vector<std::string> &W) {
    const std::string &Verb = W[0];
    if (State == 'E' && Verb != "COMMIT" && Verb != "ROLLBACK") {
      send("ERR MALFORMED -\r\n");
    } else if (Verb == "STATUS") {
      send(std::string("ROW ") + (Parent->Primary ? "primary " : "replica ") +
           std::to_string(Parent->Term) + " " + text(Parent->position()) +
           " 0 0 0 " + std::to_string(Parent->Sessions.size()) +
           "\r\nDONE -\r\n");
    } else if (Verb == "BEGIN") {
      if (W.size() == 1 && !Parent->Primary) {
        send("ERR READONLY -\r\n");
        return;
      }
      State = 'T';
      Wrote = false;
      send("DONE -\r\n");
    } else if (Verb == "ROLLBACK") {
      State = 'I';
      send("DONE -\r\n");
    } else if (Verb == "READ") {
      if (Parent->Parent.ReadRuns)
        Parent->Parent.ReadRuns(Parent, Id);
      send("ROW " + std::to_string(Parent->Log.size()) + "\r\nDONE " +
           signature() + "\r\n");
    } else if (Verb == "WRITE") {
      write(Id);
    } else if (Verb == "COMMIT") {
      bool Failed = State == 'E';
      State = 'I';
      if (Failed)
        send("ERR ABORTED -\r\n");
      else if (Wrote)
        commit(Id);
      else
        send("DONE " + signature() + "\r\n");
    } else {
      send("DONE -\r\n"); // SET, PREPARE, RESET: not used by the cases.
    }
  }

  void write(const std::string &Id) {
    if (!Parent->Primary) {
      fail("READONLY");
      return;
    }
    if (State == 'T') {
      Wrote = true;
      send("DONE " + signature() + "\r\n");
      return;
    }
    commit(Id);
  }

  void commit(const std::string &Id) {
    if (!Parent->Primary) {
      send("ERR READONLY -\r\n");
      return;
    }
    Parent->Parent.commit(Parent, Id, [Self = shared_from_this()] {
      if (Self->Parent->Up && Self->Socket.is_open())
        Self->send("DONE " + Self->signature() + "\r\n");
    });
  }

  ServerRef Parent;
  tcp::socket Socket;
  std::array<char, 4096> Buffer{};
  std::string Input;
  char State = 'I';
  bool Wrote = false;
  bool Busy = false;
};

Server::Server(asio::io_context &Loop, Service &Parent, std::string Id,
               std::string Zone)
    : Loop(Loop), Parent(Parent), Id(std::move(Id)), Zone(std::move(Zone)) {}

void Server::start() {
  Acceptor = std::make_unique<tcp::acceptor>(
      Loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), Port));
  Port = Acceptor->local_endpoint().port();
  Up = true;
  accept();
}

void Server::accept() {
  Acceptor->async_accept(
      [Self = shared_from_this()](error_code Error, tcp::socket Socket) {
        if (Error)
          return;
        error_code Ignored;
        Socket.set_option(tcp::no_delay(true), Ignored);
        auto S = std::make_shared<ServerSession>(Self, std::move(Socket));
        Self->Sessions.insert(S);
        S->read();
        Self->accept();
      });
}

void Server::crash() {
  Up = false;
  Acceptor.reset();
  auto All = Sessions;
  for (const auto &S : All)
    S->reset();
}

void Server::returnFromDark() {
  Dark = false;
  auto All = Sessions;
  for (const auto &S : All)
    S->reset();
}

bool Server::contains(const Position &P) const {
  if (P.Term > Term)
    return false;
  // The log is that of the term P.Term up to where the next term began.
  auto Next = TermStart.upper_bound(P.Term);
  std::size_t End = Next == TermStart.end() ? Log.size() : Next->second;
  return P.Number <= End;
}

std::string Server::entry() {
  return R"({"service":")" + Parent.Name + R"(","addr":"127.0.0.1:)" +
         std::to_string(Port) + R"(","zone":")" + Zone +
         R"(","version":"v1","slots":5,"state":")" +
         (Draining ? "draining" : "ready") + R"(","coldLeftMs":0,"dbRole":")" +
         (Primary ? "primary" : "replica") +
         R"(","born":1780000000000,"seq":)" + std::to_string(++Seq) + "}";
}

ServerRef Service::add(const std::string &Id, const std::string &Zone,
                       std::int64_t LagMs) {
  auto S = std::make_shared<Server>(Loop, *this, Id, Zone);
  S->LagMs = LagMs;
  Servers.push_back(S);
  return S;
}

ServerRef Service::find(const std::string &Id) const {
  for (const ServerRef &S : Servers)
    if (S->Id == Id)
      return S;
  return nullptr;
}

ServerRef Service::leader() const {
  ServerRef Best;
  for (const ServerRef &S : Servers)
    if (S->Primary && (!Best || S->Term > Best->Term))
      Best = S;
  return Best && Best->reachable() ? Best : nullptr;
}

void Service::commit(const ServerRef &Primary, const std::string &Request,
                     std::function<void()> Done) {
  Primary->Log.push_back(Request);
  Primary->Commits.insert(Request);
  Out.line("server %s commits %s as %lu.%zu", Primary->Id.c_str(),
           Request.c_str(), Primary->Term, Primary->Log.size());
  auto Missing = std::make_shared<unsigned>(SyncReplicas);
  if (SyncReplicas == 0)
    Done();
  std::size_t Size = Primary->Log.size();
  std::uint64_t Term = Primary->Term;
  for (const ServerRef &S : Servers)
    if (S != Primary)
      after(Loop, S->LagMs, [this, Primary, Term, S, Size, Missing, Done] {
        if (!Primary->reachable() || Primary->Term != Term || !S->reachable() ||
            S->Primary)
          return;
        deliver(Primary, Term, S, Size);
        if (*Missing != 0 && --*Missing == 0)
          Done();
      });
}

void Service::deliver(const ServerRef &Primary, std::uint64_t Term,
                      const ServerRef &Replica, std::size_t Size) {
  if (Replica->Term > Term)
    return;
  // A replica that was ahead of the log is rolled back.
  std::size_t Common = 0;
  while (Common < Replica->Log.size() && Common < Primary->Log.size() &&
         Replica->Log[Common] == Primary->Log[Common])
    ++Common;
  for (std::size_t I = Common; I < Replica->Log.size(); ++I)
    Replica->Commits.erase(Replica->Log[I]);
  Replica->Log.resize(Common);
  for (std::size_t I = Common; I < Size; ++I) {
    Replica->Log.push_back(Primary->Log[I]);
    Replica->Commits.insert(Primary->Log[I]);
  }
  Replica->Term = Term;
  Replica->TermStart = Primary->TermStart;
}

void Service::promote(const ServerRef &Next) {
  after(Loop, PromoteMs, [this, Next] {
    if (!Next->reachable())
      return;
    std::uint64_t Term = 0;
    for (const ServerRef &S : Servers)
      Term = std::max(Term, S->Term);
    Next->Term = Term + 1;
    Next->TermStart[Next->Term] = Next->Log.size();
    Next->Primary = true;
    Out.line("server %s leads term %lu with %zu commits", Next->Id.c_str(),
             Next->Term, Next->Log.size());
    if (Promoted)
      Promoted(Next);
    demoteOthers(Next);
  });
}

void Service::demoteOthers(const ServerRef &Next) {
  for (const ServerRef &S : Servers) {
    if (S == Next)
      continue;
    bool WasPrimary = S->Primary;
    after(Loop, WasPrimary ? DemotionMs : S->LagMs, [this, Next, S] {
      if (!S->reachable() || !Next->reachable() || !Next->Primary ||
          S->Term >= Next->Term)
        return;
      S->Primary = false;
      deliver(Next, Next->Term, S, Next->Log.size());
    });
  }
}

} // namespace review
