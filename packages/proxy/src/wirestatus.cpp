#include "wirestatus.h"

namespace eelgrassloom::detail {

Position fromWire(const types::v1::Position &P) {
  return {P.term(), P.index()};
}

void toWire(Position P, types::v1::Position &Out) {
  Out.set_term(P.Term);
  Out.set_index(P.Index);
}

UpstreamStatus fromWire(const types::v1::UpstreamStatus &S) {
  UpstreamStatus Out;
  Out.Id = S.upstream();
  if (S.role() == types::v1::UPSTREAM_ROLE_PRIMARY)
    Out.UpstreamRole = Role::Primary;
  else if (S.role() == types::v1::UPSTREAM_ROLE_REPLICA)
    Out.UpstreamRole = Role::Replica;
  Out.RaisedTerm = S.raised_term();
  Out.Applied = fromWire(S.applied());
  Out.History.reserve(static_cast<std::size_t>(S.history_size()));
  for (const auto &T : S.history())
    Out.History.push_back({T.term(), T.start()});
  Out.Leaving = S.leaving();
  return Out;
}

void toWire(const UpstreamStatus &S, types::v1::UpstreamStatus &Out) {
  Out.set_upstream(S.Id);
  Out.set_role(toWire(S.UpstreamRole));
  Out.set_raised_term(S.RaisedTerm);
  toWire(S.Applied, *Out.mutable_applied());
  Out.clear_history();
  for (const TermStart &T : S.History) {
    auto *Row = Out.add_history();
    Row->set_term(T.Term);
    Row->set_start(T.Start);
  }
  Out.set_leaving(S.Leaving);
}

types::v1::UpstreamRole toWire(Role R) {
  switch (R) {
  case Role::Primary:
    return types::v1::UPSTREAM_ROLE_PRIMARY;
  case Role::Replica:
    return types::v1::UPSTREAM_ROLE_REPLICA;
  case Role::Unknown:
    break;
  }
  return types::v1::UPSTREAM_ROLE_UNSPECIFIED;
}

Duration fromMicros(std::uint64_t Micros) {
  constexpr auto Max =
      std::chrono::duration_cast<std::chrono::microseconds>(Duration::max());
  if (Micros >= static_cast<std::uint64_t>(Max.count()))
    return Duration::max();
  return std::chrono::microseconds(Micros);
}

std::uint64_t toMicros(Duration D) {
  if (D <= Duration::zero())
    return 0;
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(D).count());
}

} // namespace eelgrassloom::detail
