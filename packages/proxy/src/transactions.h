/// \file
/// Open transactions of the upstreams that this proxy owns.

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
  Instant LastUsed;
  /// A step is queued or running.
  bool Busy = false;
};
using TransactionRef = std::shared_ptr<Transaction>;

/// Text that callers receive: the owning proxy and the id.
std::string transactionHandle(const ProxyId &Owner, std::uint64_t Id);
struct ParsedHandle {
  ProxyId Owner;
  std::uint64_t Id = 0;
};
std::optional<ParsedHandle> parseTransactionHandle(const std::string &Text);

enum class ClaimResult : std::uint8_t { Claimed, Busy, Ended, NotFound };

/// Thread-safe.
class Transactions {
public:
  /// Reserves room for a transaction on the upstream; false if there is none.
  bool reserve(const UpstreamId &Id, unsigned Max);
  void unreserve(const UpstreamId &Id);

  /// Takes over a reservation.
  void add(TransactionRef T);

  struct Claim {
    ClaimResult Result = ClaimResult::NotFound;
    TransactionRef Transaction;
    /// How the transaction ended, if it is still remembered.
    caller::v1::RunAnswer Ended;
  };
  /// Marks the transaction as busy; the claimer unclaims or ends it.
  Claim claim(std::uint64_t Id);
  void unclaim(const TransactionRef &T, Instant Now);
  /// Forgets the transaction and remembers how it ended.
  void end(const TransactionRef &T, caller::v1::RunAnswer Answer);

  /// Ends and returns the transactions that were not used since \p Since.
  std::vector<TransactionRef>
  takeAbandoned(Instant Since, const caller::v1::RunAnswer &Answer);
  std::size_t size() const;

private:
  void rememberLocked(std::uint64_t Id, caller::v1::RunAnswer Answer);

  mutable std::mutex Mutex;
  std::unordered_map<std::uint64_t, TransactionRef> Table;
  std::map<UpstreamId, unsigned, std::less<>> Reserved;
  std::unordered_map<std::uint64_t, caller::v1::RunAnswer> EndedAnswers;
  std::deque<std::uint64_t> EndedOrder;
};

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_TRANSACTIONS_H
