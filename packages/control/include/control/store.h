/// \file
/// Boundary to the platform's key-value store and to its promotion call.

#ifndef EELGRASSLOOM_CONTROL_STORE_H
#define EELGRASSLOOM_CONTROL_STORE_H

#include "kernel/promotion.h"
#include "kernel/result.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassloom {

/// A key of the store. Revision 0 means that the key is absent.
struct StoreItem {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  /// 0: not leased.
  std::uint64_t LeaseId = 0;
};

enum class StoreCode : std::uint8_t {
  Ok,
  /// A condition does not hold; the items are the current ones.
  Conflict,
  /// The lease has ended, or the history is no longer available.
  Gone,
  /// Nothing was done.
  Rejected,
  /// No answer; the call may have been done, or may be done later.
  NoAnswer,
};
inline constexpr std::array<std::string_view, 5> StoreCodeNames = {
    "ok", "conflict", "gone", "rejected", "no-answer"};
constexpr std::string_view name(StoreCode C) {
  return StoreCodeNames[static_cast<std::size_t>(C)];
}

struct StoreReply {
  StoreCode Code = StoreCode::NoAnswer;
  std::vector<StoreItem> Items;
  /// Revision of the store, or of the change.
  std::uint64_t Revision = 0;
  /// Id and length of a lease.
  std::uint64_t LeaseId = 0;
  Duration LeaseDuration{0};
};

struct StoreCondition {
  std::string Key;
  /// 0: the key does not exist.
  std::uint64_t Revision = 0;
};

/// All or nothing.
struct StoreChange {
  std::vector<StoreCondition> Conditions;
  std::vector<StoreItem> Sets;
  std::vector<std::string> Deletes;
};

/// Conditions and changes that one call may carry.
inline constexpr std::size_t MaxStoreEntries = 32;

enum class ReadMode : std::uint8_t {
  Current,
  /// The answer may be seconds old; it costs less.
  AllowStale,
};

/// Calls are answered once; after a timeout without any byte of the answer the
/// code is NoAnswer, so that a large one may take longer.
class Store {
public:
  using Handler = std::function<void(StoreReply)>;

  virtual ~Store() = default;
  /// All items under a prefix.
  virtual void range(const std::string &Prefix, ReadMode Mode, Duration Timeout,
                     Handler Done) = 0;
  virtual void change(const StoreChange &Change, Duration Timeout,
                      Handler Done) = 0;
  /// Answers when a key under the prefix changed after \p Revision, or after
  /// \p Wait.
  virtual void watch(const std::string &Prefix, std::uint64_t Revision,
                     Duration Wait, Handler Done) = 0;
  virtual void createLease(Duration Time, Duration Timeout, Handler Done) = 0;
  virtual void renewLease(std::uint64_t LeaseId, Duration Timeout,
                          Handler Done) = 0;
};

enum class PromotionOutcome : std::uint8_t { Accepted, Refused, NoAnswer };
inline constexpr std::array<std::string_view, 3> PromotionOutcomeNames = {
    "accepted", "refused", "no-answer"};
constexpr std::string_view name(PromotionOutcome O) {
  return PromotionOutcomeNames[static_cast<std::size_t>(O)];
}

/// Asks the platform to promote a server of a service. \p Token rises with
/// each change of the holder.
using Promoter = std::function<void(
    const std::string &Service, const UpstreamId &Server, std::uint64_t Token,
    std::function<void(PromotionOutcome)> Done)>;

/// Asks a server for its status over a new connection.
using Prober = std::function<void(const ServerEntry &Server,
                                  std::function<void(ServerStatus)> Done)>;

/// Where the operators' rules and the servers' entries are stored, and how
/// they are decoded.
struct StoreLayout {
  std::string ConfigKey;
  std::string ServersPrefix;
  std::function<Result<RoutingConfig>(const std::string &Value)> DecodeConfig;
  std::function<Result<ServerEntry>(const StoreItem &Item)> DecodeServer;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_STORE_H
