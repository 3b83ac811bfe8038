/// \file
/// Keys and values that the proxies write to the store.

#ifndef EELGRASSLOOM_CONTROL_RECORDS_H
#define EELGRASSLOOM_CONTROL_RECORDS_H

#include "control/store.h"

namespace eelgrassloom {

inline constexpr std::string_view GroupPrefix = "group/";
inline constexpr std::string_view ProxyPrefix = "proxy/";
/// Heartbeats. Each poll writes the key of its proxy, so that the holder of the
/// promotion lock can tell which proxies have polled. Never deleted: a proxy
/// that has left may have extended the primary lease of another one.
inline constexpr std::string_view HeartbeatPrefix = "proxy-check/";
inline constexpr std::string_view HeartbeatAlive = "checked";
/// Value of the heartbeat of a proxy that has left after it had extended no
/// primary lease for a lease duration and its margin.
inline constexpr std::string_view HeartbeatLeft = "left";
/// Common prefix of ProxyPrefix and HeartbeatPrefix; no other keys have it.
inline constexpr std::string_view ProxyStatePrefix = "proxy";
/// Key of the promotion lock, with a store lease. Its value is the holder.
inline constexpr std::string_view PromotionLockKey = "duty/lock";
/// The last holder of the lock and its fencing token. Without a store lease, so
/// that the token never goes back.
inline constexpr std::string_view FencingTokenKey = "duty/token";

/// The epoch in which a promotion of the service was last called; written
/// before the call.
inline constexpr std::string_view PromotionCallPrefix = "promotion/";

std::string groupKey(std::string_view Service);
std::string promotionCallKey(std::string_view Service);
std::string proxyKey(std::string_view Proxy);
std::string heartbeatKey(std::string_view Proxy);

std::string encode(const PrimaryRecord &Record);
/// The key of \p Item contains the service.
Result<PrimaryRecord> decodeGroup(const StoreItem &Item);

/// Registration of a proxy: what it reports about itself.
struct ProxyRecord {
  ProxyId Id;
  /// Random number that identifies a run of the process.
  std::uint64_t Incarnation = 0;
  /// IP:port for datagrams of other proxies.
  std::string Address;
  std::string FailureDomain;
  /// See LiveProxy::MilliCores.
  unsigned MilliCores = 0;
  bool Evicted = false;
  /// Servers to which new connections from this proxy fail.
  std::set<UpstreamId, std::less<>> Unreachable;
  /// Revoked epochs that this proxy no longer uses, by service.
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
