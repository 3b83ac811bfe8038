#include "kernel/sessionstate.h"

namespace eelgrassloom {
namespace detail {

/// Number of letters with which statement names begin.
constexpr std::size_t Letters = 26;

/// Name of the statement that is prepared as number \p Index of its connection:
/// a to z, a1 to z1 and so on. Short, because a statement of nearly the maximum
/// message size must still fit with the name.
std::string statementName(std::size_t Index) {
  std::string Name(1, static_cast<char>('a' + Index % Letters));
  return Index < Letters ? Name : Name + std::to_string(Index / Letters);
}

bool hasRoom(const ConnectionState &C, const PreparedStatement &Added) {
  return C.Prepared.empty() ||
         (C.Prepared.size() < MaxPreparedPerConnection &&
          C.ShapeBytes + Added.Shape.size() <= MaxShapeBytesPerConnection);
}

/// True if the connection has a variable that the session has not, or no room
/// for another prepared statement. Only a reset removes variables and
/// statements.
bool needsReset(const ConnectionState &C, const SessionState &S,
                const PreparedStatement *Needed) {
  for (const auto &Entry : C.Variables)
    if (S.Variables.find(Entry.first) == S.Variables.end())
      return true;
  return Needed != nullptr && C.Prepared.count(*Needed) == 0 &&
         !hasRoom(C, *Needed);
}

} // namespace detail

std::size_t sizeInBytes(const SessionState &S) {
  std::size_t Bytes = 0;
  for (const auto &[Name, Value] : S.Variables)
    Bytes += Name.size() + Value.size();
  for (const auto &[Name, Statement] : S.Prepared)
    Bytes += Name.size() + Statement.Shape.size();
  return Bytes;
}

std::vector<SetupStep> setupSteps(const ConnectionState &C,
                                  const SessionState &S,
                                  const PreparedStatement *Needed,
                                  bool InTransaction) {
  std::vector<SetupStep> Steps;
  bool Reset = !InTransaction && detail::needsReset(C, S, Needed);
  if (Reset)
    Steps.push_back({SetupKind::Reset, {}, {}, {}});
  for (const auto &[Key, Value] : S.Variables) {
    auto It = C.Variables.find(Key);
    if (Reset || It == C.Variables.end() || It->second != Value)
      Steps.push_back({SetupKind::Set, Key, Value, {}});
  }
  if (Needed != nullptr && (Reset || C.Prepared.count(*Needed) == 0))
    Steps.push_back({SetupKind::Prepare,
                     detail::statementName(Reset ? 0 : C.Prepared.size()),
                     {},
                     *Needed});
  return Steps;
}

void apply(ConnectionState &C, const SetupStep &Step) {
  switch (Step.Kind) {
  case SetupKind::Reset:
    C = ConnectionState();
    break;
  case SetupKind::Set:
    C.Variables[Step.Name] = Step.Value;
    break;
  case SetupKind::Prepare:
    C.Prepared[Step.Prepared] = Step.Name;
    C.ShapeBytes += Step.Prepared.Shape.size();
    break;
  }
}

} // namespace eelgrassloom
