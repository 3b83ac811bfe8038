/// \file
/// Entry point of the eelgrassloom program.

#include "proxy/process.h"
#include "runtime/settings.h"
#include <csignal>
#include <cstdio>
#include <exception>
#include <glog/logging.h>

using namespace eelgrassloom;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// Signals that stop the process. All threads block them; waitForSignal()
/// receives them.
sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

void waitForSignal() {
  sigset_t Set = stopSignals();
  int Signal = 0;
  sigwait(&Set, &Signal);
}

void startLogs(const char *Program) {
  // Logs go to stderr; the environment of a diskless host collects them.
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Program);
}

int run(const Settings &Options) {
  sigset_t Set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  try {
    runProxy(Options, waitForSignal);
    return 0;
  } catch (const std::exception &E) {
    LOG(ERROR) << E.what();
    return ExitFailed;
  }
}

} // namespace

int main(int Argc, const char **Argv, char **Envp) {
  auto Parsed = parseSettings(Argc, Argv, environmentOf(Envp));
  if (!Parsed) {
    std::fprintf(stderr, "%s\n", toString(Parsed.findings()).c_str());
    return ExitUsage;
  }
  switch (Parsed.value().Command) {
  case SettingsCommand::Help:
    std::fputs(settingsHelp().c_str(), stdout);
    return 0;
  case SettingsCommand::Version:
    std::puts("eelgrassloom " EELGRASSLOOM_VERSION);
    return 0;
  case SettingsCommand::Check:
    std::puts("settings are valid");
    return 0;
  case SettingsCommand::Run:
    break;
  }
  startLogs(Argv[0]);
  return run(Parsed.value().Values);
}
