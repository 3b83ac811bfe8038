/// \file
/// Bytes that may stand in the fields of a line.

#ifndef EELGRASSLOOM_WIRE_SAMPLES_H
#define EELGRASSLOOM_WIRE_SAMPLES_H

#include <random>
#include <string>
#include <vector>

namespace eelgrassloom::wiretest {

/// Values of a last field.
const std::vector<std::string> &lastFieldSamples();
/// Values of a field that others follow: without blanks.
const std::vector<std::string> &fieldSamples();
/// Random bytes for a last field: at most \p MaxBytes, at least one, and
/// without CR LF. Most are line ends, blanks and parts of messages.
std::string randomLastField(std::mt19937_64 &Random, std::size_t MaxBytes);
/// The same without blanks.
std::string randomField(std::mt19937_64 &Random, std::size_t MaxBytes);

} // namespace eelgrassloom::wiretest

#endif // EELGRASSLOOM_WIRE_SAMPLES_H
