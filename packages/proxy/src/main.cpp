#include "runtime/settings.h"
#include <cstdio>

using namespace eelgrassloom;

int main(int Argc, const char **Argv, char **Envp) {
  auto Parsed = parseSettings(Argc, Argv, environmentOf(Envp));
  if (!Parsed) {
    std::fprintf(stderr, "%s\n", toString(Parsed.findings()).c_str());
    return 2;
  }
  return 0;
}
