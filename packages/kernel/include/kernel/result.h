/// \file
/// A value, or the findings that explain why there is none.

#ifndef EELGRASSLOOM_KERNEL_RESULT_H
#define EELGRASSLOOM_KERNEL_RESULT_H

#include <cstddef>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace eelgrassloom {

/// One invalid value in an input.
struct Finding {
  /// Flag, environment variable, key or path of the value.
  std::string Place;
  /// The value as it was found.
  std::string Value;
  /// Description of the allowed values.
  std::string Allowed;

  bool operator==(const Finding &Other) const = default;
};

/// Formats findings one per line.
std::string toString(const std::vector<Finding> &Findings);

/// Either a value or at least one finding.
template <class T> class Result {
public:
  static Result success(T Value) {
    return Result(std::in_place_index<0>, std::move(Value));
  }
  static Result failure(std::vector<Finding> Findings) {
    return Result(std::in_place_index<1>, std::move(Findings));
  }

  bool ok() const { return State.index() == 0; }
  explicit operator bool() const { return ok(); }

  /// Throws std::runtime_error with the text of the findings if there is no
  /// value.
  const T &value() const & {
    check();
    return std::get<0>(State);
  }
  T &&value() && {
    check();
    return std::move(std::get<0>(State));
  }
  /// Must be called only if there is no value.
  const std::vector<Finding> &findings() const { return std::get<1>(State); }

private:
  template <std::size_t Index, class Content>
  Result(std::in_place_index_t<Index> Alternative, Content Value)
      : State(Alternative, std::move(Value)) {}

  void check() const {
    if (!ok())
      throw std::runtime_error(toString(findings()));
  }

  std::variant<T, std::vector<Finding>> State;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_RESULT_H
