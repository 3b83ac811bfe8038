// Encoding of the datagrams between proxies.

#include "control/peers.h"
#include "kernel/result.h"
#include <nlohmann/json.hpp>

namespace eelgrassloom {

using nlohmann::json;

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
                       R.Record.Term, R.Revision});
  Value["groups"] = std::move(Records);
  Value["groups_digest"] = M.RecordsDigest;
  Value["servers_digest"] = M.ServersDigest;
  Value["servers"] = M.ServersRevision;
  Value["rules"] = M.ConfigRevision;
  Value["checked"] = toMicros(M.PollAge);
  Value["outside"] = toMicros(M.CrossDomainContactAge);
  std::string Bytes;
  json::to_msgpack(Value, Bytes);
  return Bytes;
}

Result<PeerMessage> decodePeerMessage(const std::string &Bytes) {
  using Epochs = std::map<std::string, std::uint64_t, std::less<>>;
  try {
    json Value = json::from_msgpack(Bytes);
    PeerMessage M;
    M.IsRequest = Value.at("q").get<bool>();
    M.From = Value.at("from").get<std::string>();
    M.Exchange = Value.at("x").get<std::uint64_t>();
    M.IsPing = Value.value("p", false);
    if (M.IsPing)
      return Result<PeerMessage>::success(std::move(M));
    M.Epochs.RecordEpochs = Value.at("records").get<Epochs>();
    M.Epochs.Acknowledged = Value.at("acknowledged").get<Epochs>();
    if (Value.contains("answered"))
      M.Epochs.Answered = Value.at("answered").get<AnsweredProxies>();
    for (const json &P : Value.at("positions"))
      M.Positions.push_back(
          {P.at(0).get<std::string>(),
           P.at(1).get<std::uint64_t>(),
           {P.at(2).get<std::uint64_t>(), P.at(3).get<std::uint64_t>()},
           std::chrono::microseconds(P.at(4).get<std::uint64_t>())});
    for (const json &G : Value.at("grants"))
      M.Leases.push_back(
          {G.at(0).get<std::string>(), G.at(1).get<std::uint64_t>(),
           std::chrono::microseconds(G.at(2).get<std::int64_t>())});
    for (const json &R : Value.at("groups"))
      M.Records.push_back(
          {{R.at(0).get<std::string>(), R.at(1).get<std::uint64_t>(),
            R.at(2).get<unsigned>() == 0 ? GroupStage::Stable
                                         : GroupStage::Revoking,
            R.at(3).get<std::string>(), R.at(4).get<std::uint64_t>()},
           R.at(5).get<std::uint64_t>()});
    M.RecordsDigest = Value.at("groups_digest").get<std::uint64_t>();
    M.ServersDigest = Value.at("servers_digest").get<std::uint64_t>();
    M.ServersRevision = Value.at("servers").get<std::uint64_t>();
    M.ConfigRevision = Value.at("rules").get<std::uint64_t>();
    M.PollAge =
        std::chrono::microseconds(Value.at("checked").get<std::int64_t>());
    M.CrossDomainContactAge =
        std::chrono::microseconds(Value.at("outside").get<std::int64_t>());
    return Result<PeerMessage>::success(std::move(M));
  } catch (const json::exception &E) {
    return Result<PeerMessage>::failure({{"datagram", "", E.what()}});
  }
}

} // namespace eelgrassloom
