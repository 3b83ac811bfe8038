/// \file
/// Interfaces to the platform: its key-value store, its promotion call, and
/// status queries to servers.

#ifndef EELGRASSLOOM_CONTROL_STORE_H
#define EELGRASSLOOM_CONTROL_STORE_H

#include "kernel/promotion.h"
#include "kernel/result.h"
#include "kernel/storeera.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassloom {

/// A key of the store with its value. Revision 0 means that the key is absent.
/// Revisions begin with the era of the store, see kernel/storeera.h.
struct StoreItem {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  /// Store lease of the key; 0 if it has none.
  std::uint64_t LeaseId = 0;
};

enum class StoreCode : std::uint8_t {
  Ok,
  /// A condition does not hold; the reply contains the current items of the
  /// keys in the conditions.
  Conflict,
  /// The store lease has expired, or the history since the requested revision
  /// is no longer available.
  Gone,
  /// The store refused the call; it had no effect.
  Rejected,
  /// No answer: the call may have taken effect, or may do so later.
  NoAnswer,
};
inline constexpr std::array<std::string_view, 5> StoreCodeNames = {
    "ok", "conflict", "gone", "rejected", "no-answer"};
constexpr std::string_view name(StoreCode C) {
  return StoreCodeNames[static_cast<std::size_t>(C)];
}

/// Answer to a call of the store.
struct StoreReply {
  StoreCode Code = StoreCode::NoAnswer;
  std::vector<StoreItem> Items;
  /// Revision of the store, or of the change that was made.
  std::uint64_t Revision = 0;
  /// Identifier and duration of a store lease.
  std::uint64_t LeaseId = 0;
  Duration LeaseDuration{0};
  /// The answer is one page of a range, and others follow.
  bool More = false;
};

struct StoreCondition {
  std::string Key;
  /// 0: the key must not exist.
  std::uint64_t Revision = 0;
};

/// A conditional write: either all of it takes effect or none.
struct StoreChange {
  std::vector<StoreCondition> Conditions;
  std::vector<StoreItem> Sets;
  std::vector<std::string> Deletes;
};

/// Maximum number of conditions, sets and deletes of one call together.
inline constexpr std::size_t MaxStoreEntries = 32;

enum class ReadMode : std::uint8_t {
  Current,
  /// The answer may be seconds old; the call costs less.
  AllowStale,
};

/// Interface to the key-value store. Each call is answered exactly once. An
/// answer from an earlier era than the latest known one, and the success of a
/// call that was sent in an earlier one, are delivered as NoAnswer; a condition
/// on a revision of an earlier era does not hold.
/// The timeout limits the time without any byte of the answer, so that a large
/// answer may take longer; after it the code is NoAnswer.
class Store {
public:
  using Handler = std::function<void(StoreReply)>;
  using EraHandler = std::function<void(StoreEra)>;

  virtual ~Store() = default;
  /// Reads all items under a prefix.
  virtual void range(const std::string &Prefix, ReadMode Mode, Duration Timeout,
                     Handler Done) = 0;
  virtual void change(const StoreChange &Change, Duration Timeout,
                      Handler Done) = 0;
  /// Answers when a key under the prefix has changed after \p Revision, at the
  /// latest after \p Wait.
  virtual void watch(const std::string &Prefix, std::uint64_t Revision,
                     Duration Wait, Handler Done) = 0;
  virtual void createLease(Duration Time, Duration Timeout, Handler Done) = 0;
  virtual void renewLease(std::uint64_t LeaseId, Duration Timeout,
                          Handler Done) = 0;
  /// Sets the handler that is called when an answer names the first or a later
  /// era, before the answer is delivered. Changes and store leases of earlier
  /// eras may be lost.
  virtual void onNewEra(EraHandler Handler) = 0;
};

enum class PromotionOutcome : std::uint8_t {
  Accepted,
  /// This server can't be promoted; it is not running.
  Refused,
  /// The platform did not handle the call, for example because it is
  /// overloaded. This says nothing about the server.
  TurnedAway,
  NoAnswer,
};
inline constexpr std::array<std::string_view, 4> PromotionOutcomeNames = {
    "accepted", "refused", "turned-away", "no-answer"};
constexpr std::string_view name(PromotionOutcome O) {
  return PromotionOutcomeNames[static_cast<std::size_t>(O)];
}

/// Asks the platform to promote a server of a service. \p Token is the fencing
/// token, which rises with each change of the lock holder.
using Promoter = std::function<void(
    const std::string &Service, const UpstreamId &Server, std::uint64_t Token,
    std::function<void(PromotionOutcome)> Done)>;

/// Queries the status of a server over a new connection.
using Prober = std::function<void(const ServerEntry &Server,
                                  std::function<void(ServerStatus)> Done)>;

/// Keys under which the configuration and the servers' entries are stored, and
/// the decoders of their values.
struct StoreLayout {
  std::string ConfigKey;
  std::string ServersPrefix;
  std::function<Result<RoutingConfig>(const std::string &Value)> DecodeConfig;
  std::function<Result<ServerEntry>(const StoreItem &Item)> DecodeServer;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_STORE_H
