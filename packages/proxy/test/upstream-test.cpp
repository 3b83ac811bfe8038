#include "proxy/upstream.h"
#include "upstream.grpc.pb.h"
#include <condition_variable>
#include <doctest/doctest.h>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <optional>
#include <set>

using namespace eelgrassloom;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const char *const NotUtf8 = "\xff\n\xfe";

/// A gRPC server that answers each frame. Some statements select a fault:
/// "silent" gets no answer, "end" ends the stream, and "stray" first gets an
/// answer with the id of another exchange. "twice" gets its answer twice, and
/// "bytes" an error text that is not UTF-8.
class FakeServer : public upstream::v1::Upstream::Service {
public:
  FakeServer() {
    grpc::ServerBuilder Builder;
    int Port = 0;
    Builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &Port);
    Builder.RegisterService(this);
    Server = Builder.BuildAndStart();
    Address = "127.0.0.1:" + std::to_string(Port);
  }
  ~FakeServer() override {
    Server->Shutdown(std::chrono::system_clock::now() + seconds(1));
  }
  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;

  grpc::Status Connect(
      grpc::ServerContext *Context,
      grpc::ServerReaderWriter<upstream::v1::ServerFrame,
                               upstream::v1::ClientFrame> *Stream) override {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Peers.insert(Context->peer());
    }
    upstream::v1::ClientFrame In;
    while (Stream->Read(&In)) {
      const std::string &Statement = In.execute().statement();
      if (Statement == "silent")
        continue;
      if (Statement == "end")
        return grpc::Status::OK;
      upstream::v1::ServerFrame Out;
      Out.set_code(upstream::v1::CODE_OK);
      if (Statement == "stray") {
        Out.set_exchange_id(In.exchange_id() + 7);
        Out.set_result("of another exchange");
        Stream->Write(Out);
      }
      Out.set_exchange_id(In.exchange_id());
      Out.set_result("answer to " + Statement);
      Out.mutable_status()->set_upstream("a");
      if (Statement == "bytes") {
        Out.set_code(upstream::v1::CODE_ERROR);
        Out.set_message(NotUtf8);
        Out.mutable_status()->set_upstream(NotUtf8);
      }
      Stream->Write(Out);
      if (Statement == "twice")
        Stream->Write(Out);
    }
    return grpc::Status::OK;
  }

  std::string Address;
  std::mutex Mutex;
  std::set<std::string> Peers;

private:
  std::unique_ptr<grpc::Server> Server;
};

/// Waits for one reply and checks that the handler runs only once.
class Waiter {
public:
  UpstreamReplyHandler handler() {
    return [this](const UpstreamReply &R) {
      std::lock_guard<std::mutex> Lock(Mutex);
      CHECK_MESSAGE(!Reply, "the handler was called twice");
      Reply = R;
      Changed.notify_all();
    };
  }
  UpstreamReply wait() {
    std::unique_lock<std::mutex> Lock(Mutex);
    REQUIRE(Changed.wait_for(Lock, seconds(20), [&] { return bool(Reply); }));
    return *Reply;
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::optional<UpstreamReply> Reply;
};

UpstreamCall statement(const std::string &Text) {
  UpstreamCall C;
  C.Operation = UpstreamOperation::Execute;
  C.Statement = Text;
  return C;
}

/// A connection of the gRPC adapter with blocking calls.
struct TestConnection {
  const UpstreamAdapter &Adapter = *Registry<UpstreamAdapter>::find("grpc");
  std::shared_ptr<UpstreamConnection> Connection;
  UpstreamReply Opened;

  explicit TestConnection(const std::string &Address,
                          Duration Timeout = seconds(10)) {
    Waiter W;
    Connection = Adapter.Connect({Address, "db", "p1"}, Timeout, W.handler());
    Opened = W.wait();
  }
  UpstreamReply call(const std::string &Text, Duration Timeout = seconds(10)) {
    Waiter W;
    Adapter.Call(*Connection, statement(Text), Timeout, W.handler());
    return W.wait();
  }
};

} // namespace

// Guards against a late answer to an earlier exchange that is taken as the
// answer to the current one.
TEST_CASE("the grpc adapter pairs answers by their exchange id") {
  FakeServer S;
  TestConnection C(S.Address);
  CHECK(C.Opened.Code == UpstreamCode::Ok);
  CHECK(C.Opened.Status.Id == "a");
  for (const char *Text : {"one", "stray", "two", "stray", "three"})
    CHECK(C.call(Text).Result == std::string("answer to ") + Text);
}

// Guards against a second answer to an exchange that is taken as the answer to
// the next one.
TEST_CASE("the grpc adapter drops a repeated answer") {
  FakeServer S;
  TestConnection C(S.Address);
  for (const char *Text : {"twice", "one", "twice", "twice", "two"})
    CHECK(C.call(Text).Result == std::string("answer to ") + Text);
}

// Guards against a connection that ends, or an answer that is lost, because of
// a text that the upstream chose.
TEST_CASE("texts of an upstream may have any bytes") {
  FakeServer S;
  TestConnection C(S.Address);
  UpstreamReply R = C.call("bytes", seconds(2));
  CHECK(R.Code == UpstreamCode::Error);
  CHECK(R.Message == NotUtf8);
  CHECK(R.Status.Id == NotUtf8);
  CHECK(C.call("next").Result == "answer to next");
}

// Guards against reusing a connection whose exchange is unfinished, and against
// a call whose handler never runs.
TEST_CASE("a missed deadline and an ended stream make a connection unusable") {
  FakeServer S;
  TestConnection Unresponsive(S.Address);
  CHECK(Unresponsive.call("silent", milliseconds(50)).Code ==
        UpstreamCode::TimedOut);
  CHECK(Unresponsive.call("next").Code == UpstreamCode::ConnectionLost);
  TestConnection Ended(S.Address);
  CHECK(Ended.call("end").Code == UpstreamCode::ConnectionLost);
  TestConnection Unreachable("127.0.0.1:1");
  CHECK(Unreachable.Opened.Code == UpstreamCode::ConnectionLost);
}

// Guards against connections that share one TCP connection and therefore
// become unresponsive together.
TEST_CASE("every connection has a TCP connection of its own") {
  FakeServer S;
  TestConnection First(S.Address);
  TestConnection Second(S.Address);
  CHECK(S.Peers.size() == 2);
}
