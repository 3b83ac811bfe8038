/// \file
/// Parser for command lines, shared by the programs. It wraps popt and reports
/// all errors together.

#ifndef EELGRASSLOOM_RUNTIME_OPTIONS_H
#define EELGRASSLOOM_RUNTIME_OPTIONS_H

#include "kernel/result.h"
#include <charconv>
#include <cstdint>
#include <functional>
#include <optional>
#include <popt.h>
#include <string>
#include <vector>

namespace eelgrassloom {

/// Called for each option with its id from the table and its value. The value
/// is empty if the option takes none.
using OptionHandler = std::function<void(int Id, const std::string &Value)>;

/// Parses all options of \p Table and returns the positional arguments. Unknown
/// options and missing values are added to \p Findings. After any other error
/// of popt, which is a finding too, the rest is not parsed.
std::vector<std::string> parseOptions(int Argc, const char **Argv,
                                      const poptOption *Table,
                                      const OptionHandler &OnOption,
                                      std::vector<Finding> &Findings);

/// Parses the whole text as an unsigned number; empty if it is not one or does
/// not fit the type.
template <class Number = std::uint32_t>
std::optional<Number> parseNumber(const std::string &Text) {
  static_assert(std::is_unsigned_v<Number>);
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End || Text.empty())
    return std::nullopt;
  return Value;
}

} // namespace eelgrassloom

#endif // EELGRASSLOOM_RUNTIME_OPTIONS_H
