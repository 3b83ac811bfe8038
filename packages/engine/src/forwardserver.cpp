// Receiving side of statement forwarding: statements that this proxy runs for
// others, as owner of their service or as fallback proxy.

#include "engine/engine.h"
#include "engine/forward.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Forwarded sessions are identified by the number of the client above this bit
/// and the session number of the client below, so that sessions of different
/// proxies are kept apart.
constexpr unsigned PeerSessionShift = 40;

/// Encodes an answer. One that is too long is replaced by an error, because the
/// statements of other callers use the same stream.
std::string encodeAnswer(ForwardAnswer Answer) {
  std::string Bytes = encode(Answer);
  if (Bytes.size() <= MaxForwardBytes)
    return Bytes;
  ServerReply &Reply = Answer.Reply;
  Reply.Error = ReplyCode::Failed;
  Reply.ErrorText = "the answer is too long to be forwarded";
  Reply.Rows.clear();
  Reply.Signature.clear();
  return encode(Answer);
}

} // namespace detail

void StatementForwarder::accept(std::shared_ptr<PeerStream> Stream) {
  auto Client = std::make_shared<PeerClient>();
  Client->Number = NextClient++;
  Client->Stream = Stream;
  Client->LastContact = SessionEngine.runtime().Now();
  Clients.insert(Client);
  Stream->start(
      [this, Client](std::string_view Bytes) {
        handleClientMessage(Client, Bytes);
      },
      [this, Client] { dropClient(Client); });
  if (Stopping)
    Stream->send(encode(ForwardLeaving{}));
}

void StatementForwarder::leave() {
  Stopping = true;
  for (const PeerClientRef &Client : Clients)
    Client->Stream->send(encode(ForwardLeaving{}));
}

void StatementForwarder::applyStop(StopPhase Phase) {
  for (const PeerClientRef &Client : Clients) {
    if (Phase >= StopPhase::EndingTransactions)
      endTransactions(Client);
    if (Phase >= StopPhase::Ending)
      returnUnsent(Client);
  }
}

std::vector<std::uint64_t>
StatementForwarder::unused(const PeerClient &Client) {
  std::set<ConnectionRef> InUse;
  for (const auto &[Exchange, J] : Client.Running)
    if (J->Pinned)
      InUse.insert(J->Pinned->Connection);
  std::vector<std::uint64_t> Unused;
  for (const auto &[Number, Held] : Client.Transactions)
    if (InUse.count(Held.Pinned.Connection) == 0)
      Unused.push_back(Number);
  return Unused;
}

void StatementForwarder::endTransactions(const PeerClientRef &Client) {
  for (std::uint64_t Number : unused(*Client))
    rollBackForwarded(Client, Number);
}

std::vector<EndableTransaction>
StatementForwarder::restingTransactions(std::string_view Service) {
  std::vector<EndableTransaction> Resting;
  for (const PeerClientRef &Client : Clients)
    for (std::uint64_t Number : unused(*Client)) {
      const HeldTransaction &Held = Client->Transactions.at(Number);
      if (Held.Service == Service)
        Resting.push_back({{Held.Pinned.Connection->Customer,
                            Held.Pinned.Pool->server().Id, Held.LastUsed},
                           [this, Client, Number](const CustomerId &For) {
                             endResting(Client, Number, For);
                           }});
    }
  return Resting;
}

void StatementForwarder::endResting(const PeerClientRef &Client,
                                    std::uint64_t Transaction,
                                    const CustomerId &For) {
  auto It = Client->Transactions.find(Transaction);
  if (It == Client->Transactions.end())
    return;
  HeldTransaction Held = std::move(It->second);
  Client->Transactions.erase(It);
  SessionEngine.events().write(
      EngineEvent::TransactionEnded,
      {{"service", Held.Service},
       {"customer", Held.Pinned.Connection->Customer},
       {"reason", detail::ConnectionNeededReason},
       {"idle_ms", SessionEngine.runtime().Now() - Held.LastUsed}});
  if (auto G = SessionEngine.group(Held.Service))
    G->handOver(Held.Pinned, For);
}

void StatementForwarder::returnUnsent(const PeerClientRef &Client) {
  std::vector<std::uint64_t> Unsent;
  for (const auto &[Exchange, J] : Client->Running)
    if (!J->Sent && !J->Pinned && !J->ForwardedTo)
      Unsent.push_back(Exchange);
  for (std::uint64_t Exchange : Unsent) {
    ForwardAnswer Answer;
    Answer.Exchange = Exchange;
    Answer.Unservable = true;
    Answer.ReachedServer = Client->Running.at(Exchange)->ReachedServer;
    cancelForwarded(Client, Exchange);
    Client->Stream->send(encode(Answer));
  }
}

bool StatementForwarder::servesPeers() const {
  return std::any_of(
      Clients.begin(), Clients.end(), [](const PeerClientRef &Client) {
        return !Client->Running.empty() || !Client->Transactions.empty();
      });
}

void StatementForwarder::handleClientMessage(const PeerClientRef &Client,
                                             std::string_view Bytes) {
  Client->LastContact = SessionEngine.runtime().Now();
  auto Message = decodeForward(Bytes);
  if (!Message) {
    SessionEngine.events().write(
        EngineEvent::InputRejected,
        {{"from", "stream"}, {"findings", toString(Message.findings())}});
    dropClient(Client);
    return;
  }
  ForwardMessage M = std::move(Message).value();
  if (auto *Request = std::get_if<ForwardRequest>(&M))
    runForwarded(Client, std::move(*Request));
  else if (const auto *Cancel = std::get_if<ForwardCancel>(&M))
    cancelForwarded(Client, Cancel->Exchange);
  else if (const auto *RollBack = std::get_if<ForwardRollBack>(&M))
    rollBackForwarded(Client, RollBack->Transaction);
  else if (const auto *Ping = std::get_if<ForwardPing>(&M);
           Ping && !Ping->Reply)
    Client->Stream->send(encode(ForwardPing{true}));
  else if (std::holds_alternative<ConfigRequest>(M) && CurrentConfig)
    Client->Stream->send(encode(CurrentConfig()));
  else if (std::holds_alternative<ServersRequest>(M) && CurrentServers)
    Client->Stream->send(encode(CurrentServers()));
}

/// True for a statement of a proxy whose program does not know customers and
/// sends no version. It must not run on a connection of the proxy, because the
/// server would not be told its customer.
bool StatementForwarder::lacksCustomer(const ForwardRequest &M) const {
  return M.Customer.empty() && M.ConfigVersion == 0 &&
         !SessionEngine.config().Customers.empty();
}

void StatementForwarder::runForwarded(const PeerClientRef &Client,
                                      ForwardRequest M) {
  ForwardAnswer Refusal;
  Refusal.Exchange = M.Exchange;
  Refusal.ReachedServer = false;
  auto G = SessionEngine.group(M.Route.Service);
  auto Pinned = Client->Transactions.find(M.Transaction);
  if (M.Transaction != 0 && Pinned == Client->Transactions.end()) {
    // The transaction was rolled back.
    Refusal.Reply.Error = ReplyCode::Aborted;
    Refusal.Reply.ErrorText = "the transaction was rolled back";
    Client->Stream->send(encode(Refusal));
    return;
  }
  if (!G || lacksCustomer(M) ||
      (M.Transaction == 0 && (Stopping || !SessionEngine.ready()))) {
    Refusal.Unservable = true;
    Client->Stream->send(encode(Refusal));
    return;
  }
  if (auto Code = SessionEngine.keyRefusal(
          {M.Customer, M.KeyHash, M.Route.Service, M.ConfigVersion})) {
    if (M.Transaction != 0)
      rollBackForwarded(Client, M.Transaction);
    Refusal.Reply.Error = Code;
    Refusal.Reply.ErrorText = "the key of the caller was removed";
    SessionEngine.logNotAuthorized({}, M.Id, M.Customer);
    Client->Stream->send(encode(Refusal));
    return;
  }
  Instant Now = SessionEngine.runtime().Now();
  auto J = std::make_shared<Job>();
  J->LocalOnly = true;
  J->Kind = M.Kind;
  J->Call = {std::move(M.Id), std::move(M.Text), {}};
  J->Customer = std::move(M.Customer);
  J->KeyHash = M.KeyHash;
  J->ConfigVersion = M.ConfigVersion;
  J->Session = (Client->Number << detail::PeerSessionShift) | M.Session;
  J->ForwardedState = std::make_shared<SessionState>(std::move(M.State));
  J->State = J->ForwardedState.get();
  J->Prepared = std::move(M.Prepared);
  J->Route = std::move(M.Route);
  J->Write = M.Write;
  J->ReadOnly = M.ReadOnly;
  J->Wrote = M.Wrote;
  J->LastCommit = M.LastCommit;
  J->Arrived = Now - M.Age;
  J->OperationStart = Now - M.OperationAge;
  J->FirstTry = Now - M.FirstTryAge;
  if (M.Transaction != 0)
    J->Pinned = Pinned->second.Pinned;
  Client->Running[M.Exchange] = J;
  J->Done = [this, Client, Exchange = M.Exchange, Transaction = M.Transaction,
             Service = J->Route.Service](JobResult Result) {
    sendAnswer(Client, Exchange, Transaction, Service, std::move(Result));
  };
  G->submit(J);
}

void StatementForwarder::sendAnswer(const PeerClientRef &Client,
                                    std::uint64_t Exchange,
                                    std::uint64_t Transaction,
                                    const std::string &Service,
                                    JobResult Result) {
  ForwardAnswer Answer;
  if (auto It = Client->Running.find(Exchange); It != Client->Running.end()) {
    Answer.ReachedServer = It->second->ReachedServer;
    Client->Running.erase(It);
  }
  Answer.Exchange = Exchange;
  Answer.Reply = std::move(Result.Reply);
  Answer.Epoch = Result.Epoch;
  Answer.Unservable = Result.Unservable;
  if (Result.Pinned) {
    Answer.Transaction = Transaction != 0 ? Transaction : NextTransaction++;
    Answer.Epoch = Result.Pinned->Epoch;
    Client->Transactions[Answer.Transaction] = {*Result.Pinned, Service,
                                                SessionEngine.runtime().Now()};
  } else if (Transaction != 0) {
    Client->Transactions.erase(Transaction);
  }
  Client->Stream->send(detail::encodeAnswer(std::move(Answer)));
}

void StatementForwarder::cancelForwarded(const PeerClientRef &Client,
                                         std::uint64_t Exchange) {
  auto It = Client->Running.find(Exchange);
  if (It == Client->Running.end())
    return;
  JobRef J = It->second;
  Client->Running.erase(It);
  SessionEngine.group(J->Route.Service)->cancel(J);
  if (!J->Pinned)
    return;
  // Cancelling the statement has closed the connection and so ended the
  // transaction.
  std::erase_if(Client->Transactions, [&](const auto &Entry) {
    return Entry.second.Pinned.Connection == J->Pinned->Connection;
  });
}

void StatementForwarder::rollBackForwarded(const PeerClientRef &Client,
                                           std::uint64_t Transaction) {
  auto It = Client->Transactions.find(Transaction);
  if (It == Client->Transactions.end())
    return;
  HeldTransaction Held = std::move(It->second);
  Client->Transactions.erase(It);
  if (auto G = SessionEngine.group(Held.Service))
    G->rollBack(Held.Pinned);
}

/// Ends a client whose connection ended or that was unresponsive for too long:
/// cancels its statements and rolls back its transactions.
void StatementForwarder::dropClient(const PeerClientRef &Client) {
  if (Clients.erase(Client) == 0)
    return;
  Client->Stream->close();
  while (!Client->Running.empty())
    cancelForwarded(Client, Client->Running.begin()->first);
  while (!Client->Transactions.empty())
    rollBackForwarded(Client, Client->Transactions.begin()->first);
}

} // namespace eelgrassloom
