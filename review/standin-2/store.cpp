#include "store.h"
#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

namespace review {

namespace beast = boost::beast;
using nlohmann::json;

namespace {

constexpr Duration ResponseTime = 4ms;
constexpr Duration HistoryTime = 20s;
constexpr std::int64_t MinLeaseMillis = 1000;
constexpr std::size_t MaxEntries = 32;
constexpr std::size_t PageItems = 500;

std::string decodeQuery(const std::string &Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Out += static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
      I += 2;
    } else {
      Out += Text[I];
    }
  }
  return Out;
}

/// Value of a query parameter; empty if the target does not have it.
std::string parameter(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    std::size_t End = Target.find('&', At + 1);
    std::string Part = Target.substr(
        At + 1, End == std::string::npos ? std::string::npos : End - At - 1);
    if (Part.starts_with(Name + "="))
      return decodeQuery(Part.substr(Name.size() + 1));
    At = End;
  }
  return {};
}

std::uint64_t numberParameter(const std::string &Target,
                              const std::string &Name) {
  return std::stoull("0" + parameter(Target, Name));
}

bool ofPlatform(const std::string &Key) {
  return Key.starts_with("op/") || Key.starts_with("servers/");
}

} // namespace

std::string encodeBase64(const std::string &Bytes) {
  std::string Out(beast::detail::base64::encoded_size(Bytes.size()), '\0');
  Out.resize(
      beast::detail::base64::encode(Out.data(), Bytes.data(), Bytes.size()));
  return Out;
}

std::string decodeBase64(const std::string &Text) {
  std::string Out(beast::detail::base64::decoded_size(Text.size()), '\0');
  Out.resize(beast::detail::base64::decode(Out.data(), Text.data(), Text.size())
                 .first);
  return Out;
}

/// One HTTP connection of a proxy.
class Store::Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(tcp::socket Socket, Store &Parent, bool OfStore)
      : OfStore(OfStore), Stream(std::move(Socket)), Parent(Parent) {}

  void read() {
    Request = {};
    http::async_read(
        Stream, Buffer, Request,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (Error)
            Self->close();
          else
            Self->handle();
        });
  }

  void close() {
    error_code Ignored;
    Stream.socket().close(Ignored);
    Parent.Connections.erase(shared_from_this());
  }

  /// False for a connection to the promotion call.
  const bool OfStore;

private:
  void handle() {
    Parent.handle(Request, [Self = shared_from_this()](HttpAnswer Answer) {
      runAfter(Self->Parent.Loop, ResponseTime,
               [Self, Answer] { Self->answer(Answer); });
    });
  }

  void answer(const HttpAnswer &Answer) {
    if (!Stream.socket().is_open())
      return;
    Response = {};
    Response.result(Answer.Status);
    Response.set("Store-Era", std::to_string(Parent.Era));
    Response.set(http::field::content_type, "application/json");
    Response.keep_alive(true);
    Response.body() = Answer.Body;
    Response.prepare_payload();
    http::async_write(
        Stream, Response,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (Error)
            Self->close();
          else
            Self->read();
        });
  }

  beast::tcp_stream Stream;
  Store &Parent;
  beast::flat_buffer Buffer;
  HttpRequest Request;
  http::response<http::string_body> Response;
};

Store::Store(asio::io_context &Loop, Promotion Promote)
    : Loop(Loop), Promote(std::move(Promote)),
      StoreAcceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0}),
      CloudAcceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0}) {
  accept(StoreAcceptor);
  accept(CloudAcceptor);
  expire();
}

void Store::accept(tcp::acceptor &From) {
  From.async_accept([this, &From](error_code Error, tcp::socket Socket) {
    if (Error)
      return;
    if (Away && &From == &StoreAcceptor) {
      Socket.set_option(tcp::socket::linger(true, 0));
      Socket.close();
    } else {
      Socket.set_option(tcp::no_delay(true));
      auto C = std::make_shared<Connection>(std::move(Socket), *this,
                                            &From == &StoreAcceptor);
      Connections.insert(C);
      C->read();
    }
    accept(From);
  });
}

std::string Store::itemText(const std::string &Key, const Item &I) {
  return json{{"key", Key},
              {"value", I.Value},
              {"rev", I.Revision},
              {"created", I.Created},
              {"lease", I.LeaseId}}
      .dump();
}

void Store::set(const std::string &Key, Item Written) {
  auto Old = Now.Items.find(Key);
  Written.Created =
      Old == Now.Items.end() ? Written.Revision : Old->second.Created;
  Now.Items[Key] = Written;
  Now.History.push_back({Key, Written.Revision, false, Written, now()});
}

void Store::remove(const std::string &Key, std::uint64_t Revision) {
  if (Now.Items.erase(Key) != 0)
    Now.History.push_back({Key, Revision, true, {}, now()});
}

void Store::put(const std::string &Key, const std::string &Value) {
  std::string Encoded = encodeBase64(Value);
  auto Old = Now.Items.find(Key);
  if (Away || (Old != Now.Items.end() && Old->second.Value == Encoded))
    return;
  set(Key, {Encoded, ++Now.Revision, 0, 0});
  record("store: " + Key + " written by the operator or a server, rev " +
         std::to_string(Now.Revision) + ": " + Value);
  answerWatches();
}

void Store::erase(const std::string &Key) {
  if (Away || Now.Items.count(Key) == 0)
    return;
  remove(Key, ++Now.Revision);
  record("store: " + Key + " removed, rev " + std::to_string(Now.Revision));
  answerWatches();
}

std::string Store::value(const std::string &Key) const {
  auto It = Now.Items.find(Key);
  return It == Now.Items.end() ? std::string() : decodeBase64(It->second.Value);
}

void Store::takeCopy() {
  Copy = Now;
  Copy.At = now();
  record("store: copy taken at rev " + std::to_string(Now.Revision));
}

void Store::goAway() {
  Away = true;
  record("store: away, last rev " + std::to_string(Now.Revision));
  Watches.clear();
  auto All = Connections;
  for (const auto &C : All)
    if (C->OfStore)
      C->close();
}

void Store::comeBack() {
  Duration Lost = now() - Copy.At;
  Now = Copy;
  for (auto &Entry : Now.Leases)
    Entry.second.Until += Lost;
  ++Era;
  Away = false;
  record("store: back from the copy, era " + std::to_string(Era) + ", rev " +
         std::to_string(Now.Revision));
  if (OnReturn)
    OnReturn();
}

void Store::expire() {
  if (!Away) {
    std::vector<std::string> Ended;
    for (const auto &[Id, L] : Now.Leases)
      if (L.Until <= now())
        for (const auto &[Key, I] : Now.Items)
          if (I.LeaseId == Id)
            Ended.push_back(Key);
    std::erase_if(Now.Leases,
                  [](const auto &L) { return L.second.Until <= now(); });
    for (const std::string &Key : Ended) {
      remove(Key, ++Now.Revision);
      record("store: " + Key + " removed with its lease, rev " +
             std::to_string(Now.Revision));
    }
    while (!Now.History.empty() &&
           Now.History.front().At + HistoryTime < now()) {
      Now.Forgotten = Now.History.front().Revision;
      Now.History.pop_front();
    }
    answerWatches();
  }
  runAfter(Loop, 10ms, [this] { expire(); });
}

HttpAnswer Store::range(const std::string &Target) {
  std::string Prefix = parameter(Target, "prefix");
  std::string After = parameter(Target, "after");
  std::string List;
  std::size_t Count = 0;
  bool More = false;
  for (const auto &[Key, I] : Now.Items) {
    if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After))
      continue;
    if (Count++ == PageItems) {
      More = true;
      break;
    }
    List += (List.empty() ? "" : ",") + itemText(Key, I);
  }
  return {200, "{\"items\":[" + List +
                   "],\"hasMore\":" + (More ? "true" : "false") +
                   ",\"asOf\":" + std::to_string(Now.Revision) + "}"};
}

HttpAnswer Store::transact(const std::string &Text) {
  json Body = json::parse(Text);
  json Conditions = Body.value("precondition", json::array());
  json Sets = Body.value("setKeys", json::array());
  json Deletes = Body.value("deleteKeys", json::array());
  if (Conditions.size() + Sets.size() + Deletes.size() > MaxEntries)
    return {400, "{}"};
  bool Holds = true;
  std::string Current;
  for (const json &C : Conditions) {
    auto It = Now.Items.find(C.at("key").get<std::string>());
    std::uint64_t Have = It == Now.Items.end() ? 0 : It->second.Revision;
    Holds = Holds && Have == C.at("rev").get<std::uint64_t>();
    if (It != Now.Items.end())
      Current += (Current.empty() ? "" : ",") + itemText(It->first, It->second);
  }
  if (!Holds)
    return {412, "{\"items\":[" + Current + "]}"};
  std::string Keys;
  for (const json &S : Sets) {
    auto Key = S.at("key").get<std::string>();
    std::uint64_t LeaseId = S.value("lease", std::uint64_t{0});
    if (ofPlatform(Key))
      return {403, "{}"};
    if (LeaseId != 0 && Now.Leases.count(LeaseId) == 0)
      return {404, "{}"};
    Keys += " " + Key;
  }
  for (const json &D : Deletes)
    Keys += " -" + D.get<std::string>();
  if (!Sets.empty() || !Deletes.empty())
    ++Now.Revision;
  for (const json &S : Sets)
    set(S.at("key").get<std::string>(),
        {S.at("value").get<std::string>(), Now.Revision, 0,
         S.value("lease", std::uint64_t{0})});
  for (const json &D : Deletes)
    remove(D.get<std::string>(), Now.Revision);
  if (!Keys.starts_with(" proxy-check/"))
    record("store: rev " + std::to_string(Now.Revision) + " writes" + Keys);
  if (OnWrite)
    OnWrite(Keys, Text);
  answerWatches();
  return {200, json{{"rev", Now.Revision}}.dump()};
}

bool Store::tryAnswer(const Watch &W) {
  std::string List;
  for (const Event &E : Now.History) {
    if (E.Revision <= W.After || !E.Key.starts_with(W.Prefix))
      continue;
    List += List.empty() ? "" : ",";
    List += E.Removed
                ? json{{"key", E.Key}, {"rev", E.Revision}, {"removed", true}}
                      .dump()
                : itemText(E.Key, E.Written);
  }
  if (List.empty() && now() < W.Until)
    return false;
  W.Done({200, "{\"events\":[" + List +
                   "],\"asOf\":" + std::to_string(Now.Revision) + "}"});
  return true;
}

void Store::watch(const std::string &Target, AnswerSink Done) {
  Watch W{parameter(Target, "prefix"), numberParameter(Target, "after"),
          now() + std::chrono::milliseconds(numberParameter(Target, "waitMs")),
          std::move(Done)};
  if (W.After > Now.Revision || W.After < Now.Forgotten) {
    W.Done({410, "{}"});
    return;
  }
  if (!tryAnswer(W))
    Watches.push_back(std::move(W));
}

void Store::answerWatches() {
  std::erase_if(Watches, [this](const Watch &W) { return tryAnswer(W); });
}

HttpAnswer Store::promote(const HttpRequest &Request) {
  json Body = json::parse(Request.body());
  PromotionCall Call;
  Call.At = now();
  Call.Holder = std::string(Request["Eelgrassloom-Duty-Holder"]);
  Call.Token =
      std::stoull("0" + std::string(Request["Eelgrassloom-Fence-Token"]));
  Call.Service = Body.at("service").get<std::string>();
  Call.Server = Body.at("id").get<std::string>();
  Calls.push_back(Call);
  bool Done = Promote(Call.Service, Call.Server);
  record("platform: POST /promote of " + Call.Service + " to " + Call.Server +
         " by " + Call.Holder + " with token " + std::to_string(Call.Token) +
         ", answered " + (Done ? "200" : "409"));
  return {Done ? 200U : 409U, "{}"};
}

void Store::handle(const HttpRequest &Request, AnswerSink Done) {
  std::string Target(Request.target());
  std::string Method(Request.method_string());
  if (Target == "/promote") {
    Done(promote(Request));
  } else if (Away) {
    return;
  } else if (Target.starts_with("/-/kv-range")) {
    Done(range(Target));
  } else if (Target.starts_with("/-/kv-key")) {
    auto It = Now.Items.find(parameter(Target, "key"));
    if (It == Now.Items.end())
      Done({404, "{}"});
    else
      Done({200, itemText(It->first, It->second)});
  } else if (Target.starts_with("/-/kv-watch")) {
    watch(Target, std::move(Done));
  } else if (Target == "/-/kv-txn") {
    Done(transact(Request.body()));
  } else if (Target == "/-/kv-lease") {
    std::int64_t Millis =
        std::max(MinLeaseMillis,
                 json::parse(Request.body()).at("ttlMs").get<std::int64_t>());
    Duration Length = std::chrono::milliseconds(Millis);
    Now.Leases[NextLease] = {now() + Length, Length};
    Done({200, json{{"lease", NextLease++}, {"ttlMs", Millis}}.dump()});
  } else if (Target.starts_with("/-/kv-keep/")) {
    auto It = Now.Leases.find(std::stoull("0" + Target.substr(11)));
    if (It == Now.Leases.end()) {
      Done({404, "{}"});
      return;
    }
    It->second.Until = now() + It->second.Length;
    Done({200,
          json{{"ttlMs", std::chrono::duration_cast<std::chrono::milliseconds>(
                             It->second.Length)
                             .count()}}
              .dump()});
  } else if (Target.starts_with("/-/kv-lease-end/")) {
    auto It = Now.Leases.find(std::stoull("0" + Target.substr(16)));
    if (It != Now.Leases.end())
      It->second.Until = now();
    Done({200, "{}"});
  } else {
    Done({404, "{}"});
  }
}

} // namespace review
