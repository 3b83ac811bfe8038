#include "database.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {

namespace {

constexpr Duration HandshakeTime = 12ms;
constexpr Duration WorkTime = 11ms;
constexpr Duration OwnWorkTime = 1ms;
constexpr Duration PromotionTime = 300ms;
/// A former primary follows this long after it can reach the new one.
constexpr Duration DemotionTime = 1s;
constexpr std::size_t MaxConnections = 33;
/// drainMs of the settings.
constexpr Duration DrainBound = 7s;
/// Time of the network between two servers.
constexpr Duration TransferTime = 2ms;

std::string takeWord(std::string &Rest) {
  std::size_t End = Rest.find(' ');
  std::string Word = Rest.substr(0, End);
  Rest = End == std::string::npos ? std::string() : Rest.substr(End + 1);
  return Word;
}

std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

/// A connection of a proxy to a server.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(std::shared_ptr<Server> Parent, tcp::socket Socket)
      : Parent(std::move(Parent)), Socket(std::move(Socket)) {}

  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
          if (Error || !Self->Parent->Up) {
            Self->close();
            return;
          }
          Self->Input.append(Self->Buffer.data(), Bytes);
          Self->takeLines();
          Self->read();
        });
  }

  /// Rolls an open transaction back.
  void close() {
    error_code Ignored;
    Socket.close(Ignored);
    Pending.clear();
    Parent->Connections.erase(shared_from_this());
  }

private:
  void takeLines() {
    std::size_t End = 0;
    while ((End = Input.find("\r\n")) != std::string::npos) {
      Lines.push_back(Input.substr(0, End));
      Input.erase(0, End + 2);
    }
    runNext();
  }

  void runNext() {
    if (Running || Lines.empty())
      return;
    Running = true;
    std::string Line = Lines.front();
    Lines.pop_front();
    Duration Work = Line.starts_with("START")      ? HandshakeTime
                    : Line.starts_with("QUERY - ") ? OwnWorkTime
                                                   : WorkTime;
    runAfter(Parent->Loop, Work, [Self = shared_from_this(), Line] {
      Self->Running = false;
      if (!Self->Parent->Up || !Self->Socket.is_open())
        return;
      Self->run(Line);
      Self->runNext();
    });
  }

  void send(const std::string &Text) {
    error_code Ignored;
    asio::write(Socket, asio::buffer(Text), Ignored);
  }

  std::string ready() const {
    return std::string("READY ") + State + " " + Parent->position() + "\r\n";
  }

  void done(const std::string &Signature, const std::string &Rows = {}) {
    send(Rows + "DONE " + Signature + "\r\n" + ready());
  }

  void error(const std::string &Code) {
    if (State == 'T')
      State = 'E';
    send("ERR " + Code + " " + Parent->Id + "\r\n" + ready());
  }

  std::string signature() {
    return "sig" + std::to_string(Parent->Parent.Facts.NextSignature++);
  }

  void run(const std::string &Line) {
    std::string Rest = Line;
    std::string Word = takeWord(Rest);
    if (Word == "START") {
      start(Rest);
      return;
    }
    if (Word == "BYE") {
      close();
      return;
    }
    std::string Id = takeWord(Rest);
    std::string Text = Rest;
    if (Rest.starts_with("AFTER ")) {
      takeWord(Rest);
      std::string Position = takeWord(Rest);
      std::size_t Dot = Position.find('.');
      std::uint64_t Term = std::stoull(Position.substr(0, Dot));
      std::uint64_t Number = std::stoull(Position.substr(Dot + 1));
      if (Term > Parent->Term || Number > Parent->Applied) {
        record("server " + Parent->Id + " (applied " + Parent->position() +
               ") refuses " + Id + " AFTER " + Position + " from " + Who);
        error("LAGGING");
        return;
      }
    }
    if (Id == "-")
      runOwn(Rest);
    else
      runStatement(Id, Rest);
  }

  void start(std::string Rest) {
    std::string Name = takeWord(Rest);
    Who = takeWord(Rest);
    if (Name != Parent->Parent.Name || (!Rest.empty() && Rest != Parent->Id))
      send("ERR WRONGNODE " + Parent->Id + "\r\n");
    else if (Parent->Connections.size() > MaxConnections)
      send("ERR TOOMANY " + Parent->Id + "\r\n");
    else {
      send(ready());
      return;
    }
    close();
  }

  void runOwn(std::string Rest) {
    std::string Text = Rest;
    std::string Word = takeWord(Rest);
    if (Text == "STATUS") {
      done("-", "ROW " +
                    std::string(Parent->IsPrimary ? "primary" : "replica") +
                    " " + std::to_string(Parent->Term) + " " +
                    std::to_string(Parent->Term) + "." +
                    std::to_string(Parent->Log.size()) + " 0 0 0 " +
                    std::to_string(Parent->Connections.size()) + "\r\n");
    } else if (Word == "BEGIN") {
      begin(Rest == "READ");
    } else if (Word == "ROLLBACK") {
      State = 'I';
      Pending.clear();
      done("-");
    } else if (Word == "RESET" || Word == "SET" || Word == "DEALLOC") {
      done("-");
    } else if (Word == "PREPARE") {
      std::string Name = takeWord(Rest);
      Prepared[Name] = takeWord(Rest);
      done("-");
    } else {
      error("MALFORMED");
    }
  }

  void begin(bool ReadOnly) {
    if (!ReadOnly && !Parent->IsPrimary) {
      error("READONLY");
      return;
    }
    State = 'T';
    Plain = !ReadOnly;
    done("-");
  }

  void runStatement(const std::string &Id, std::string Rest) {
    Oracle &Facts = Parent->Parent.Facts;
    if (State == 'E') {
      error("MALFORMED");
      return;
    }
    auto Sent = Facts.Requests.find(Id);
    std::string Text = Rest;
    std::string Word = takeWord(Rest);
    if (Sent == Facts.Requests.end() ||
        (Word != "EXEC" && Sent->second.Text != Text)) {
      Facts.Broken.push_back("UNASKED: " + Parent->Id + " got " + Id + " " +
                             Text);
      error("MALFORMED");
      return;
    }
    if (Word == "EXEC") {
      auto Known = Prepared.find(takeWord(Rest));
      if (Known == Prepared.end()) {
        error("NOSTMT");
        return;
      }
      Word = Known->second;
    }
    bool Writes = !Pending.empty() || Word == "WRITE";
    if (!Parent->IsPrimary && (Word == "WRITE" || (State == 'T' && Plain)) &&
        (Word != "COMMIT" || Writes)) {
      Pending.clear();
      error("READONLY");
      return;
    }
    record("server " + Parent->Id + " (" +
           (Parent->IsPrimary ? "primary" : "replica") + ", term " +
           std::to_string(Parent->Term) + ") runs " + Id + " " + Text +
           " from " + Who);
    // Statements inside of a transaction do not count.
    if (State == 'I' && Parent->Draining &&
        now() - Parent->DrainingSince > DrainBound)
      Facts.Broken.push_back(
          "DRAIN: " + Id + " reached " + Parent->Id + " from " + Who + " " +
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             now() - Parent->DrainingSince)
                             .count()) +
          " ms after the store had acknowledged that it drains");
    if (Word == "READ") {
      readItem(Id, Rest, Sent->second.At);
    } else if (Word == "WRITE") {
      std::string Item = takeWord(Rest);
      Pending[Item] = Rest;
      if (State == 'I')
        commit(Id);
      else
        done(signature());
    } else if (Word == "COMMIT") {
      commit(Id);
    } else {
      error("MALFORMED");
    }
  }

  /// The server has applied the commit.
  bool applied(const std::string &CommitId) const {
    return std::any_of(Parent->Log.begin(),
                       Parent->Log.begin() +
                           static_cast<std::ptrdiff_t>(Parent->Applied),
                       [&](const Commit &C) { return C.Id == CommitId; });
  }

  void readItem(const std::string &Id, const std::string &Item,
                Instant SentAt) {
    Oracle &Facts = Parent->Parent.Facts;
    for (const auto &Each : Facts.Commits) {
      if (Each.At >= SentAt || Each.Service != Parent->Parent.Name ||
          Facts.RolledBack.count(Each.CommitId) != 0)
        continue;
      if (!applied(Each.CommitId))
        Facts.LackingReads[Id] = "ran on " + Parent->Id + " (" +
                                 (Parent->IsPrimary ? "primary" : "replica") +
                                 ", term " + std::to_string(Parent->Term) +
                                 "), which lacks commit " + Each.CommitId +
                                 ", acknowledged at " + secondsText(Each.At);
    }
    for (const std::string &Own : Facts.OwnCommits[Id.substr(0, Id.find('x'))])
      if (Facts.ServiceOf[Own] == Parent->Parent.Name &&
          Facts.RolledBack.count(Own) == 0 && !applied(Own))
        Facts.LackingOwn[Id] = "ran on " + Parent->Id + " (" +
                               (Parent->IsPrimary ? "primary" : "replica") +
                               "), which lacks commit " + Own +
                               " of the same session";
    std::string Value = "none";
    for (std::size_t I = 0; I < Parent->Applied; ++I)
      if (auto It = Parent->Log[I].Writes.find(Item);
          It != Parent->Log[I].Writes.end())
        Value = It->second;
    done(signature(), "ROW " + Value + "\r\n");
  }

  void commit(const std::string &Id) {
    State = 'I';
    if (!Pending.empty()) {
      Parent->Log.push_back({Id, Parent->Term, std::move(Pending), now()});
      Pending.clear();
      Parent->Applied = Parent->Log.size();
      Parent->Parent.Facts.ServiceOf[Id] = Parent->Parent.Name;
      ServerRef Leader = Parent->Parent.leader();
      if (Leader && Leader->Term > Parent->Term)
        Parent->Parent.Facts.LateCommits[Id] =
            "committed on " + Parent->Id + " (term " +
            std::to_string(Parent->Term) + ") while " + Leader->Id +
            " led term " + std::to_string(Leader->Term) + " since " +
            secondsText(Parent->Parent.PromotedAt);
    }
    done(signature());
  }

  std::shared_ptr<Server> Parent;
  tcp::socket Socket;
  std::array<char, 4096> Buffer{};
  std::string Input;
  std::string Who;
  std::deque<std::string> Lines;
  bool Running = false;
  char State = 'I';
  bool Plain = false;
  std::map<std::string, std::string> Pending;
  /// READ or WRITE by name.
  std::map<std::string, std::string> Prepared;
};

Server::Server(asio::io_context &Loop, Service &Parent, std::string Id,
               std::string Zone)
    : Loop(Loop), Parent(Parent), Id(std::move(Id)), Zone(std::move(Zone)),
      Acceptor(Loop) {}

void Server::start() {
  Up = true;
  Born = unixMillis();
  if (Port == 0) {
    Acceptor = tcp::acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0});
    Port = Acceptor.local_endpoint().port();
    accept();
  }
}

void Server::stop() {
  Up = false;
  auto All = Connections;
  for (const auto &C : All)
    C->close();
  record("server " + Id + " ends");
}

void Server::accept() {
  Acceptor.async_accept(
      [Self = shared_from_this()](error_code Error, tcp::socket Socket) {
        if (Error)
          return;
        if (Self->Up) {
          Socket.set_option(tcp::no_delay(true));
          auto C = std::make_shared<ServerConnection>(Self, std::move(Socket));
          Self->Connections.insert(C);
          C->read();
        } else {
          // A port without a listener resets.
          Socket.set_option(tcp::socket::linger(true, 0));
          Socket.close();
        }
        Self->accept();
      });
}

std::string Server::entry() const {
  return nlohmann::json{{"service", Parent.Name},
                        {"addr", "127.0.0.1:" + std::to_string(Port)},
                        {"zone", Zone},
                        {"version", "v1"},
                        {"slots", 5},
                        {"state", Draining ? "draining" : "ready"},
                        {"coldLeftMs", 0},
                        {"seq", 1},
                        {"dbRole", IsPrimary ? "primary" : "replica"},
                        {"born", Born}}
      .dump();
}

std::string Server::position() const {
  return std::to_string(Term) + "." + std::to_string(Applied);
}

Service::Service(asio::io_context &Loop, Oracle &Facts, std::string Name,
                 Duration Lag)
    : Lag(Lag), Loop(Loop), Facts(Facts), Name(std::move(Name)) {}

ServerRef Service::add(const std::string &Id, const std::string &Zone,
                       bool Primary) {
  auto S = std::make_shared<Server>(Loop, *this, Id, Zone);
  S->IsPrimary = Primary;
  if (ServerRef Leader = leader())
    S->Term = Leader->Term;
  S->start();
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
    if (S->IsPrimary && (!Best || S->Term > Best->Term))
      Best = S;
  return Best;
}

bool Service::promote(const std::string &Id) {
  ServerRef Next = find(Id);
  if (!Next || !Next->Up)
    return false;
  if (leader() == Next)
    return true;
  runAfter(Loop, PromotionTime, [this, Next] {
    if (!Next->Up || leader() == Next)
      return;
    std::uint64_t Newest = 0;
    for (const ServerRef &S : Servers)
      Newest = std::max(Newest, S->Term);
    Next->Term = Newest + 1;
    Next->IsPrimary = true;
    Next->Applied = Next->Log.size();
    Next->DemoteAt = Instant::max();
    PromotedAt = now();
    record("platform: " + Next->Id + " leads " + Name + " in term " +
           std::to_string(Next->Term) + " with " +
           std::to_string(Next->Log.size()) + " commits");
    for (const ServerRef &S : Servers) {
      for (const Commit &C : S->Log)
        if (std::none_of(Next->Log.begin(), Next->Log.end(),
                         [&](const Commit &Kept) { return Kept.Id == C.Id; }))
          Facts.RolledBack.insert(C.Id);
      if (S != Next && S->IsPrimary)
        S->DemoteAt = now() + DemotionTime;
    }
  });
  return true;
}

void Service::replicate() {
  ServerRef Leader = leader();
  for (const ServerRef &S : Servers) {
    if (S->Up && S->IsPrimary && S != Leader && now() >= S->DemoteAt) {
      S->IsPrimary = false;
      record("server " + S->Id + " is a replica now");
    }
    if (S->IsPrimary || !S->Up || !Leader || !Leader->Up)
      continue;
    std::size_t Common = 0;
    while (Common < S->Log.size() && Common < Leader->Log.size() &&
           S->Log[Common].Id == Leader->Log[Common].Id)
      ++Common;
    S->Log.resize(Common);
    S->Applied = std::min(S->Applied, Common);
    for (std::size_t I = Common;
         I < Leader->Log.size() && Leader->Log[I].At + TransferTime <= now();
         ++I)
      S->Log.push_back(Leader->Log[I]);
    while (S->Applied < S->Log.size() && S->Log[S->Applied].At + Lag <= now())
      ++S->Applied;
    S->Term = Leader->Term;
  }
}

} // namespace review
