/// \file
/// The eelgrassctl program as a function.

#ifndef EELGRASSLOOM_CTL_CTL_H
#define EELGRASSLOOM_CTL_CTL_H

#include "runtime/settings.h"
#include <ostream>

namespace eelgrassloom {

enum class CtlExit : int {
  Done = 0,
  /// Refused by the proxy, or the proxy does not answer.
  Failed = 1,
  BadUsage = 2,
};

/// Runs one command. Answers go to \p Out, faults to \p Err.
CtlExit runCtl(int Argc, const char **Argv, const Environment &Env,
               std::ostream &Out, std::ostream &Err);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CTL_CTL_H
