/// \file
/// Clients for the demo, the benchmarks and the tests: a caller of proxies, and
/// a direct connection to an upstream.

#ifndef EELGRASSLOOM_FLEET_CLIENT_H
#define EELGRASSLOOM_FLEET_CLIENT_H

#include "caller.grpc.pb.h"
#include "standin.pb.h"
#include "upstream.grpc.pb.h"
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

namespace eelgrassloom::fleet {

/// Statements of the simulated database: get reads a value, put overwrites it,
/// append adds an item to a list, and add changes a number.
standin::v1::Statement get(const std::string &Key);
standin::v1::Statement put(const std::string &Key, const std::string &Data);
standin::v1::Statement append(const std::string &Key, const std::string &Item);
standin::v1::Statement add(const std::string &Key, std::int64_t Amount);

/// Milliseconds since the Unix epoch.
std::int64_t wallClockMs();

/// Request for a statement: a read for get, a write for the others. A write has
/// a new request id and the current time as its issue time.
caller::v1::RunRequest request(const std::string &Database,
                               const std::string &Class,
                               const standin::v1::Statement &Statement);

/// Request for a step of a transaction; \p Transaction is empty for the first
/// step. A commit has a new request id and the current time as its issue time.
caller::v1::RunRequest step(const std::string &Database,
                            const std::string &Class, caller::v1::Step Step,
                            const std::string &Transaction = "");

/// Decodes the result of a statement.
standin::v1::Value valueOf(const std::string &Result);

/// A caller's session: keeps the session token and can move between proxies.
class CallerSession {
public:
  explicit CallerSession(const std::string &ProxyAddress) {
    moveTo(ProxyAddress);
  }
  /// Sends further requests to another proxy; the token is kept.
  void moveTo(const std::string &ProxyAddress);
  /// Runs a request with the session's token. A gRPC error is returned as
  /// OUTCOME_UNKNOWN with REASON_CONNECTION_LOST.
  caller::v1::RunAnswer run(caller::v1::RunRequest Request);

  std::string Token;

private:
  std::unique_ptr<caller::v1::Caller::Stub> Stub;
};

/// One connection to an upstream, without a proxy in between.
class DirectConnection {
public:
  /// Connects and sends Open with the proxy id \p Proxy.
  explicit DirectConnection(const std::string &Address,
                            const std::string &Proxy = "test");
  ~DirectConnection();
  /// Answer to the Open frame.
  const upstream::v1::ServerFrame &opened() const { return Opened; }
  /// Sends a frame and waits for its answer. The answer has CODE_UNSPECIFIED if
  /// the stream ended or the timeout passed; a timeout also ends the stream.
  upstream::v1::ServerFrame call(upstream::v1::ClientFrame Frame,
                                 unsigned TimeoutMs = 5000);
  /// Runs a statement outside a transaction under \p Term.
  upstream::v1::ServerFrame execute(const standin::v1::Statement &Statement,
                                    std::uint64_t Term,
                                    const std::string &RequestId = "");

private:
  std::shared_ptr<grpc::Channel> Channel;
  std::unique_ptr<upstream::v1::Upstream::Stub> Stub;
  grpc::ClientContext Context;
  std::unique_ptr<grpc::ClientReaderWriter<upstream::v1::ClientFrame,
                                           upstream::v1::ServerFrame>>
      Stream;
  std::uint64_t LastExchange = 0;
  upstream::v1::ServerFrame Opened;
};

} // namespace eelgrassloom::fleet

#endif // EELGRASSLOOM_FLEET_CLIENT_H
