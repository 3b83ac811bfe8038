// Database servers of the soak.

#include "standins.h"
#include <algorithm>
#include <boost/asio/write.hpp>
#include <sstream>

namespace eelgrassloom::soak {

using namespace std::chrono_literals;

namespace {

constexpr Duration StatementTime = 4ms;
constexpr Duration PromotionTime = 150ms;
constexpr Duration DemotionDelay = 1s;

std::vector<std::string> words(const std::string &Line) {
  std::istringstream In(Line);
  std::vector<std::string> Result;
  for (std::string Word; In >> Word;)
    Result.push_back(Word);
  return Result;
}

} // namespace

Instant now() { return platform::bootTime(); }

void after(io_context &Loop, Duration D, std::function<void()> Run) {
  auto Timer = std::make_shared<platform::asio::steady_timer>(Loop, D);
  Timer->async_wait([Timer, Run = std::move(Run)](error_code Error) {
    if (!Error)
      Run();
  });
}

std::vector<Suspicion> Truth::remaining() const {
  std::vector<Suspicion> Result;
  for (const Suspicion &S : Violations)
    if (S.Missing == 0 || RolledBack.count(S.Missing) == 0)
      Result.push_back(S);
  for (const auto &[Value, W] : Writes) {
    if (W.Effects > 1)
      Result.push_back({"TWICE", Value, 0});
    if (W.Effects > 0 && W.Promised)
      Result.push_back({"REFUSED", Value, 0});
  }
  return Result;
}

/// One connection of a proxy.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Server &Owner, tcp::socket Socket)
      : Owner(Owner.shared_from_this()), Socket(std::move(Socket)) {}

  void read() {
    Socket.async_read_some(
        platform::asio::buffer(Buffer),
        [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
          if (Error || !Self->Owner->Up) {
            Self->close();
            return;
          }
          if (Self->Owner->Mode != LinkMode::Silent)
            Self->Input.append(Self->Buffer.data(), Bytes);
          Self->lines();
          Self->read();
        });
  }

  void close() {
    error_code Ignored;
    Socket.close(Ignored);
    Owner->Open.erase(shared_from_this());
  }

private:
  void lines() {
    std::size_t End;
    while ((End = Input.find("\r\n")) != std::string::npos) {
      std::string Line = Input.substr(0, End);
      Input.erase(0, End + 2);
      after(Owner->Loop, StatementTime, [Self = shared_from_this(), Line] {
        if (Self->Owner->Up && Self->Socket.is_open())
          Self->run(Line);
      });
    }
  }

  void send(const std::string &Text) {
    if (Owner->Mode != LinkMode::Normal)
      return;
    error_code Ignored; // A broken socket is noticed by the reader.
    platform::asio::write(Socket, platform::asio::buffer(Text), Ignored);
  }

  void finish(const std::string &Body) {
    char State = InTransaction ? 'T' : 'I';
    send(Body + "READY " + State + " " +
         platform::encodePosition(Owner->position()) + "\r\n");
  }

  void fail(const char *Code) { finish("ERR " + std::string(Code) + " -\r\n"); }

  std::string signature() {
    return "s" + std::to_string(Owner->Shared.NextSignature++);
  }

  void run(const std::string &Line) {
    auto W = words(Line);
    if (W.size() >= 4 && W[0] == "START") {
      if (W[3] != Owner->Id)
        send("ERR WRONGNODE -\r\n");
      else
        finish("");
      return;
    }
    if (W.size() < 3 || W[0] != "QUERY") {
      close();
      return;
    }
    std::size_t At = 2;
    if (W[2] == "AFTER" && W.size() > 4) {
      auto P = platform::decodePosition(W[3]);
      if (!P || P->Term > Owner->Term || P->Index > Owner->Log.size()) {
        fail("LAGGING");
        return;
      }
      At = 4;
    }
    statement(W[1], {W.begin() + static_cast<std::ptrdiff_t>(At), W.end()});
  }

  void statement(const std::string &Id, std::vector<std::string> W) {
    if (W[0] == "EXEC") {
      auto It = Prepared.find(W[1]);
      if (It == Prepared.end()) {
        fail("NOSTMT");
        return;
      }
      W.erase(W.begin() + 1);
      W[0] = It->second;
    }
    if (W[0] == "RESET") {
      Value.clear();
      Prepared.clear();
      finish("DONE -\r\n");
    } else if (W[0] == "SET") {
      Value = W[2];
      finish("DONE -\r\n");
    } else if (W[0] == "PREPARE") {
      Prepared[W[1]] = W[2];
      finish("DONE -\r\n");
    } else if (W[0] == "STATUS") {
      finish(std::string("ROW ") + (Owner->Leads ? "primary " : "replica ") +
             std::to_string(Owner->Term) + " " +
             platform::encodePosition(Owner->position()) +
             " 0 0 0 0\r\nDONE -\r\n");
    } else if (W[0] == "BEGIN") {
      if (W.size() == 1 && !Owner->Leads) {
        fail("READONLY");
        return;
      }
      InTransaction = true;
      Pending.clear();
      finish("DONE -\r\n");
    } else if (W[0] == "ROLLBACK") {
      InTransaction = false;
      Pending.clear();
      finish("DONE -\r\n");
    } else if (W[0] == "READ") {
      readItem(Id, W[1]);
    } else if (W[0] == "WRITE") {
      writeItem(W);
    } else if (W[0] == "COMMIT") {
      commit();
    } else {
      fail("MALFORMED");
    }
  }

  void readItem(const std::string &Id, const std::string &Item) {
    std::string Signature = signature();
    check(Id, Signature);
    std::string Row = "none";
    for (const Commit &C : Owner->Log)
      if (auto It = C.Writes.find(Item); It != C.Writes.end())
        Row = It->second;
    finish("ROW " + Row + "\r\nDONE " + Signature + "\r\n");
  }

  /// Notes what would be wrong if the caller received this answer.
  void check(const std::string &Id, const std::string &Signature) {
    auto It = Owner->Shared.Reads.find(Id);
    auto &Suspicions = Owner->Shared.Suspicions;
    if (It == Owner->Shared.Reads.end()) {
      Owner->Shared.Violations.push_back({"UNASKED", Id, 0});
      return;
    }
    const ReadContext &R = It->second;
    if (Value != R.SessionValue)
      Suspicions[Signature] = {"PINNED", Value + " for " + R.SessionValue, 0};
    for (CommitId Own : R.Own)
      if (Owner->Known.count(Own) == 0)
        Suspicions[Signature] = {"STALE", Id + " own on " + Owner->Id, Own};
    for (const auto &[At, Commit] : Owner->Shared.Acknowledged)
      if (At < R.Start - R.Bound && Owner->Known.count(Commit) == 0)
        Suspicions[Signature] = {"STALE", Id + " on " + Owner->Id, Commit};
  }

  void writeItem(const std::vector<std::string> &W) {
    if (!Owner->Leads) {
      fail("READONLY");
      return;
    }
    Pending[W[1]] = W.at(2);
    if (InTransaction)
      finish("DONE " + signature() + "\r\n");
    else
      commit();
  }

  void commit() {
    if (!Owner->Leads && !Pending.empty()) {
      InTransaction = false;
      Pending.clear();
      fail("READONLY");
      return;
    }
    InTransaction = false;
    std::string Signature = signature();
    if (!Pending.empty()) {
      Commit C{Owner->Shared.NextCommit++, Owner->Term, std::move(Pending),
               now()};
      Pending.clear();
      for (const auto &Write : C.Writes)
        ++Owner->Shared.Writes[Write.second].Effects;
      Owner->Shared.CommitOfSignature[Signature] = C.Id;
      Owner->Known.insert(C.Id);
      Owner->Log.push_back(std::move(C));
    }
    finish("DONE " + Signature + "\r\n");
  }

  ServerRef Owner;
  tcp::socket Socket;
  std::array<char, 4096> Buffer{};
  std::string Input;
  std::string Value;
  std::map<std::string, std::string> Prepared;
  std::map<std::string, std::string> Pending;
  bool InTransaction = false;
};

Server::Server(io_context &Loop, Truth &Shared, std::string Id)
    : Loop(Loop), Shared(Shared), Id(std::move(Id)) {}

void Server::start() {
  if (Up)
    return;
  Up = true;
  if (Acceptor)
    return;
  Acceptor = std::make_unique<tcp::acceptor>(
      Loop, tcp::endpoint(platform::asio::ip::make_address("127.0.0.1"), 0));
  Port = Acceptor->local_endpoint().port();
  accept();
}

void Server::accept() {
  Acceptor->async_accept(
      [Self = shared_from_this()](error_code Error, tcp::socket Socket) {
        if (Error)
          return;
        if (!Self->Up) {
          // The port stays taken while the server is down; callers see a reset.
          Socket.set_option(tcp::socket::linger(true, 0));
          Socket.close();
          Self->accept();
          return;
        }
        auto C = std::make_shared<Connection>(*Self, std::move(Socket));
        Self->Open.insert(C);
        C->read();
        Self->accept();
      });
}

void Server::crash() {
  if (!Up)
    return;
  Up = false;
  resetConnections();
}

void Server::resetConnections() {
  auto All = Open;
  for (const auto &C : All)
    C->close();
}

std::string Server::entry() const {
  std::ostringstream Out;
  Out << R"({"service":"svc","addr":"127.0.0.1:)" << Port
      << R"(","zone":"z","version":"v1","slots":4,"state":")"
      << (Draining ? "draining" : "ready") << R"(","coldLeftMs":0,"dbRole":")"
      << (Leads ? "primary" : "replica") << R"(","seq":1})";
  return Out.str();
}

Servers::Servers(io_context &Loop, Truth &Shared) : Loop(Loop), Shared(Shared) {
  for (const char *Id : {"i-a", "i-b", "i-c"}) {
    All.push_back(std::make_shared<Server>(Loop, Shared, Id));
    All.back()->start();
  }
  All[0]->Leads = true;
}

ServerRef Servers::find(const std::string &Id) const {
  for (const ServerRef &S : All)
    if (S->Id == Id)
      return S;
  return nullptr;
}

ServerRef Servers::leader() const {
  ServerRef Best;
  for (const ServerRef &S : All)
    if (S->Leads && (!Best || S->Term > Best->Term))
      Best = S;
  return Best;
}

bool Servers::promote(const std::string &Id) {
  ServerRef Next = find(Id);
  if (!Next || !Next->Up)
    return false;
  if (Next->Leads && leader() == Next)
    return true;
  after(Loop, PromotionTime, [this, Next] {
    std::uint64_t Term = 0;
    for (const ServerRef &S : All)
      Term = std::max(Term, S->Term);
    Next->Term = Term + 1;
    Next->Leads = true;
    Next->DemoteAt = Instant::max();
    for (const ServerRef &S : All) {
      for (const Commit &C : S->Log)
        if (Next->Known.count(C.Id) == 0)
          Shared.RolledBack.insert(C.Id);
      if (S != Next && S->Leads)
        S->DemoteAt = now() + DemotionDelay;
    }
  });
  return true;
}

void Servers::follow(Server &Replica, const Server &Leader) {
  std::size_t Common = 0;
  while (Common < Replica.Log.size() && Common < Leader.Log.size() &&
         Replica.Log[Common].Id == Leader.Log[Common].Id)
    ++Common;
  for (std::size_t I = Common; I < Replica.Log.size(); ++I)
    Replica.Known.erase(Replica.Log[I].Id);
  Replica.Log.resize(Common);
  for (std::size_t I = Common; I < Leader.Log.size(); ++I) {
    if (Leader.Log[I].At + Replica.Lag > now())
      break;
    Replica.Log.push_back(Leader.Log[I]);
    Replica.Known.insert(Leader.Log[I].Id);
  }
  Replica.Term = Leader.Term;
}

void Servers::replicate() {
  ServerRef Leader = leader();
  for (const ServerRef &S : All) {
    if (S->Leads && S != Leader && S->Up && now() >= S->DemoteAt)
      S->Leads = false;
    if (!S->Leads && S->Up && Leader && Leader->Up)
      follow(*S, *Leader);
  }
}

} // namespace eelgrassloom::soak
