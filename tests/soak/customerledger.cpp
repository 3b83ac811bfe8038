#include "customerledger.h"
#include <algorithm>
#include <array>

namespace eelgrassloom::soak {

namespace {

/// A caller uses an unknown key, or one that may be removed, once in so many
/// sessions.
constexpr unsigned UnknownKeyInterval = 20;
constexpr unsigned FormerKeyInterval = 8;
/// One in so many removed keys passes to another customer.
constexpr unsigned MoveInterval = 4;
constexpr std::size_t KeysOfCustomer = 3;

/// JSON string of \p Text; written here because the product decodes it with a
/// library.
std::string quoted(const std::string &Text) {
  std::string Out = "\"";
  for (char C : Text) {
    if (C == '"' || C == '\\') {
      Out += '\\';
      Out += C;
    } else if (static_cast<unsigned char>(C) < ' ') {
      std::array<char, 8> Escape{};
      std::snprintf(Escape.data(), Escape.size(), "\\u%04x",
                    static_cast<unsigned>(C));
      Out += Escape.data();
    } else {
      Out += C;
    }
  }
  return Out + "\"";
}

} // namespace

std::string CustomerLedger::json() const {
  std::string List;
  for (const TestCustomer &C : Customers) {
    std::string Keys;
    for (const std::string &Key : C.Keys)
      Keys += (Keys.empty() ? "" : ",") + quoted(Key);
    List += List.empty() ? "{" : ",{";
    List += R"("name":)" + quoted(C.Name) + R"(,"apiKeys":[)" + Keys + "]";
    if (C.RatePerSecond != 0)
      List += R"(,"ratePerS":)" + std::to_string(C.RatePerSecond) +
              R"(,"burst":)" + std::to_string(C.Burst);
    List += "}";
  }
  return "[" + List + "]";
}

void CustomerLedger::acknowledge(Instant At) {
  std::map<std::string, std::string> Current;
  for (const TestCustomer &C : Customers)
    for (const std::string &Key : C.Keys)
      Current[Key] = C.Name;
  for (const auto &Entry : Holders)
    Current.emplace(Entry.first, "");
  for (const auto &[Key, Name] : Current) {
    auto &Turns = Holders[Key];
    if (Turns.empty() || Turns.back().second != Name)
      Turns.emplace_back(At, Name);
  }
}

std::set<std::string> CustomerLedger::allowed(const std::string &Key,
                                              Instant At) const {
  std::set<std::string> Names;
  auto It = Holders.find(Key);
  if (It == Holders.end())
    return Names;
  const auto &Turns = It->second;
  for (std::size_t I = 0; I < Turns.size(); ++I)
    if (!Turns[I].second.empty() &&
        (I + 1 == Turns.size() || At <= Turns[I + 1].first + KeyApplyTime))
      Names.insert(Turns[I].second);
  return Names;
}

std::string CustomerLedger::holder(const std::string &Key, Instant At) const {
  auto It = Holders.find(Key);
  bool Settled =
      It != Holders.end() && It->second.back().first + KeyApplyTime < At;
  return Settled ? It->second.back().second : "";
}

std::string CustomerLedger::pick(std::mt19937_64 &Random) const {
  if (Random() % UnknownKeyInterval == 0)
    return std::string(KeyMarker) + " of nobody";
  if (Random() % FormerKeyInterval == 0)
    return std::next(Holders.begin(),
                     static_cast<std::ptrdiff_t>(Random() % Holders.size()))
        ->first;
  const auto &Keys = Customers[Random() % Customers.size()].Keys;
  return Keys[Random() % Keys.size()];
}

void CustomerLedger::change(std::mt19937_64 &Random) {
  TestCustomer &From = Customers[Random() % Customers.size()];
  TestCustomer &To = Customers[Random() % Customers.size()];
  if (From.Keys.size() > 1) {
    std::string Key = From.Keys.front();
    From.Keys.erase(From.Keys.begin());
    if (Random() % MoveInterval == 0)
      To.Keys.push_back(Key);
  }
  while (To.Keys.size() < KeysOfCustomer)
    To.Keys.push_back(std::string(KeyMarker) + " " +
                      std::to_string(++AddedKeys));
}

bool CustomerLedger::isCustomer(const std::string &Name) const {
  return std::any_of(Customers.begin(), Customers.end(),
                     [&](const TestCustomer &C) { return C.Name == Name; });
}

std::string CustomerLedger::problem(const std::string &Key,
                                    const std::string &Client,
                                    Instant At) const {
  auto Names = allowed(Key, At);
  if (Names.count(Client) != 0)
    return {};
  if (Names.empty())
    return "runs as " + Client + " with a key of no customer";
  return "runs as " + Client + " instead of " + *Names.begin();
}

} // namespace eelgrassloom::soak
