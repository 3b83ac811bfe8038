// Statements that this proxy runs for others because it owns their service.

#include "engine/engine.h"
#include "engine/forward.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Sessions of different proxies must not be taken for each other.
constexpr unsigned PeerSessionShift = 40;

} // namespace detail

void Forwarding::accept(std::shared_ptr<PeerStream> Stream) {
  auto Peer = std::make_shared<ServedPeer>();
  Peer->Number = NextPeer++;
  Peer->Stream = Stream;
  Peer->LastHeard = Target.runtime().Now();
  Served.insert(Peer);
  Stream->start([this, Peer](std::string_view Bytes) { serve(Peer, Bytes); },
                [this, Peer] { drop(Peer); });
  if (Stopping)
    Stream->send(encode(ForwardLeaving{}));
}

void Forwarding::leave() {
  Stopping = true;
  for (const ServedRef &Peer : Served)
    Peer->Stream->send(encode(ForwardLeaving{}));
}

bool Forwarding::busy() const {
  return std::any_of(Served.begin(), Served.end(), [](const ServedRef &Peer) {
    return !Peer->Running.empty() || !Peer->Transactions.empty();
  });
}

void Forwarding::serve(const ServedRef &Peer, std::string_view Bytes) {
  Peer->LastHeard = Target.runtime().Now();
  auto Message = decodeForward(Bytes);
  if (!Message) {
    Target.events().write(
        EngineEvent::InputRejected,
        {{"from", "stream"}, {"findings", toString(Message.findings())}});
    drop(Peer);
    return;
  }
  ForwardMessage M = std::move(Message).value();
  if (auto *Run = std::get_if<ForwardRun>(&M))
    run(Peer, std::move(*Run));
  else if (const auto *Abandon = std::get_if<ForwardAbandon>(&M))
    abandonServed(Peer, Abandon->Exchange);
  else if (const auto *RollBack = std::get_if<ForwardRollBack>(&M))
    rollBackServed(Peer, RollBack->Transaction);
  else if (const auto *Ping = std::get_if<ForwardPing>(&M);
           Ping && !Ping->Reply)
    Peer->Stream->send(encode(ForwardPing{true}));
  else if (std::holds_alternative<RulesQuestion>(M) && CurrentRules)
    Peer->Stream->send(encode(CurrentRules()));
  else if (std::holds_alternative<ServersQuestion>(M) && CurrentServers)
    Peer->Stream->send(encode(CurrentServers()));
}

void Forwarding::run(const ServedRef &Peer, ForwardRun M) {
  ForwardAnswer Refusal;
  Refusal.Exchange = M.Exchange;
  auto G = Target.group(M.Route.Service);
  auto Held = Peer->Transactions.find(M.Transaction);
  if (M.Transaction != 0 && Held == Peer->Transactions.end()) {
    // It was rolled back.
    Refusal.Reply.Error = ReplyCode::Aborted;
    Peer->Stream->send(encode(Refusal));
    return;
  }
  if (M.Transaction == 0 && (Stopping || !G || !Target.ready())) {
    Refusal.Unservable = true;
    Peer->Stream->send(encode(Refusal));
    return;
  }
  Instant Now = Target.runtime().Now();
  auto J = std::make_shared<Job>();
  J->RunHere = true;
  J->Kind = M.Kind;
  J->Call = {std::move(M.Id), std::move(M.Text), {}};
  J->Session = (Peer->Number << detail::PeerSessionShift) | M.Session;
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
  if (M.Transaction != 0)
    J->Pinned = Held->second;
  Peer->Running[M.Exchange] = J;
  J->Done = [this, Peer, Exchange = M.Exchange, Transaction = M.Transaction,
             Service = J->Route.Service](JobResult Result) {
    ran(Peer, Exchange, Transaction, Service, std::move(Result));
  };
  G->submit(J);
}

void Forwarding::ran(const ServedRef &Peer, std::uint64_t Exchange,
                     std::uint64_t Transaction, const std::string &Service,
                     JobResult Result) {
  Peer->Running.erase(Exchange);
  ForwardAnswer Answer;
  Answer.Exchange = Exchange;
  Answer.Reply = std::move(Result.Reply);
  Answer.Epoch = Result.Epoch;
  Answer.Unservable = Result.Unservable;
  if (Result.Held) {
    Answer.Transaction = Transaction != 0 ? Transaction : NextTransaction++;
    Answer.Epoch = Result.Held->Epoch;
    Peer->Transactions[Answer.Transaction] = *Result.Held;
    Peer->Services[Answer.Transaction] = Service;
  } else if (Transaction != 0) {
    Peer->Transactions.erase(Transaction);
    Peer->Services.erase(Transaction);
  }
  Peer->Stream->send(encode(Answer));
}

void Forwarding::abandonServed(const ServedRef &Peer, std::uint64_t Exchange) {
  auto It = Peer->Running.find(Exchange);
  if (It == Peer->Running.end())
    return;
  JobRef J = It->second;
  Peer->Running.erase(It);
  Target.group(J->Route.Service)->abandon(J);
  if (!J->Pinned)
    return;
  // The transaction has ended with its connection.
  std::erase_if(Peer->Transactions, [&](const auto &Entry) {
    if (Entry.second.Connection != J->Pinned->Connection)
      return false;
    Peer->Services.erase(Entry.first);
    return true;
  });
}

void Forwarding::rollBackServed(const ServedRef &Peer,
                                std::uint64_t Transaction) {
  auto It = Peer->Transactions.find(Transaction);
  if (It == Peer->Transactions.end())
    return;
  Pin Held = It->second;
  auto G = Target.group(Peer->Services[Transaction]);
  Peer->Transactions.erase(It);
  Peer->Services.erase(Transaction);
  if (G)
    G->rollBack(Held);
}

/// The other proxy has gone: its statements are abandoned and its transactions
/// rolled back.
void Forwarding::drop(const ServedRef &Peer) {
  if (Served.erase(Peer) == 0)
    return;
  Peer->Stream->close();
  while (!Peer->Running.empty())
    abandonServed(Peer, Peer->Running.begin()->first);
  while (!Peer->Transactions.empty())
    rollBackServed(Peer, Peer->Transactions.begin()->first);
}

} // namespace eelgrassloom
