// Encoding of the datagrams between proxies.

#include "control/peers.h"
#include "engine/messagepack.h"
#include "kernel/logtext.h"
#include "kernel/result.h"
#include <algorithm>

namespace eelgrassloom {

using nlohmann::json;

namespace detail {

/// Longest name of a proxy: the key of its registration has at most 200 bytes.
constexpr std::size_t MaxProxyIdBytes = 180;

/// Throws json::exception if a text or a name in the message is not UTF-8. Such
/// a text can't be part of a record in the store, and its JSON encoder throws
/// for it.
void requireUtf8(const json &Value) {
  if (Value.is_string() && !isUtf8(Value.get_ref<const std::string &>()))
    throw json::type_error::create(MessageErrorId, "a text is not UTF-8",
                                   nullptr);
  if (!Value.is_structured())
    return;
  for (const auto &[Key, Element] : Value.items()) {
    if (!isUtf8(Key))
      throw json::type_error::create(MessageErrorId, "a name is not UTF-8",
                                     nullptr);
    requireUtf8(Element);
  }
}

/// Halves the first optional part that is not empty. Returns false if there is
/// none.
bool halveOptionalPart(PeerMessage &M) {
  if (!M.Records.empty())
    M.Records.resize(M.Records.size() / 2);
  else if (!M.Positions.empty())
    M.Positions.resize(M.Positions.size() / 2);
  else if (!M.Leases.empty())
    M.Leases.resize(M.Leases.size() / 2);
  else if (!M.Epochs.Answered.empty())
    M.Epochs.Answered.erase(std::prev(M.Epochs.Answered.end()));
  else
    return false;
  return true;
}

ProxyId decodeSender(const json &Value) {
  auto Id = Value.get<std::string>();
  if (Id.empty() || Id.size() > MaxProxyIdBytes)
    throw json::out_of_range::create(
        MessageErrorId, "the name of the sender has no valid length", nullptr);
  return Id;
}

std::map<std::string, std::uint64_t, std::less<>>
decodeEpochs(const json &Value) {
  std::map<std::string, std::uint64_t, std::less<>> Epochs;
  for (const auto &[Service, Epoch] : Value.items())
    Epochs[Service] = decodeInteger<std::uint64_t>(Epoch);
  return Epochs;
}

StoreEra decodeEra(const json &Value) {
  auto Era = decodeInteger<StoreEra>(Value);
  if (Era > MaxStoreEra)
    throw json::out_of_range::create(MessageErrorId, "era too high", nullptr);
  return Era;
}

StoredRecord decodeRecord(const json &Value) {
  StoredRecord R;
  R.Record.Service = Value.at(0).get<std::string>();
  R.Record.Epoch = decodeInteger<std::uint64_t>(Value.at(1));
  R.Record.Stage = decodeInteger<unsigned>(Value.at(2)) == 0
                       ? GroupStage::Stable
                       : GroupStage::Revoking;
  R.Record.Primary = Value.at(3).get<std::string>();
  R.Record.Term = decodeInteger<std::uint64_t>(Value.at(4));
  R.Revision = decodeInteger<std::uint64_t>(Value.at(5));
  // Proxies of the previous version send no era.
  if (Value.size() > 6)
    R.Record.Era = decodeEra(Value.at(6));
  return R;
}

} // namespace detail

std::string encode(const PeerMessage &M) {
  if (M.IsPing) {
    json Ping = {
        {"q", M.IsRequest}, {"p", true}, {"from", M.From}, {"x", M.Exchange}};
    std::string Bytes;
    json::to_msgpack(Ping, Bytes);
    return Bytes;
  }
  json Value = {{"q", M.IsRequest},
                {"from", M.From},
                {"x", M.Exchange},
                {"records", M.Epochs.RecordEpochs},
                {"acknowledged", M.Epochs.Acknowledged}};
  if (!M.Epochs.Answered.empty())
    Value["answered"] = M.Epochs.Answered;
  json Positions = json::array();
  for (const PeerPosition &P : M.Positions)
    Positions.push_back({P.Service, P.Epoch, P.Committed.Term,
                         P.Committed.Index, toMicros(P.Age)});
  Value["positions"] = std::move(Positions);
  json Leases = json::array();
  for (const PeerLease &G : M.Leases)
    Leases.push_back({G.Service, G.Epoch, toMicros(G.Remaining)});
  Value["grants"] = std::move(Leases);
  json Records = json::array();
  for (const StoredRecord &R : M.Records)
    Records.push_back({R.Record.Service, R.Record.Epoch,
                       static_cast<unsigned>(R.Record.Stage), R.Record.Primary,
                       R.Record.Term, R.Revision, R.Record.Era});
  Value["groups"] = std::move(Records);
  Value["groups_digest"] = M.RecordsDigest;
  Value["servers_digest"] = M.ServersDigest;
  Value["servers"] = M.ServersRevision;
  Value["rules"] = M.ConfigRevision;
  Value["era"] = M.Era;
  Value["checked"] = toMicros(M.PollAge);
  Value["outside"] = toMicros(M.CrossDomainContactAge);
  std::string Bytes;
  json::to_msgpack(Value, Bytes);
  return Bytes;
}

std::string encodeWithin(PeerMessage M, std::size_t MaxBytes,
                         std::mt19937_64 &Random) {
  std::string Bytes = encode(M);
  if (Bytes.size() <= MaxBytes)
    return Bytes;
  std::shuffle(M.Positions.begin(), M.Positions.end(), Random);
  while (Bytes.size() > MaxBytes && detail::halveOptionalPart(M))
    Bytes = encode(M);
  return Bytes;
}

Result<PeerMessage> decodePeerMessage(const std::string &Bytes) {
  try {
    json Value = decodeMessagePack(Bytes);
    detail::requireUtf8(Value);
    PeerMessage M;
    M.IsRequest = Value.at("q").get<bool>();
    M.From = detail::decodeSender(Value.at("from"));
    M.Exchange = decodeInteger<std::uint64_t>(Value.at("x"));
    M.IsPing = Value.value("p", false);
    if (M.IsPing)
      return Result<PeerMessage>::success(std::move(M));
    M.Epochs.RecordEpochs = detail::decodeEpochs(Value.at("records"));
    M.Epochs.Acknowledged = detail::decodeEpochs(Value.at("acknowledged"));
    if (Value.contains("answered"))
      M.Epochs.Answered = Value.at("answered").get<AnsweredProxies>();
    for (const json &P : Value.at("positions"))
      M.Positions.push_back({P.at(0).get<std::string>(),
                             decodeInteger<std::uint64_t>(P.at(1)),
                             {decodeInteger<std::uint64_t>(P.at(2)),
                              decodeInteger<std::uint64_t>(P.at(3))},
                             decodeMicros(P.at(4))});
    for (const json &G : Value.at("grants"))
      M.Leases.push_back({G.at(0).get<std::string>(),
                          decodeInteger<std::uint64_t>(G.at(1)),
                          decodeMicros(G.at(2))});
    for (const json &R : Value.at("groups"))
      M.Records.push_back(detail::decodeRecord(R));
    M.RecordsDigest = decodeInteger<std::uint64_t>(Value.at("groups_digest"));
    M.ServersDigest = decodeInteger<std::uint64_t>(Value.at("servers_digest"));
    M.ServersRevision = decodeInteger<std::uint64_t>(Value.at("servers"));
    M.ConfigRevision = decodeInteger<std::uint64_t>(Value.at("rules"));
    // Proxies of the previous version do not report it.
    if (Value.contains("era"))
      M.Era = detail::decodeEra(Value.at("era"));
    M.PollAge = decodeMicros(Value.at("checked"));
    M.CrossDomainContactAge = decodeMicros(Value.at("outside"));
    return Result<PeerMessage>::success(std::move(M));
  } catch (const json::exception &E) {
    return Result<PeerMessage>::failure({{"datagram", "", E.what()}});
  }
}

} // namespace eelgrassloom
