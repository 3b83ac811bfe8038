/// \file
/// Human-readable form of the answers.

#ifndef EELGRASSLOOM_CTL_PRINT_H
#define EELGRASSLOOM_CTL_PRINT_H

#include "operator.pb.h"
#include <ostream>

namespace eelgrassloom {

void print(std::ostream &Out, const operators::v1::StatusAnswer &A);
void print(std::ostream &Out, const operators::v1::PlanAnswer &A);
void print(std::ostream &Out, const operators::v1::ConfirmAnswer &A);
/// Times are shown on the clock of the answering proxy.
void print(std::ostream &Out, const operators::v1::TimelineAnswer &A);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CTL_PRINT_H
