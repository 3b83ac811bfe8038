/// \file
/// Command line of eelgrassctl.

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

struct CtlArguments {
  CtlCommand Command = CtlCommand::Help;
  /// IP:port of the proxy to ask.
  std::string Proxy;
  /// Print the answer as JSON.
  bool Json = false;
  operators::v1::Intent Intent;
  std::string Plan;
  operators::v1::TimelineRequest Timeline;
};

/// Reads and checks all arguments; an intent file is read here.
Result<CtlArguments> parseCtlArguments(int Argc, const char **Argv,
                                       const Environment &Env);

std::string ctlHelp();

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CTL_ARGUMENTS_H
