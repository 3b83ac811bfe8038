// Messages between a proxy and the owner of a service.

#include "engine/forward.h"
#include <nlohmann/json.hpp>

namespace eelgrassloom {
namespace detail {

using nlohmann::json;

/// First element of each message.
enum class MessageTag : std::uint8_t {
  Run,
  Answer,
  Abandon,
  RollBack,
  Leaving,
  Ping,
  RulesQuestion,
  Rules,
  ServersQuestion,
  Servers,
};

/// Error number of the library for a value out of range.
constexpr int NoSuchValue = 401;

template <class T> json tagOf(T Tag) { return static_cast<unsigned>(Tag); }

/// Throws json::exception for a number that names no value.
template <class T> T enumOf(const json &Value, std::size_t Count) {
  auto Number = Value.get<std::size_t>();
  if (Number >= Count)
    throw json::out_of_range::create(NoSuchValue, "no such value", nullptr);
  return static_cast<T>(Number);
}

Duration durationOf(const json &Value) {
  return std::chrono::microseconds(Value.get<std::int64_t>());
}

json positionOf(const Position &P) { return json::array({P.Term, P.Index}); }

Position positionFrom(const json &Value) {
  return {Value.at(0).get<std::uint64_t>(), Value.at(1).get<std::uint64_t>()};
}

json body(const ForwardRun &M) {
  json Prepared;
  if (M.Prepared)
    Prepared = json::array({M.Prepared->Write, M.Prepared->Shape});
  const RouteRule &R = M.Route;
  return json::array(
      {tagOf(MessageTag::Run), M.Exchange, tagOf(M.Kind), M.Id, M.Text,
       M.Session, json(M.State.Values), std::move(Prepared),
       json::array({R.Service, tagOf(R.Reads), toMicros(R.StalenessBound),
                    toMicros(R.StatementTimeout), toMicros(R.Goal),
                    tagOf(R.Rank)}),
       json::array({M.Write, M.ReadOnly, M.Wrote}), M.Transaction,
       json::array({positionOf(M.LastCommit.At), M.LastCommit.Epoch}),
       toMicros(M.Age), toMicros(M.OperationAge)});
}

json body(const ForwardAnswer &M) {
  const ServerReply &R = M.Reply;
  json Error;
  if (R.Error)
    Error = tagOf(*R.Error);
  json At;
  if (R.At)
    At = positionOf(*R.At);
  return json::array({tagOf(MessageTag::Answer), M.Exchange, R.Lost,
                      std::move(Error), R.ErrorText, json(R.Rows), R.Signature,
                      tagOf(R.State), std::move(At), M.Transaction, M.Epoch,
                      M.Unservable});
}

json body(const ForwardAbandon &M) {
  return json::array({tagOf(MessageTag::Abandon), M.Exchange});
}

json body(const ForwardRollBack &M) {
  return json::array({tagOf(MessageTag::RollBack), M.Transaction});
}

json body(const ForwardLeaving &) {
  return json::array({tagOf(MessageTag::Leaving)});
}

json body(const ForwardPing &M) {
  return json::array({tagOf(MessageTag::Ping), M.Reply});
}

json body(const RulesQuestion &) {
  return json::array({tagOf(MessageTag::RulesQuestion)});
}

json body(const RulesText &M) {
  return json::array({tagOf(MessageTag::Rules), M.Revision, M.Text});
}

json body(const ServersQuestion &) {
  return json::array({tagOf(MessageTag::ServersQuestion)});
}

json body(const ServersList &M) {
  json Entries = json::array();
  for (const ServerEntry &E : M.Servers)
    Entries.push_back(
        json::array({E.Id, E.Service, E.Address, E.FailureDomain, E.Slots,
                     E.Draining, tagOf(E.ReportedRole), E.StartedAt}));
  return json::array(
      {tagOf(MessageTag::Servers), M.Revision, std::move(Entries)});
}

ServerEntry serverOf(const json &V) {
  ServerEntry E;
  E.Id = V.at(0).get<std::string>();
  E.Service = V.at(1).get<std::string>();
  E.Address = V.at(2).get<std::string>();
  E.FailureDomain = V.at(3).get<std::string>();
  E.Slots = V.at(4).get<unsigned>();
  E.Draining = V.at(5).get<bool>();
  E.ReportedRole = enumOf<Role>(V.at(6), RoleNames.size());
  E.StartedAt = V.at(7).get<std::int64_t>();
  return E;
}

ServersList serversOf(const json &V) {
  ServersList M;
  M.Revision = V.at(1).get<std::uint64_t>();
  for (const json &Entry : V.at(2))
    M.Servers.push_back(serverOf(Entry));
  return M;
}

ForwardRun runOf(const json &V) {
  ForwardRun M;
  M.Exchange = V.at(1).get<std::uint64_t>();
  M.Kind = enumOf<JobKind>(V.at(2), 4);
  M.Id = V.at(3).get<std::string>();
  M.Text = V.at(4).get<std::string>();
  M.Session = V.at(5).get<std::uint64_t>();
  for (const auto &[Key, Value] : V.at(6).items())
    M.State.Values[Key] = Value.get<std::string>();
  if (!V.at(7).is_null())
    M.Prepared = {V.at(7).at(0).get<bool>(), V.at(7).at(1).get<std::string>()};
  const json &Route = V.at(8);
  M.Route.Service = Route.at(0).get<std::string>();
  M.Route.Reads =
      enumOf<ReadConsistency>(Route.at(1), ReadConsistencyNames.size());
  M.Route.StalenessBound = durationOf(Route.at(2));
  M.Route.StatementTimeout = durationOf(Route.at(3));
  M.Route.Goal = durationOf(Route.at(4));
  M.Route.Rank = enumOf<Priority>(Route.at(5), PriorityNames.size());
  const json &Flags = V.at(9);
  M.Write = Flags.at(0).get<bool>();
  M.ReadOnly = Flags.at(1).get<bool>();
  M.Wrote = Flags.at(2).get<bool>();
  M.Transaction = V.at(10).get<std::uint64_t>();
  M.LastCommit = {positionFrom(V.at(11).at(0)),
                  V.at(11).at(1).get<std::uint64_t>()};
  M.Age = durationOf(V.at(12));
  M.OperationAge = durationOf(V.at(13));
  return M;
}

ForwardAnswer answerOf(const json &V) {
  ForwardAnswer M;
  M.Exchange = V.at(1).get<std::uint64_t>();
  M.Reply.Lost = V.at(2).get<bool>();
  if (!V.at(3).is_null())
    M.Reply.Error = enumOf<ReplyCode>(V.at(3), ReplyCodeNames.size());
  M.Reply.ErrorText = V.at(4).get<std::string>();
  M.Reply.Rows = V.at(5).get<std::vector<std::string>>();
  M.Reply.Signature = V.at(6).get<std::string>();
  M.Reply.State = enumOf<TransactionState>(V.at(7), 3);
  if (!V.at(8).is_null())
    M.Reply.At = positionFrom(V.at(8));
  M.Transaction = V.at(9).get<std::uint64_t>();
  M.Epoch = V.at(10).get<std::uint64_t>();
  M.Unservable = V.at(11).get<bool>();
  return M;
}

ForwardMessage messageOf(const json &V) {
  switch (enumOf<MessageTag>(V.at(0), 10)) {
  case MessageTag::Run:
    return runOf(V);
  case MessageTag::Answer:
    return answerOf(V);
  case MessageTag::Abandon:
    return ForwardAbandon{V.at(1).get<std::uint64_t>()};
  case MessageTag::RollBack:
    return ForwardRollBack{V.at(1).get<std::uint64_t>()};
  case MessageTag::Leaving:
    return ForwardLeaving{};
  case MessageTag::Ping:
    return ForwardPing{V.at(1).get<bool>()};
  case MessageTag::ServersQuestion:
    return ServersQuestion{};
  case MessageTag::Servers:
    return serversOf(V);
  case MessageTag::RulesQuestion:
    return RulesQuestion{};
  case MessageTag::Rules:
    return RulesText{V.at(1).get<std::uint64_t>(), V.at(2).get<std::string>()};
  }
  throw json::out_of_range::create(NoSuchValue, "no such message", nullptr);
}

} // namespace detail

std::string encode(const ForwardMessage &Message) {
  std::string Bytes;
  nlohmann::json::to_msgpack(
      std::visit([](const auto &M) { return detail::body(M); }, Message),
      Bytes);
  return Bytes;
}

Result<ForwardMessage> decodeForward(std::string_view Bytes) {
  try {
    return Result<ForwardMessage>::success(detail::messageOf(
        nlohmann::json::from_msgpack(Bytes.begin(), Bytes.end())));
  } catch (const nlohmann::json::exception &E) {
    return Result<ForwardMessage>::failure({{"stream", "", E.what()}});
  }
}

} // namespace eelgrassloom
