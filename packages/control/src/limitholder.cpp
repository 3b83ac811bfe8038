// The buckets of customers that this proxy holds for its failure domain, and
// the tokens that holders lend to each other.

#include "control/customerlimits.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Answers to repeated requests are kept for this time.
constexpr Duration AnswerRetention = std::chrono::milliseconds(500);
/// Largest number of tokens that one message may ask for.
constexpr unsigned MaxTokensAsked = 100000;

} // namespace detail

CustomerLimits::HeldBucket &
CustomerLimits::bucketOf(const CustomerId &Customer,
                         const OperationLimit &Limit) {
  std::vector<ProxyId> Holders = holdersIn(FailureDomain, Customer);
  HolderRank Rank = HolderRank::Deputy;
  if (Holders.empty())
    Rank = HolderRank::Unknown;
  else if (Holders.front() == Self)
    Rank = HolderRank::First;
  LimitShare Share = shareOf(Limit, Options.Tolerance,
                             std::max(Options.Domains, Domains.size()), Rank);
  auto [It, New] = Buckets.try_emplace(Customer);
  if (New)
    It->second.Bucket = makeBucket(Share, HolderSince);
  else
    setShare(It->second.Bucket, Share, now());
  return It->second;
}

void CustomerLimits::handleRequest(const CustomerId &Customer,
                                   const PendingRequest &Request) {
  const OperationLimit *Limit = limitOf(Customer);
  if (Limit == nullptr)
    return; // The sender has another version of the configuration.
  HeldBucket &Held = bucketOf(Customer, *Limit);
  std::pair<std::string, std::uint64_t> Key(Request.Address, Request.Exchange);
  auto Known = Held.Answered.find(Key);
  if (Known != Held.Answered.end()) {
    answer(Customer, Held, Request);
    return;
  }
  if (std::any_of(Held.Pending.begin(), Held.Pending.end(),
                  [&](const PendingRequest &P) {
                    return P.Address == Request.Address &&
                           P.Exchange == Request.Exchange;
                  }))
    return;
  PendingRequest Accepted = Request;
  Accepted.Wanted = std::min(Request.Wanted, detail::MaxTokensAsked);
  recordDemand(Held.Bucket, Accepted.Wanted, now());
  if (tokensToBorrow(Held.Bucket, now()) != 0)
    borrow(Customer, Held);
  // Tokens are taken from a copy to see whether there are any.
  LimitBucket Copy = Held.Bucket;
  bool AnyToken = takeTokens(Copy, Accepted.Wanted, now()).Tokens != 0;
  if (Held.Borrowing && !AnyToken)
    Held.Pending.push_back(std::move(Accepted));
  else
    answer(Customer, Held, Accepted);
}

void CustomerLimits::answer(const CustomerId &Customer, HeldBucket &Held,
                            const PendingRequest &Request) {
  std::erase_if(Held.Answered, [&](const auto &Entry) {
    return now() - Entry.second.At >= detail::AnswerRetention;
  });
  auto [It, New] = Held.Answered.try_emplace(
      std::pair(Request.Address, Request.Exchange), AnsweredRequest{{}, now()});
  if (New)
    It->second.Grant = takeTokens(Held.Bucket, Request.Wanted, now());
  TokenGrant Grant = It->second.Grant;
  if (Request.Address.empty())
    handleGrant(Customer, Request.Exchange, Grant);
  else
    Send(Request.Address,
         encode(LimitMessage{LimitMessageKind::Grant, Self, Request.Exchange,
                             Customer, Grant.Tokens, Grant.RetryAfter}));
}

void CustomerLimits::borrow(const CustomerId &Customer, HeldBucket &Held) {
  if (Held.Borrowing || now() < Held.NextBorrow)
    return;
  unsigned Missing = tokensToBorrow(Held.Bucket, now());
  std::vector<std::string> Lenders;
  for (const std::string &Domain : Domains) {
    if (Domain == FailureDomain)
      continue;
    std::vector<ProxyId> Holders = holdersIn(Domain, Customer);
    if (!Holders.empty())
      Lenders.push_back(addressOf(Holders.front()));
  }
  if (Lenders.empty())
    return;
  Held.Borrowing = true;
  Held.NextBorrow = now() + Options.BorrowInterval;
  Held.OpenBorrows.clear();
  for (const std::string &Address : Lenders) {
    Held.OpenBorrows.insert(++NextExchange);
    Send(Address, encode(LimitMessage{LimitMessageKind::Borrow,
                                      Self,
                                      NextExchange,
                                      Customer,
                                      Missing,
                                      {}}));
  }
  SessionEngine.runtime().After(Options.BorrowWait,
                                [this, Customer] { endBorrowing(Customer); });
}

/// Answers the requests that have waited for borrowed tokens.
void CustomerLimits::endBorrowing(const CustomerId &Customer) {
  auto It = Buckets.find(Customer);
  if (It == Buckets.end())
    return;
  It->second.Borrowing = false;
  std::vector<PendingRequest> Pending = std::move(It->second.Pending);
  It->second.Pending.clear();
  for (const PendingRequest &Request : Pending)
    answer(Customer, It->second, Request);
}

void CustomerLimits::handleBorrow(const std::string &Address,
                                  const LimitMessage &M) {
  const OperationLimit *Limit = limitOf(M.Customer);
  std::vector<ProxyId> Holders = holdersIn(FailureDomain, M.Customer);
  if (Limit == nullptr || Holders.empty() || Holders.front() != Self)
    return;
  HeldBucket &Held = bucketOf(M.Customer, *Limit);
  unsigned Lent = lendTokens(Held.Bucket, M.Tokens, now());
  if (Lent != 0)
    Send(Address,
         encode(LimitMessage{
             LimitMessageKind::Lend, Self, M.Exchange, M.Customer, Lent, {}}));
}

void CustomerLimits::handleReturn(const std::string &Address,
                                  std::uint64_t Exchange,
                                  const CustomerId &Customer, unsigned Tokens) {
  // Only a bucket that has granted tokens takes them back.
  auto It = Buckets.find(Customer);
  if (It == Buckets.end())
    return;
  HeldBucket &Held = It->second;
  std::erase_if(Held.Returned, [&](const auto &Entry) {
    return now() - Entry.second >= detail::AnswerRetention;
  });
  if (Held.Returned.emplace(std::pair(Address, Exchange), now()).second)
    returnTokens(Held.Bucket, Tokens, now());
}

void CustomerLimits::handleLend(const LimitMessage &M) {
  auto It = Buckets.find(M.Customer);
  if (It == Buckets.end() || It->second.OpenBorrows.erase(M.Exchange) == 0)
    return;
  addBorrowed(It->second.Bucket, M.Tokens, now());
  if (!It->second.Pending.empty())
    endBorrowing(M.Customer);
}

} // namespace eelgrassloom
