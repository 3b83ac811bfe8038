// The database servers of the soak and the checks of their answers.

#include "standins.h"
#include <algorithm>
#include <boost/asio/write.hpp>
#include <sstream>

namespace eelgrassloom::soak {

using namespace std::chrono_literals;

namespace {

constexpr Duration PromotionTime = 150ms;
/// Time until a former primary notices the promotion of another server.
constexpr Duration DemotionDelay = 1s;

std::vector<std::string> splitWords(const std::string &Line) {
  std::istringstream In(Line);
  std::vector<std::string> Result;
  for (std::string Word; In >> Word;)
    Result.push_back(Word);
  return Result;
}

} // namespace

std::vector<Violation> Oracle::remainingViolations() const {
  std::vector<Violation> Result;
  for (const Violation &S : Violations)
    if (S.Missing == 0 || RolledBack.count(S.Missing) == 0)
      Result.push_back(S);
  for (const auto &[Value, W] : Writes) {
    if (W.TimesApplied > 1)
      Result.push_back({"TWICE", Value, 0});
    if (W.TimesApplied > 0 && W.DefinitelyFailed)
      Result.push_back({"REFUSED", Value, 0});
  }
  return Result;
}

/// A connection of a proxy to a database server.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Server &Parent, tcp::socket Socket)
      : Parent(Parent.shared_from_this()), Socket(std::move(Socket)) {}

  void read() {
    Socket.async_read_some(
        platform::asio::buffer(Buffer),
        [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
          if (Error || !Self->Parent->Up) {
            Self->close();
            return;
          }
          if (Self->Parent->Mode != NetworkMode::DropAll)
            Self->Input.append(Self->Buffer.data(), Bytes);
          Self->processLines();
          Self->read();
        });
  }

  void close() {
    error_code Ignored;
    Socket.close(Ignored);
    Parent->OpenConnections.erase(shared_from_this());
  }

private:
  void processLines() {
    std::size_t End;
    while ((End = Input.find("\r\n")) != std::string::npos) {
      std::string Line = Input.substr(0, End);
      Input.erase(0, End + 2);
      auto W = splitWords(Line);
      if (W.size() > 2 && W[0] == "QUERY")
        Parent->TestOracle.Received[W[1]] = ClientName;
      runAfter(Parent->Loop, Parent->StatementTime,
               [Self = shared_from_this(), Line] {
                 if (Self->Parent->Up && Self->Socket.is_open())
                   Self->run(Line);
               });
    }
  }

  void send(const std::string &Text) {
    if (Parent->Mode != NetworkMode::Normal)
      return;
    error_code Ignored; // A broken socket also fails the pending read.
    platform::asio::write(Socket, platform::asio::buffer(Text), Ignored);
  }

  void sendReply(const std::string &Body) {
    char State = InTransaction ? 'T' : 'I';
    send(Body + "READY " + State + " " +
         platform::encodePosition(Parent->position()) + "\r\n");
  }

  void sendError(const char *Code) {
    sendReply("ERR " + std::string(Code) + " -\r\n");
  }

  std::string signature() {
    return "s" + std::to_string(Parent->TestOracle.NextSignature++);
  }

  void run(const std::string &Line) {
    auto W = splitWords(Line);
    if (W.size() >= 4 && W[0] == "START") {
      ClientName = W[2];
      if (W[3] != Parent->Id)
        send("ERR WRONGNODE -\r\n");
      else
        sendReply("");
      return;
    }
    if (W.size() < 3 || W[0] != "QUERY") {
      close();
      return;
    }
    std::size_t At = 2;
    if (W[2] == "AFTER" && W.size() > 4) {
      auto P = platform::decodePosition(W[3]);
      if (!P || P->Term > Parent->Term || P->Index > Parent->Log.size()) {
        sendError("LAGGING");
        return;
      }
      At = 4;
    }
    runStatement(W[1], {W.begin() + static_cast<std::ptrdiff_t>(At), W.end()});
  }

  void runStatement(const std::string &Id, std::vector<std::string> W) {
    if (W[0] == "EXEC") {
      auto It = Prepared.find(W[1]);
      if (It == Prepared.end()) {
        sendError("NOSTMT");
        return;
      }
      W.erase(W.begin() + 1);
      W[0] = It->second;
    }
    if (W[0] == "RESET") {
      SessionValue.clear();
      Prepared.clear();
      sendReply("DONE -\r\n");
    } else if (W[0] == "SET") {
      SessionValue = W[2];
      sendReply("DONE -\r\n");
    } else if (W[0] == "PREPARE") {
      Prepared[W[1]] = W[2];
      sendReply("DONE -\r\n");
    } else if (W[0] == "STATUS") {
      sendReply(std::string("ROW ") +
                (Parent->IsPrimary ? "primary " : "replica ") +
                std::to_string(Parent->Term) + " " +
                platform::encodePosition(Parent->position()) +
                " 0 0 0 0\r\nDONE -\r\n");
    } else if (W[0] == "BEGIN") {
      if (W.size() == 1 && !Parent->IsPrimary) {
        sendError("READONLY");
        return;
      }
      InTransaction = true;
      Pending.clear();
      sendReply("DONE -\r\n");
    } else if (W[0] == "ROLLBACK") {
      InTransaction = false;
      Pending.clear();
      sendReply("DONE -\r\n");
    } else if (W[0] == "READ") {
      readItem(Id, W[1]);
    } else if (W[0] == "WRITE") {
      writeItem(W);
    } else if (W[0] == "COMMIT") {
      commit();
    } else {
      sendError("MALFORMED");
    }
  }

  void readItem(const std::string &Id, const std::string &Item) {
    std::string Signature = signature();
    checkRead(Id, Signature);
    std::string Row = "none";
    for (const Commit &C : Parent->Log)
      if (auto It = C.Writes.find(Item); It != C.Writes.end())
        Row = It->second;
    sendReply("ROW " + Row + "\r\nDONE " + Signature + "\r\n");
  }

  /// Records what the answer violates if the caller receives it as a success.
  void checkRead(const std::string &Id, const std::string &Signature) {
    auto It = Parent->TestOracle.Reads.find(Id);
    auto &PotentialViolations = Parent->TestOracle.PotentialViolations;
    if (It == Parent->TestOracle.Reads.end()) {
      Parent->TestOracle.Violations.push_back({"UNASKED", Id, 0});
      return;
    }
    const ReadContext &R = It->second;
    if (SessionValue != R.SessionValue)
      PotentialViolations[Signature] = {
          "PINNED", SessionValue + " is set instead of " + R.SessionValue, 0};
    for (CommitId Own : R.OwnCommits)
      if (Parent->CommitIds.count(Own) == 0)
        PotentialViolations[Signature] = {
            "STALE", Id + " lacks a commit of its session on " + Parent->Id,
            Own};
    for (const auto &[At, Commit] : Parent->TestOracle.Acknowledged)
      if (At < R.Start - R.Bound && Parent->CommitIds.count(Commit) == 0)
        PotentialViolations[Signature] = {
            "STALE", Id + " lacks an acknowledged commit on " + Parent->Id,
            Commit};
  }

  void writeItem(const std::vector<std::string> &W) {
    if (!Parent->IsPrimary) {
      sendError("READONLY");
      return;
    }
    Pending[W[1]] = W.at(2);
    if (InTransaction)
      sendReply("DONE " + signature() + "\r\n");
    else
      commit();
  }

  void commit() {
    if (!Parent->IsPrimary && !Pending.empty()) {
      InTransaction = false;
      Pending.clear();
      sendError("READONLY");
      return;
    }
    InTransaction = false;
    std::string Signature = signature();
    if (!Pending.empty()) {
      Commit C{Parent->TestOracle.NextCommit++, Parent->Term,
               std::move(Pending), now()};
      Pending.clear();
      for (const auto &Write : C.Writes)
        ++Parent->TestOracle.Writes[Write.second].TimesApplied;
      Parent->TestOracle.CommitOfSignature[Signature] = C.Id;
      Parent->CommitIds.insert(C.Id);
      Parent->Log.push_back(std::move(C));
    }
    sendReply("DONE " + Signature + "\r\n");
  }

  ServerRef Parent;
  tcp::socket Socket;
  std::array<char, 4096> Buffer{};
  std::string Input;
  /// Name of the proxy, from its START.
  std::string ClientName;
  /// Session setting that SET has stored.
  std::string SessionValue;
  /// Verb of each prepared statement, by its name.
  std::map<std::string, std::string> Prepared;
  /// Uncommitted writes.
  std::map<std::string, std::string> Pending;
  bool InTransaction = false;
};

Server::Server(io_context &Loop, Oracle &TestOracle, std::string Id)
    : Loop(Loop), TestOracle(TestOracle), Id(std::move(Id)) {}

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
          // The port stays bound while the server is down, and its clients get
          // a reset.
          Socket.set_option(tcp::socket::linger(true, 0));
          Socket.close();
          Self->accept();
          return;
        }
        auto C = std::make_shared<Connection>(*Self, std::move(Socket));
        Self->OpenConnections.insert(C);
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
  auto All = OpenConnections;
  for (const auto &C : All)
    C->close();
}

std::string Server::entry() const {
  std::ostringstream Out;
  Out << R"({"service":"svc","addr":"127.0.0.1:)" << Port
      << R"(","zone":"z","version":"v1","slots":)" << Slots << R"(,"state":")"
      << (Draining ? "draining" : "ready") << R"(","coldLeftMs":0,"dbRole":")"
      << (IsPrimary ? "primary" : "replica") << R"(","seq":1})";
  return Out.str();
}

ServerGroup::ServerGroup(io_context &Loop, Oracle &TestOracle)
    : Loop(Loop), TestOracle(TestOracle) {
  for (const char *Id : {"i-a", "i-b", "i-c"}) {
    Members.push_back(std::make_shared<Server>(Loop, TestOracle, Id));
    Members.back()->start();
  }
  Members[0]->IsPrimary = true;
}

ServerRef ServerGroup::find(const std::string &Id) const {
  for (const ServerRef &S : Members)
    if (S->Id == Id)
      return S;
  return nullptr;
}

ServerRef ServerGroup::primary() const {
  ServerRef Best;
  for (const ServerRef &S : Members)
    if (S->IsPrimary && (!Best || S->Term > Best->Term))
      Best = S;
  return Best;
}

bool ServerGroup::promote(const std::string &Id) {
  ServerRef Next = find(Id);
  if (!Next || !Next->Up)
    return false;
  if (Next->IsPrimary && primary() == Next)
    return true;
  runAfter(Loop, PromotionTime, [this, Next] {
    std::uint64_t Term = 0;
    for (const ServerRef &S : Members)
      Term = std::max(Term, S->Term);
    Next->Term = Term + 1;
    Next->IsPrimary = true;
    Next->DemoteAt = Instant::max();
    for (const ServerRef &S : Members) {
      for (const Commit &C : S->Log)
        if (Next->CommitIds.count(C.Id) == 0)
          TestOracle.RolledBack.insert(C.Id);
      if (S != Next && S->IsPrimary)
        S->DemoteAt = now() + DemotionDelay;
    }
  });
  return true;
}

void ServerGroup::follow(Server &Replica, const Server &Primary) {
  std::size_t Common = 0;
  while (Common < Replica.Log.size() && Common < Primary.Log.size() &&
         Replica.Log[Common].Id == Primary.Log[Common].Id)
    ++Common;
  for (std::size_t I = Common; I < Replica.Log.size(); ++I)
    Replica.CommitIds.erase(Replica.Log[I].Id);
  Replica.Log.resize(Common);
  for (std::size_t I = Common; I < Primary.Log.size(); ++I) {
    if (Primary.Log[I].At + Replica.Lag > now())
      break;
    Replica.Log.push_back(Primary.Log[I]);
    Replica.CommitIds.insert(Primary.Log[I].Id);
  }
  Replica.Term = Primary.Term;
}

void ServerGroup::replicate() {
  ServerRef Primary = primary();
  for (const ServerRef &S : Members) {
    if (S->IsPrimary && S != Primary && S->Up && now() >= S->DemoteAt)
      S->IsPrimary = false;
    if (!S->IsPrimary && S->Up && Primary && Primary->Up)
      follow(*S, *Primary);
  }
}

} // namespace eelgrassloom::soak
