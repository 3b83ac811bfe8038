// Connections to the proxies that run statements for this one: dialing, pings
// and failure.

#include "engine/engine.h"
#include "engine/forward.h"
#include "kernel/connectioncache.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Number of owners or fallback proxies that are tried, in order, until one has
/// a usable connection.
constexpr unsigned MaxOwnersTried = 3;
/// Connections to the owners in other failure domains are kept for this time
/// after they were last found useful.
constexpr Duration OtherOwnerRetention = std::chrono::seconds(1);

} // namespace detail

StatementForwarder::PeerConnectionRef
StatementForwarder::chooseOwner(std::string_view Service) {
  return chooseConnection(ownerOrder(Service), Service);
}

OwnerConnections
StatementForwarder::ownerConnections(std::string_view Service) const {
  const auto &Services = SessionEngine.config().Services;
  auto It = Services.find(Service);
  unsigned Cap = It == Services.end() ? 1 : It->second.ConnectionCap;
  return {FailureDomains, customerConnectionShare(Cap, FailureDomains.size())};
}

StatementForwarder::PeerConnectionRef
StatementForwarder::chooseOwnerIn(std::string_view Domain,
                                  std::string_view Service) {
  std::pair<std::string, std::string> Key(Domain, Service);
  auto It = OtherOwners.find(Key);
  if (It == OtherOwners.end()) {
    std::vector<ProxyId> Order = rankedOwners(Table, Domain, Service);
    // The next one would have no connections of the customer either.
    Order.resize(std::min<std::size_t>(1, Order.size()));
    It = OtherOwners.emplace(std::move(Key), std::move(Order)).first;
  }
  return chooseConnection(It->second, Service);
}

StatementForwarder::PeerConnectionRef
StatementForwarder::chooseOwnerOf(const Job &J) {
  const std::string &Service = J.Route.Service;
  std::string_view Home =
      homeDomain(SessionEngine.config().Customers, J.Customer, Service,
                 ownerConnections(Service));
  if (!Home.empty() && Home != FailureDomain)
    if (PeerConnectionRef Connection = chooseOwnerIn(Home, Service))
      return Connection;
  return chooseOwner(Service);
}

void StatementForwarder::preconnect() {
  Instant Now = SessionEngine.runtime().Now();
  const CustomerTable &Customers = SessionEngine.config().Customers;
  for (const auto &[Service, G] : SessionEngine.groups()) {
    if (!G->usesOwners())
      continue;
    chooseOwner(Service);
    if (!dividesCustomers(Customers, ownerConnections(Service)))
      continue;
    for (const std::string &Domain : FailureDomains)
      if (Domain != FailureDomain)
        if (PeerConnectionRef Owner = chooseOwnerIn(Domain, Service))
          Owner->KeptUntil = Now + detail::OtherOwnerRetention;
  }
}

StatementForwarder::PeerConnectionRef
StatementForwarder::chooseConnection(const std::vector<ProxyId> &Order,
                                     std::string_view Service) {
  unsigned Tried = 0;
  for (const ProxyId &Id : Order) {
    if (Id == Self || ++Tried > detail::MaxOwnersTried)
      return nullptr;
    PeerConnectionRef &Connection = Connections[Id];
    if (!Connection) {
      Connection = std::make_shared<PeerConnection>();
      Connection->Peer = RegisteredPeers[Id];
    }
    if (usable(Connection, Service))
      return Connection;
  }
  return nullptr;
}

bool StatementForwarder::usable(const PeerConnectionRef &Connection,
                                std::string_view Service) {
  Instant Now = SessionEngine.runtime().Now();
  if (!Connection->Stream) {
    if (!Connection->Dialing && Now >= Connection->NextDial)
      dial(Connection);
    return false;
  }
  auto Avoid = Connection->AvoidUntil.find(Service);
  return !Connection->Leaving &&
         (Avoid == Connection->AvoidUntil.end() || Now >= Avoid->second);
}

void StatementForwarder::dial(const PeerConnectionRef &Connection) {
  if (Connection->Peer.Address.empty())
    return;
  Connection->Dialing = true;
  Dial(Connection->Peer.Address, Options.DialTimeout,
       [this, Connection](std::shared_ptr<PeerStream> Stream) {
         handleDialResult(Connection, std::move(Stream));
       });
}

void StatementForwarder::handleDialResult(const PeerConnectionRef &Connection,
                                          std::shared_ptr<PeerStream> Stream) {
  Instant Now = SessionEngine.runtime().Now();
  Connection->Dialing = false;
  if (!Stream) {
    Connection->NextDial = Now + Options.RedialDelay;
    return;
  }
  if (Connection->Failed) {
    Stream->close();
    return;
  }
  Connection->Stream = Stream;
  Connection->LastContact = Now;
  Stream->start(
      [this, Connection](std::string_view Bytes) {
        handleOwnerMessage(Connection, Bytes);
      },
      [this, Connection] {
        failConnection(Connection, "the connection was closed");
      });
  SessionEngine.events().write(EngineEvent::OwnerConnected,
                               {{"proxy", Connection->Peer.Id}});
}

void StatementForwarder::failConnection(const PeerConnectionRef &Connection,
                                        std::string_view Reason) {
  if (Connection->Failed)
    return;
  Connection->Failed = true;
  ReplacedConnections.erase(Connection);
  replace(Connection);
  if (!Connection->Stream)
    return;
  Connection->Stream->close();
  SessionEngine.events().write(
      EngineEvent::OwnerDisconnected,
      {{"proxy", Connection->Peer.Id},
       {"reason", Reason},
       {"statements", static_cast<std::uint64_t>(Connection->Pending.size())},
       {"silent_ms", SessionEngine.runtime().Now() - Connection->LastContact}});
  auto Pending = std::move(Connection->Pending);
  Connection->Pending.clear();
  for (const auto &Entry : Pending)
    handleNoAnswer(Entry.second);
}

void StatementForwarder::replace(const PeerConnectionRef &Connection) {
  auto It = Connections.find(Connection->Peer.Id);
  if (It == Connections.end() || It->second != Connection)
    return;
  auto Current = RegisteredPeers.find(Connection->Peer.Id);
  if (Current == RegisteredPeers.end()) {
    Connections.erase(It);
    return;
  }
  auto Next = std::make_shared<PeerConnection>();
  Next->Peer = Current->second;
  Next->NextDial = SessionEngine.runtime().Now() + Options.RedialDelay;
  It->second = Next;
}

void StatementForwarder::checkConnection(const PeerConnectionRef &Connection,
                                         Instant Now) {
  if (!Connection->Stream ||
      (Connection->Pending.empty() && Connection->OpenTransactions == 0)) {
    Connection->PingedAt.reset();
    if (Connection->Replaced)
      failConnection(Connection, "replaced");
    else if (Connection->Stream &&
             Connection->Peer.FailureDomain != FailureDomain &&
             Now >= Connection->KeptUntil &&
             Now - Connection->LastContact >= Options.FallbackIdleTimeout)
      failConnection(Connection, "idle connection to another failure domain");
    return;
  }
  if (Connection->PingedAt) {
    Duration Silent = Now - *Connection->PingedAt;
    if (Silent >= Options.FailureTimeout)
      failConnection(Connection, "silent");
    else if (Silent >= Options.PingTimeout && !Connection->Replaced)
      takeBack(Connection);
    return;
  }
  Duration After = Connection->Pending.empty() ? Options.IdlePingInterval
                                               : Options.PingInterval;
  if (Now - std::max(Connection->LastContact, Connection->LastPing) < After)
    return;
  Connection->PingedAt = Now;
  Connection->LastPing = Now;
  Connection->Stream->send(encode(ForwardPing{}));
}

} // namespace eelgrassloom
