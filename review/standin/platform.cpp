#include "platform.h"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace review {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Time that the store takes for an answer.
constexpr std::int64_t AnswerMs = 4;
constexpr std::int64_t WatchStepMs = 10;

constexpr std::string_view Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode64(const std::string &Bytes) {
  std::string Out;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Group = 0;
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - I);
    for (std::size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (J < Count ? static_cast<unsigned char>(Bytes[I + J]) : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Out += J <= Count ? Digits[Group >> (18 - 6 * J) & 63U] : '=';
  }
  return Out;
}

std::string parameter(const std::string &Target, const std::string &Name) {
  for (const char *Mark : {"?", "&"}) {
    std::size_t At = Target.find(Mark + Name + "=");
    if (At == std::string::npos)
      continue;
    At += Name.size() + 2;
    return Target.substr(At, Target.find('&', At) - At);
  }
  return {};
}

class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(tcp::socket Socket, std::shared_ptr<HttpHandler> Handle)
      : Stream(std::move(Socket)), Handle(std::move(Handle)) {}

  void read() {
    Request = {};
    http::async_read(
        Stream, Buffer, Request,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (!Error)
            Self->run();
        });
  }

private:
  void run() {
    HttpCall Call{std::string(Request.method_string()),
                  std::string(Request.target()),
                  Request.body(),
                  {}};
    for (const auto &Field : Request)
      Call.Headers[std::string(Field.name_string())] =
          std::string(Field.value());
    (*Handle)(Call,
              [Self = shared_from_this()](const Answer &A) { Self->write(A); });
  }

  void write(const Answer &A) {
    Response = {};
    Response.result(A.Status);
    Response.version(11);
    Response.keep_alive(true);
    Response.set(http::field::content_type, "application/json");
    Response.body() = A.Body;
    Response.prepare_payload();
    http::async_write(
        Stream, Response,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (!Error)
            Self->read();
        });
  }

  beast::tcp_stream Stream;
  std::shared_ptr<HttpHandler> Handle;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  http::response<http::string_body> Response;
};

void accept(const std::shared_ptr<tcp::acceptor> &Acceptor,
            const std::shared_ptr<HttpHandler> &Handle) {
  Acceptor->async_accept(
      [Acceptor, Handle](error_code Error, tcp::socket Socket) {
        if (Error)
          return;
        error_code Ignored;
        Socket.set_option(tcp::no_delay(true), Ignored);
        std::make_shared<HttpSession>(std::move(Socket), Handle)->read();
        accept(Acceptor, Handle);
      });
}

} // namespace

std::uint16_t serveHttp(asio::io_context &Loop, HttpHandler Handle) {
  auto Acceptor = std::make_shared<tcp::acceptor>(
      Loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  accept(Acceptor, std::make_shared<HttpHandler>(std::move(Handle)));
  return Acceptor->local_endpoint().port();
}

std::uint16_t Store::open(std::size_t Proxy) {
  return serveHttp(
      Loop, [this, Proxy](const HttpCall &Call, const AnswerHandler &Done) {
        handle(Proxy, Call, Done);
      });
}

json Store::describe(const std::string &Key, const Item &I) {
  return {{"key", Key},
          {"value", I.Value},
          {"rev", I.Revision},
          {"created", I.Created},
          {"lease", I.Lease}};
}

void Store::set(const std::string &Key, const std::string &Encoded,
                std::uint64_t Lease) {
  Item &I = Items[Key];
  I.Value = Encoded;
  I.Revision = Revision;
  I.Created = I.Created == 0 ? Revision : I.Created;
  I.Lease = Lease;
  History.push_back({Revision, Key, false, I});
}

void Store::remove(const std::string &Key) {
  if (Items.erase(Key) != 0)
    History.push_back({Revision, Key, true, {}});
}

void Store::put(const std::string &Key, const std::string &Value,
                std::uint64_t Lease) {
  ++Revision;
  set(Key, encode64(Value), Lease);
}

void Store::erase(const std::string &Key) {
  ++Revision;
  remove(Key);
}

void Store::expire() {
  for (auto It = Leases.begin(); It != Leases.end();) {
    if (It->second.UntilMs > nowMs()) {
      ++It;
      continue;
    }
    std::vector<std::string> Keys;
    for (const auto &[Key, I] : Items)
      if (I.Lease == It->first)
        Keys.push_back(Key);
    for (const std::string &Key : Keys)
      erase(Key);
    It = Leases.erase(It);
  }
}

Answer Store::range(const std::string &Target) const {
  std::string Prefix = parameter(Target, "prefix");
  std::string After = parameter(Target, "after");
  json List = json::array();
  for (const auto &[Key, I] : Items)
    if (Key.compare(0, Prefix.size(), Prefix) == 0 && Key > After)
      List.push_back(describe(Key, I));
  return {200,
          json{{"items", List}, {"hasMore", false}, {"asOf", Revision}}.dump()};
}

Answer Store::transact(std::size_t Proxy, const std::string &Body) {
  json Change = json::parse(Body);
  bool Holds = true;
  json Current = json::array();
  for (const json &C : Change.at("precondition")) {
    auto It = Items.find(C.at("key").get<std::string>());
    std::uint64_t Have = It == Items.end() ? 0 : It->second.Revision;
    Holds = Holds && Have == C.at("rev").get<std::uint64_t>();
    if (It != Items.end())
      Current.push_back(describe(It->first, It->second));
  }
  if (!Holds)
    return {412, json{{"items", Current}, {"asOf", Revision}}.dump()};
  for (const json &S : Change.at("setKeys")) {
    auto Lease = S.value("lease", std::uint64_t{0});
    if (Lease != 0 && Leases.count(Lease) == 0)
      return {404, "{}"};
    auto Key = S.at("key").get<std::string>();
    if (Key.compare(0, 3, "op/") == 0 || Key.compare(0, 8, "servers/") == 0)
      return {403, "{}"};
  }
  ++Revision;
  for (const json &S : Change.at("setKeys"))
    set(S.at("key").get<std::string>(), S.at("value").get<std::string>(),
        S.value("lease", std::uint64_t{0}));
  for (const json &D : Change.at("deleteKeys"))
    remove(D.get<std::string>());
  if (Changed)
    Changed(Proxy, Change);
  return {200, json{{"rev", Revision}}.dump()};
}

void Store::watch(const std::string &Prefix, std::uint64_t After,
                  std::int64_t UntilMs, const AnswerHandler &Done) {
  json Events = json::array();
  for (const Event &E : History) {
    if (E.Revision <= After || E.Key.compare(0, Prefix.size(), Prefix) != 0)
      continue;
    if (E.Removed)
      Events.push_back(
          {{"key", E.Key}, {"rev", E.Revision}, {"removed", true}});
    else
      Events.push_back(describe(E.Key, E.Content));
  }
  if (!Events.empty() || nowMs() >= UntilMs) {
    Done({200, json{{"events", Events}, {"asOf", Revision}}.dump()});
    return;
  }
  after(Loop, WatchStepMs, [this, Prefix, After, UntilMs, Done] {
    watch(Prefix, After, UntilMs, Done);
  });
}

void Store::handle(std::size_t Proxy, const HttpCall &Call,
                   const AnswerHandler &Done) {
  const std::string &Target = Call.Target;
  auto Is = [&](std::string_view Path) {
    return Target.compare(0, Path.size(), Path) == 0;
  };
  Answer A{404, "{}"};
  if (Is("/-/kv-watch")) {
    watch(parameter(Target, "prefix"),
          std::stoull("0" + parameter(Target, "after")),
          nowMs() + std::stoll("0" + parameter(Target, "waitMs")), Done);
    return;
  }
  if (Is("/-/kv-key")) {
    auto It = Items.find(parameter(Target, "key"));
    if (It != Items.end()) {
      json Value = describe(It->first, It->second);
      Value["asOf"] = Revision;
      A = {200, Value.dump()};
    }
  } else if (Is("/-/kv-range")) {
    A = range(Target);
    if (Listed)
      Listed(Proxy, parameter(Target, "prefix"));
  } else if (Is("/-/kv-txn")) {
    A = transact(Proxy, Call.Body);
  } else if (Is("/-/kv-lease-end/")) {
    auto It = Leases.find(std::stoull("0" + Target.substr(16)));
    if (It != Leases.end()) {
      It->second.UntilMs = 0;
      expire();
      A = {200, "{}"};
    }
  } else if (Is("/-/kv-lease")) {
    auto Ttl = json::parse(Call.Body).at("ttlMs").get<std::int64_t>();
    Leases[NextLease] = {nowMs() + Ttl, Ttl};
    A = {200, json{{"lease", NextLease++}, {"ttlMs", Ttl}}.dump()};
  } else if (Is("/-/kv-keep/")) {
    auto It = Leases.find(std::stoull("0" + Target.substr(11)));
    if (It != Leases.end()) {
      It->second.UntilMs = nowMs() + It->second.TtlMs;
      A = {200, json{{"ttlMs", It->second.TtlMs}}.dump()};
      if (Renewed)
        Renewed(Proxy);
    }
  }
  after(Loop, AnswerMs, [A, Done] { Done(A); });
}

} // namespace review
