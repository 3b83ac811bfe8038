// Encoding of the messages that proxies exchange over a PeerStream: MessagePack
// arrays whose first element is a MessageTag.

#include "engine/forward.h"
#include "engine/messagepack.h"

namespace eelgrassloom {
namespace detail {

using nlohmann::json;

/// Kind of a message, its first element.
enum class MessageTag : std::uint8_t {
  Request,
  Answer,
  Cancel,
  RollBack,
  Leaving,
  Ping,
  ConfigRequest,
  Config,
  ServersRequest,
  Servers,
};

template <class T> json encodeEnum(T Tag) { return static_cast<unsigned>(Tag); }

/// Throws json::exception if the number is not below \p Count, the number of
/// enumerators.
template <class T> T decodeEnum(const json &Value, std::size_t Count) {
  auto Number = decodeInteger<std::size_t>(Value);
  if (Number >= Count)
    throw json::out_of_range::create(MessageErrorId, "enum value out of range",
                                     nullptr);
  return static_cast<T>(Number);
}

json encodePosition(const Position &P) {
  return json::array({P.Term, P.Index});
}

Position decodePosition(const json &Value) {
  return {decodeInteger<std::uint64_t>(Value.at(0)),
          decodeInteger<std::uint64_t>(Value.at(1))};
}

json encodeBody(const ForwardRequest &M) {
  json Prepared;
  if (M.Prepared)
    Prepared = json::array({M.Prepared->Write, M.Prepared->Shape});
  const RouteConfig &R = M.Route;
  return json::array(
      {encodeEnum(MessageTag::Request), M.Exchange, encodeEnum(M.Kind), M.Id,
       M.Text, M.Session, json(M.State.Variables), std::move(Prepared),
       json::array({R.Service, encodeEnum(R.Reads), toMicros(R.StalenessBound),
                    toMicros(R.StatementTimeout), toMicros(R.LatencyObjective),
                    encodeEnum(R.WorkPriority)}),
       json::array({M.Write, M.ReadOnly, M.Wrote}), M.Transaction,
       json::array(
           {encodePosition(M.LastCommit.Committed), M.LastCommit.Epoch}),
       toMicros(M.Age), toMicros(M.OperationAge), toMicros(M.FirstTryAge),
       M.Customer, M.KeyHash, M.ConfigVersion, R.Public});
}

json encodeBody(const ForwardAnswer &M) {
  const ServerReply &R = M.Reply;
  json Error;
  if (R.Error)
    Error = encodeEnum(*R.Error);
  json LogPosition;
  if (R.LogPosition)
    LogPosition = encodePosition(*R.LogPosition);
  return json::array({encodeEnum(MessageTag::Answer), M.Exchange, R.NoAnswer,
                      std::move(Error), R.ErrorText, json(R.Rows), R.Signature,
                      encodeEnum(R.State), std::move(LogPosition),
                      M.Transaction, M.Epoch, M.Unservable, M.ReachedServer});
}

json encodeBody(const ForwardCancel &M) {
  return json::array({encodeEnum(MessageTag::Cancel), M.Exchange});
}

json encodeBody(const ForwardRollBack &M) {
  return json::array({encodeEnum(MessageTag::RollBack), M.Transaction});
}

json encodeBody(const ForwardLeaving &) {
  return json::array({encodeEnum(MessageTag::Leaving)});
}

json encodeBody(const ForwardPing &M) {
  return json::array({encodeEnum(MessageTag::Ping), M.Reply});
}

json encodeBody(const ConfigRequest &) {
  return json::array({encodeEnum(MessageTag::ConfigRequest)});
}

json encodeBody(const StoredConfig &M) {
  return json::array({encodeEnum(MessageTag::Config), M.Revision, M.Text});
}

json encodeBody(const ServersRequest &) {
  return json::array({encodeEnum(MessageTag::ServersRequest)});
}

json encodeBody(const ServersList &M) {
  json Entries = json::array();
  for (const ServerEntry &E : M.Servers)
    Entries.push_back(
        json::array({E.Id, E.Service, E.Address, E.FailureDomain, E.Slots,
                     E.Draining, encodeEnum(E.ReportedRole), E.StartedAt}));
  return json::array(
      {encodeEnum(MessageTag::Servers), M.Revision, std::move(Entries)});
}

ServerEntry decodeServer(const json &V) {
  ServerEntry E;
  E.Id = V.at(0).get<std::string>();
  E.Service = V.at(1).get<std::string>();
  E.Address = V.at(2).get<std::string>();
  E.FailureDomain = V.at(3).get<std::string>();
  E.Slots = decodeInteger<unsigned>(V.at(4));
  E.Draining = V.at(5).get<bool>();
  E.ReportedRole = decodeEnum<Role>(V.at(6), RoleNames.size());
  E.StartedAt = decodeInteger<std::int64_t>(V.at(7));
  return E;
}

ServersList decodeServers(const json &V) {
  ServersList M;
  M.Revision = decodeInteger<std::uint64_t>(V.at(1));
  for (const json &Entry : V.at(2))
    M.Servers.push_back(decodeServer(Entry));
  return M;
}

ForwardRequest decodeRequest(const json &V) {
  ForwardRequest M;
  M.Exchange = decodeInteger<std::uint64_t>(V.at(1));
  M.Kind = decodeEnum<JobKind>(V.at(2), 4);
  M.Id = V.at(3).get<std::string>();
  M.Text = V.at(4).get<std::string>();
  M.Session = decodeInteger<std::uint64_t>(V.at(5));
  M.State.Variables = V.at(6).get<decltype(M.State.Variables)>();
  if (!V.at(7).is_null())
    M.Prepared = {V.at(7).at(0).get<bool>(), V.at(7).at(1).get<std::string>()};
  const json &Route = V.at(8);
  M.Route.Service = Route.at(0).get<std::string>();
  M.Route.Reads =
      decodeEnum<ReadConsistency>(Route.at(1), ReadConsistencyNames.size());
  M.Route.StalenessBound = decodeMicros(Route.at(2));
  M.Route.StatementTimeout = decodeMicros(Route.at(3));
  M.Route.LatencyObjective = decodeMicros(Route.at(4));
  M.Route.WorkPriority =
      decodeEnum<Priority>(Route.at(5), PriorityNames.size());
  const json &Flags = V.at(9);
  M.Write = Flags.at(0).get<bool>();
  M.ReadOnly = Flags.at(1).get<bool>();
  M.Wrote = Flags.at(2).get<bool>();
  M.Transaction = decodeInteger<std::uint64_t>(V.at(10));
  M.LastCommit = {decodePosition(V.at(11).at(0)),
                  decodeInteger<std::uint64_t>(V.at(11).at(1))};
  M.Age = decodeMicros(V.at(12));
  M.OperationAge = decodeMicros(V.at(13));
  // Proxies of the previous version do not send it.
  M.FirstTryAge = V.size() > 14 ? decodeMicros(V.at(14)) : M.OperationAge;
  if (V.size() > 18) {
    M.Customer = V.at(15).get<std::string>();
    M.KeyHash = decodeInteger<std::uint64_t>(V.at(16));
    M.ConfigVersion = decodeInteger<std::uint64_t>(V.at(17));
    M.Route.Public = V.at(18).get<bool>();
  }
  return M;
}

ForwardAnswer decodeAnswer(const json &V) {
  ForwardAnswer M;
  M.Exchange = decodeInteger<std::uint64_t>(V.at(1));
  M.Reply.NoAnswer = V.at(2).get<bool>();
  if (!V.at(3).is_null())
    M.Reply.Error = decodeEnum<ReplyCode>(V.at(3), ReplyCodeNames.size());
  M.Reply.ErrorText = V.at(4).get<std::string>();
  M.Reply.Rows = V.at(5).get<std::vector<std::string>>();
  M.Reply.Signature = V.at(6).get<std::string>();
  M.Reply.State = decodeEnum<TransactionState>(V.at(7), 3);
  if (!V.at(8).is_null())
    M.Reply.LogPosition = decodePosition(V.at(8));
  M.Transaction = decodeInteger<std::uint64_t>(V.at(9));
  M.Epoch = decodeInteger<std::uint64_t>(V.at(10));
  M.Unservable = V.at(11).get<bool>();
  if (V.size() > 12)
    M.ReachedServer = V.at(12).get<bool>();
  return M;
}

ForwardMessage decodeMessage(const json &V) {
  switch (decodeEnum<MessageTag>(V.at(0), 10)) {
  case MessageTag::Request:
    return decodeRequest(V);
  case MessageTag::Answer:
    return decodeAnswer(V);
  case MessageTag::Cancel:
    return ForwardCancel{decodeInteger<std::uint64_t>(V.at(1))};
  case MessageTag::RollBack:
    return ForwardRollBack{decodeInteger<std::uint64_t>(V.at(1))};
  case MessageTag::Leaving:
    return ForwardLeaving{};
  case MessageTag::Ping:
    return ForwardPing{V.at(1).get<bool>()};
  case MessageTag::ServersRequest:
    return ServersRequest{};
  case MessageTag::Servers:
    return decodeServers(V);
  case MessageTag::ConfigRequest:
    return ConfigRequest{};
  case MessageTag::Config:
    return StoredConfig{decodeInteger<std::uint64_t>(V.at(1)),
                        V.at(2).get<std::string>()};
  }
  throw json::out_of_range::create(MessageErrorId, "unknown message tag",
                                   nullptr);
}

} // namespace detail

std::string encode(const ForwardMessage &Message) {
  std::string Bytes;
  nlohmann::json::to_msgpack(
      std::visit([](const auto &M) { return detail::encodeBody(M); }, Message),
      Bytes);
  return Bytes;
}

Result<ForwardMessage> decodeForward(std::string_view Bytes) {
  try {
    return Result<ForwardMessage>::success(
        detail::decodeMessage(decodeMessagePack(Bytes)));
  } catch (const nlohmann::json::exception &E) {
    return Result<ForwardMessage>::failure({{"stream", "", E.what()}});
  }
}

} // namespace eelgrassloom
