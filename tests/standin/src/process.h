/// \file
/// Command line and life of a simulated process.

#ifndef EELGRASSLOOM_STANDIN_PROCESS_H
#define EELGRASSLOOM_STANDIN_PROCESS_H

#include <grpcpp/grpcpp.h>
#include <map>
#include <string>
#include <vector>

namespace eelgrassloom::standin {

using Flags = std::map<std::string, std::string>;

/// Reads --NAME=VALUE flags over \p Defaults; exits with status 2 on others.
Flags readFlags(int Argc, const char **Argv, Flags Defaults);

/// Reads FROM=TO pairs that are separated by commas.
std::map<std::string, std::string> readAddressMap(const std::string &Text);

/// Blocks SIGTERM and SIGINT for waitForStop; called before threads start.
void prepareProcess();
void waitForStop();

/// Serves until SIGTERM or SIGINT; returns the exit status.
int serve(const std::string &Listen,
          const std::vector<grpc::Service *> &Services);

} // namespace eelgrassloom::standin

#endif // EELGRASSLOOM_STANDIN_PROCESS_H
