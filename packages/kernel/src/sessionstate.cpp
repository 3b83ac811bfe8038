#include "kernel/sessionstate.h"

namespace eelgrassloom {
namespace detail {

/// True if the connection has a variable that the session has not, or no room
/// for another prepared statement. Only a reset removes variables and
/// statements.
bool needsReset(const ConnectionState &C, const SessionState &S,
                const std::string *NewName) {
  for (const auto &Entry : C.Variables)
    if (S.Variables.find(Entry.first) == S.Variables.end())
      return true;
  return NewName != nullptr && C.Prepared.size() >= MaxPreparedPerConnection &&
         C.Prepared.find(*NewName) == C.Prepared.end();
}

} // namespace detail

std::string serverStatementName(const PreparedStatement &P) {
  return (P.Write ? "w_" : "r_") + P.Shape;
}

std::vector<SetupStep> setupSteps(const ConnectionState &C,
                                  const SessionState &S,
                                  const PreparedStatement *Needed) {
  std::vector<SetupStep> Steps;
  std::string Name =
      Needed != nullptr ? serverStatementName(*Needed) : std::string();
  bool Reset = detail::needsReset(C, S, Needed != nullptr ? &Name : nullptr);
  if (Reset)
    Steps.push_back({SetupKind::Reset, {}, {}, {}});
  for (const auto &[Key, Value] : S.Variables) {
    auto It = C.Variables.find(Key);
    if (Reset || It == C.Variables.end() || It->second != Value)
      Steps.push_back({SetupKind::Set, Key, Value, {}});
  }
  if (Needed != nullptr && (Reset || C.Prepared.count(Name) == 0))
    Steps.push_back({SetupKind::Prepare, Name, {}, *Needed});
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
    C.Prepared.insert(Step.Name);
    break;
  }
}

} // namespace eelgrassloom
