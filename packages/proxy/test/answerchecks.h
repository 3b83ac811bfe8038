/// \file
/// Checks of the answers to requests of callers.

#ifndef EELGRASSLOOM_PROXY_TEST_ANSWERCHECKS_H
#define EELGRASSLOOM_PROXY_TEST_ANSWERCHECKS_H

#include "caller.pb.h"
#include <doctest/doctest.h>
#include <string>

namespace eelgrassloom::testing {

inline std::string describe(const caller::v1::RunAnswer &A) {
  return Outcome_Name(A.outcome()) + " " + Reason_Name(A.reason()) + " " +
         A.message();
}

inline void expect(const caller::v1::RunAnswer &A, caller::v1::Outcome O,
                   caller::v1::Reason R) {
  CAPTURE(describe(A));
  CHECK(A.outcome() == O);
  CHECK(A.reason() == R);
}

} // namespace eelgrassloom::testing

#endif // EELGRASSLOOM_PROXY_TEST_ANSWERCHECKS_H
