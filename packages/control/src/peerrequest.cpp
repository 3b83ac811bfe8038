#include "control/peerrequest.h"

namespace eelgrassloom {
namespace detail {

struct PendingPeerRequest {
  std::shared_ptr<PeerStream> Stream;
  PeerRequestHandler Done;

  void finish(PeerRequestOutcome Outcome,
              const ForwardMessage *Answer = nullptr) {
    auto Handler = std::move(Done);
    Done = nullptr;
    if (Stream)
      Stream->close();
    if (Handler)
      Handler(Outcome, Answer);
  }

  void received(std::string_view Bytes) {
    auto Message = decodeForward(Bytes);
    if (!Message)
      finish(PeerRequestOutcome::Broken);
    else if (!std::holds_alternative<ForwardLeaving>(Message.value()))
      finish(PeerRequestOutcome::Answered, &Message.value());
  }
};

} // namespace detail

void sendPeerRequest(const RuntimeHooks &Hooks, const PeerDialer &Dial,
                     const std::string &Address, const ForwardMessage &Message,
                     PeerRequestHandler Done) {
  auto Request = std::make_shared<detail::PendingPeerRequest>();
  Request->Done = std::move(Done);
  Hooks.After(PeerRequestTimeout,
              [Request] { Request->finish(PeerRequestOutcome::TimedOut); });
  Dial(Address, PeerRequestDialTimeout,
       [Request, Bytes = encode(Message)](std::shared_ptr<PeerStream> Stream) {
         if (!Stream) {
           Request->finish(PeerRequestOutcome::NotConnected);
           return;
         }
         if (!Request->Done) {
           Stream->close();
           return;
         }
         Request->Stream = std::move(Stream);
         Request->Stream->start(
             [Request](std::string_view In) { Request->received(In); },
             [Request] { Request->finish(PeerRequestOutcome::Broken); });
         Request->Stream->send(Bytes);
       });
}

} // namespace eelgrassloom
