/// \file
/// Open transactions on the upstreams that this proxy owns, and the answers of
/// those that ended recently.

#ifndef EELGRASSLOOM_PROXY_TRANSACTIONS_H
#define EELGRASSLOOM_PROXY_TRANSACTIONS_H

#include "upstreampool.h"

namespace eelgrassloom::detail {

/// A transaction pinned to one connection.
struct Transaction {
  std::uint64_t Id = 0;
  std::string Database;
  std::shared_ptr<UpstreamPool> Pool;
  ConnectionRef Connection;
  std::uint64_t Term = 0;
  /// When the begin or the last step ended.
  Instant LastUsed;
  /// A step is queued or running.
  bool Busy = false;
};
using TransactionRef = std::shared_ptr<Transaction>;

/// The handle that callers receive: the id of the proxy that holds the
/// transaction and the id of the transaction.
std::string transactionHandle(const ProxyId &Owner, std::uint64_t Id);
struct ParsedHandle {
  ProxyId Owner;
  std::uint64_t Id = 0;
};
/// Nothing if the handle is malformed.
std::optional<ParsedHandle> parseTransactionHandle(const std::string &Text);

enum class ClaimResult : std::uint8_t { Claimed, Busy, Ended, NotFound };

/// Table of transactions. Thread-safe.
class Transactions {
public:
  /// Reserves one of \p Max transactions on the upstream; false if all are
  /// reserved.
  bool reserve(const UpstreamId &Id, unsigned Max);
  void unreserve(const UpstreamId &Id);

  /// Adds a transaction for which reserve() succeeded; end() frees the
  /// reservation.
  void add(TransactionRef T);

  struct Claim {
    ClaimResult Result = ClaimResult::NotFound;
    TransactionRef Transaction;
    /// For ClaimResult::Ended: the answer with which the transaction ended.
    caller::v1::RunAnswer Ended;
  };
  /// Marks the transaction as busy for one step. After ClaimResult::Claimed the
  /// caller has to call unclaim() or end().
  Claim claim(std::uint64_t Id);
  void unclaim(const TransactionRef &T, Instant Now);
  /// Removes the transaction and remembers the answer with which it ended.
  void end(const TransactionRef &T, caller::v1::RunAnswer Answer);

  /// Ends with \p Answer and returns the transactions whose last step ended at
  /// or before \p Since.
  std::vector<TransactionRef>
  takeAbandoned(Instant Since, const caller::v1::RunAnswer &Answer);
  std::size_t size() const;

private:
  void rememberLocked(std::uint64_t Id, caller::v1::RunAnswer Answer);

  mutable std::mutex Mutex;
  std::unordered_map<std::uint64_t, TransactionRef> OpenById;
  std::map<UpstreamId, unsigned, std::less<>> Reserved;
  std::unordered_map<std::uint64_t, caller::v1::RunAnswer> EndedAnswers;
  std::deque<std::uint64_t> EndedOrder;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_TRANSACTIONS_H
