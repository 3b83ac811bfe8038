#include "control/records.h"
#include <nlohmann/json.hpp>

namespace eelgrassloom {
namespace detail {

using nlohmann::json;

/// Runs a decoder and turns a malformed value into a finding with the key.
template <class T, class Decoder>
Result<T> decodeItem(const StoreItem &Item, Decoder Decode) {
  try {
    return Result<T>::success(Decode(json::parse(Item.Value)));
  } catch (const json::exception &E) {
    return Result<T>::failure({{Item.Key, Item.Value, E.what()}});
  }
}

std::string afterPrefix(const std::string &Key, std::string_view Prefix) {
  return Key.size() > Prefix.size() ? Key.substr(Prefix.size()) : Key;
}

} // namespace detail

using nlohmann::json;

std::string groupKey(std::string_view Service) {
  return std::string(GroupPrefix) + std::string(Service);
}

std::string promotionCallKey(std::string_view Service) {
  return std::string(PromotionCallPrefix) + std::string(Service);
}

std::string proxyKey(std::string_view Proxy) {
  return std::string(ProxyPrefix) + std::string(Proxy);
}

std::string heartbeatKey(std::string_view Proxy) {
  return std::string(HeartbeatPrefix) + std::string(Proxy);
}

std::string encode(const PrimaryRecord &R) {
  return json{{"epoch", R.Epoch},
              {"stage", std::string(name(R.Stage))},
              {"primary", R.Primary},
              {"term", R.Term},
              {"era", R.Era}}
      .dump();
}

Result<PrimaryRecord> decodeGroup(const StoreItem &Item) {
  return detail::decodeItem<PrimaryRecord>(Item, [&](const json &Value) {
    PrimaryRecord R;
    R.Service = detail::afterPrefix(Item.Key, GroupPrefix);
    R.Epoch = Value.at("epoch").get<std::uint64_t>();
    R.Stage = Value.at("stage").get<std::string>() == name(GroupStage::Stable)
                  ? GroupStage::Stable
                  : GroupStage::Revoking;
    R.Primary = Value.at("primary").get<std::string>();
    R.Term = Value.at("term").get<std::uint64_t>();
    // Records of the previous version do not have it.
    R.Era = Value.value("era", StoreEra{0});
    return R;
  });
}

std::string encode(const ProxyRecord &R) {
  return json{{"incarnation", R.Incarnation},
              {"address", R.Address},
              {"failure_domain", R.FailureDomain},
              {"milli_cores", R.MilliCores},
              {"evicted", R.Evicted},
              {"unreachable", R.Unreachable},
              {"acknowledged", R.Acknowledged},
              {"answered", R.Answered}}
      .dump();
}

Result<ProxyRecord> decodeProxy(const StoreItem &Item) {
  return detail::decodeItem<ProxyRecord>(Item, [&](const json &Value) {
    ProxyRecord R;
    R.Id = detail::afterPrefix(Item.Key, ProxyPrefix);
    R.Incarnation = Value.at("incarnation").get<std::uint64_t>();
    R.Address = Value.at("address").get<std::string>();
    R.FailureDomain = Value.at("failure_domain").get<std::string>();
    // Proxies of the previous version do not report it.
    R.MilliCores = Value.value("milli_cores", 0U);
    R.Evicted = Value.at("evicted").get<bool>();
    R.Unreachable =
        Value.at("unreachable").get<std::set<UpstreamId, std::less<>>>();
    R.Acknowledged =
        Value.at("acknowledged")
            .get<std::map<std::string, std::uint64_t, std::less<>>>();
    R.Answered = Value.at("answered").get<AnsweredProxies>();
    return R;
  });
}

std::string encode(const PromotionCallRecord &R) {
  return json{{"epoch", R.Epoch}}.dump();
}

Result<PromotionCallRecord> decodePromotionCall(const StoreItem &Item) {
  return detail::decodeItem<PromotionCallRecord>(Item, [&](const json &Value) {
    return PromotionCallRecord{
        detail::afterPrefix(Item.Key, PromotionCallPrefix),
        Value.at("epoch").get<std::uint64_t>()};
  });
}

std::string encode(const FencingToken &T) {
  return json{{"holder", T.Holder}, {"token", T.Token}}.dump();
}

Result<FencingToken> decodeFencingToken(const StoreItem &Item) {
  return detail::decodeItem<FencingToken>(Item, [](const json &Value) {
    return FencingToken{Value.at("holder").get<std::string>(),
                        Value.at("token").get<std::uint64_t>()};
  });
}

} // namespace eelgrassloom
