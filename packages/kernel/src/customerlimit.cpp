#include "kernel/customerlimit.h"
#include <algorithm>
#include <cmath>

namespace eelgrassloom {
namespace detail {

/// Part of the burst that the buckets hold. The rest covers tokens that were
/// granted before a window begins and are used in it, and operations that wait
/// for a server.
constexpr double CapacityShare = 0.7;
/// The same for the slack of the rule.
constexpr double SlackShare = 0.5;
/// Part of the rate that a deputy grants.
constexpr double DeputyShare = 0.25;
/// Part of the rate that a proxy grants without a list of proxies: many that
/// start together don't exceed the limit by much.
constexpr double UnknownShare = 1.0 / 32;
/// Part of the capacity with which a new holder begins.
constexpr double InitialShare = 0.1;
/// Tokens that were granted to a proxy lapse after this time.
constexpr Duration OwnTokenTime = std::chrono::milliseconds(200);
/// Tokens that were lent lapse after this time.
constexpr Duration BorrowedTokenTime = std::chrono::milliseconds(100);
/// A holder that has fewer tokens than it needs for this time asks others.
constexpr double BorrowSeconds = 0.5;
/// A holder keeps what it needs for this time when it lends.
constexpr double KeepSeconds = 0.2;
/// A proxy requests what it needs for this time in advance.
constexpr double PrefetchSeconds = 0.1;
/// Time constant of the measured rates.
constexpr double RateSeconds = 1;
constexpr Duration MinRetry = std::chrono::milliseconds(100);
constexpr Duration MaxRetry = std::chrono::seconds(5);

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

double decayed(double Value, Instant At, Instant Now) {
  return Value * std::exp(-std::max(0.0, seconds(Now - At)) / RateSeconds);
}

void fill(LimitBucket &Bucket, Instant Now) {
  double Elapsed = std::max(0.0, seconds(Now - Bucket.FilledAt));
  Bucket.Tokens =
      std::min(Bucket.Share.Capacity,
               Bucket.Tokens + Elapsed * Bucket.Share.RatePerSecond);
  Bucket.FilledAt = std::max(Bucket.FilledAt, Now);
  if (Now >= Bucket.BorrowedUntil)
    Bucket.Borrowed = 0;
}

/// Tokens asked of the holder in a second.
double demandRate(const LimitBucket &Bucket, Instant Now) {
  return decayed(Bucket.Demand, Bucket.DemandAt, Now) / RateSeconds;
}

unsigned wholeTokens(double Tokens) {
  return static_cast<unsigned>(std::max(0.0, std::floor(Tokens)));
}

Duration retryAfter(const LimitBucket &Bucket, Instant Now) {
  double Rate = Bucket.Share.RatePerSecond;
  if (Rate <= 0)
    return MaxRetry;
  // All callers that are refused share the next tokens.
  double Crowd = std::max(1.0, demandRate(Bucket, Now) / Rate);
  double Wait = std::max(0.0, 1 - Bucket.Tokens) / Rate * Crowd;
  return std::clamp(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Wait)),
      MinRetry, MaxRetry);
}

} // namespace detail

LimitShare shareOf(const OperationLimit &Limit, const LimitTolerance &Tolerance,
                   std::size_t Domains, HolderRank Rank) {
  auto Count = static_cast<double>(std::max<std::size_t>(1, Domains));
  LimitShare Share;
  Share.RatePerSecond = Limit.RatePerSecond / Count;
  Share.Capacity = (Limit.Burst * detail::CapacityShare +
                    Tolerance.Slack * detail::SlackShare) /
                   Count;
  if (Rank == HolderRank::Deputy) {
    Share.RatePerSecond *= detail::DeputyShare;
    Share.Capacity *= detail::InitialShare;
  }
  if (Rank == HolderRank::Unknown) {
    Share.RatePerSecond *= detail::UnknownShare;
    Share.Capacity *= detail::UnknownShare;
  }
  if (Limit.RatePerSecond > 0)
    Share.Capacity = std::max(1.0, Share.Capacity);
  return Share;
}

LimitBucket makeBucket(const LimitShare &Share, Instant HolderSince) {
  LimitBucket Bucket;
  Bucket.Share = Share;
  Bucket.Tokens = Share.Capacity * detail::InitialShare;
  Bucket.FilledAt = HolderSince;
  return Bucket;
}

void setShare(LimitBucket &Bucket, const LimitShare &Share, Instant Now) {
  if (Bucket.Share == Share)
    return;
  detail::fill(Bucket, Now);
  Bucket.Share = Share;
  Bucket.Tokens = std::min(Bucket.Tokens, Share.Capacity);
}

void recordDemand(LimitBucket &Bucket, unsigned Wanted, Instant Now) {
  Bucket.Demand = detail::decayed(Bucket.Demand, Bucket.DemandAt, Now) + Wanted;
  Bucket.DemandAt = Now;
}

TokenGrant takeTokens(LimitBucket &Bucket, unsigned Wanted, Instant Now) {
  detail::fill(Bucket, Now);
  TokenGrant Grant;
  Grant.Tokens =
      std::min(Wanted, detail::wholeTokens(Bucket.Borrowed + Bucket.Tokens));
  double FromBorrowed = std::min<double>(Bucket.Borrowed, Grant.Tokens);
  Bucket.Borrowed -= FromBorrowed;
  Bucket.Tokens -= Grant.Tokens - FromBorrowed;
  if (Grant.Tokens < Wanted)
    Grant.RetryAfter = detail::retryAfter(Bucket, Now);
  return Grant;
}

unsigned tokensToBorrow(const LimitBucket &Bucket, Instant Now) {
  LimitBucket Filled = Bucket;
  detail::fill(Filled, Now);
  double Needed =
      std::max(1.0, detail::demandRate(Bucket, Now) * detail::BorrowSeconds);
  double Missing = Needed - Filled.Tokens - Filled.Borrowed;
  return Missing > 0 ? static_cast<unsigned>(std::ceil(Missing)) : 0;
}

unsigned lendTokens(LimitBucket &Bucket, unsigned Wanted, Instant Now) {
  detail::fill(Bucket, Now);
  double Spare =
      Bucket.Tokens - detail::demandRate(Bucket, Now) * detail::KeepSeconds;
  // Half of a single token is nothing, so a holder without demand lends it.
  unsigned Lent = std::min(Wanted, detail::wholeTokens(Spare / 2 + 0.5));
  Lent = std::min(Lent, detail::wholeTokens(Bucket.Tokens));
  Bucket.Tokens -= Lent;
  return Lent;
}

void returnTokens(LimitBucket &Bucket, unsigned Tokens, Instant Now) {
  detail::fill(Bucket, Now);
  Bucket.Tokens = std::min(Bucket.Share.Capacity, Bucket.Tokens + Tokens);
}

void addBorrowed(LimitBucket &Bucket, unsigned Tokens, Instant Now) {
  detail::fill(Bucket, Now);
  Bucket.Borrowed += Tokens;
  Bucket.BorrowedUntil = Now + detail::BorrowedTokenTime;
}

bool takeOwn(OwnTokens &Own, Instant Now) {
  std::erase_if(Own.Batches, [&](const OwnTokens::Batch &B) {
    return B.Tokens == 0 || Now >= B.Until;
  });
  if (Own.Batches.empty())
    return false;
  --Own.Batches.front().Tokens;
  return true;
}

void addOwn(OwnTokens &Own, unsigned Tokens, Instant Now) {
  if (Tokens != 0)
    Own.Batches.push_back({Tokens, Now + detail::OwnTokenTime});
}

void recordBegin(OwnTokens &Own, Instant Now) {
  Own.Begun = detail::decayed(Own.Begun, Own.BegunAt, Now) + 1;
  Own.BegunAt = Now;
}

unsigned tokensToRequest(const OwnTokens &Own, unsigned Waiting, Instant Now) {
  double Rate =
      detail::decayed(Own.Begun, Own.BegunAt, Now) / detail::RateSeconds;
  return Waiting + detail::wholeTokens(Rate * detail::PrefetchSeconds);
}

Duration spreadRetry(Duration Base, double Draw) {
  auto Spread = std::chrono::duration_cast<Duration>(Base * (0.5 + Draw));
  return std::max(detail::MinRetry, Spread);
}

} // namespace eelgrassloom
