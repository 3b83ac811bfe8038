#include "process.h"
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <sstream>
#include <sys/prctl.h>

namespace eelgrassloom::standin {

Flags readFlags(int Argc, const char **Argv, Flags Defaults) {
  std::vector<std::string> Names;
  std::vector<poptOption> Options;
  for (const auto &Entry : Defaults)
    Names.push_back(Entry.first);
  for (std::size_t I = 0; I < Names.size(); ++I)
    Options.push_back({Names[I].c_str(), 0, POPT_ARG_STRING, nullptr,
                       static_cast<int>(I + 1), nullptr, nullptr});
  Options.push_back({nullptr, 0, 0, nullptr, 0, nullptr, nullptr});
  std::unique_ptr<std::remove_pointer_t<poptContext>,
                  poptContext (*)(poptContext)>
      Context(poptGetContext(nullptr, Argc, Argv, Options.data(), 0),
              poptFreeContext);
  int Next = 0;
  while ((Next = poptGetNextOpt(Context.get())) > 0) {
    std::unique_ptr<char, decltype(&free)> Value(poptGetOptArg(Context.get()),
                                                 &free);
    Defaults[Names[static_cast<std::size_t>(Next - 1)]] =
        Value ? Value.get() : "";
  }
  if (Next < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(Context.get(), 0),
                 poptStrerror(Next));
    std::exit(2);
  }
  return Defaults;
}

std::map<std::string, std::string> readAddressMap(const std::string &Text) {
  std::map<std::string, std::string> Map;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');) {
    auto Equals = Part.find('=');
    if (Equals != std::string::npos)
      Map[Part.substr(0, Equals)] = Part.substr(Equals + 1);
  }
  return Map;
}

namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

void prepareProcess() {
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // The default timer slack of 50 us would lengthen simulated service
  // times below 1 ms.
  prctl(PR_SET_TIMERSLACK, 1000UL);
}

void waitForStop() {
  sigset_t Signals = stopSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

int serve(const std::string &Listen,
          const std::vector<grpc::Service *> &Services) {
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort(Listen, grpc::InsecureServerCredentials(), &Port);
  // With SO_REUSEPORT, two servers on one port would both appear to start.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  for (grpc::Service *S : Services)
    Builder.RegisterService(S);
  std::unique_ptr<grpc::Server> Server = Builder.BuildAndStart();
  if (!Server || Port == 0) {
    std::fprintf(stderr, "cannot listen on %s\n", Listen.c_str());
    return 1;
  }
  waitForStop();
  Server->Shutdown(std::chrono::system_clock::now());
  return 0;
}

} // namespace eelgrassloom::standin
