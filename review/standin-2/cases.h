/// \file
/// The review cases.

#ifndef REVIEW_CASES_H
#define REVIEW_CASES_H

#include <string>

namespace review {

/// Runs the case; returns the exit status of the program.
int runCase(const std::string &Name, const std::string &Program,
            const std::string &Directory, bool Trouble);

} // namespace review

#endif // REVIEW_CASES_H
