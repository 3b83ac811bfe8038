/// \file
/// Limits the operations of customers over all proxies: obtains tokens from the
/// holder of a customer's bucket in this failure domain, and holds the buckets
/// of the customers that fall to this proxy. See kernel/customerlimit.h.

#ifndef EELGRASSLOOM_CONTROL_CUSTOMERLIMITS_H
#define EELGRASSLOOM_CONTROL_CUSTOMERLIMITS_H

#include "control/peers.h"
#include "kernel/customerlimit.h"
#include <deque>

namespace eelgrassloom {

enum class LimitMessageKind : std::uint8_t {
  /// A proxy asks the holder of its failure domain for tokens.
  Request,
  Grant,
  /// A holder asks the holder of another failure domain for tokens.
  Borrow,
  Lend,
  /// A proxy returns tokens of operations that did not run.
  Return,
};
inline constexpr std::size_t LimitMessageKindCount = 5;

/// A datagram about the tokens of one customer.
struct LimitMessage {
  LimitMessageKind Kind = LimitMessageKind::Request;
  ProxyId From;
  /// Chosen by the sender of a request and repeated in the answer.
  std::uint64_t Exchange = 0;
  CustomerId Customer;
  /// Request, Borrow: tokens wanted. Grant, Lend, Return: tokens given.
  unsigned Tokens = 0;
  /// Grant: when to try again, if there are fewer tokens than wanted.
  Duration RetryAfter{0};
};
std::string encode(const LimitMessage &Message);
/// True if the bytes are a message about limits, of whatever version.
bool isLimitMessage(std::string_view Bytes);
Result<LimitMessage> decodeLimitMessage(std::string_view Bytes);

struct CustomerLimitOptions {
  /// Failure domains of the deployment, with or without proxies. The shares of
  /// a limit don't change when one of them is lost, because its proxies may
  /// only be unreachable from here.
  std::size_t Domains = 1;
  LimitTolerance Tolerance;
  /// A request without an answer is sent again after this time.
  Duration ResendAfter = std::chrono::milliseconds(20);
  /// An operation waits this long for a token.
  Duration MaxWait = std::chrono::milliseconds(80);
  /// A holder that has not answered for this time is passed over.
  Duration HolderTimeout = std::chrono::milliseconds(40);
  /// A holder that was passed over is asked for no tokens this often. It is
  /// used again once it answers, so that no operation waits for it.
  Duration HolderRetry = std::chrono::seconds(1);
  /// A holder waits this long for tokens of other failure domains.
  Duration BorrowWait = std::chrono::milliseconds(25);
  /// A holder asks other failure domains this often.
  Duration BorrowInterval = std::chrono::milliseconds(100);
};

/// Both sides of the limit: the requests of this proxy and the buckets that it
/// holds. Not copyable: timers and the engine refer to it.
class CustomerLimits {
public:
  /// \p SessionEngine and what \p Send refers to outlive the limits.
  static std::unique_ptr<CustomerLimits>
  create(ProxyId Self, std::string FailureDomain, std::uint64_t Seed,
         Engine &SessionEngine, DatagramSender Send,
         const CustomerLimitOptions &Options);

  /// The functions through which sessions begin operations.
  OperationLimiter limiter();
  /// All registered proxies, including this one.
  void setPeers(const std::vector<PeerInfo> &Registered);
  /// Handles a datagram for which isLimitMessage() is true.
  void received(const std::string &FromAddress, const std::string &Bytes);

private:
  using PermitHandler = std::function<void(OperationPermit)>;
  struct WaitingOperation {
    PermitHandler Done;
    Instant Since;
  };
  /// Operations of one customer that begin at this proxy.
  struct Requester {
    OwnTokens Own;
    std::deque<WaitingOperation> Waiting;
    /// The request in progress; 0: none.
    std::uint64_t Exchange = 0;
    Instant SentAt;
    unsigned Wanted = 0;
    ProxyId Holder;
  };
  /// A request that waits for tokens of other failure domains.
  struct PendingRequest {
    std::string Address;
    std::uint64_t Exchange = 0;
    unsigned Wanted = 0;
  };
  struct AnsweredRequest {
    TokenGrant Grant;
    Instant At;
  };
  /// The bucket of one customer that this proxy holds.
  struct HeldBucket {
    LimitBucket Bucket;
    std::vector<PendingRequest> Pending;
    /// Recent answers by requester and exchange. A repeated request gets the
    /// same answer, and no further tokens.
    std::map<std::pair<std::string, std::uint64_t>, AnsweredRequest> Answered;
    /// Recent returns by sender and exchange, each of which counts once.
    std::map<std::pair<std::string, std::uint64_t>, Instant> Returned;
    Instant NextBorrow;
    bool Borrowing = false;
    /// Borrow messages that may still be answered, once each.
    std::set<std::uint64_t> OpenBorrows;
  };

  CustomerLimits(ProxyId Self, std::string FailureDomain, std::uint64_t Seed,
                 Engine &SessionEngine, DatagramSender Send,
                 const CustomerLimitOptions &Options)
      : Self(std::move(Self)), FailureDomain(std::move(FailureDomain)),
        Random(Seed), SessionEngine(SessionEngine), Send(std::move(Send)),
        Options(Options), NextExchange(Random()), HolderSince(now()) {}

  Instant now() const { return SessionEngine.runtime().Now(); }
  /// Null if the operations of the customer are not limited.
  const OperationLimit *limitOf(const CustomerId &Customer) const;

  // Operations that begin here.
  void acquire(const CustomerId &Customer, PermitHandler Done);
  void request(const CustomerId &Customer, Requester &R);
  void sendRequest(const CustomerId &Customer, const Requester &R);
  /// Asks the holders that are passed over whether they answer again.
  void probeSilentHolders(const CustomerId &Customer);
  /// Sends the request again, passes over a silent holder, and refuses
  /// operations that have waited for too long.
  void checkRequest(const CustomerId &Customer, std::uint64_t Exchange);
  void handleGrant(const CustomerId &Customer, std::uint64_t Exchange,
                   const TokenGrant &Grant);
  void refuseOverdue(Requester &R);
  /// Admits the waiting operations of a customer that has no limit any more.
  void admitAll(Requester &R);
  OperationPermit refusal(Duration RetryAfter);
  /// Returns the token of an operation that did not run to its holder.
  void giveBack(const CustomerId &Customer);

  // Buckets that this proxy holds.
  HeldBucket &bucketOf(const CustomerId &Customer, const OperationLimit &Limit);
  /// \p Address is empty for a request of this proxy.
  void handleRequest(const CustomerId &Customer, const PendingRequest &Request);
  void answer(const CustomerId &Customer, HeldBucket &Held,
              const PendingRequest &Request);
  void borrow(const CustomerId &Customer, HeldBucket &Held);
  void endBorrowing(const CustomerId &Customer);
  void handleBorrow(const std::string &Address, const LimitMessage &Message);
  void handleLend(const LimitMessage &Message);
  /// \p Address is empty for tokens of this proxy.
  void handleReturn(const std::string &Address, std::uint64_t Exchange,
                    const CustomerId &Customer, unsigned Tokens);

  /// The proxies of a failure domain that may hold the bucket, in order.
  std::vector<ProxyId> holdersIn(const std::string &Domain,
                                 const CustomerId &Customer) const;
  /// The holder that this proxy asks; empty if there is none.
  ProxyId chooseHolder(const CustomerId &Customer) const;
  std::string addressOf(const ProxyId &Id) const;

  const ProxyId Self;
  const std::string FailureDomain;
  std::mt19937_64 Random;
  Engine &SessionEngine;
  DatagramSender Send;
  const CustomerLimitOptions Options;
  std::uint64_t NextExchange;
  /// When the list of proxies last changed, or the process started: a bucket
  /// that is used for the first time has been held since then at the latest.
  Instant HolderSince;
  std::map<ProxyId, PeerInfo, std::less<>> Registered;
  std::set<std::string> Domains;
  OwnerTable Table;
  std::map<CustomerId, Requester, std::less<>> Requesters;
  std::map<CustomerId, HeldBucket, std::less<>> Buckets;
  /// Holders that are passed over, and when each of them is probed next.
  std::map<ProxyId, Instant, std::less<>> NextProbe;
  /// When the oldest request without an answer was sent to a holder.
  std::map<ProxyId, Instant, std::less<>> UnansweredSince;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_CUSTOMERLIMITS_H
