/// \file
/// Limits the operations of customers over all proxies with token buckets. Load
/// pattern: one customer at several times its usual load, at many proxies, some
/// of which can't reach each other. Each failure domain has an equal share of
/// the bucket of a customer, which one proxy there holds. Tokens are only
/// moved, between holders and to the proxies that begin operations: a lost
/// message or a partition loses tokens and never makes any.

#ifndef EELGRASSLOOM_KERNEL_CUSTOMERLIMIT_H
#define EELGRASSLOOM_KERNEL_CUSTOMERLIMIT_H

#include "kernel/customers.h"
#include "kernel/time.h"

namespace eelgrassloom {

/// Operations that may exceed the limit of a customer within a window.
struct LimitTolerance {
  double Slack = 0;
};

/// Share of a customer's limit that one holder grants.
struct LimitShare {
  double RatePerSecond = 0;
  double Capacity = 0;

  bool operator==(const LimitShare &) const = default;
};

/// Place of a proxy among those of its failure domain that may hold the bucket
/// of a customer.
enum class HolderRank : std::uint8_t {
  /// The holder, according to the list of registered proxies.
  First,
  /// It grants a part of the share while the first one does not answer, because
  /// the first one may still grant all of it.
  Deputy,
  /// The list of proxies is not known yet. Every proxy that has just started
  /// grants a small part by itself.
  Unknown,
};

/// Share of a holder in one of \p Domains failure domains.
LimitShare shareOf(const OperationLimit &Limit, const LimitTolerance &Tolerance,
                   std::size_t Domains, HolderRank Rank);

/// The bucket of one customer at its holder in one failure domain.
struct LimitBucket {
  LimitShare Share;
  double Tokens = 0;
  Instant FilledAt;
  /// Tokens lent by holders of other failure domains, and when they lapse.
  double Borrowed = 0;
  Instant BorrowedUntil;
  /// Tokens asked of this holder, each weighted by its age.
  double Demand = 0;
  Instant DemandAt;
};

/// A bucket that had a tenth of its capacity when this proxy became its holder,
/// because an earlier holder may have granted the rest, and has filled since.
LimitBucket makeBucket(const LimitShare &Share, Instant HolderSince);
/// Applies a changed share; tokens beyond the new capacity are dropped.
void setShare(LimitBucket &Bucket, const LimitShare &Share, Instant Now);

/// Answer of a holder.
struct TokenGrant {
  unsigned Tokens = 0;
  /// If there are none: when the caller should try again.
  Duration RetryAfter{0};
};

/// Counts a request for tokens, so that the holder knows how many it needs.
void recordDemand(LimitBucket &Bucket, unsigned Wanted, Instant Now);
/// Takes up to \p Wanted tokens.
TokenGrant takeTokens(LimitBucket &Bucket, unsigned Wanted, Instant Now);
/// Tokens to ask of other failure domains now; 0 if the bucket has enough.
unsigned tokensToBorrow(const LimitBucket &Bucket, Instant Now);
/// Takes tokens for the holder of another failure domain: up to half of those
/// that this one does not need itself.
unsigned lendTokens(LimitBucket &Bucket, unsigned Wanted, Instant Now);
/// Takes back tokens that were granted and not used, up to the capacity.
void returnTokens(LimitBucket &Bucket, unsigned Tokens, Instant Now);
/// Adds tokens that another holder has lent.
void addBorrowed(LimitBucket &Bucket, unsigned Tokens, Instant Now);

/// Tokens that a proxy has been granted for its own operations.
struct OwnTokens {
  struct Batch {
    unsigned Tokens = 0;
    Instant Until;
  };
  std::vector<Batch> Batches;
  /// Operations begun here, each weighted by its age.
  double Begun = 0;
  Instant BegunAt;
};

/// Takes one token; false if there is none.
bool takeOwn(OwnTokens &Own, Instant Now);
void addOwn(OwnTokens &Own, unsigned Tokens, Instant Now);
/// Counts the begin of an operation.
void recordBegin(OwnTokens &Own, Instant Now);
/// Tokens to request for \p Waiting operations and those that begin soon.
unsigned tokensToRequest(const OwnTokens &Own, unsigned Waiting, Instant Now);

/// Time after which a refused caller should return: \p Base, spread so that the
/// callers do not return together. \p Draw is between 0 and 1.
Duration spreadRetry(Duration Base, double Draw);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_CUSTOMERLIMIT_H
