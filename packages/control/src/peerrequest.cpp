#include "control/peerrequest.h"

namespace eelgrassloom {
namespace detail {

struct Question {
  std::shared_ptr<PeerStream> Stream;
  AskHandler Done;

  void finish(AskOutcome Outcome, const ForwardMessage *Answer = nullptr) {
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
      finish(AskOutcome::Broken);
    else if (!std::holds_alternative<ForwardLeaving>(Message.value()))
      finish(AskOutcome::Answered, &Message.value());
  }
};

} // namespace detail

void askProxy(const Runtime &Host, const PeerDialer &Dial,
              const std::string &Address, const ForwardMessage &Message,
              AskHandler Done) {
  auto Q = std::make_shared<detail::Question>();
  Q->Done = std::move(Done);
  Host.After(AskTimeout, [Q] { Q->finish(AskOutcome::TimedOut); });
  Dial(Address, AskDialTimeout,
       [Q, Bytes = encode(Message)](std::shared_ptr<PeerStream> Stream) {
         if (!Stream) {
           Q->finish(AskOutcome::NotConnected);
           return;
         }
         if (!Q->Done) {
           Stream->close();
           return;
         }
         Q->Stream = std::move(Stream);
         Q->Stream->start([Q](std::string_view In) { Q->received(In); },
                          [Q] { Q->finish(AskOutcome::Broken); });
         Q->Stream->send(Bytes);
       });
}

} // namespace eelgrassloom
