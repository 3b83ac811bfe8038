#include "proxy/zmqpeers.h"
#include "commandqueue.h"
#include <cerrno>
#include <list>
#include <mutex>
#include <optional>
#include <pthread.h>
#include <stdexcept>
#include <thread>

namespace eelgrassloom {
namespace detail {
namespace {

/// A peer socket without traffic for this long is closed.
constexpr Duration IdleTimeout = std::chrono::seconds(30);
/// How long a message that expects no answer waits for a connection.
constexpr Duration SendTimeout = std::chrono::seconds(1);
/// Longest wait for socket events; deadlines are checked at least this often.
constexpr std::chrono::milliseconds MaxPollInterval{20};
/// Longest accepted message. An item has up to 1 MB; the limit leaves room for
/// several and their envelopes.
constexpr std::int64_t MaxMessageBytes = std::int64_t{8} << 20;
/// Shortest interval between two events about dropped messages.
constexpr Duration DropEventInterval = std::chrono::seconds(1);
/// Messages that are read from one socket before the other sockets are read.
constexpr int ReadBatch = 200;

class Transport final : public ZmqPeers {
public:
  explicit Transport(ZmqPeersContext C)
      : Context(std::move(C)), Commands(std::make_shared<CommandQueue>()),
        Router(Zmq, zmq::socket_type::router),
        Dropped(Context.Meters->counter(
            "eelgrassloom_peer_messages_dropped_total",
            "Peer messages that were malformed, foreign or of another "
            "version")),
        Late(Context.Meters->counter(
            "eelgrassloom_peer_answers_late_total",
            "Peer answers that matched no exchange in progress")) {
    Router.set(zmq::sockopt::linger, 0);
    Router.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
    Router.set(zmq::sockopt::sndhwm, static_cast<int>(MaxQueuedCommands));
    Router.set(zmq::sockopt::rcvhwm, static_cast<int>(MaxQueuedCommands));
    try {
      Router.bind("tcp://" + Context.Self.Listen);
    } catch (const zmq::error_t &E) {
      throw std::runtime_error("cannot listen for peers at " +
                               Context.Self.Listen + ": " + E.what());
    }
    Worker = std::thread([this] { run(); });
    pthread_setname_np(Worker.native_handle(), "peers");
  }

  ~Transport() override { Transport::stop(); }
  Transport(const Transport &) = delete;
  Transport &operator=(const Transport &) = delete;

  void setReceiver(PeerReceiver Receiver) override {
    std::lock_guard<std::mutex> Lock(Commands->Mutex);
    Commands->Receiver = std::move(Receiver);
  }

  void send(const std::string &Address,
            peer::v1::PeerMessage Message) override {
    Message.set_exchange_id(0);
    post(*Commands, Outgoing{Address, std::move(Message), nullptr,
                             Context.Time->now() + SendTimeout});
  }

  void request(const std::string &Address, peer::v1::PeerMessage Message,
               Duration Timeout, PeerAnswerHandler Done) override {
    Message.set_exchange_id(NextExchange.fetch_add(1));
    post(*Commands, Outgoing{Address, std::move(Message), std::move(Done),
                             Context.Time->now() + Timeout});
  }

  void stop() override {
    {
      std::lock_guard<std::mutex> Lock(Commands->Mutex);
      Commands->Stopping = true;
    }
    Commands->Wake.signal();
    if (Worker.joinable())
      Worker.join();
  }

private:
  using Sockets = std::list<PeerSocket>;

  void run() {
    while (!stopping()) {
      poll();
      takeCommands();
      readRouter();
      for (PeerSocket &P : Peers) {
        readAnswers(P);
        flush(P);
      }
      expireAll();
    }
    takeCommands();
    for (PeerSocket &P : Peers) {
      flush(P);
      endAllExchanges(P);
    }
    Peers.clear();
    Current.clear();
  }

  bool stopping() {
    std::lock_guard<std::mutex> Lock(Commands->Mutex);
    return Commands->Stopping;
  }

  void poll() {
    std::vector<zmq::pollitem_t> Items = {
        {nullptr, Commands->Wake.descriptor(), ZMQ_POLLIN, 0},
        {Router.handle(), 0, ZMQ_POLLIN, 0}};
    for (PeerSocket &P : Peers) {
      auto Wanted = P.Unsent.empty() ? ZMQ_POLLIN : ZMQ_POLLIN | ZMQ_POLLOUT;
      Items.push_back({P.Socket.handle(), 0, static_cast<short>(Wanted), 0});
    }
    try {
      zmq::poll(Items, MaxPollInterval);
    } catch (const zmq::error_t &E) {
      if (E.num() != EINTR)
        throw;
    }
    Commands->Wake.clear();
  }

  void takeCommands() {
    std::vector<Outgoing> Out;
    std::vector<Reply> Replies;
    std::vector<PeerAnswerHandler> Refused;
    {
      std::lock_guard<std::mutex> Lock(Commands->Mutex);
      Out.swap(Commands->Out);
      Replies.swap(Commands->Replies);
      Refused.swap(Commands->Refused);
    }
    for (auto &Done : Refused)
      Done(PeerCode::NotSent, peer::v1::PeerMessage());
    for (Reply &R : Replies)
      answer(R);
    for (Outgoing &O : Out)
      dispatch(std::move(O));
  }

  void stamp(peer::v1::PeerMessage &M) const {
    M.set_fleet(Context.Self.Fleet);
    M.set_protocol_version(PeerProtocolVersion);
    M.set_from(Context.Self.Id);
    M.set_incarnation(Context.Incarnation->load());
    M.set_from_address(Context.Self.Listen);
  }

  void answer(Reply &R) {
    stamp(R.Message);
    std::string Bytes = R.Message.SerializeAsString();
    // If the requester has disconnected or its queue is full, the answer is
    // lost and the requester times out.
    if (Router.send(zmq::buffer(R.Route),
                    zmq::send_flags::sndmore | zmq::send_flags::dontwait))
      Router.send(zmq::buffer(Bytes), zmq::send_flags::dontwait);
  }

  PeerSocket &currentSocket(const std::string &Address) {
    auto It = Current.find(Address);
    if (It != Current.end())
      return *It->second;
    Peers.push_back(openPeerSocket(Zmq, Address));
    Current[Address] = std::prev(Peers.end());
    return Peers.back();
  }

  void dispatch(Outgoing &&O) {
    stamp(O.Message);
    try {
      PeerSocket &P = currentSocket(O.Address);
      P.LastUsed = Context.Time->now();
      if (enqueue(P, std::move(O)))
        flush(P);
    } catch (const zmq::error_t &) {
      // The address is not valid. The request ends like one that could not be
      // sent.
      if (O.Done)
        O.Done(PeerCode::NotSent, peer::v1::PeerMessage());
    }
  }

  /// Parses and checks a message. Empty if it was dropped.
  std::optional<peer::v1::PeerMessage> parse(const zmq::message_t &Bytes) {
    peer::v1::PeerMessage M;
    const char *Fault = nullptr;
    if (!M.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
      Fault = "malformed";
    else if (M.fleet() != Context.Self.Fleet)
      Fault = "of another fleet";
    else if (M.protocol_version() != PeerProtocolVersion)
      Fault = "of another protocol version";
    else if (M.from().empty() || M.from() == Context.Self.Id)
      Fault = "without a valid sender";
    else if (M.body_case() == peer::v1::PeerMessage::BODY_NOT_SET)
      Fault = "without a body";
    if (!Fault)
      return M;
    recordDrop(Fault);
    return std::nullopt;
  }

  /// Counts a dropped message and logs it, at most once in DropEventInterval.
  void recordDrop(const std::string &Fault) {
    Dropped.Increment();
    ++DroppedSinceEvent;
    Instant Now = Context.Time->now();
    if (LastDropEvent && Now - *LastDropEvent < DropEventInterval)
      return;
    LastDropEvent = Now;
    Context.Events->record(events::PeerMessageDropped, {},
                           "message " + Fault + "; " +
                               std::to_string(DroppedSinceEvent) +
                               " dropped since the last record");
    DroppedSinceEvent = 0;
  }

  void readRouter() {
    for (int I = 0; I < ReadBatch; ++I) {
      zmq::message_t Route;
      if (!Router.recv(Route, zmq::recv_flags::dontwait))
        return;
      zmq::message_t Bytes;
      if (!Route.more() || !Router.recv(Bytes, zmq::recv_flags::dontwait)) {
        recordDrop("without a payload");
        continue;
      }
      if (!skipExtraFrames(Router, Bytes))
        continue;
      if (auto M = parse(Bytes))
        deliver(Route.to_string(), *M);
    }
  }

  /// Reads and drops the rest of a message that has too many frames. Returns
  /// true if there were no extra frames.
  bool skipExtraFrames(zmq::socket_t &Socket, const zmq::message_t &Last) {
    if (!Last.more())
      return true;
    zmq::message_t Extra;
    do {
      if (!Socket.recv(Extra, zmq::recv_flags::dontwait))
        break;
    } while (Extra.more());
    recordDrop("with extra frames");
    return false;
  }

  void deliver(const std::string &Route, const peer::v1::PeerMessage &M) {
    PeerReceiver Receiver;
    {
      std::lock_guard<std::mutex> Lock(Commands->Mutex);
      Receiver = Commands->Receiver;
    }
    if (!Receiver)
      return;
    auto Id = M.exchange_id();
    Receiver(M, [Queue = Commands, Route, Id](peer::v1::PeerMessage Answer) {
      if (Id == 0)
        return;
      Answer.set_exchange_id(Id);
      post(*Queue, Reply{Route, std::move(Answer)});
    });
  }

  void readAnswers(PeerSocket &P) {
    for (int I = 0; I < ReadBatch; ++I) {
      zmq::message_t Bytes;
      if (!P.Socket.recv(Bytes, zmq::recv_flags::dontwait))
        return;
      if (!skipExtraFrames(P.Socket, Bytes))
        continue;
      auto M = parse(Bytes);
      if (!M)
        continue;
      auto It = P.Sent.find(M->exchange_id());
      if (It == P.Sent.end()) {
        Late.Increment();
        continue;
      }
      PeerAnswerHandler Done = std::move(It->second.Done);
      P.Sent.erase(It);
      Done(PeerCode::Ok, *M);
    }
  }

  void expireAll() {
    Instant Now = Context.Time->now();
    for (auto It = Peers.begin(); It != Peers.end();) {
      PeerSocket &P = *It;
      bool Idle = P.Sent.empty() && P.Unsent.empty();
      if (expire(P, Now) || (Idle && Now - P.LastUsed > IdleTimeout))
        retire(P);
      bool Closed = P.Retired && P.Sent.empty() && P.Unsent.empty();
      It = Closed ? Peers.erase(It) : std::next(It);
    }
  }

  /// Retires the socket, so that the next message to the peer opens a new one.
  /// Unsent messages move to the new socket.
  void retire(PeerSocket &P) {
    if (P.Retired)
      return;
    P.Retired = true;
    Current.erase(P.Address);
    std::deque<Outgoing> Unsent = std::move(P.Unsent);
    P.Unsent.clear();
    for (Outgoing &O : Unsent)
      dispatch(std::move(O));
  }

  ZmqPeersContext Context;
  std::shared_ptr<CommandQueue> Commands;
  zmq::context_t Zmq{1};
  zmq::socket_t Router;
  prometheus::Counter &Dropped;
  prometheus::Counter &Late;
  Sockets Peers;
  /// The socket that takes new messages, by peer address.
  std::map<std::string, Sockets::iterator> Current;
  std::optional<Instant> LastDropEvent;
  std::uint64_t DroppedSinceEvent = 0;
  std::atomic<std::uint64_t> NextExchange{1};
  std::thread Worker;
};

} // namespace
} // namespace detail

std::shared_ptr<ZmqPeers> ZmqPeers::create(ZmqPeersContext Context) {
  return std::make_shared<detail::Transport>(std::move(Context));
}

} // namespace eelgrassloom
