/// \file
/// Registry of plug-ins. A plug-in registers itself from a static initialiser
/// and is selected by name in the settings.

#ifndef EELGRASSLOOM_KERNEL_REGISTRY_H
#define EELGRASSLOOM_KERNEL_REGISTRY_H

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrassloom {

/// All plug-ins of one kind; \p T is a struct of function pointers.
template <class T> class Registry {
public:
  /// Registers a plug-in. Throws std::logic_error if the name is already
  /// registered. Always returns true, for use in a static initialiser.
  static bool add(std::string Name, T Plugin) {
    if (!table().emplace(std::move(Name), std::move(Plugin)).second)
      throw std::logic_error("plug-in name is already registered");
    return true;
  }

  /// Null if there is no plug-in of that name.
  static const T *find(std::string_view Name) {
    auto It = table().find(Name);
    return It == table().end() ? nullptr : &It->second;
  }

  /// Names of all plug-ins, sorted.
  static std::vector<std::string> names() {
    std::vector<std::string> Names;
    for (const auto &Entry : table())
      Names.push_back(Entry.first);
    return Names;
  }

private:
  static std::map<std::string, T, std::less<>> &table() {
    static std::map<std::string, T, std::less<>> Table;
    return Table;
  }
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_REGISTRY_H
