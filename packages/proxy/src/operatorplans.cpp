#include "proxy/configwire.h"
#include "proxy/operators.h"
#include <future>
#include <optional>

namespace eelgrassloom {
namespace detail {
namespace {

/// Timeout of a platform call for an operator's command. Longer than the
/// control thread's, because an operator would rather wait than repeat the
/// command.
constexpr Duration OperatorPlatformTimeout = std::chrono::seconds(2);
/// Store lease of a plan, a working day: unconfirmed plans expire after it.
constexpr std::uint32_t PlanLeaseMillis = 8 * 3600 * 1000;
/// Attempts to read `config` after the response to a compare-and-swap was lost.
constexpr int ReadBackAttempts = 3;

/// Reads a key and waits for the result.
PlatformReply get(const OperatorContext &C, const std::string &Key) {
  auto Promise = std::make_shared<std::promise<PlatformReply>>();
  auto Future = Promise->get_future();
  C.Platform->Get(*C.PlatformConnection, Key, OperatorPlatformTimeout,
                  [Promise](const PlatformReply &R) { Promise->set_value(R); });
  return Future.get();
}

/// Runs a compare-and-swap and waits for the result.
PlatformReply swap(const OperatorContext &C, const PlatformEntry &Entry,
                   std::uint64_t Expected, std::uint32_t LeaseMillis) {
  auto Promise = std::make_shared<std::promise<PlatformReply>>();
  auto Future = Promise->get_future();
  C.Platform->CompareAndSwap(
      *C.PlatformConnection, Entry, Expected, LeaseMillis,
      OperatorPlatformTimeout,
      [Promise](const PlatformReply &R) { Promise->set_value(R); });
  return Future.get();
}

std::string planKey(const std::string &Id) { return "plan/" + Id; }

void addFinding(operators::v1::PlanAnswer &A, const Finding &F) {
  auto *Out = A.add_findings();
  Out->set_place(F.Place);
  Out->set_value(F.Value);
  Out->set_allowed(F.Allowed);
}

operators::v1::PlanAnswer refusal(const std::vector<Finding> &Findings) {
  operators::v1::PlanAnswer A;
  for (const Finding &F : Findings)
    addFinding(A, F);
  return A;
}

/// The configuration that the platform stores; version 0 if there is none.
struct StoredConfiguration {
  PlatformCode Code = PlatformCode::Unavailable;
  std::uint64_t Revision = 0;
  config::v1::Configuration Wire;
  Result<Configuration> Value = Result<Configuration>::success({});
};

StoredConfiguration storedConfiguration(const PlatformReply &R) {
  StoredConfiguration S;
  S.Code = R.Code;
  S.Revision = R.Entry.Revision;
  if (R.Code == PlatformCode::Unavailable || S.Revision == 0)
    return S;
  if (!S.Wire.ParseFromString(R.Entry.Value))
    S.Value = Result<Configuration>::failure(
        {{"config", "", "a configuration message"}});
  else
    S.Value = configwire::configuration(S.Wire);
  return S;
}

config::v1::Plan wirePlan(const Plan &P, const Configuration &Base) {
  config::v1::Plan Wire;
  Wire.set_id(P.Id);
  Wire.set_base_version(P.BaseVersion);
  *Wire.mutable_target() = configwire::toWire(P.Target);
  *Wire.mutable_base() = configwire::toWire(Base);
  for (const Change &C : P.Changes)
    *Wire.add_changes() = configwire::toWire(C);
  return Wire;
}

/// Stores a plan. Plans of the same content have the same id, so that a stored
/// plan with this id is the same plan. Returns false if the platform did not
/// answer.
bool storePlan(const OperatorContext &C, const config::v1::Plan &P) {
  PlatformEntry Entry{planKey(P.id()), P.SerializeAsString(), 0};
  PlatformReply R = swap(C, Entry, 0, PlanLeaseMillis);
  if (R.Code == PlatformCode::Ok || R.Code == PlatformCode::Conflict)
    return true;
  PlatformReply ReadBack = get(C, Entry.Key);
  return ReadBack.Code == PlatformCode::Ok && ReadBack.Entry.Revision != 0;
}

operators::v1::ConfirmAnswer answer(operators::v1::ConfirmOutcome Outcome,
                                    std::uint64_t Version,
                                    const std::string &Message) {
  operators::v1::ConfirmAnswer A;
  A.set_outcome(Outcome);
  A.set_version(Version);
  A.set_message(Message);
  return A;
}

operators::v1::ConfirmAnswer unknown(const std::string &Message) {
  return answer(operators::v1::CONFIRM_OUTCOME_UNKNOWN, 0, Message);
}

/// Logs the confirmation and makes the control thread read the configuration.
operators::v1::ConfirmAnswer accepted(const OperatorContext &C,
                                      const config::v1::Plan &P) {
  C.Events->record(events::PlanConfirmed, {"", "", "", "", P.id()},
                   "version " + std::to_string(P.target().version()));
  C.Controller->refresh();
  return answer(operators::v1::CONFIRM_OUTCOME_ACCEPTED, P.target().version(),
                "accepted as version " + std::to_string(P.target().version()));
}

/// True if the stored configuration is the plan's target.
bool isTarget(const StoredConfiguration &Stored, const config::v1::Plan &P) {
  return Stored.Revision != 0 && Stored.Value.ok() &&
         Stored.Wire.SerializeAsString() == P.target().SerializeAsString();
}

/// Converts a stored plan to the kernel's type. Empty if it is not valid.
std::optional<Plan> kernelPlan(const config::v1::Plan &Wire) {
  auto Target = configwire::configuration(Wire.target());
  if (!Target)
    return std::nullopt;
  Plan P{Wire.id(), Wire.base_version(), Target.value(), {}};
  for (const auto &C : Wire.changes())
    P.Changes.push_back(configwire::change(C));
  return P;
}

/// The configuration on which a plan is based. Empty if it is not valid.
std::optional<Configuration> baseOf(const config::v1::Plan &Wire) {
  if (Wire.base_version() == 0)
    return Configuration();
  auto Base = configwire::configuration(Wire.base());
  if (!Base)
    return std::nullopt;
  return Base.value();
}

/// Answers that another configuration was accepted since the plan was made,
/// with the changes that were accepted since then.
operators::v1::ConfirmAnswer conflict(const OperatorContext &C,
                                      const config::v1::Plan &Wire,
                                      const StoredConfiguration &Stored) {
  C.Events->record(events::PlanConflict, {"", "", "", "", Wire.id()},
                   "base version " + std::to_string(Wire.base_version()) +
                       ", present version " +
                       std::to_string(Stored.Wire.version()));
  auto A =
      answer(operators::v1::CONFIRM_OUTCOME_CONFLICT, Stored.Wire.version(),
             "another configuration was accepted first");
  auto P = kernelPlan(Wire);
  if (!P || !Stored.Value.ok())
    return A;
  auto Base = baseOf(Wire);
  auto Details = conflictOf(*P, Base ? &*Base : nullptr, Stored.Value.value());
  if (!Details)
    return A;
  A.set_message(Details->Message);
  for (const Change &Each : Details->Since)
    *A.add_since() = configwire::toWire(Each);
  return A;
}

/// Finds out whether a compare-and-swap took effect whose response was lost: it
/// did if the stored configuration is the target of the plan.
operators::v1::ConfirmAnswer readBack(const OperatorContext &C,
                                      const config::v1::Plan &P) {
  for (int I = 0; I < ReadBackAttempts; ++I) {
    StoredConfiguration Stored = storedConfiguration(get(C, "config"));
    if (Stored.Code == PlatformCode::Unavailable)
      continue;
    if (isTarget(Stored, P))
      return accepted(C, P);
    if (Stored.Wire.version() > P.base_version())
      return conflict(C, P, Stored);
    return unknown("the platform did not answer and has not applied the plan "
                   "so far; confirm it again");
  }
  return unknown("the platform does not answer; the plan may have been "
                 "applied, see status later or confirm it again");
}

/// Replaces the stored configuration by the target of the plan.
operators::v1::ConfirmAnswer apply(const OperatorContext &C,
                                   const config::v1::Plan &P) {
  StoredConfiguration Stored = storedConfiguration(get(C, "config"));
  if (Stored.Code == PlatformCode::Unavailable)
    return unknown("the platform does not answer; nothing was changed by this "
                   "command");
  // The plan was already confirmed, by this or another operator.
  if (isTarget(Stored, P))
    return accepted(C, P);
  if (Stored.Wire.version() != P.base_version())
    return conflict(C, P, Stored);
  PlatformEntry Entry{"config", P.target().SerializeAsString(), 0};
  PlatformReply R = swap(C, Entry, Stored.Revision, 0);
  if (R.Code == PlatformCode::Ok)
    return accepted(C, P);
  if (R.Code == PlatformCode::Unavailable)
    return readBack(C, P);
  StoredConfiguration Current = storedConfiguration(R);
  return isTarget(Current, P) ? accepted(C, P) : conflict(C, P, Current);
}

} // namespace
} // namespace detail

operators::v1::PlanAnswer planIntent(const OperatorContext &Context,
                                     const operators::v1::Intent &Intent) {
  auto Requested = configwire::intent(Intent);
  if (!Requested)
    return detail::refusal(Requested.findings());
  auto Stored = detail::storedConfiguration(detail::get(Context, "config"));
  if (Stored.Code == PlatformCode::Unavailable)
    return detail::refusal(
        {{"platform", Context.Options.Platform, "a platform that answers"}});
  if (!Stored.Value)
    return detail::refusal(Stored.Value.findings());
  const Configuration &Base = Stored.Value.value();
  auto NewPlan = makePlan(Base, Requested.value());
  if (!NewPlan)
    return detail::refusal(NewPlan.findings());
  config::v1::Plan Wire = detail::wirePlan(NewPlan.value(), Base);
  if (!detail::storePlan(Context, Wire))
    return detail::refusal(
        {{"platform", Context.Options.Platform, "a platform that answers"}});
  Context.Events->record(events::PlanStored, {"", "", "", "", Wire.id()},
                         std::to_string(Wire.changes_size()) +
                             " changes to version " +
                             std::to_string(Wire.base_version()));
  operators::v1::PlanAnswer A;
  A.set_plan_id(Wire.id());
  A.set_base_version(Wire.base_version());
  *A.mutable_changes() = Wire.changes();
  return A;
}

operators::v1::ConfirmAnswer confirmPlan(const OperatorContext &Context,
                                         const std::string &PlanId) {
  PlatformReply R = detail::get(Context, detail::planKey(PlanId));
  if (R.Code == PlatformCode::Unavailable)
    return detail::unknown("the platform does not answer; nothing was changed "
                           "by this command");
  config::v1::Plan P;
  if (R.Entry.Revision == 0 || !P.ParseFromString(R.Entry.Value))
    return detail::answer(operators::v1::CONFIRM_OUTCOME_NO_SUCH_PLAN, 0,
                          "there is no plan \"" + PlanId +
                              "\"; plans lapse after 8 hours");
  return detail::apply(Context, P);
}

} // namespace eelgrassloom
