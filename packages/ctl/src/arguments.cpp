#include "ctl/arguments.h"
#include "kernel/model.h"
#include "runtime/options.h"
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <sstream>

namespace eelgrassloom {
namespace detail {
namespace {

/// Ids of the options. The order matters: LeaveFlag to DurabilityFlag belong to
/// the command plan, and those from DatabaseFlag on to timeline.
enum Flag : int {
  HelpFlag = 1,
  VersionFlag,
  ProxyFlag,
  JsonFlag,
  LeaveFlag,
  EnterFlag,
  ClassFlag,
  PriorityFlag,
  StalenessFlag,
  DurabilityFlag,
  DatabaseFlag,
  RequestFlag,
  SessionFlag,
  PlanFlag,
  LimitFlag,
};

const poptOption Options[] = {
    {"help", 'h', POPT_ARG_NONE, nullptr, HelpFlag, nullptr, nullptr},
    {"version", 'V', POPT_ARG_NONE, nullptr, VersionFlag, nullptr, nullptr},
    {"proxy", 0, POPT_ARG_STRING, nullptr, ProxyFlag, nullptr, nullptr},
    {"json", 0, POPT_ARG_NONE, nullptr, JsonFlag, nullptr, nullptr},
    {"leave", 0, POPT_ARG_STRING, nullptr, LeaveFlag, nullptr, nullptr},
    {"enter", 0, POPT_ARG_STRING, nullptr, EnterFlag, nullptr, nullptr},
    {"class", 0, POPT_ARG_STRING, nullptr, ClassFlag, nullptr, nullptr},
    {"priority", 0, POPT_ARG_STRING, nullptr, PriorityFlag, nullptr, nullptr},
    {"staleness-ms", 0, POPT_ARG_STRING, nullptr, StalenessFlag, nullptr,
     nullptr},
    {"durability", 0, POPT_ARG_STRING, nullptr, DurabilityFlag, nullptr,
     nullptr},
    {"database", 0, POPT_ARG_STRING, nullptr, DatabaseFlag, nullptr, nullptr},
    {"request", 0, POPT_ARG_STRING, nullptr, RequestFlag, nullptr, nullptr},
    {"session", 0, POPT_ARG_STRING, nullptr, SessionFlag, nullptr, nullptr},
    {"plan", 0, POPT_ARG_STRING, nullptr, PlanFlag, nullptr, nullptr},
    {"limit", 0, POPT_ARG_STRING, nullptr, LimitFlag, nullptr, nullptr},
    POPT_TABLEEND};

/// Collects the parsed arguments and the findings about them.
class ArgumentParser {
public:
  CtlArguments A;
  std::vector<Finding> Findings;
  bool Help = false;
  bool Version = false;
  bool HasPlanFlags = false;
  bool HasTimelineFlags = false;

  void parseOption(int Which, const std::string &Value) {
    HasPlanFlags |= Which >= LeaveFlag && Which <= DurabilityFlag;
    HasTimelineFlags |= Which >= DatabaseFlag;
    switch (Which) {
    case HelpFlag:
      Help = true;
      break;
    case VersionFlag:
      Version = true;
      break;
    case ProxyFlag:
      A.Proxy = Value;
      break;
    case JsonFlag:
      A.Json = true;
      break;
    case LeaveFlag:
      A.Intent.add_upstreams_leaving(Value);
      break;
    case EnterFlag:
      A.Intent.add_upstreams_entering(Value);
      break;
    case ClassFlag:
      A.Intent.add_classes()->set_name(Value);
      break;
    case PriorityFlag:
    case StalenessFlag:
    case DurabilityFlag:
      parseClassFlag(Which, Value);
      break;
    default:
      parseTimelineFlag(Which, Value);
    }
  }

private:
  void parseClassFlag(int Which, const std::string &Value) {
    if (A.Intent.classes().empty()) {
      Findings.push_back({"class", Value,
                          "--class NAME before --priority, --staleness-ms "
                          "and --durability"});
      return;
    }
    auto &Class = *A.Intent.mutable_classes(A.Intent.classes_size() - 1);
    if (Which == PriorityFlag)
      parsePriorityFlag(Class, Value);
    else if (Which == DurabilityFlag)
      parseDurabilityFlag(Class, Value);
    else if (auto Millis = parseNumber(Value))
      Class.set_staleness_bound_ms(*Millis);
    else
      Findings.push_back({"--staleness-ms", Value, "a number of milliseconds"});
  }

  void parsePriorityFlag(config::v1::WorkloadClass &Class,
                         const std::string &Value) {
    // The priorities of the wire begin after PRIORITY_UNSPECIFIED.
    if (auto P = parsePriority(Value))
      Class.set_priority(static_cast<types::v1::Priority>(index(*P) + 1));
    else
      Findings.push_back({"--priority", Value, "urgent, normal or background"});
  }

  void parseDurabilityFlag(config::v1::WorkloadClass &Class,
                           const std::string &Value) {
    auto D = parseDurability(Value);
    if (!D)
      Findings.push_back({"--durability", Value, "term-check or replicated"});
    else
      Class.set_durability(*D == Durability::Replicated
                               ? config::v1::DURABILITY_REPLICATED
                               : config::v1::DURABILITY_TERM_CHECK);
  }

  void parseTimelineFlag(int Which, const std::string &Value) {
    switch (Which) {
    case DatabaseFlag:
      A.Timeline.set_database(Value);
      break;
    case RequestFlag:
      A.Timeline.set_request_id(Value);
      break;
    case SessionFlag:
      A.Timeline.set_session(Value);
      break;
    case PlanFlag:
      A.Timeline.set_plan(Value);
      break;
    default:
      auto Limit = parseNumber(Value);
      if (Limit && *Limit > 0)
        A.Timeline.set_limit(*Limit);
      else
        Findings.push_back({"--limit", Value, "a number from 1"});
    }
  }
};

/// Merges the intent file at \p Path into the intent.
void readIntentFile(const std::string &Path, ArgumentParser &R) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  if (!In) {
    R.Findings.push_back({"FILE.json", Path, "a file that can be read"});
    return;
  }
  operators::v1::Intent FromFile;
  auto Status =
      google::protobuf::util::JsonStringToMessage(Text.str(), &FromFile);
  if (!Status.ok()) {
    R.Findings.push_back({Path, std::string(Status.message()),
                          "an intent as docs/OPERATIONS.md describes it"});
    return;
  }
  R.A.Intent.MergeFrom(FromFile);
}

void readPlanArguments(const std::vector<std::string> &Positionals,
                       ArgumentParser &R) {
  if (Positionals.size() > 2)
    R.Findings.push_back({Positionals[0], Positionals[2], "one file"});
  if (Positionals.size() == 2)
    readIntentFile(Positionals[1], R);
  else if (!R.HasPlanFlags)
    R.Findings.push_back(
        {Positionals[0], "", "FILE.json, --leave, --enter or --class"});
}

void readCommand(const std::vector<std::string> &Positionals,
                 ArgumentParser &R) {
  const std::string &Name = Positionals[0];
  std::size_t Allowed = 1;
  if (Name == "status") {
    R.A.Command = CtlCommand::Status;
  } else if (Name == "timeline") {
    R.A.Command = CtlCommand::Timeline;
  } else if (Name == "plan" || Name == "intent") {
    R.A.Command = CtlCommand::Plan;
    readPlanArguments(Positionals, R);
    Allowed = Positionals.size();
  } else if (Name == "confirm") {
    R.A.Command = CtlCommand::Confirm;
    Allowed = 2;
    if (Positionals.size() < 2)
      R.Findings.push_back({"confirm", "", "the id of a plan"});
    else
      R.A.Plan = Positionals[1];
  } else {
    R.Findings.push_back({"command", Name,
                          "status, intent, plan, confirm, timeline, "
                          "logs or check-settings"});
    return;
  }
  if (Positionals.size() > Allowed)
    R.Findings.push_back({Name, Positionals[Allowed], "no further arguments"});
  if (R.HasPlanFlags && R.A.Command != CtlCommand::Plan)
    R.Findings.push_back({Name, "flags of an intent", "plan or intent"});
  if (R.HasTimelineFlags && R.A.Command != CtlCommand::Timeline)
    R.Findings.push_back({Name, "flags of the timeline", "timeline"});
}

/// Sets the proxy from the environment if no flag gives it, and checks it.
void checkProxy(const Environment &Env, ArgumentParser &R) {
  auto It = Env.find("EELGRASSCTL_PROXY");
  if (R.A.Proxy.empty() && It != Env.end())
    R.A.Proxy = It->second;
  if (!isAddress(R.A.Proxy))
    R.Findings.push_back(
        {"--proxy or EELGRASSCTL_PROXY", R.A.Proxy, "IP:port"});
}

} // namespace
} // namespace detail

Result<CtlArguments> parseCtlArguments(int Argc, const char **Argv,
                                       const Environment &Env) {
  detail::ArgumentParser R;
  std::vector<std::string> Positionals = parseOptions(
      Argc, Argv, detail::Options,
      [&](int Which, const std::string &Value) { R.parseOption(Which, Value); },
      R.Findings);
  if (R.Findings.empty() && (R.Help || R.Version)) {
    R.A.Command = R.Help ? CtlCommand::Help : CtlCommand::Version;
    return Result<CtlArguments>::success(std::move(R.A));
  }
  if (Positionals.empty())
    R.Findings.push_back({"command", "",
                          "status, intent, plan, confirm, timeline, "
                          "logs or check-settings"});
  else
    detail::readCommand(Positionals, R);
  detail::checkProxy(Env, R);
  if (!R.Findings.empty())
    return Result<CtlArguments>::failure(std::move(R.Findings));
  return Result<CtlArguments>::success(std::move(R.A));
}

std::string ctlHelp() {
  return "Usage: eelgrassctl [--proxy IP:port] [--json] COMMAND\n"
         "\n"
         "  status                 members, upstreams and primaries as one "
         "proxy sees them\n"
         "  intent FILE.json       state an intent; prints the plan for it\n"
         "  plan FILE.json         the same\n"
         "  plan FLAGS             the same with flags instead of a file:\n"
         "      --leave UPSTREAM   take an upstream out of service; "
         "repeatable\n"
         "      --enter UPSTREAM   put it back into service; repeatable\n"
         "      --class NAME       change a workload class; repeatable, "
         "followed by\n"
         "        --priority urgent|normal|background\n"
         "        --staleness-ms N\n"
         "        --durability term-check|replicated\n"
         "  confirm PLAN           make a plan the configuration in force\n"
         "  timeline               events of all reachable proxies\n"
         "      --database NAME --request ID --session ID --plan ID "
         "--limit N\n"
         "  logs FILE...           merge structured logs of several processes\n"
         "      --request ID --session N --node NAME --database NAME "
         "--promotions\n"
         "      --context-ms N     also state changes within N ms of "
         "selected lines\n"
         "      --limit N --json\n"
         "  check-settings FLAGS   check flags and variables of eelgrassloom\n"
         "\n"
         "  --proxy IP:port        any proxy; default: EELGRASSCTL_PROXY\n"
         "  --json                 print the answer as JSON\n"
         "  --help, --version\n"
         "\n"
         "Exit status: 0 done, 1 refused or failed, 2 bad usage.\n";
}

} // namespace eelgrassloom
