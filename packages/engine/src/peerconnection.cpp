// Connections to the proxies that run statements for this one: dialing, pings
// and failure.

#include "engine/engine.h"
#include "engine/forward.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Number of owners or fallback proxies that are tried, in order, until one has
/// a usable connection.
constexpr unsigned MaxOwnersTried = 3;

} // namespace detail

StatementForwarder::PeerConnectionRef
StatementForwarder::chooseOwner(std::string_view Service) {
  return chooseConnection(ownerOrder(Service), Service);
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
