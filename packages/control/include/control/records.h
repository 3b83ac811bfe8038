/// \file
/// Values of the proxies' own keys in the store.

#ifndef EELGRASSLOOM_CONTROL_RECORDS_H
#define EELGRASSLOOM_CONTROL_RECORDS_H

#include "control/store.h"

namespace eelgrassloom {

inline constexpr std::string_view GroupPrefix = "group/";
inline constexpr std::string_view ProxyPrefix = "proxy/";
/// Written by each check of the store, so that the duty holder can tell which
/// proxies have made one. Never deleted: a proxy that has left may have passed
/// its permission on.
inline constexpr std::string_view HeartbeatPrefix = "proxy-check/";
inline constexpr std::string_view HeartbeatAlive = "checked";
/// Value of the mark of a proxy that has left, a lease and its margin after it
/// last extended a permission.
inline constexpr std::string_view HeartbeatLeft = "left";
/// Holds the keys of both prefixes above and no others.
inline constexpr std::string_view ProxyStatePrefix = "proxy";
/// Leased key of the current holder of the promotion duty.
inline constexpr std::string_view PromotionLockKey = "duty/lock";
/// The holder and its token; not leased, so that the token never goes back.
inline constexpr std::string_view FencingTokenKey = "duty/token";

/// The epoch in which a promotion of the service was last called, stored before
/// the call.
inline constexpr std::string_view PromotionCallPrefix = "promotion/";

std::string groupKey(std::string_view Service);
std::string promotionCallKey(std::string_view Service);
std::string proxyKey(std::string_view Proxy);
std::string heartbeatKey(std::string_view Proxy);

std::string encode(const PrimaryRecord &Record);
/// \p Key names the service.
Result<PrimaryRecord> decodeGroup(const StoreItem &Item);

/// What a proxy says about itself.
struct ProxyRecord {
  ProxyId Id;
  /// Random number of this run of the process.
  std::uint64_t Incarnation = 0;
  /// IP:port for datagrams of other proxies.
  std::string Address;
  std::string FailureDomain;
  bool Evicted = false;
  std::set<UpstreamId, std::less<>> Unreachable;
  std::map<std::string, std::uint64_t, std::less<>> Acknowledged;
  /// See KnownEpochs::Answered.
  AnsweredProxies Answered;

  bool operator==(const ProxyRecord &) const = default;
};
std::string encode(const ProxyRecord &Record);
Result<ProxyRecord> decodeProxy(const StoreItem &Item);

struct FencingToken {
  ProxyId Holder;
  std::uint64_t Token = 0;
};
/// A promotion that may have been called.
struct PromotionCallRecord {
  std::string Service;
  std::uint64_t Epoch = 0;
};
std::string encode(const PromotionCallRecord &Record);
Result<PromotionCallRecord> decodePromotionCall(const StoreItem &Item);

std::string encode(const FencingToken &Token);
Result<FencingToken> decodeFencingToken(const StoreItem &Item);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_RECORDS_H
