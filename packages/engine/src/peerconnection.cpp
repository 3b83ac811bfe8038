// Connections to the owners of services.

#include "engine/engine.h"
#include "engine/forward.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Owners in order that are tried before a statement runs here.
constexpr unsigned MaxOwnersTried = 3;

} // namespace detail

Forwarding::LinkRef Forwarding::choose(std::string_view Service) {
  return chooseFrom(order(Service), Service);
}

Forwarding::LinkRef Forwarding::chooseFrom(const std::vector<ProxyId> &Order,
                                           std::string_view Service) {
  unsigned Tried = 0;
  for (const ProxyId &Id : Order) {
    if (Id == Self || ++Tried > detail::MaxOwnersTried)
      return nullptr;
    LinkRef &Link = Links[Id];
    if (!Link) {
      Link = std::make_shared<OwnerLink>();
      Link->Peer = Known[Id];
    }
    if (usable(Link, Service))
      return Link;
  }
  return nullptr;
}

bool Forwarding::usable(const LinkRef &Link, std::string_view Service) {
  Instant Now = Target.runtime().Now();
  if (!Link->Stream) {
    if (!Link->Dialling && Now >= Link->NextDial)
      dial(Link);
    return false;
  }
  auto Avoid = Link->AvoidUntil.find(Service);
  return !Link->Leaving &&
         (Avoid == Link->AvoidUntil.end() || Now >= Avoid->second);
}

void Forwarding::dial(const LinkRef &Link) {
  if (Link->Peer.Address.empty())
    return;
  Link->Dialling = true;
  Dial(Link->Peer.Address, Options.DialTimeout,
       [this, Link](std::shared_ptr<PeerStream> Stream) {
         opened(Link, std::move(Stream));
       });
}

void Forwarding::opened(const LinkRef &Link,
                        std::shared_ptr<PeerStream> Stream) {
  Instant Now = Target.runtime().Now();
  Link->Dialling = false;
  if (!Stream) {
    Link->NextDial = Now + Options.DialPause;
    return;
  }
  if (Link->Failed) {
    Stream->close();
    return;
  }
  Link->Stream = Stream;
  Link->LastHeard = Now;
  Stream->start([this, Link](std::string_view Bytes) { received(Link, Bytes); },
                [this, Link] { fail(Link, "the connection has ended"); });
  Target.events().write(EngineEvent::OwnerConnected,
                        {{"proxy", Link->Peer.Id}});
}

void Forwarding::fail(const LinkRef &Link, std::string_view Reason) {
  if (Link->Failed)
    return;
  Link->Failed = true;
  auto It = Links.find(Link->Peer.Id);
  if (It != Links.end() && It->second == Link) {
    auto Next = std::make_shared<OwnerLink>();
    Next->Peer = Link->Peer;
    Next->NextDial = Target.runtime().Now() + Options.DialPause;
    auto Current = Known.find(Link->Peer.Id);
    if (Current == Known.end()) {
      Links.erase(It);
    } else {
      Next->Peer = Current->second;
      It->second = Next;
    }
  }
  if (!Link->Stream)
    return;
  Link->Stream->close();
  Target.events().write(
      EngineEvent::OwnerLost,
      {{"proxy", Link->Peer.Id},
       {"reason", Reason},
       {"statements", static_cast<std::uint64_t>(Link->Pending.size())},
       {"silent_ms", Target.runtime().Now() - Link->LastHeard}});
  auto Pending = std::move(Link->Pending);
  Link->Pending.clear();
  for (const auto &Entry : Pending)
    loseJob(Entry.second);
}

void Forwarding::checkLink(const LinkRef &Link, Instant Now) {
  if (!Link->Stream || (Link->Pending.empty() && Link->Held == 0)) {
    Link->PingedAt.reset();
    if (Link->Stream && Link->Peer.FailureDomain != FailureDomain &&
        Now - Link->LastHeard >= Options.HelperIdle)
      fail(Link, "not needed");
    return;
  }
  if (Link->PingedAt) {
    if (Now - *Link->PingedAt >= Options.PingTimeout)
      fail(Link, "silent");
    return;
  }
  Duration After = Link->Pending.empty() ? Options.IdlePing : Options.PingAfter;
  if (Now - std::max(Link->LastHeard, Link->LastPing) < After)
    return;
  Link->PingedAt = Now;
  Link->LastPing = Now;
  Link->Stream->send(encode(ForwardPing{}));
}

} // namespace eelgrassloom
