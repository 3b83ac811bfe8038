#include "kernel/plan.h"
#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <xxhash.h>

namespace eelgrassloom {
namespace detail {

/// Required sum of the shares of all priorities.
constexpr unsigned TotalPercent = 100;
/// Minimum number of upstreams in service of a database, so that one may fail.
constexpr std::size_t MinInService = 2;

/// True if the text can be a name in a place, whose parts are separated by
/// slashes. White space, commas and equals signs are excluded as well.
static bool isWord(const std::string &Text) {
  return !Text.empty() && Text.find_first_of(" \t\n,/=") == std::string::npos;
}

static std::string describe(const WorkloadClass &C) {
  std::ostringstream Out;
  Out << "priority " << name(C.WorkPriority) << ", staleness bound "
      << toMillis(C.StalenessBound) << " ms, durability "
      << name(C.WriteDurability);
  return Out.str();
}

static std::string describe(const Upstream &U) {
  std::ostringstream Out;
  Out << "address " << U.Address << ", failure domain " << U.FailureDomain
      << ", slots " << U.Slots << ", connections " << U.ConnectionCap << ", "
      << (U.Leaving ? "leaving" : "in service");
  return Out.str();
}

/// Every setting of a configuration as text, by place.
static std::map<std::string, std::string> flatten(const Configuration &C) {
  std::map<std::string, std::string> Places;
  for (const WorkloadClass &W : C.Classes)
    Places["classes/" + W.Name] = describe(W);
  for (const Database &D : C.Databases)
    for (const Upstream &U : D.Upstreams)
      Places["databases/" + D.Name + "/upstreams/" + U.Id] = describe(U);
  for (std::size_t P = 0; P < PriorityCount; ++P)
    Places["shares/" + std::string(PriorityNames[P])] =
        std::to_string(C.Shares[P]) + "%";
  return Places;
}

static void checkUpstream(const std::string &Place, const Upstream &U,
                          std::set<UpstreamId> &Ids,
                          std::vector<Finding> &Findings) {
  if (!isWord(U.Id))
    Findings.push_back(
        {Place, U.Id, "an id without spaces, commas or slashes"});
  if (!Ids.insert(U.Id).second)
    Findings.push_back({Place, U.Id, "an id that no other upstream has"});
  if (U.Address.find(':') == std::string::npos)
    Findings.push_back({Place + "/address", U.Address, "IP:port"});
  if (U.FailureDomain.empty())
    Findings.push_back({Place + "/failure-domain", "", "a failure domain"});
  if (U.Slots == 0)
    Findings.push_back({Place + "/slots", "0", "at least 1"});
  if (U.ConnectionCap < U.Slots)
    Findings.push_back(
        {Place + "/connections", std::to_string(U.ConnectionCap),
         "at least the number of slots, " + std::to_string(U.Slots)});
}

static void applyClass(Configuration &Target, const ClassIntent &I,
                       std::vector<Finding> &Findings) {
  auto It =
      std::find_if(Target.Classes.begin(), Target.Classes.end(),
                   [&](const WorkloadClass &C) { return C.Name == I.Name; });
  if (It == Target.Classes.end()) {
    if (!I.WorkPriority || !I.WriteDurability) {
      Findings.push_back({"classes/" + I.Name, I.Name,
                          "a class of the configuration; a new class needs "
                          "priority and durability"});
      return;
    }
    Target.Classes.push_back({I.Name, Priority::Normal, Duration(0), {}});
    It = std::prev(Target.Classes.end());
  }
  It->WorkPriority = I.WorkPriority.value_or(It->WorkPriority);
  It->StalenessBound = I.StalenessBound.value_or(It->StalenessBound);
  It->WriteDurability = I.WriteDurability.value_or(It->WriteDurability);
}

static void setLeaving(Configuration &Target, const UpstreamId &Id,
                       bool Leaving, std::vector<Finding> &Findings) {
  for (Database &D : Target.Databases)
    for (Upstream &U : D.Upstreams)
      if (U.Id == Id) {
        U.Leaving = Leaving;
        return;
      }
  Findings.push_back({Leaving ? "upstreams-leaving" : "upstreams-entering", Id,
                      "an upstream of the configuration"});
}

/// The majorities of two successive configurations must share an upstream, so
/// a plan adds or removes at most one upstream of an existing database.
static void applyDatabase(Configuration &Target, const Database &New,
                          std::vector<Finding> &Findings) {
  auto It = std::find_if(Target.Databases.begin(), Target.Databases.end(),
                         [&](const Database &D) { return D.Name == New.Name; });
  if (It == Target.Databases.end()) {
    Target.Databases.push_back(New);
    return;
  }
  std::size_t AddedOrRemoved = 0;
  for (const Upstream &U : New.Upstreams)
    AddedOrRemoved += findUpstream(*It, U.Id) ? 0 : 1;
  for (const Upstream &U : It->Upstreams) {
    if (findUpstream(New, U.Id))
      continue;
    ++AddedOrRemoved;
    if (!U.Leaving)
      Findings.push_back(
          {"databases/" + New.Name + "/upstreams/" + U.Id, "removed",
           "an upstream that an earlier plan has marked as leaving"});
  }
  if (AddedOrRemoved > 1)
    Findings.push_back({"databases/" + New.Name + "/upstreams",
                        std::to_string(AddedOrRemoved) + " added or removed",
                        "at most one in a plan, so that successive majorities "
                        "share an upstream"});
  *It = New;
}

static void applyShares(Configuration &Target, const Intent &I,
                        std::vector<Finding> &Findings) {
  std::set<Priority> Seen;
  for (const ShareIntent &Share : I.Shares) {
    if (!Seen.insert(Share.WorkPriority).second)
      Findings.push_back({"shares/" + std::string(name(Share.WorkPriority)),
                          std::to_string(Share.Percent),
                          "one share for each priority"});
    Target.Shares[index(Share.WorkPriority)] = Share.Percent;
  }
}

static void checkIntentNames(const Intent &I, std::vector<Finding> &Findings) {
  auto CheckDuplicates = [&](const std::string &Place,
                             const std::vector<std::string> &Names) {
    std::set<std::string> Seen;
    for (const std::string &Name : Names)
      if (!Seen.insert(Name).second)
        Findings.push_back({Place, Name, "each name once in an intent"});
  };
  std::vector<std::string> Classes;
  for (const ClassIntent &C : I.Classes)
    Classes.push_back(C.Name);
  std::vector<std::string> Databases;
  for (const Database &D : I.Databases)
    Databases.push_back(D.Name);
  std::vector<std::string> Upstreams = I.UpstreamsLeaving;
  Upstreams.insert(Upstreams.end(), I.UpstreamsEntering.begin(),
                   I.UpstreamsEntering.end());
  CheckDuplicates("classes", Classes);
  CheckDuplicates("databases", Databases);
  CheckDuplicates("upstreams-leaving, upstreams-entering", Upstreams);
}

static std::string reasonFor(const Change &C, const Intent &I) {
  std::string Leaf = C.Place.substr(C.Place.rfind('/') + 1);
  auto Names = [&](const std::vector<UpstreamId> &Ids) {
    return std::find(Ids.begin(), Ids.end(), Leaf) != Ids.end();
  };
  if (C.Place.starts_with("classes/"))
    return C.Before.empty() ? "the intent adds this workload class"
                            : "the intent sets rules of this workload class";
  if (C.Place.starts_with("shares/"))
    return "the intent sets the guaranteed shares";
  if (Names(I.UpstreamsLeaving))
    return "the intent takes the upstream out of service: it gets no new work "
           "and, if it is the primary, a planned promotion replaces it first";
  if (Names(I.UpstreamsEntering))
    return "the intent puts the upstream into service";
  return "the intent replaces or adds the database";
}

} // namespace detail

std::vector<Finding> validateConfiguration(const Configuration &C) {
  std::vector<Finding> Findings;
  std::set<std::string> Names;
  for (const WorkloadClass &W : C.Classes) {
    std::string Place = "classes/" + W.Name;
    if (!detail::isWord(W.Name))
      Findings.push_back(
          {Place, W.Name, "a name without spaces, commas or slashes"});
    if (!Names.insert(W.Name).second)
      Findings.push_back({Place, W.Name, "a name that no other class has"});
    if (W.StalenessBound < Duration::zero())
      Findings.push_back({Place + "/staleness-bound",
                          std::to_string(toMillis(W.StalenessBound)) + " ms",
                          "0 or more"});
  }
  Names.clear();
  std::set<UpstreamId> Ids;
  for (const Database &D : C.Databases) {
    std::string Place = "databases/" + D.Name;
    if (!detail::isWord(D.Name))
      Findings.push_back(
          {Place, D.Name, "a name without spaces, commas or slashes"});
    if (!Names.insert(D.Name).second)
      Findings.push_back({Place, D.Name, "a name that no other database has"});
    for (const Upstream &U : D.Upstreams)
      detail::checkUpstream(Place + "/upstreams/" + U.Id, U, Ids, Findings);
    auto InService = static_cast<std::size_t>(
        std::count_if(D.Upstreams.begin(), D.Upstreams.end(),
                      [](const Upstream &U) { return !U.Leaving; }));
    std::size_t Needed =
        std::max(detail::MinInService, majority(D.Upstreams.size()));
    if (InService < Needed)
      Findings.push_back(
          {Place + "/upstreams", std::to_string(InService) + " in service",
           "at least " + std::to_string(Needed) +
               " in service, a majority that survives one failure"});
  }
  unsigned Sum = 0;
  for (unsigned Share : C.Shares)
    Sum += Share;
  if (Sum != detail::TotalPercent)
    Findings.push_back({"shares", std::to_string(Sum) + "%", "a sum of 100%"});
  return Findings;
}

std::vector<Change> changesBetween(const Configuration &From,
                                   const Configuration &To) {
  auto Before = detail::flatten(From);
  auto After = detail::flatten(To);
  std::vector<Change> Changes;
  for (const auto &[Place, Text] : Before) {
    auto It = After.find(Place);
    if (It == After.end())
      Changes.push_back({Place, Text, "", ""});
    else if (It->second != Text)
      Changes.push_back({Place, Text, It->second, ""});
  }
  for (const auto &[Place, Text] : After)
    if (!Before.contains(Place))
      Changes.push_back({Place, "", Text, ""});
  std::sort(Changes.begin(), Changes.end(),
            [](const Change &A, const Change &B) { return A.Place < B.Place; });
  return Changes;
}

Result<Plan> makePlan(const Configuration &Base, const Intent &I) {
  std::vector<Finding> Findings;
  detail::checkIntentNames(I, Findings);
  Plan P;
  P.BaseVersion = Base.Version;
  P.Target = Base;
  P.Target.Version = Base.Version + 1;
  for (const ClassIntent &C : I.Classes)
    detail::applyClass(P.Target, C, Findings);
  for (const Database &D : I.Databases)
    detail::applyDatabase(P.Target, D, Findings);
  for (const UpstreamId &Id : I.UpstreamsLeaving)
    detail::setLeaving(P.Target, Id, true, Findings);
  for (const UpstreamId &Id : I.UpstreamsEntering)
    detail::setLeaving(P.Target, Id, false, Findings);
  detail::applyShares(P.Target, I, Findings);

  std::vector<Finding> Invalid = validateConfiguration(P.Target);
  Findings.insert(Findings.end(), Invalid.begin(), Invalid.end());
  P.Changes = changesBetween(Base, P.Target);
  if (Findings.empty() && P.Changes.empty())
    Findings.push_back({"intent", "no change",
                        "an intent that differs from version " +
                            std::to_string(Base.Version)});
  if (!Findings.empty())
    return Result<Plan>::failure(std::move(Findings));
  for (Change &C : P.Changes)
    C.Reason = detail::reasonFor(C, I);
  P.Id = planId(P.BaseVersion, P.Target);
  return Result<Plan>::success(std::move(P));
}

std::string planId(std::uint64_t BaseVersion, const Configuration &Target) {
  std::string Content = std::to_string(BaseVersion) + "\n";
  for (const auto &[Place, Text] : detail::flatten(Target))
    Content.append(Place).append("\n").append(Text).append("\n");
  std::ostringstream Out;
  Out << std::hex << XXH3_64bits(Content.data(), Content.size());
  std::string Digits = Out.str();
  constexpr std::size_t Width = 16;
  return std::string(Width - Digits.size(), '0') + Digits;
}

std::optional<Conflict> conflictOf(const Plan &P, const Configuration *Base,
                                   const Configuration &Current) {
  if (Current.Version == P.BaseVersion)
    return std::nullopt;
  Conflict C;
  C.PlanBase = P.BaseVersion;
  C.CurrentVersion = Current.Version;
  std::ostringstream Out;
  Out << "plan " << P.Id << " was made for version " << P.BaseVersion
      << ", but version " << Current.Version << " is accepted";
  if (Base && Base->Version == P.BaseVersion) {
    C.Since = changesBetween(*Base, Current);
    for (const Change &Accepted : C.Since)
      for (const Change &Own : P.Changes)
        if (Own.Place == Accepted.Place)
          C.Overlapping.push_back(Own.Place);
    if (C.Overlapping.empty())
      Out << "; both change different places, so the same intent can be "
             "planned again";
    else
      Out << "; both change " << C.Overlapping.size() << " place"
          << (C.Overlapping.size() == 1 ? "" : "s") << ", first "
          << C.Overlapping.front();
  }
  C.Message = Out.str();
  return C;
}

} // namespace eelgrassloom
