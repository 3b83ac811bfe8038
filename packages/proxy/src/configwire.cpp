#include "proxy/configwire.h"

namespace eelgrassloom::configwire {
namespace {

using Findings = std::vector<Finding>;

std::optional<Priority> priority(types::v1::Priority Wire) {
  switch (Wire) {
  case types::v1::PRIORITY_URGENT:
    return Priority::Urgent;
  case types::v1::PRIORITY_NORMAL:
    return Priority::Normal;
  case types::v1::PRIORITY_BACKGROUND:
    return Priority::Background;
  default:
    return std::nullopt;
  }
}

types::v1::Priority wirePriority(Priority P) {
  return static_cast<types::v1::Priority>(index(P) + 1);
}

std::optional<Durability> durability(config::v1::Durability Wire) {
  if (Wire == config::v1::DURABILITY_TERM_CHECK)
    return Durability::TermCheck;
  if (Wire == config::v1::DURABILITY_REPLICATED)
    return Durability::Replicated;
  return std::nullopt;
}

Upstream readUpstream(const config::v1::Upstream &Wire) {
  return {Wire.id(),    Wire.address(),        Wire.failure_domain(),
          Wire.slots(), Wire.connection_cap(), Wire.leaving()};
}

Database readDatabase(const config::v1::Database &Wire) {
  Database D;
  D.Name = Wire.name();
  for (const auto &U : Wire.upstreams())
    D.Upstreams.push_back(readUpstream(U));
  return D;
}

/// Adds a finding for an unknown priority.
void reportPriority(Findings &Out, const std::string &Place, int Value) {
  Out.push_back({Place, std::to_string(Value), "urgent, normal or background"});
}

/// A class without a durability gets the default of its priority.
WorkloadClass readClass(const config::v1::WorkloadClass &Wire, Findings &Out) {
  auto P = priority(Wire.priority());
  if (!P)
    reportPriority(Out, "classes/" + Wire.name() + "/priority",
                   Wire.priority());
  WorkloadClass C;
  C.Name = Wire.name();
  C.WorkPriority = P.value_or(Priority::Normal);
  C.StalenessBound = std::chrono::milliseconds(Wire.staleness_bound_ms());
  C.WriteDurability =
      durability(Wire.durability())
          .value_or(C.WorkPriority == Priority::Urgent ? Durability::Replicated
                                                       : Durability::TermCheck);
  return C;
}

void readShares(
    const google::protobuf::RepeatedPtrField<config::v1::PriorityShare> &Wire,
    std::vector<ShareIntent> &Shares, Findings &Out) {
  for (const auto &S : Wire) {
    if (auto P = priority(S.priority()))
      Shares.push_back({*P, S.percent()});
    else
      reportPriority(Out, "shares/priority", S.priority());
  }
}

/// Fields that are absent in the message stay absent in the intent.
ClassIntent readClassIntent(const config::v1::WorkloadClass &Wire,
                            Findings &Out) {
  ClassIntent C;
  C.Name = Wire.name();
  if (Wire.priority() != types::v1::PRIORITY_UNSPECIFIED) {
    C.WorkPriority = priority(Wire.priority());
    if (!C.WorkPriority)
      reportPriority(Out, "classes/" + Wire.name() + "/priority",
                     Wire.priority());
  }
  if (Wire.has_staleness_bound_ms())
    C.StalenessBound = std::chrono::milliseconds(Wire.staleness_bound_ms());
  C.WriteDurability = durability(Wire.durability());
  return C;
}

} // namespace

Result<Intent> intent(const operators::v1::Intent &Wire) {
  Findings Found;
  Intent I;
  for (const auto &C : Wire.classes())
    I.Classes.push_back(readClassIntent(C, Found));
  for (const auto &Id : Wire.upstreams_leaving())
    I.UpstreamsLeaving.push_back(Id);
  for (const auto &Id : Wire.upstreams_entering())
    I.UpstreamsEntering.push_back(Id);
  for (const auto &D : Wire.databases())
    I.Databases.push_back(readDatabase(D));
  readShares(Wire.shares(), I.Shares, Found);
  if (!Found.empty())
    return Result<Intent>::failure(std::move(Found));
  return Result<Intent>::success(std::move(I));
}

Result<Configuration> configuration(const config::v1::Configuration &Wire) {
  Findings Found;
  Configuration C;
  C.Version = Wire.version();
  for (const auto &W : Wire.classes())
    C.Classes.push_back(readClass(W, Found));
  for (const auto &W : Wire.databases())
    C.Databases.push_back(readDatabase(W));
  std::vector<ShareIntent> Shares;
  readShares(Wire.shares(), Shares, Found);
  for (const ShareIntent &S : Shares)
    C.Shares[index(S.WorkPriority)] = S.Percent;
  for (Finding &F : validateConfiguration(C))
    Found.push_back(std::move(F));
  if (!Found.empty())
    return Result<Configuration>::failure(std::move(Found));
  return Result<Configuration>::success(std::move(C));
}

config::v1::Change toWire(const Change &C) {
  config::v1::Change Wire;
  Wire.set_place(C.Place);
  Wire.set_before(C.Before);
  Wire.set_after(C.After);
  Wire.set_reason(C.Reason);
  return Wire;
}

Change change(const config::v1::Change &Wire) {
  return {Wire.place(), Wire.before(), Wire.after(), Wire.reason()};
}

config::v1::GroupRecord toWire(const GroupRecord &R) {
  config::v1::GroupRecord Wire;
  Wire.set_database(R.Database);
  Wire.set_term(R.Term);
  Wire.set_state(R.Phase == GroupPhase::Stable
                     ? config::v1::GROUP_STATE_STABLE
                     : config::v1::GROUP_STATE_ELECTING);
  Wire.set_primary(R.Primary);
  Wire.set_candidate(R.Candidate);
  Wire.set_nonce(R.Nonce);
  setHistory(*Wire.mutable_history(), R.History);
  return Wire;
}

GroupRecord group(const config::v1::GroupRecord &Wire) {
  GroupRecord R;
  R.Database = Wire.database();
  R.Term = Wire.term();
  R.Phase = Wire.state() == config::v1::GROUP_STATE_STABLE
                ? GroupPhase::Stable
                : GroupPhase::Electing;
  R.Primary = Wire.primary();
  R.Candidate = Wire.candidate();
  R.Nonce = Wire.nonce();
  R.History = history(Wire.history());
  return R;
}

ReplicationStatus replicationStatus(const UpstreamStatus &S) {
  return {S.UpstreamRole, S.RaisedTerm, S.Applied, S.History, S.Leaving};
}

config::v1::Configuration toWire(const Configuration &C) {
  config::v1::Configuration Wire;
  Wire.set_version(C.Version);
  for (const WorkloadClass &W : C.Classes) {
    auto *Out = Wire.add_classes();
    Out->set_name(W.Name);
    Out->set_priority(wirePriority(W.WorkPriority));
    Out->set_staleness_bound_ms(
        static_cast<std::uint32_t>(toMillis(W.StalenessBound)));
    Out->set_durability(W.WriteDurability == Durability::Replicated
                            ? config::v1::DURABILITY_REPLICATED
                            : config::v1::DURABILITY_TERM_CHECK);
  }
  for (const Database &D : C.Databases) {
    auto *Out = Wire.add_databases();
    Out->set_name(D.Name);
    for (const Upstream &U : D.Upstreams) {
      auto *W = Out->add_upstreams();
      W->set_id(U.Id);
      W->set_address(U.Address);
      W->set_failure_domain(U.FailureDomain);
      W->set_slots(U.Slots);
      W->set_connection_cap(U.ConnectionCap);
      W->set_leaving(U.Leaving);
    }
  }
  for (std::size_t I = 0; I < PriorityCount; ++I) {
    auto *Out = Wire.add_shares();
    Out->set_priority(wirePriority(static_cast<Priority>(I)));
    Out->set_percent(C.Shares[I]);
  }
  return Wire;
}

TermHistory
history(const google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire) {
  TermHistory History;
  for (const auto &T : Wire)
    History.push_back({T.term(), T.start()});
  return History;
}

void setHistory(google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire,
                const TermHistory &History) {
  Wire.Clear();
  for (const TermStart &T : History) {
    auto *Out = Wire.Add();
    Out->set_term(T.Term);
    Out->set_start(T.Start);
  }
}

types::v1::UpstreamStatus toWire(const UpstreamStatus &S) {
  types::v1::UpstreamStatus Wire;
  Wire.set_upstream(S.Id);
  Wire.set_role(static_cast<types::v1::UpstreamRole>(S.UpstreamRole));
  Wire.set_raised_term(S.RaisedTerm);
  Wire.mutable_applied()->set_term(S.Applied.Term);
  Wire.mutable_applied()->set_index(S.Applied.Index);
  setHistory(*Wire.mutable_history(), S.History);
  Wire.set_leaving(S.Leaving);
  return Wire;
}

UpstreamStatus status(const types::v1::UpstreamStatus &Wire) {
  UpstreamStatus S;
  S.Id = Wire.upstream();
  if (Wire.role() == types::v1::UPSTREAM_ROLE_PRIMARY)
    S.UpstreamRole = Role::Primary;
  else if (Wire.role() == types::v1::UPSTREAM_ROLE_REPLICA)
    S.UpstreamRole = Role::Replica;
  S.RaisedTerm = Wire.raised_term();
  S.Applied = {Wire.applied().term(), Wire.applied().index()};
  S.History = history(Wire.history());
  S.Leaving = Wire.leaving();
  return S;
}

} // namespace eelgrassloom::configwire
