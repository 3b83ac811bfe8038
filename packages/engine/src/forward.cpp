// Sending side of statement forwarding: statements that this proxy sends to
// owners and fallback proxies, and their answers.

#include "engine/forward.h"
#include "engine/engine.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Number of fallback proxies to which a statement that can't run here is sent
/// before it is refused.
constexpr unsigned MaxFallbackAttempts = 2;
/// Number of owners whose answer a statement may miss before it runs here.
constexpr unsigned MaxSilentOwners = 1;
/// Interval at which owners are connected in advance, so that statements find
/// an open connection.
constexpr Duration PreconnectInterval = std::chrono::milliseconds(100);

/// True if running the statement a second time is safe: a read, or the first
/// statement of a transaction, which is rolled back without its commit.
bool repeatable(const Job &J) {
  return (J.Kind == JobKind::Autocommit && !J.Write) ||
         J.Kind == JobKind::FirstInTransaction;
}

ForwardRequest makeRequest(const Job &J, std::uint64_t Exchange, Instant Now) {
  ForwardRequest M;
  M.Exchange = Exchange;
  M.Kind = J.Kind;
  M.Id = J.Call.Id;
  M.Text = J.Call.Text;
  M.Session = J.Session;
  M.Customer = J.Customer;
  M.KeyHash = J.KeyHash;
  M.ConfigVersion = J.ConfigVersion;
  M.State.Variables = J.State->Variables;
  M.Prepared = J.Prepared;
  M.Route = J.Route;
  M.Write = J.Write;
  M.ReadOnly = J.ReadOnly;
  M.Wrote = J.Wrote;
  M.Transaction = J.Pinned ? J.Pinned->Transaction : 0;
  M.LastCommit = J.LastCommit;
  M.Age = Now - J.Arrived;
  M.OperationAge = Now - J.OperationStart;
  M.FirstTryAge = Now - J.FirstTry;
  return M;
}

/// True if bytes have arrived since the last call, which has set \p Known.
bool receivedMore(const std::shared_ptr<PeerStream> &Stream,
                  std::uint64_t &Known) {
  std::uint64_t Before = Known;
  if (Stream)
    Known = Stream->receivedBytes();
  return Known != Before;
}

} // namespace detail

std::unique_ptr<StatementForwarder>
StatementForwarder::create(ProxyId Self, std::string FailureDomain,
                           Engine &SessionEngine, PeerDialer Dial) {
  return std::unique_ptr<StatementForwarder>(
      new StatementForwarder(std::move(Self), std::move(FailureDomain),
                             SessionEngine, std::move(Dial)));
}

void StatementForwarder::setPeers(const std::vector<PeerInfo> &Registered) {
  std::map<ProxyId, PeerInfo> Next;
  std::vector<LiveProxy> Live;
  std::set<std::string> Domains;
  for (const PeerInfo &Peer : Registered) {
    Next[Peer.Id] = Peer;
    Live.push_back({Peer.Id, Peer.FailureDomain, false, Peer.MilliCores});
    Domains.insert(Peer.FailureDomain);
  }
  if (Next == RegisteredPeers)
    return;
  RegisteredPeers = std::move(Next);
  FailureDomains = std::move(Domains);
  Table = makeOwnerTable(Live);
  OwnerOrders.clear();
  OtherOwners.clear();
  FallbackOrders.clear();
  std::vector<PeerConnectionRef> Changed;
  for (const auto &[Id, Connection] : Connections) {
    auto It = RegisteredPeers.find(Id);
    if (It == RegisteredPeers.end() ||
        It->second.Address != Connection->Peer.Address)
      Changed.push_back(Connection);
  }
  for (const PeerConnectionRef &Connection : Changed)
    failConnection(Connection,
                   "the proxy is no longer registered at this address");
}

const std::vector<ProxyId> &
StatementForwarder::ownerOrder(std::string_view Service) const {
  auto It = OwnerOrders.find(Service);
  if (It == OwnerOrders.end())
    It = OwnerOrders
             .emplace(std::string(Service),
                      rankedOwners(Table, FailureDomain, Service))
             .first;
  return It->second;
}

const std::vector<ProxyId> &
StatementForwarder::fallbackOrder(std::string_view Service) {
  auto It = FallbackOrders.find(Service);
  if (It != FallbackOrders.end())
    return It->second;
  // Each proxy has a different order, so that the statements of all proxies are
  // spread over the fallback proxies.
  std::vector<ProxyId> Order =
      rankedOwners(Table, {}, std::string(Service) + "/" + Self);
  std::erase(Order, Self);
  std::set<ProxyId> Owners = ownersOf(Table, Service);
  std::stable_partition(Order.begin(), Order.end(), [&](const ProxyId &Id) {
    return Owners.count(Id) != 0;
  });
  return FallbackOrders.emplace(std::string(Service), std::move(Order))
      .first->second;
}

bool StatementForwarder::owns(std::string_view Service) const {
  const std::vector<ProxyId> &Order = ownerOrder(Service);
  return Order.empty() || Order.front() == Self;
}

bool StatementForwarder::forward(const JobRef &J) {
  PeerConnectionRef Connection =
      J->Pinned ? J->Pinned->Owner : chooseOwnerOf(*J);
  if (!Connection)
    return false;
  J->ForwardedTo = Connection;
  if (Connection->Failed) {
    handleNoAnswer(J);
    return true;
  }
  if (sendTo(Connection, J))
    return true;
  if (J->Pinned) {
    abortTransaction(J);
    return true;
  }
  J->ForwardedTo.reset();
  return false;
}

/// Ends the transaction of a statement that can't be sent to its owner.
void StatementForwarder::abortTransaction(const JobRef &J) {
  rollBack(*J->Pinned);
  JobResult Result;
  Result.Reply.Error = ReplyCode::Aborted;
  Result.Reply.ErrorText = "the statement is too long to be forwarded";
  finish(J, std::move(Result));
}

bool StatementForwarder::forwardToFallback(const JobRef &J) {
  if (J->ForwardedState || J->Pinned ||
      J->FallbackAttempts >= detail::MaxFallbackAttempts)
    return false;
  PeerConnectionRef Connection =
      chooseConnection(fallbackOrder(J->Route.Service), J->Route.Service);
  if (!Connection || !sendTo(Connection, J))
    return false;
  ++J->FallbackAttempts;
  return true;
}

bool StatementForwarder::sendTo(const PeerConnectionRef &Connection,
                                const JobRef &J) {
  Instant Now = SessionEngine.runtime().Now();
  std::string Bytes = encode(detail::makeRequest(*J, NextExchange, Now));
  if (Bytes.size() > MaxForwardBytes)
    return false;
  J->ForwardedTo = Connection;
  J->SentAt = Now;
  J->Exchange = NextExchange++;
  Connection->Pending[J->Exchange] = J;
  Connection->Stream->send(Bytes);
  return true;
}

void StatementForwarder::cancel(const JobRef &J) {
  J->Finished = true;
  J->Done = nullptr;
  PeerConnectionRef Connection = J->ForwardedTo;
  Connection->Pending.erase(J->Exchange);
  if (Connection->Failed)
    return;
  Connection->Stream->send(encode(ForwardCancel{J->Exchange}));
  if (J->Pinned)
    rollBack(*J->Pinned);
}

void StatementForwarder::rollBack(const PinnedConnection &Pinned) {
  const PeerConnectionRef &Connection = Pinned.Owner;
  if (Connection->Failed)
    return; // The owner rolls back the transactions of a lost connection.
  --Connection->OpenTransactions;
  Connection->Stream->send(encode(ForwardRollBack{Pinned.Transaction}));
}

void StatementForwarder::handleOwnerMessage(const PeerConnectionRef &Connection,
                                            std::string_view Bytes) {
  Connection->LastContact = SessionEngine.runtime().Now();
  Connection->PingedAt.reset();
  auto Message = decodeForward(Bytes);
  if (!Message) {
    SessionEngine.events().write(EngineEvent::InputRejected,
                                 {{"from", Connection->Peer.Id},
                                  {"findings", toString(Message.findings())}});
    failConnection(Connection, "received a malformed message");
    return;
  }
  ForwardMessage M = std::move(Message).value();
  if (auto *Answer = std::get_if<ForwardAnswer>(&M))
    handleAnswer(Connection, std::move(*Answer));
  else if (std::holds_alternative<ForwardLeaving>(M))
    Connection->Leaving = true;
}

void StatementForwarder::handleAnswer(const PeerConnectionRef &Connection,
                                      ForwardAnswer Answer) {
  auto It = Connection->Pending.find(Answer.Exchange);
  if (It == Connection->Pending.end()) {
    // The caller has disconnected or the statement has timed out; a transaction
    // that the statement opened is rolled back.
    if (Answer.Transaction != 0)
      Connection->Stream->send(encode(ForwardRollBack{Answer.Transaction}));
    return;
  }
  JobRef J = It->second;
  Connection->Pending.erase(It);
  J->ReachedServer = J->ReachedServer || Answer.ReachedServer;
  if (Answer.Unservable) {
    Connection->AvoidUntil[J->Route.Service] =
        SessionEngine.runtime().Now() + Options.AvoidTime;
    handleUnservable(J);
    return;
  }
  bool HadTransaction = J->Pinned.has_value();
  bool HasTransaction = Answer.Transaction != 0;
  if (HasTransaction && !HadTransaction)
    ++Connection->OpenTransactions;
  else if (!HasTransaction && HadTransaction)
    --Connection->OpenTransactions;
  JobResult Result;
  Result.Reply = std::move(Answer.Reply);
  Result.Epoch = Answer.Epoch;
  if (HasTransaction)
    Result.Pinned = PinnedConnection{nullptr, nullptr, Connection,
                                     Answer.Transaction, Answer.Epoch};
  finish(J, std::move(Result));
}

/// Another proxy could not run the statement. A fallback proxy may reach the
/// primary, and the owners among them have connections to it. During a
/// promotion nobody can run it.
void StatementForwarder::handleUnservable(const JobRef &J) {
  bool SentHome = J->FallbackAttempts == 0 &&
                  J->ForwardedTo->Peer.FailureDomain != FailureDomain;
  J->ForwardedTo.reset();
  auto G = SessionEngine.group(J->Route.Service);
  if (G->refuseRemovedKey(J))
    return;
  if (SentHome) {
    // The owner of this failure domain may be able to run it.
    G->submit(J);
    return;
  }
  bool Revoked = G->primaryRecord().Stage == GroupStage::Revoking;
  if (!Revoked && forwardToFallback(J))
    return;
  J->LocalOnly = true;
  G->submit(J);
}

void StatementForwarder::finish(const JobRef &J, JobResult Result) {
  if (J->Finished)
    return;
  J->Finished = true;
  const ServerReply &Reply = Result.Reply;
  Instant Now = SessionEngine.runtime().Now();
  SessionEngine.events().write(
      EngineEvent::StatementForwarded,
      {{"id", J->Call.Id},
       {"session", J->Session},
       {"service", J->Route.Service},
       {"owner", J->ForwardedTo->Peer.Id},
       {"epoch", Result.Epoch},
       {"took_ms", Now - J->Arrived},
       {"outcome", Reply.Error      ? name(*Reply.Error)
                   : Reply.NoAnswer ? std::string_view("lost")
                                    : std::string_view("ok")}});
  SessionEngine.counters().recordForwarded(
      Reply.NoAnswer ? StatementOutcome::Unknown
      : Reply.Error  ? StatementOutcome::Failed
                     : StatementOutcome::Served,
      Now - J->Arrived);
  auto Done = std::move(J->Done);
  if (Done)
    Done(std::move(Result));
}

/// The answer of the owner can't arrive any more. The statement runs elsewhere
/// if running it a second time is safe; its outcome is unknown otherwise.
void StatementForwarder::handleNoAnswer(const JobRef &J) {
  if (J->Finished)
    return;
  if (detail::repeatable(*J)) {
    rerun(J);
    return;
  }
  JobResult Result;
  Result.Reply.NoAnswer = true;
  finish(J, std::move(Result));
}

/// Runs a statement without an answer at the next owner, and here if that one
/// does not answer either. If it ran here at once, all proxies of the failure
/// domain would open connections to the servers together.
void StatementForwarder::rerun(const JobRef &J) {
  J->ReachedServer = true; // The silent owner may have run it.
  J->ForwardedTo.reset();
  J->LocalOnly = ++J->SilentOwners > detail::MaxSilentOwners;
  SessionEngine.group(J->Route.Service)->submit(J);
}

/// Replaces the connection to a slow owner, and takes back the statements that
/// it has not answered and that may run a second time. The others wait for its
/// answer: it has probably run them.
void StatementForwarder::takeBack(const PeerConnectionRef &Connection) {
  Connection->Replaced = true;
  ReplacedConnections.insert(Connection);
  replace(Connection);
  std::vector<JobRef> Repeatable;
  for (const auto &[Exchange, J] : Connection->Pending)
    if (detail::repeatable(*J))
      Repeatable.push_back(J);
  for (const JobRef &J : Repeatable) {
    Connection->Pending.erase(J->Exchange);
    Connection->Stream->send(encode(ForwardCancel{J->Exchange}));
    rerun(J);
  }
}

bool StatementForwarder::nothingPending() const {
  // A replaced connection is kept only while something is open on it.
  auto Unused = [](const auto &Entry) { return Entry.second->Pending.empty(); };
  return ReplacedConnections.empty() &&
         std::all_of(Connections.begin(), Connections.end(), Unused);
}

void StatementForwarder::tick() {
  Instant Now = SessionEngine.runtime().Now();
  bool Paused = Now - LastTick > Options.PingTimeout;
  LastTick = Now;
  std::vector<PeerConnectionRef> All;
  for (const auto &Entry : Connections)
    All.push_back(Entry.second);
  All.insert(All.end(), ReplacedConnections.begin(), ReplacedConnections.end());
  for (const PeerConnectionRef &Connection : All) {
    // After a pause of this process an answer may have arrived that was not
    // read yet, so the ping timeout starts again. So it does while a long
    // message arrives, because the answer to the ping follows it.
    if ((detail::receivedMore(Connection->Stream, Connection->ReceivedBytes) ||
         Paused) &&
        Connection->PingedAt)
      Connection->PingedAt = Now;
    checkConnection(Connection, Now);
    std::vector<JobRef> Overdue;
    for (const auto &[Exchange, J] : Connection->Pending)
      if (Now - J->Arrived >= J->Route.StatementTimeout + Options.AnswerSlack)
        Overdue.push_back(J);
    for (const JobRef &J : Overdue)
      expire(J);
  }
  std::vector<PeerClientRef> TimedOut;
  for (const PeerClientRef &Client : Clients) {
    if (detail::receivedMore(Client->Stream, Client->ReceivedBytes))
      Client->LastContact = Now;
    if (!Paused && Now - Client->LastContact >= Options.PeerTimeout &&
        (!Client->Running.empty() || !Client->Transactions.empty()))
      TimedOut.push_back(Client);
  }
  for (const PeerClientRef &Client : TimedOut)
    dropClient(Client);
  if (Now < NextPreconnect)
    return;
  NextPreconnect = Now + detail::PreconnectInterval;
  preconnect();
}

void StatementForwarder::expire(const JobRef &J) {
  PeerConnectionRef Connection = J->ForwardedTo;
  Connection->Pending.erase(J->Exchange);
  Connection->Stream->send(encode(ForwardCancel{J->Exchange}));
  if (J->Pinned)
    rollBack(*J->Pinned);
  JobResult Result;
  Result.Reply.NoAnswer = true;
  finish(J, std::move(Result));
}

} // namespace eelgrassloom
