/// \file
/// Options of a command line.

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

/// Called with the id of an option and its value, which is empty for an option
/// without one.
using OptionHandler = std::function<void(int Id, const std::string &Value)>;

/// Reads all options of \p Table and returns the words between them. Whatever
/// is wrong with them is added to \p Findings.
std::vector<std::string> parseOptions(int Argc, const char **Argv,
                                      const poptOption *Table,
                                      const OptionHandler &OnOption,
                                      std::vector<Finding> &Findings);

/// The whole text as a number without sign; empty if it is none.
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
