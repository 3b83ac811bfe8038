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

// Guards against an answer that is taken for that of another exchange: one with
// an unknown id, one that comes twice, and one that comes after the timeout.
TEST_CASE("answers of peers are paired by their exchange id") {
  Node A("a");
  zmq::context_t Zmq;
  zmq::socket_t Raw(Zmq, zmq::socket_type::router);
  std::string Address = freeAddress();
  Raw.bind("tcp://" + Address);
  Raw.set(zmq::sockopt::rcvtimeo, 20000);
  auto Send = [&](const zmq::message_t &Route, std::uint64_t Id,
                  std::uint64_t Content) {
    peer::v1::PeerMessage M;
    M.set_fleet("fleet");
    M.set_protocol_version(PeerProtocolVersion);
    M.set_from("raw");
    M.set_exchange_id(Id);
    M.mutable_ack()->set_probe_id(Content);
    Raw.send(zmq::buffer(Route.data(), Route.size()), zmq::send_flags::sndmore);
    Raw.send(zmq::buffer(M.SerializeAsString()), zmq::send_flags::none);
  };
  std::vector<std::promise<std::uint64_t>> Answers(3);
  for (auto &Answer : Answers)
    A.Peers->request(Address, ping(), seconds(20),
                     [&](PeerCode, const peer::v1::PeerMessage &M) {
                       Answer.set_value(M.ack().probe_id());
                     });
  std::vector<std::uint64_t> Ids;
  zmq::message_t Route;
  for (std::size_t I = 0; I < Answers.size(); ++I) {
    zmq::message_t Bytes;
    REQUIRE(Raw.recv(Route));
    REQUIRE(Raw.recv(Bytes));
    peer::v1::PeerMessage M;
    REQUIRE(M.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())));
    Ids.push_back(M.exchange_id());
  }
  // In reverse order, each twice, with strays between them.
  for (std::size_t I = Ids.size(); I-- > 0;) {
    Send(Route, Ids[I] + 1000, 99);
    Send(Route, Ids[I], I);
    Send(Route, Ids[I], 98);
  }
  for (std::size_t I = 0; I < Answers.size(); ++I)
    CHECK(Answers[I].get_future().get() == I);
  auto Late = [&] {
    return A.Meters->counter("eelgrassloom_peer_answers_late_total", "")
        .Value();
  };
  for (int I = 0; I < 1000 && Late() < 6; ++I)
    std::this_thread::sleep_for(milliseconds(5));
  CHECK(Late() == 6);
  A.Peers->stop();
}

// Guards against a message with a text that is not UTF-8, chosen by a caller or
// a database, that a peer drops as malformed, so that the answer is unknown.
TEST_CASE("answers and events with any bytes pass between peers") {
  Node A("a");
  Node B("b");
  const std::string Text = "\xff\n\xfe";
  B.Peers->setReceiver(
      [&](const peer::v1::PeerMessage &M, PeerResponder Respond) {
        peer::v1::PeerMessage Answer;
        auto &Run = *Answer.mutable_forward_answer()->mutable_answer();
        Run.set_request_id(M.forward().request().request_id());
        Run.set_message(Text);
        Run.set_upstream(Text);
        Answer.mutable_forward_answer()->mutable_status()->set_upstream(Text);
        Respond(Answer);
      });
  peer::v1::PeerMessage M;
  auto &Run = *M.mutable_forward()->mutable_request();
  Run.set_request_id(Text);
  Run.set_database(Text);
  Run.set_workload_class(Text);
  Run.set_transaction(Text);
  std::promise<peer::v1::PeerMessage> Promise;
  A.Peers->request(B.Address, M, seconds(5),
                   [&](PeerCode, const peer::v1::PeerMessage &Answer) {
                     Promise.set_value(Answer);
                   });
  auto Answer = Promise.get_future().get();
  REQUIRE(Answer.has_forward_answer());
  CHECK(Answer.forward_answer().answer().request_id() == Text);
  CHECK(Answer.forward_answer().answer().message() == Text);
  CHECK(B.dropped() == 0);
  A.Peers->stop();
  B.Peers->stop();
}
