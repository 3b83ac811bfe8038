#include "kernel/result.h"

namespace eelgrassloom {

std::string toString(const std::vector<Finding> &Findings) {
  std::string Text;
  for (const Finding &F : Findings) {
    if (!Text.empty())
      Text += '\n';
    Text +=
        F.Place + ": \"" + F.Value + "\" is not valid; allowed: " + F.Allowed;
  }
  return Text;
}

} // namespace eelgrassloom
