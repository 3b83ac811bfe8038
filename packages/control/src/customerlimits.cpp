// Requests for tokens by the operations that begin at this proxy.

#include "control/customerlimits.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

/// Proxies of a failure domain that grant tokens of a customer: the holder and
/// its deputy.
constexpr std::size_t HoldersPerDomain = 2;
/// Retry hint if no holder answers.
constexpr Duration NoHolderRetry = std::chrono::milliseconds(300);

} // namespace detail

std::unique_ptr<CustomerLimits>
CustomerLimits::create(ProxyId Self, std::string FailureDomain,
                       std::uint64_t Seed, Engine &SessionEngine,
                       DatagramSender Send,
                       const CustomerLimitOptions &Options) {
  return std::unique_ptr<CustomerLimits>(
      new CustomerLimits(std::move(Self), std::move(FailureDomain), Seed,
                         SessionEngine, std::move(Send), Options));
}

OperationLimiter CustomerLimits::limiter() {
  OperationLimiter L;
  L.Acquire = [this](const CustomerId &Customer, PermitHandler Done) {
    acquire(Customer, std::move(Done));
  };
  L.GiveBack = [this](const CustomerId &Customer) {
    if (limitOf(Customer) != nullptr)
      giveBack(Customer);
  };
  return L;
}

void CustomerLimits::setPeers(const std::vector<PeerInfo> &Peers) {
  std::map<ProxyId, PeerInfo, std::less<>> Next;
  std::vector<LiveProxy> Live;
  for (const PeerInfo &P : Peers) {
    Next[P.Id] = P;
    Live.push_back({P.Id, P.FailureDomain, false, P.MilliCores});
  }
  if (Next == Registered)
    return;
  Registered = std::move(Next);
  std::erase_if(NextProbe, [this](const auto &Entry) {
    return Registered.count(Entry.first) == 0;
  });
  HolderSince = now();
  Table = makeOwnerTable(Live);
  Domains.clear();
  for (const auto &Entry : Registered)
    Domains.insert(Entry.second.FailureDomain);
  // A bucket that this proxy holds no more must not fill at the rate of its
  // holder: it would be full when the proxy becomes the holder again.
  for (const auto &Entry : Buckets)
    if (const OperationLimit *Limit = limitOf(Entry.first))
      bucketOf(Entry.first, *Limit);
}

const OperationLimit *
CustomerLimits::limitOf(const CustomerId &Customer) const {
  const auto &Customers = SessionEngine.config().Customers.ByName;
  auto It = Customers.find(Customer);
  if (It == Customers.end() || !It->second.Limit)
    return nullptr;
  return &*It->second.Limit;
}

std::vector<ProxyId>
CustomerLimits::holdersIn(const std::string &Domain,
                          const CustomerId &Customer) const {
  std::vector<ProxyId> Holders =
      rankedOwners(Table, Domain, "limit/" + Customer);
  if (Holders.size() > detail::HoldersPerDomain)
    Holders.resize(detail::HoldersPerDomain);
  return Holders;
}

std::string CustomerLimits::addressOf(const ProxyId &Id) const {
  auto It = Registered.find(Id);
  return It == Registered.end() ? std::string() : It->second.Address;
}

ProxyId CustomerLimits::chooseHolder(const CustomerId &Customer) const {
  std::vector<ProxyId> Holders = holdersIn(FailureDomain, Customer);
  // Before the first list of proxies is read, there is only this one.
  if (Holders.empty())
    return Self;
  // Holders of other failure domains grant tokens of their own shares. Each
  // proxy has an order of its own, so that no share is used up by all.
  std::vector<ProxyId> Others;
  for (const std::string &Domain : Domains)
    if (Domain != FailureDomain)
      Others.push_back(holdersIn(Domain, Customer).front());
  if (!Others.empty())
    std::rotate(Others.begin(),
                Others.begin() + static_cast<std::ptrdiff_t>(hashOfKey(Self) %
                                                             Others.size()),
                Others.end());
  Holders.insert(Holders.end(), Others.begin(), Others.end());
  for (const ProxyId &Id : Holders)
    if (NextProbe.count(Id) == 0)
      return Id;
  return Holders.front();
}

void CustomerLimits::acquire(const CustomerId &Customer, PermitHandler Done) {
  if (limitOf(Customer) == nullptr) {
    Done({true, {}});
    return;
  }
  Requester &R = Requesters[Customer];
  recordBegin(R.Own, now());
  if (R.Waiting.empty() && takeOwn(R.Own, now())) {
    Done({true, {}});
    return;
  }
  R.Waiting.push_back({std::move(Done), now()});
  if (R.Exchange == 0)
    request(Customer, R);
}

void CustomerLimits::request(const CustomerId &Customer, Requester &R) {
  R.Exchange = ++NextExchange;
  R.SentAt = now();
  R.Wanted =
      tokensToRequest(R.Own, static_cast<unsigned>(R.Waiting.size()), now());
  R.Holder = chooseHolder(Customer);
  sendRequest(Customer, R);
  probeSilentHolders(Customer);
}

void CustomerLimits::probeSilentHolders(const CustomerId &Customer) {
  for (auto &[Id, ProbeAt] : NextProbe) {
    if (now() < ProbeAt)
      continue;
    ProbeAt = now() + Options.HolderRetry;
    Send(
        addressOf(Id),
        encode(LimitMessage{
            LimitMessageKind::Request, Self, ++NextExchange, Customer, 0, {}}));
  }
}

void CustomerLimits::sendRequest(const CustomerId &Customer,
                                 const Requester &R) {
  std::uint64_t Exchange = R.Exchange;
  SessionEngine.runtime().After(
      Options.ResendAfter,
      [this, Customer, Exchange] { checkRequest(Customer, Exchange); });
  if (R.Holder == Self) {
    handleRequest(Customer, {{}, R.Exchange, R.Wanted});
    return;
  }
  // The answer to an earlier request may have been lost.
  auto [Since, New] = UnansweredSince.try_emplace(R.Holder, now());
  if (!New && now() - Since->second >= Options.HolderRetry)
    Since->second = now();
  Send(addressOf(R.Holder), encode(LimitMessage{LimitMessageKind::Request,
                                                Self,
                                                R.Exchange,
                                                Customer,
                                                R.Wanted,
                                                {}}));
}

void CustomerLimits::checkRequest(const CustomerId &Customer,
                                  std::uint64_t Exchange) {
  auto It = Requesters.find(Customer);
  if (It == Requesters.end() || It->second.Exchange != Exchange)
    return;
  Requester &R = It->second;
  if (limitOf(Customer) == nullptr) {
    admitAll(R);
    return;
  }
  auto Unanswered = UnansweredSince.find(R.Holder);
  if (Unanswered != UnansweredSince.end() &&
      now() - Unanswered->second >= Options.HolderTimeout) {
    NextProbe[R.Holder] = now() + Options.HolderRetry;
    UnansweredSince.erase(Unanswered);
  }
  refuseOverdue(R);
  if (R.Waiting.empty()) {
    R.Exchange = 0;
    return;
  }
  if (chooseHolder(Customer) != R.Holder)
    request(Customer, R);
  else
    sendRequest(Customer, R);
}

void CustomerLimits::admitAll(Requester &R) {
  R.Exchange = 0;
  std::deque<WaitingOperation> Waiting = std::move(R.Waiting);
  R.Waiting.clear();
  for (const WaitingOperation &Operation : Waiting)
    Operation.Done({true, {}});
}

void CustomerLimits::refuseOverdue(Requester &R) {
  std::vector<PermitHandler> Overdue;
  while (!R.Waiting.empty() &&
         now() - R.Waiting.front().Since >= Options.MaxWait) {
    Overdue.push_back(std::move(R.Waiting.front().Done));
    R.Waiting.pop_front();
  }
  for (const PermitHandler &Done : Overdue)
    Done(refusal(detail::NoHolderRetry));
}

OperationPermit CustomerLimits::refusal(Duration RetryAfter) {
  std::uniform_real_distribution<double> Draw(0, 1);
  return {false, spreadRetry(RetryAfter, Draw(Random))};
}

void CustomerLimits::giveBack(const CustomerId &Customer) {
  Requester &R = Requesters[Customer];
  if (!R.Waiting.empty()) {
    PermitHandler Done = std::move(R.Waiting.front().Done);
    R.Waiting.pop_front();
    Done({true, {}});
    return;
  }
  ProxyId Holder = chooseHolder(Customer);
  std::uint64_t Exchange = ++NextExchange;
  if (Holder == Self)
    handleReturn({}, Exchange, Customer, 1);
  else
    Send(addressOf(Holder),
         encode(LimitMessage{
             LimitMessageKind::Return, Self, Exchange, Customer, 1, {}}));
}

void CustomerLimits::handleGrant(const CustomerId &Customer,
                                 std::uint64_t Exchange,
                                 const TokenGrant &Grant) {
  auto It = Requesters.find(Customer);
  if (It == Requesters.end() || It->second.Exchange != Exchange)
    return; // The tokens of a late answer are lost.
  Requester &R = It->second;
  R.Exchange = 0;
  addOwn(R.Own, Grant.Tokens, now());
  // The handlers may begin further operations.
  std::vector<std::pair<PermitHandler, OperationPermit>> Answers;
  bool Short = Grant.Tokens < R.Wanted;
  while (!R.Waiting.empty()) {
    OperationPermit Permit{true, {}};
    if (!takeOwn(R.Own, now())) {
      if (!Short)
        break; // It arrived after the request was sent.
      Permit = refusal(Grant.RetryAfter);
    }
    Answers.emplace_back(std::move(R.Waiting.front().Done), Permit);
    R.Waiting.pop_front();
  }
  if (!R.Waiting.empty())
    request(Customer, R);
  for (const auto &[Done, Permit] : Answers)
    Done(Permit);
}

void CustomerLimits::received(const std::string &FromAddress,
                              const std::string &Bytes) {
  auto Decoded = decodeLimitMessage(Bytes);
  if (!Decoded) {
    SessionEngine.events().write(
        EngineEvent::InputRejected,
        {{"from", FromAddress}, {"findings", toString(Decoded.findings())}});
    return;
  }
  const LimitMessage &M = Decoded.value();
  UnansweredSince.erase(M.From);
  NextProbe.erase(M.From);
  switch (M.Kind) {
  case LimitMessageKind::Request:
    handleRequest(M.Customer, {FromAddress, M.Exchange, M.Tokens});
    return;
  case LimitMessageKind::Grant:
    handleGrant(M.Customer, M.Exchange, {M.Tokens, M.RetryAfter});
    return;
  case LimitMessageKind::Borrow:
    handleBorrow(FromAddress, M);
    return;
  case LimitMessageKind::Lend:
    handleLend(M);
    return;
  case LimitMessageKind::Return:
    handleReturn(FromAddress, M.Exchange, M.Customer, M.Tokens);
    return;
  }
}

} // namespace eelgrassloom
