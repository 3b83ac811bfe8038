#include "kernel/model.h"
#include <algorithm>

namespace eelgrassloom {
namespace detail {

template <class Enum, std::size_t N>
std::optional<Enum> parseName(const std::array<std::string_view, N> &Names,
                              std::string_view Name) {
  auto It = std::find(Names.begin(), Names.end(), Name);
  if (It == Names.end())
    return std::nullopt;
  return static_cast<Enum>(It - Names.begin());
}

template <class T, class Key>
const T *findBy(const std::vector<T> &Items, Key T::*Member,
                std::string_view Value) {
  auto It = std::find_if(Items.begin(), Items.end(),
                         [&](const T &Item) { return Item.*Member == Value; });
  return It == Items.end() ? nullptr : &*It;
}

} // namespace detail

std::optional<Priority> parsePriority(std::string_view Name) {
  return detail::parseName<Priority>(PriorityNames, Name);
}

std::optional<Durability> parseDurability(std::string_view Name) {
  return detail::parseName<Durability>(DurabilityNames, Name);
}

const WorkloadClass *findClass(const Configuration &C, std::string_view Name) {
  return detail::findBy(C.Classes, &WorkloadClass::Name, Name);
}

const Database *findDatabase(const Configuration &C, std::string_view Name) {
  return detail::findBy(C.Databases, &Database::Name, Name);
}

const Upstream *findUpstream(const Database &D, std::string_view Id) {
  return detail::findBy(D.Upstreams, &Upstream::Id, Id);
}

} // namespace eelgrassloom
