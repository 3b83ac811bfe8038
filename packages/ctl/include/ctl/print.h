/// \file
/// Prints the answers of a proxy as text and tables for operators.

#ifndef EELGRASSLOOM_CTL_PRINT_H
#define EELGRASSLOOM_CTL_PRINT_H

#include "operator.pb.h"
#include <ostream>

namespace eelgrassloom {

void print(std::ostream &Out, const operators::v1::StatusAnswer &A);
void print(std::ostream &Out, const operators::v1::PlanAnswer &A);
void print(std::ostream &Out, const operators::v1::ConfirmAnswer &A);
/// Event times of other proxies are converted to the clock of the answering
/// proxy. The offsets and their errors are printed below the events.
void print(std::ostream &Out, const operators::v1::TimelineAnswer &A);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CTL_PRINT_H
