#include "peersocket.h"

namespace eelgrassloom::detail {
namespace {

void finish(Outgoing &O, PeerCode Code) {
  if (O.Done)
    O.Done(Code, peer::v1::PeerMessage());
}

} // namespace

PeerSocket openPeerSocket(zmq::context_t &Context, const std::string &Address) {
  PeerSocket P;
  P.Address = Address;
  P.Socket = zmq::socket_t(Context, zmq::socket_type::dealer);
  P.Socket.set(zmq::sockopt::linger, 0);
  P.Socket.set(zmq::sockopt::sndhwm,
               static_cast<int>(MaxQueuedMessagesPerPeer));
  P.Socket.set(zmq::sockopt::rcvhwm,
               static_cast<int>(MaxQueuedMessagesPerPeer));
  // The socket accepts messages only while it is connected. A message that was
  // never sent is therefore known not to have reached the peer.
  P.Socket.set(zmq::sockopt::immediate, 1);
  P.Socket.set(zmq::sockopt::reconnect_ivl, 50);
  P.Socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
  P.Socket.connect("tcp://" + Address);
  return P;
}

bool enqueue(PeerSocket &P, Outgoing &&O) {
  if (P.Unsent.size() >= MaxQueuedMessagesPerPeer) {
    finish(O, PeerCode::NotSent);
    return false;
  }
  P.Unsent.push_back(std::move(O));
  return true;
}

void flush(PeerSocket &P) {
  while (!P.Unsent.empty()) {
    Outgoing &O = P.Unsent.front();
    std::string Bytes = O.Message.SerializeAsString();
    if (!P.Socket.send(zmq::buffer(Bytes), zmq::send_flags::dontwait))
      return;
    if (O.Done) {
      auto Id = O.Message.exchange_id();
      O.Message.Clear();
      P.Sent.emplace(Id, std::move(O));
    }
    P.Unsent.pop_front();
  }
}

bool expire(PeerSocket &P, Instant Now) {
  bool TimedOut = false;
  std::vector<Outgoing> TimedOutExchanges;
  for (auto It = P.Sent.begin(); It != P.Sent.end();) {
    if (It->second.Deadline > Now) {
      ++It;
      continue;
    }
    TimedOut = true;
    TimedOutExchanges.push_back(std::move(It->second));
    It = P.Sent.erase(It);
  }
  std::deque<Outgoing> Kept;
  std::vector<Outgoing> UnsentExchanges;
  for (Outgoing &O : P.Unsent) {
    if (O.Deadline > Now)
      Kept.push_back(std::move(O));
    else
      UnsentExchanges.push_back(std::move(O));
  }
  P.Unsent = std::move(Kept);
  for (Outgoing &O : TimedOutExchanges)
    finish(O, PeerCode::TimedOut);
  for (Outgoing &O : UnsentExchanges)
    finish(O, PeerCode::NotSent);
  return TimedOut;
}

void endAllExchanges(PeerSocket &P) {
  for (auto &Entry : P.Sent)
    finish(Entry.second, PeerCode::TimedOut);
  for (Outgoing &O : P.Unsent)
    finish(O, PeerCode::NotSent);
  P.Sent.clear();
  P.Unsent.clear();
}

} // namespace eelgrassloom::detail
