#include "proxy/configwire.h"
#include "runtime/settings.h"
#include <set>

namespace eelgrassloom::configwire {
namespace {

using Findings = std::vector<Finding>;

std::string join(const std::string &Place, const std::string &Part) {
  return Place.empty() ? Part : Place + "/" + Part;
}

void requireName(Findings &Out, const std::string &Place,
                 const std::string &Value) {
  if (Value.empty() || Value.find('/') != std::string::npos)
    Out.push_back({Place, Value, "a name without '/'"});
}

void requirePositive(Findings &Out, const std::string &Place,
                     std::uint32_t Value) {
  if (Value == 0)
    Out.push_back({Place, std::to_string(Value), "at least 1"});
}

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

/// Unset means the default of the priority.
Durability durability(config::v1::Durability Wire, Priority P) {
  if (Wire == config::v1::DURABILITY_TERM_CHECK)
    return Durability::TermCheck;
  if (Wire == config::v1::DURABILITY_REPLICATED)
    return Durability::Replicated;
  return P == Priority::Urgent ? Durability::Replicated
                               : Durability::TermCheck;
}

WorkloadClass readClass(const config::v1::WorkloadClass &Wire,
                        const std::string &Place, Findings &Out) {
  requireName(Out, join(Place, "name"), Wire.name());
  auto P = priority(Wire.priority());
  if (!P)
    Out.push_back({join(Place, "priority"), std::to_string(Wire.priority()),
                   "urgent, normal or background"});
  WorkloadClass C;
  C.Name = Wire.name();
  C.WorkPriority = P.value_or(Priority::Normal);
  C.StalenessBound = std::chrono::milliseconds(Wire.staleness_bound_ms());
  C.WriteDurability = durability(Wire.durability(), C.WorkPriority);
  return C;
}

Upstream readUpstream(const config::v1::Upstream &Wire,
                      const std::string &Place, Findings &Out) {
  requireName(Out, join(Place, "id"), Wire.id());
  requireName(Out, join(Place, "failureDomain"), Wire.failure_domain());
  if (!isAddress(Wire.address()))
    Out.push_back({join(Place, "address"), Wire.address(), "IP:port"});
  requirePositive(Out, join(Place, "slots"), Wire.slots());
  requirePositive(Out, join(Place, "connectionCap"), Wire.connection_cap());
  return {Wire.id(),    Wire.address(),        Wire.failure_domain(),
          Wire.slots(), Wire.connection_cap(), Wire.leaving()};
}

Database readDatabase(const config::v1::Database &Wire,
                      const std::string &Place, Findings &Out) {
  requireName(Out, join(Place, "name"), Wire.name());
  if (Wire.upstreams().empty())
    Out.push_back({join(Place, "upstreams"), "", "at least one upstream"});
  Database D;
  D.Name = Wire.name();
  for (const auto &U : Wire.upstreams())
    D.Upstreams.push_back(
        readUpstream(U, join(Place, "upstreams/" + U.id()), Out));
  return D;
}

PriorityShares readShares(
    const google::protobuf::RepeatedPtrField<config::v1::PriorityShare> &Wire,
    PriorityShares Shares, Findings &Out) {
  unsigned Sum = 0;
  for (const auto &S : Wire) {
    auto P = priority(S.priority());
    if (P)
      Shares[index(*P)] = S.percent();
    else
      Out.push_back({"shares/priority", std::to_string(S.priority()),
                     "urgent, normal or background"});
  }
  for (unsigned S : Shares)
    Sum += S;
  if (Sum != 100)
    Out.push_back({"shares", std::to_string(Sum), "a sum of 100 percent"});
  return Shares;
}

void requireUnique(std::set<std::string> &Seen, const std::string &Place,
                   const std::string &Name, Findings &Out) {
  if (!Seen.insert(Name).second)
    Out.push_back({Place, Name, "a name that is not used twice"});
}

template <class T> Result<T> result(T Value, Findings Found) {
  if (!Found.empty())
    return Result<T>::failure(std::move(Found));
  return Result<T>::success(std::move(Value));
}

} // namespace

Result<WorkloadClass> workloadClass(const config::v1::WorkloadClass &Wire) {
  Findings Found;
  WorkloadClass C = readClass(Wire, "classes/" + Wire.name(), Found);
  return result(std::move(C), std::move(Found));
}

Result<Database> database(const config::v1::Database &Wire) {
  Findings Found;
  Database D = readDatabase(Wire, "databases/" + Wire.name(), Found);
  return result(std::move(D), std::move(Found));
}

Result<PriorityShares> shares(
    const google::protobuf::RepeatedPtrField<config::v1::PriorityShare> &Wire,
    PriorityShares Base) {
  Findings Found;
  PriorityShares S = readShares(Wire, Base, Found);
  return result(S, std::move(Found));
}

Result<Configuration> configuration(const config::v1::Configuration &Wire) {
  Findings Found;
  Configuration C;
  std::set<std::string> Classes;
  std::set<std::string> Databases;
  std::set<std::string> Upstreams;
  C.Version = Wire.version();
  if (C.Version == 0)
    Found.push_back({"version", "0", "at least 1"});
  for (const auto &W : Wire.classes()) {
    std::string Place = "classes/" + W.name();
    requireUnique(Classes, Place, W.name(), Found);
    C.Classes.push_back(readClass(W, Place, Found));
  }
  for (const auto &W : Wire.databases()) {
    std::string Place = "databases/" + W.name();
    requireUnique(Databases, Place, W.name(), Found);
    C.Databases.push_back(readDatabase(W, Place, Found));
    for (const Upstream &U : C.Databases.back().Upstreams)
      requireUnique(Upstreams, Place + "/upstreams/" + U.Id, U.Id, Found);
  }
  C.Shares = readShares(Wire.shares(), C.Shares, Found);
  return result(std::move(C), std::move(Found));
}

config::v1::Configuration wire(const Configuration &C) {
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

History
history(const google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire) {
  History Line;
  for (const auto &T : Wire)
    Line.push_back({T.term(), T.start()});
  return Line;
}

void setHistory(google::protobuf::RepeatedPtrField<types::v1::TermStart> &Wire,
                const History &Line) {
  Wire.Clear();
  for (const TermStart &T : Line) {
    auto *Out = Wire.Add();
    Out->set_term(T.Term);
    Out->set_start(T.Start);
  }
}

types::v1::UpstreamStatus wire(const UpstreamStatus &S) {
  types::v1::UpstreamStatus Wire;
  Wire.set_upstream(S.Id);
  Wire.set_role(static_cast<types::v1::UpstreamRole>(S.UpstreamRole));
  Wire.set_raised_term(S.RaisedTerm);
  Wire.mutable_applied()->set_term(S.Applied.Term);
  Wire.mutable_applied()->set_index(S.Applied.Index);
  setHistory(*Wire.mutable_history(), S.Line);
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
  S.Line = history(Wire.history());
  S.Leaving = Wire.leaving();
  return S;
}

} // namespace eelgrassloom::configwire
