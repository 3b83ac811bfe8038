#include "client.h"
#include "fleet.h"
#include <atomic>
#include <future>
#include <random>

namespace eelgrassloom::fleet {
namespace {

/// Time that a caller waits for the answer after the deadline that the proxy
/// enforces.
constexpr unsigned CallerMarginMs = 1000;
/// Deadline assumed for requests without deadline_ms.
constexpr unsigned DefaultDeadlineMs = 2000;

/// Unique across processes: a random number per process, then a counter.
std::string newRequestId() {
  static const std::string Run = std::to_string(std::random_device{}());
  static std::atomic<unsigned> Count{0};
  return Run + "-" + std::to_string(++Count);
}

} // namespace

standin::v1::Statement get(const std::string &Key) {
  standin::v1::Statement S;
  S.set_key(Key);
  S.set_get(true);
  return S;
}

standin::v1::Statement put(const std::string &Key, const std::string &Data) {
  standin::v1::Statement S;
  S.set_key(Key);
  S.set_put(Data);
  return S;
}

standin::v1::Statement append(const std::string &Key, const std::string &Item) {
  standin::v1::Statement S;
  S.set_key(Key);
  S.set_append(Item);
  return S;
}

standin::v1::Statement add(const std::string &Key, std::int64_t Amount) {
  standin::v1::Statement S;
  S.set_key(Key);
  S.set_add(Amount);
  return S;
}

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

caller::v1::RunRequest request(const std::string &Database,
                               const std::string &Class,
                               const standin::v1::Statement &Statement) {
  caller::v1::RunRequest R;
  R.set_database(Database);
  R.set_workload_class(Class);
  R.set_statement(Statement.SerializeAsString());
  R.set_access(Statement.has_get() ? caller::v1::ACCESS_READ
                                   : caller::v1::ACCESS_WRITE);
  if (!Statement.has_get()) {
    R.set_request_id(newRequestId());
    R.set_issued_at_ms(wallClockMs());
  }
  return R;
}

caller::v1::RunRequest step(const std::string &Database,
                            const std::string &Class, caller::v1::Step Step,
                            const std::string &Transaction) {
  caller::v1::RunRequest R;
  R.set_database(Database);
  R.set_workload_class(Class);
  R.set_access(caller::v1::ACCESS_WRITE);
  R.set_step(Step);
  R.set_transaction(Transaction);
  if (Step == caller::v1::STEP_COMMIT) {
    R.set_request_id(newRequestId());
    R.set_issued_at_ms(wallClockMs());
  }
  return R;
}

standin::v1::Value valueOf(const std::string &Result) {
  standin::v1::Value V;
  V.ParseFromString(Result);
  return V;
}

void CallerSession::moveTo(const std::string &ProxyAddress) {
  Stub = caller::v1::Caller::NewStub(makeChannel(ProxyAddress));
}

caller::v1::RunAnswer CallerSession::run(caller::v1::RunRequest Request) {
  Request.set_token(Token);
  grpc::ClientContext Context;
  unsigned Wait =
      Request.deadline_ms() > 0 ? Request.deadline_ms() : DefaultDeadlineMs;
  Context.set_deadline(std::chrono::system_clock::now() +
                       std::chrono::milliseconds(Wait + CallerMarginMs));
  caller::v1::RunAnswer Answer;
  grpc::Status S = Stub->Run(&Context, Request, &Answer);
  if (!S.ok()) {
    Answer.Clear();
    Answer.set_outcome(caller::v1::OUTCOME_UNKNOWN);
    Answer.set_reason(caller::v1::REASON_CONNECTION_LOST);
    Answer.set_message(S.error_message());
    return Answer;
  }
  if (!Answer.token().empty())
    Token = Answer.token();
  return Answer;
}

DirectConnection::DirectConnection(const std::string &Address,
                                   const std::string &Proxy)
    : Channel(makeChannel(Address)),
      Stub(upstream::v1::Upstream::NewStub(Channel)) {
  Context.set_wait_for_ready(true);
  Stream = Stub->Connect(&Context);
  upstream::v1::ClientFrame Frame;
  Frame.mutable_open()->set_proxy(Proxy);
  Opened = call(Frame);
}

DirectConnection::~DirectConnection() { Context.TryCancel(); }

upstream::v1::ServerFrame
DirectConnection::call(upstream::v1::ClientFrame Frame, unsigned TimeoutMs) {
  Frame.set_exchange_id(++LastExchange);
  upstream::v1::ServerFrame Answer;
  auto Exchange = std::async(std::launch::async, [&] {
    if (!Stream->Write(Frame) || !Stream->Read(&Answer))
      Answer.Clear();
  });
  if (Exchange.wait_for(std::chrono::milliseconds(TimeoutMs)) ==
      std::future_status::timeout)
    Context.TryCancel();
  Exchange.wait();
  return Answer;
}

upstream::v1::ServerFrame
DirectConnection::execute(const standin::v1::Statement &Statement,
                          std::uint64_t Term, const std::string &RequestId) {
  upstream::v1::ClientFrame Frame;
  Frame.mutable_execute()->set_statement(Statement.SerializeAsString());
  Frame.mutable_execute()->set_write(!Statement.has_get());
  Frame.mutable_execute()->set_term(Term);
  Frame.mutable_execute()->set_request_id(RequestId);
  Frame.mutable_execute()->set_issued_at_ms(wallClockMs());
  return call(Frame);
}

} // namespace eelgrassloom::fleet
