/// \file
/// The eelgrassctl program.

#include "ctl/ctl.h"
#include <exception>
#include <iostream>

int main(int Argc, const char **Argv, char **Envp) {
  using namespace eelgrassloom;
  try {
    return static_cast<int>(
        runCtl(Argc, Argv, environmentOf(Envp), std::cout, std::cerr));
  } catch (const std::exception &E) {
    std::cerr << E.what() << "\n";
    return static_cast<int>(CtlExit::Failed);
  }
}
