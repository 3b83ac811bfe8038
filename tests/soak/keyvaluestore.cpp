// The key-value store and the promotion call of the soak, served over HTTP.

#include "keyvaluestore.h"
#include "storeclient.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace eelgrassloom::soak {

namespace http = boost::beast::http;
using nlohmann::json;
using platform::error_code;
using platform::tcp;
using namespace std::chrono_literals;

namespace {

constexpr Duration ResponseTime = 3ms;
constexpr Duration SlowResponseTime = 300ms;
/// Interval at which an open watch looks for changes.
constexpr Duration WatchPollInterval = 20ms;

/// Value of a query parameter; empty if the target does not have it.
std::string queryParameter(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find(Name + "=");
  if (At == std::string::npos)
    return {};
  At += Name.size() + 1;
  return Target.substr(At, Target.find('&', At) - At);
}

bool hasPrefix(const std::string &Key, const std::string &Prefix) {
  return Key.compare(0, Prefix.size(), Prefix) == 0;
}

/// An HTTP connection of one proxy.
class HttpServerConnection
    : public std::enable_shared_from_this<HttpServerConnection> {
public:
  HttpServerConnection(tcp::socket Socket, KeyValueStore &Parent,
                       std::size_t Proxy)
      : Stream(std::move(Socket)), Parent(Parent), Proxy(Proxy),
        InitialHangCount(Parent.hangCount(Proxy)) {}

  void read() {
    Request = {};
    http::async_read(
        Stream, Buffer, Request,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (!Error)
            Self->handle();
        });
  }

private:
  void handle() {
    if (Parent.hangCount(Proxy) != InitialHangCount)
      return;
    std::string Token(Request["Eelgrassloom-Fence-Token"]);
    if (!Token.empty())
      Parent.addToken(std::stoull(Token),
                      std::string(Request["Eelgrassloom-Duty-Holder"]));
    Parent.handle(
        Proxy, std::string(Request.method_string()),
        std::string(Request.target()), Request.body(),
        [Self = shared_from_this()](unsigned Status, const std::string &Body) {
          if (Status != 0)
            Self->answer(Status, Body);
        });
  }

  void answer(unsigned Status, const std::string &Body) {
    Response = {};
    Response.result(Status);
    if (Parent.NamesEra)
      Response.set("Store-Era", std::to_string(Parent.era()));
    Response.keep_alive(true);
    Response.body() = Body;
    Response.prepare_payload();
    http::async_write(
        Stream, Response,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (!Error)
            Self->read();
        });
  }

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  KeyValueStore &Parent;
  std::size_t Proxy;
  /// hangCount when the connection was opened; once it differs, the connection
  /// gets no answers.
  unsigned InitialHangCount;
  http::request<http::string_body> Request;
  http::response<http::string_body> Response;
};

} // namespace

KeyValueStore::KeyValueStore(io_context &Loop, Promotion Promote)
    : Loop(Loop), Promote(std::move(Promote)) {}

std::uint16_t KeyValueStore::port(std::size_t Proxy) {
  while (Acceptors.size() <= Proxy) {
    Acceptors.push_back(std::make_unique<tcp::acceptor>(
        Loop, tcp::endpoint(platform::asio::ip::make_address("127.0.0.1"), 0)));
    accept(Acceptors.size() - 1);
  }
  return Acceptors[Proxy]->local_endpoint().port();
}

void KeyValueStore::accept(std::size_t Proxy) {
  Acceptors[Proxy]->async_accept(
      [this, Proxy](error_code Error, tcp::socket Socket) {
        if (Error)
          return;
        std::make_shared<HttpServerConnection>(std::move(Socket), *this, Proxy)
            ->read();
        accept(Proxy);
      });
}

void KeyValueStore::put(const std::string &Key, const std::string &Value) {
  auto It = Now.Items.find(Key);
  if (Away || (It != Now.Items.end() && It->second.Value == Value))
    return;
  ++Now.Revision;
  Now.Items[Key] = {Value, Now.Revision, Now.Revision, 0};
}

void KeyValueStore::erase(const std::string &Key) {
  if (!Away)
    Now.Revision += Now.Items.erase(Key);
}

void KeyValueStore::returnFromCopy() {
  Now = Copy;
  ++Era;
  Away = false;
}

void KeyValueStore::addToken(std::uint64_t Token, const std::string &Holder) {
  Tokens.push_back(Token);
  auto [It, New] = HolderOfToken.emplace(Token, Holder);
  if (!New && It->second != Holder)
    Problems.push_back("ONE: the fencing token " + std::to_string(Token) +
                       " is used by " + It->second + " and " + Holder);
}

void KeyValueStore::expire() {
  if (Away)
    return;
  std::erase_if(Now.Leases, [&](const auto &L) {
    if (L.second.first > now())
      return false;
    Now.Revision += std::erase_if(
        Now.Items, [&](const auto &I) { return I.second.LeaseId == L.first; });
    return true;
  });
}

std::string KeyValueStore::itemText(const std::string &Key,
                                    const Item &I) const {
  return json{{"key", Key},
              {"value", platform::encodeBase64(I.Value)},
              {"rev", I.Revision},
              {"created", I.Created},
              {"lease", I.LeaseId}}
      .dump();
}

std::pair<unsigned, std::string>
KeyValueStore::transact(const std::string &Text) {
  json Body = json::parse(Text);
  bool Holds = true;
  std::string Current;
  for (const json &C : Body.at("precondition")) {
    auto It = Now.Items.find(C.at("key").get<std::string>());
    std::uint64_t Have = It == Now.Items.end() ? 0 : It->second.Revision;
    Holds = Holds && Have == C.at("rev").get<std::uint64_t>();
    if (It != Now.Items.end())
      Current += (Current.empty() ? "" : ",") + itemText(It->first, It->second);
  }
  if (!Holds)
    return {412, "{\"items\":[" + Current + "]}"};
  if (!Body.at("setKeys").empty() || !Body.at("deleteKeys").empty())
    ++Now.Revision;
  for (const json &S : Body.at("setKeys")) {
    std::uint64_t LeaseId = S.value("lease", std::uint64_t{0});
    if (LeaseId != 0 && Now.Leases.count(LeaseId) == 0)
      return {404, "{}"};
    Now.Items[S.at("key").get<std::string>()] = {
        platform::decodeBase64(S.at("value").get<std::string>()), Now.Revision,
        Now.Revision, LeaseId};
  }
  for (const json &D : Body.at("deleteKeys"))
    Now.Items.erase(D.get<std::string>());
  return {200, json{{"rev", Now.Revision}}.dump()};
}

std::pair<unsigned, std::string> KeyValueStore::run(const std::string &Method,
                                                    const std::string &Target,
                                                    const std::string &Body) {
  if (hasPrefix(Target, "/-/kv-range")) {
    std::string List;
    for (const auto &[Key, I] : Now.Items)
      if (hasPrefix(Key, queryParameter(Target, "prefix")))
        List += (List.empty() ? "" : ",") + itemText(Key, I);
    return {200, "{\"items\":[" + List + "],\"hasMore\":false,\"asOf\":" +
                     std::to_string(Now.Revision) + "}"};
  }
  if (Target == "/-/kv-txn")
    return transact(Body);
  if (Target == "/-/kv-lease") {
    Duration Length =
        std::chrono::milliseconds(json::parse(Body).at("ttlMs").get<int>());
    Now.Leases[Now.NextLease] = {now() + Length, Length};
    return {
        200,
        json{{"lease", Now.NextLease++}, {"ttlMs", toMillis(Length)}}.dump()};
  }
  if (hasPrefix(Target, "/-/kv-keep/")) {
    auto It = Now.Leases.find(std::stoull(Target.substr(11)));
    if (It == Now.Leases.end())
      return {404, "{}"};
    It->second.first = now() + It->second.second;
    return {200, json{{"ttlMs", toMillis(It->second.second)}}.dump()};
  }
  if (Target == "/promote") {
    if (Tokens.size() > 1 && Tokens.back() < Tokens[Tokens.size() - 2])
      Problems.push_back("ONE: the fencing token fell to " +
                         std::to_string(Tokens.back()));
    bool Done = Promote(json::parse(Body).at("id").get<std::string>());
    return {Done ? 200U : 409U, "{}"};
  }
  return {404, Method};
}

void KeyValueStore::watch(const std::string &Prefix, std::uint64_t After,
                          Instant Until,
                          std::function<void(unsigned, std::string)> Done) {
  std::string List;
  for (const auto &[Key, I] : Now.Items)
    if (hasPrefix(Key, Prefix) && I.Revision > After)
      List += (List.empty() ? "" : ",") + itemText(Key, I);
  if (Away || After > Now.Revision) {
    Done(Away ? 0 : 410, "{}");
    return;
  }
  if (!List.empty() || now() >= Until) {
    Done(200, "{\"events\":[" + List +
                  "],\"asOf\":" + std::to_string(Now.Revision) + "}");
    return;
  }
  runAfter(Loop, WatchPollInterval,
           [this, Prefix, After, Until, Done = std::move(Done)] {
             watch(Prefix, After, Until, Done);
           });
}

void KeyValueStore::handle(std::size_t Proxy, const std::string &Method,
                           const std::string &Target, const std::string &Body,
                           std::function<void(unsigned, std::string)> Done) {
  bool Promotion = Target == "/promote";
  if (!Promotion && (Away || Mode == StoreMode::Unresponsive ||
                     PartitionedProxies.count(Proxy) != 0))
    return;
  if (!Promotion &&
      (Mode == StoreMode::Busy || RejectedProxies.count(Proxy) != 0)) {
    Done(503, "{}");
    return;
  }
  if (hasPrefix(Target, "/-/kv-watch")) {
    watch(queryParameter(Target, "prefix"),
          std::stoull("0" + queryParameter(Target, "after")),
          now() + std::chrono::milliseconds(
                      std::stoull("0" + queryParameter(Target, "waitMs"))),
          std::move(Done));
    return;
  }
  auto [Status, Text] = run(Method, Target, Body);
  // Drops the answer to a change whenever the revision is divisible by three,
  // although the change has taken effect.
  if (Mode == StoreMode::DropResponses && Method == "POST" &&
      Now.Revision % 3 == 0)
    return;
  runAfter(Loop, Mode == StoreMode::Slow ? SlowResponseTime : ResponseTime,
           [Status = Status, Text = Text, Done = std::move(Done)] {
             Done(Status, Text);
           });
}

} // namespace eelgrassloom::soak
