/// \file
/// Command line, signals and gRPC server of a simulated process.

#ifndef EELGRASSLOOM_STANDIN_PROCESS_H
#define EELGRASSLOOM_STANDIN_PROCESS_H

#include <grpcpp/grpcpp.h>
#include <map>
#include <string>
#include <vector>

namespace eelgrassloom::standin {

/// Values of command-line flags, by name.
using Flags = std::map<std::string, std::string>;

/// Reads --NAME=VALUE flags for the names in \p Defaults, which hold the values
/// of absent flags. Exits with status 2 on a flag that is not listed.
Flags readFlags(int Argc, const char **Argv, Flags Defaults);

/// Parses FROM=TO pairs separated by commas.
std::map<std::string, std::string> readAddressMap(const std::string &Text);

/// Blocks SIGTERM and SIGINT so that waitForStop can receive them. Must be
/// called before any thread starts, since threads inherit the signal mask.
void prepareProcess();
/// Waits until SIGTERM or SIGINT arrives.
void waitForStop();

/// Serves until SIGTERM or SIGINT. Returns the exit status: 1 if \p Listen
/// can't be bound.
int serve(const std::string &Listen,
          const std::vector<grpc::Service *> &Services);

} // namespace eelgrassloom::standin

#endif // EELGRASSLOOM_STANDIN_PROCESS_H
