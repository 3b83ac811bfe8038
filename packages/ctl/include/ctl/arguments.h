/// \file
/// Parser for the command line of eelgrassctl. The commands logs and
/// check-settings have parsers of their own.

#ifndef EELGRASSLOOM_CTL_ARGUMENTS_H
#define EELGRASSLOOM_CTL_ARGUMENTS_H

#include "kernel/result.h"
#include "operator.pb.h"
#include "runtime/settings.h"
#include <string>

namespace eelgrassloom {

enum class CtlCommand : unsigned char {
  Help,
  Version,
  Status,
  Plan,
  Confirm,
  Timeline,
};

/// Parsed command line; the command determines which fields apply.
struct CtlArguments {
  CtlCommand Command = CtlCommand::Help;
  /// IP:port of the proxy that receives the request.
  std::string Proxy;
  /// Print the answer as JSON.
  bool Json = false;
  /// Plan: the intent to plan for.
  operators::v1::Intent Intent;
  /// Confirm: id of the plan.
  std::string Plan;
  /// Timeline: the filter for events.
  operators::v1::TimelineRequest Timeline;
};

/// Parses and checks all arguments, and reads the intent file if one is given.
/// All findings are reported together.
Result<CtlArguments> parseCtlArguments(int Argc, const char **Argv,
                                       const Environment &Env);

/// The text of --help.
std::string ctlHelp();

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CTL_ARGUMENTS_H
