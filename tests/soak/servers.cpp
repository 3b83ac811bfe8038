// The database servers of the soak and the checks of their answers.

#include "connection.h"
#include <algorithm>
#include <sstream>

namespace eelgrassloom::soak {

using namespace std::chrono_literals;

namespace {

constexpr Duration PromotionTime = 150ms;
/// Time until a former primary notices the promotion of another server.
constexpr Duration DemotionDelay = 1s;

} // namespace

std::vector<Violation> Oracle::remainingViolations() const {
  std::vector<Violation> Result;
  for (const Violation &S : Violations)
    if (S.Missing == 0 || RolledBack.count(S.Missing) == 0)
      Result.push_back(S);
  for (const auto &[Value, W] : Writes) {
    if (W.TimesApplied > 1)
      Result.push_back({"TWICE", wiretest::printable(Value), 0});
    if (W.TimesApplied > 0 && W.DefinitelyFailed)
      Result.push_back({"REFUSED", wiretest::printable(Value), 0});
  }
  return Result;
}

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
