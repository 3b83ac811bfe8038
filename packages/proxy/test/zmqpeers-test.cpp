#include "proxy/zmqpeers.h"
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <future>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.hpp>

using namespace eelgrassloom;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A loopback address whose port was free a moment ago.
std::string freeAddress() {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Any{};
  Any.sin_family = AF_INET;
  Any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof Any;
  REQUIRE(bind(Socket, reinterpret_cast<sockaddr *>(&Any), Size) == 0);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Any), &Size);
  close(Socket);
  return "127.0.0.1:" + std::to_string(ntohs(Any.sin_port));
}

/// A transport with its own event log and metrics.
struct Node {
  std::shared_ptr<Clock> Time;
  std::shared_ptr<EventLog> Events;
  std::shared_ptr<ProxyMetrics> Meters = ProxyMetrics::create("");
  std::string Address = freeAddress();
  std::shared_ptr<ZmqPeers> Peers;

  explicit Node(const std::string &Id, const std::string &Fleet = "fleet",
                std::shared_ptr<Clock> T = Clock::system())
      : Time(std::move(T)), Events(EventLog::create(Time, 100)) {
    Peers = ZmqPeers::create({{Fleet, Id, Address},
                              Time,
                              Events,
                              Meters,
                              std::make_shared<std::atomic<std::uint64_t>>(1)});
  }
  double dropped() {
    return Meters->counter("eelgrassloom_peer_messages_dropped_total", "")
        .Value();
  }
};

peer::v1::PeerMessage ping() {
  peer::v1::PeerMessage M;
  M.mutable_ping()->set_probe_id(7);
  return M;
}

/// Sends a ping and returns the result of the exchange.
PeerCode exchange(Node &From, const std::string &Address, Duration Timeout) {
  auto Promise = std::make_shared<std::promise<PeerCode>>();
  auto Future = Promise->get_future();
  From.Peers->request(Address, ping(), Timeout,
                      [Promise](PeerCode C, const peer::v1::PeerMessage &) {
                        Promise->set_value(C);
                      });
  REQUIRE(Future.wait_for(seconds(20)) == std::future_status::ready);
  return Future.get();
}

/// Makes the node answer every message with an ack.
void answerPings(Node &N) {
  N.Peers->setReceiver(
      [](const peer::v1::PeerMessage &, PeerResponder Respond) {
        peer::v1::PeerMessage Answer;
        Answer.mutable_ack();
        Respond(Answer);
      });
}

} // namespace

// Guards against answers that are not matched to their request.
TEST_CASE("an exchange is answered") {
  Node A("a");
  Node B("b");
  answerPings(B);
  CHECK(exchange(A, B.Address, seconds(10)) == PeerCode::Ok);
}

// Guards against a proxy that acts on messages of another fleet.
TEST_CASE("foreign messages are dropped, counted and recorded") {
  Node A("a", "other");
  Node B("b");
  answerPings(B);
  CHECK(exchange(A, B.Address, milliseconds(500)) == PeerCode::TimedOut);
  CHECK(B.dropped() == 1);
  REQUIRE(B.Events->select({}).size() == 1);
  CHECK(B.Events->select({})[0].Kind.Number ==
        events::PeerMessageDropped.Number);
}

// Guards against a crash or a blocked socket because of bytes that can't be
// parsed, and against one event for each such message.
TEST_CASE("malformed messages are dropped and the event is rate limited") {
  Node A("a");
  Node B("b", "fleet", Clock::paused());
  answerPings(B);
  zmq::context_t Zmq;
  zmq::socket_t Raw(Zmq, zmq::socket_type::dealer);
  Raw.connect("tcp://" + B.Address);
  for (int I = 0; I < 5; ++I)
    Raw.send(zmq::buffer(std::string("\xff\xff\xff")), zmq::send_flags::none);
  for (int I = 0; I < 1000 && B.dropped() < 5; ++I)
    std::this_thread::sleep_for(milliseconds(5));
  CHECK(B.dropped() == 5);
  CHECK(B.Events->select({}).size() == 1);
  CHECK(exchange(A, B.Address, seconds(10)) == PeerCode::Ok);
}

// Guards against a write whose outcome is reported as unknown although it was
// never sent.
TEST_CASE("a message without a connection is reported as not sent") {
  Node A("a");
  CHECK(exchange(A, freeAddress(), milliseconds(200)) == PeerCode::NotSent);
}

// Guards against a peer that stays unreachable because the proxy keeps using a
// socket whose connection no longer works.
TEST_CASE("after a timeout the next exchange uses a new socket") {
  Node A("a");
  Node B("b");
  std::atomic<int> Received{0};
  B.Peers->setReceiver(
      [&](const peer::v1::PeerMessage &, PeerResponder Respond) {
        if (++Received == 1)
          return;
        peer::v1::PeerMessage Answer;
        Answer.mutable_ack();
        Respond(Answer);
      });
  CHECK(exchange(A, B.Address, milliseconds(500)) == PeerCode::TimedOut);
  CHECK(exchange(A, B.Address, seconds(10)) == PeerCode::Ok);
  B.Peers->stop();
}
