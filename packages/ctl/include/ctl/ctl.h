/// \file
/// Entry point of eelgrassctl as a function, so that tests can call it.

#ifndef EELGRASSLOOM_CTL_CTL_H
#define EELGRASSLOOM_CTL_CTL_H

#include "runtime/settings.h"
#include <ostream>

namespace eelgrassloom {

/// Exit status of eelgrassctl.
enum class CtlExit : int {
  Done = 0,
  /// The proxy refused the request or did not answer, or a file could not be
  /// read.
  Failed = 1,
  /// The arguments or settings are invalid.
  BadUsage = 2,
};

/// Runs one command. Answers are written to \p Out, errors to \p Err.
CtlExit runCtl(int Argc, const char **Argv, const Environment &Env,
               std::ostream &Out, std::ostream &Err);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CTL_CTL_H
