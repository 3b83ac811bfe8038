#include "transactions.h"
#include <charconv>

namespace eelgrassloom::detail {
namespace {

/// Number of ended transactions whose answers are remembered, so that a
/// repeated commit gets the same answer.
constexpr std::size_t MaxEndedTransactions = 4096;
constexpr std::size_t IdHexDigits = 16;

} // namespace

std::string transactionHandle(const ProxyId &Owner, std::uint64_t Id) {
  return Owner + "/" + toHex(Id);
}

std::optional<ParsedHandle> parseTransactionHandle(const std::string &Text) {
  auto Slash = Text.rfind('/');
  if (Slash == std::string::npos || Slash == 0 ||
      Text.size() - Slash - 1 != IdHexDigits)
    return std::nullopt;
  ParsedHandle H;
  H.Owner = Text.substr(0, Slash);
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data() + Slash + 1, End, H.Id, 16);
  if (Error != std::errc() || Rest != End || H.Id == 0)
    return std::nullopt;
  return H;
}

bool Transactions::reserve(const UpstreamId &Id, unsigned Max) {
  std::lock_guard<std::mutex> Lock(Mutex);
  unsigned &Count = Reserved[Id];
  if (Count >= Max)
    return false;
  ++Count;
  return true;
}

void Transactions::unreserve(const UpstreamId &Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  --Reserved[Id];
}

void Transactions::add(TransactionRef T) {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::uint64_t Id = T->Id;
  OpenById.emplace(Id, std::move(T));
}

Transactions::Claim Transactions::claim(std::uint64_t Id) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Claim C;
  if (auto It = OpenById.find(Id); It != OpenById.end()) {
    C.Result = It->second->Busy ? ClaimResult::Busy : ClaimResult::Claimed;
    It->second->Busy = true;
    C.Transaction = It->second;
  } else if (auto End = EndedAnswers.find(Id); End != EndedAnswers.end()) {
    C.Result = ClaimResult::Ended;
    C.Ended = End->second;
  }
  return C;
}

void Transactions::unclaim(const TransactionRef &T, Instant Now) {
  std::lock_guard<std::mutex> Lock(Mutex);
  T->Busy = false;
  T->LastUsed = Now;
}

void Transactions::end(const TransactionRef &T, caller::v1::RunAnswer Answer) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (OpenById.erase(T->Id) != 0)
    --Reserved[T->Pool->target().Id];
  rememberLocked(T->Id, std::move(Answer));
}

std::vector<TransactionRef>
Transactions::takeAbandoned(Instant Since,
                            const caller::v1::RunAnswer &Answer) {
  std::vector<TransactionRef> Abandoned;
  std::lock_guard<std::mutex> Lock(Mutex);
  std::erase_if(OpenById, [&](const auto &Entry) {
    const TransactionRef &T = Entry.second;
    if (T->Busy || T->LastUsed > Since)
      return false;
    Abandoned.push_back(T);
    return true;
  });
  for (const TransactionRef &T : Abandoned) {
    --Reserved[T->Pool->target().Id];
    rememberLocked(T->Id, Answer);
  }
  return Abandoned;
}

std::size_t Transactions::size() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return OpenById.size();
}

void Transactions::rememberLocked(std::uint64_t Id,
                                  caller::v1::RunAnswer Answer) {
  if (!EndedAnswers.insert_or_assign(Id, std::move(Answer)).second)
    return;
  EndedOrder.push_back(Id);
  if (EndedOrder.size() <= MaxEndedTransactions)
    return;
  EndedAnswers.erase(EndedOrder.front());
  EndedOrder.pop_front();
}

} // namespace eelgrassloom::detail
