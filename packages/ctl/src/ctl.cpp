#include "ctl/ctl.h"
#include "ctl/arguments.h"
#include "ctl/logs.h"
#include "ctl/print.h"
#include "operator.grpc.pb.h"
#include "runtime/escape.h"
#include <cstring>
#include <google/protobuf/util/json_util.h>
#include <grpcpp/grpcpp.h>

namespace eelgrassloom {
namespace detail {
namespace {

/// Deadline of a call to the proxy. A confirmation takes several calls of the
/// proxy to the platform, each of which may take up to 2 s.
constexpr std::chrono::seconds CallTimeout{15};

/// Prints an answer as text or, with --json, as JSON.
template <class Answer>
void show(const CtlArguments &A, const Answer &Value, std::ostream &Out) {
  if (!A.Json) {
    print(Out, Value);
    return;
  }
  google::protobuf::util::JsonPrintOptions Options;
  Options.add_whitespace = true;
  Options.always_print_primitive_fields = true;
  std::string Text;
  auto Status =
      google::protobuf::util::MessageToJsonString(Value, &Text, Options);
  if (!Status.ok())
    throw std::runtime_error(std::string(Status.message()));
  Out << Text;
}

/// Calls one method of the operator service and prints the answer. \p IsDone
/// tells whether the proxy accepted the request.
template <class Request, class Answer, class Method, class Accepted>
CtlExit call(const CtlArguments &A, const Request &In, Method Call,
             Accepted IsDone, std::ostream &Out, std::ostream &Err) {
  auto Stub = operators::v1::Operator::NewStub(
      grpc::CreateChannel(A.Proxy, grpc::InsecureChannelCredentials()));
  grpc::ClientContext Context;
  Context.set_deadline(std::chrono::system_clock::now() + CallTimeout);
  Answer Value;
  grpc::Status S = ((*Stub).*Call)(&Context, In, &Value);
  if (!S.ok()) {
    Err << "proxy " << A.Proxy
        << " does not answer: " << escapeText(S.error_message()) << "\n";
    return CtlExit::Failed;
  }
  show(A, Value, Out);
  return IsDone(Value) ? CtlExit::Done : CtlExit::Failed;
}

CtlExit run(const CtlArguments &A, std::ostream &Out, std::ostream &Err) {
  using operators::v1::Operator;
  auto Always = [](const auto &) { return true; };
  switch (A.Command) {
  case CtlCommand::Help:
    Out << ctlHelp();
    return CtlExit::Done;
  case CtlCommand::Version:
    Out << "eelgrassctl " EELGRASSLOOM_VERSION "\n";
    return CtlExit::Done;
  case CtlCommand::Status:
    return call<operators::v1::StatusRequest, operators::v1::StatusAnswer>(
        A, {}, &Operator::Stub::Status, Always, Out, Err);
  case CtlCommand::Plan:
    return call<operators::v1::Intent, operators::v1::PlanAnswer>(
        A, A.Intent, &Operator::Stub::Plan,
        [](const auto &Value) { return !Value.plan_id().empty(); }, Out, Err);
  case CtlCommand::Confirm: {
    operators::v1::ConfirmRequest Request;
    Request.set_plan_id(A.Plan);
    return call<operators::v1::ConfirmRequest, operators::v1::ConfirmAnswer>(
        A, Request, &Operator::Stub::Confirm,
        [](const auto &Value) {
          return Value.outcome() == operators::v1::CONFIRM_OUTCOME_ACCEPTED;
        },
        Out, Err);
  }
  case CtlCommand::Timeline:
    return call<operators::v1::TimelineRequest, operators::v1::TimelineAnswer>(
        A, A.Timeline, &Operator::Stub::Timeline, Always, Out, Err);
  }
  return CtlExit::BadUsage;
}

CtlExit checkSettings(int Argc, const char **Argv, const Environment &Env,
                      std::ostream &Out, std::ostream &Err) {
  auto Parsed = parseSettings(Argc, Argv, Env);
  if (!Parsed) {
    Err << toString(Parsed.findings()) << "\n";
    return CtlExit::BadUsage;
  }
  Out << "settings are valid\n";
  return CtlExit::Done;
}

} // namespace
} // namespace detail

CtlExit runCtl(int Argc, const char **Argv, const Environment &Env,
               std::ostream &Out, std::ostream &Err) {
  // check-settings takes the flags of eelgrassloom, which the parser of
  // eelgrassctl does not know.
  if (Argc > 1 && std::strcmp(Argv[1], "check-settings") == 0)
    return detail::checkSettings(Argc - 1, Argv + 1, Env, Out, Err);
  // logs reads files and needs no address of a proxy.
  if (Argc > 1 && std::strcmp(Argv[1], "logs") == 0)
    return runLogs(Argc - 1, Argv + 1, Out, Err);
  auto Parsed = parseCtlArguments(Argc, Argv, Env);
  if (!Parsed) {
    Err << toString(Parsed.findings()) << "\n"
        << "eelgrassctl --help lists commands and flags\n";
    return CtlExit::BadUsage;
  }
  return detail::run(Parsed.value(), Out, Err);
}

} // namespace eelgrassloom
