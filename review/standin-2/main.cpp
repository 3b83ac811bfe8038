// Runs one review case: review-2 CASE PROGRAM DIRECTORY. Writes record.txt to
// the directory. With TROUBLE=0 in the environment the disruption is left out.
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't
// run.

#include "cases.h"
#include "common.h"
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <unistd.h>

using namespace review;

int main(int Argc, char **Argv) {
  if (Argc != 4) {
    std::fprintf(stderr, "usage: %s CASE PROGRAM DIRECTORY\n", Argv[0]);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char *Setting = std::getenv("TROUBLE");
  bool Trouble = Setting == nullptr || std::strcmp(Setting, "0") != 0;
  openRecord(Argv[3]);
  std::string Temporary =
      (std::filesystem::temp_directory_path() /
       ("review-2-" + std::string(Argv[1]) + "-" + std::to_string(getpid())))
          .string();
  int Status = 2;
  try {
    Status = runCase(Argv[1], Argv[2], Temporary, Trouble);
  } catch (const std::exception &E) {
    std::fprintf(stderr, "%s\n", E.what());
    record(std::string("the case could not run: ") + E.what());
  }
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Temporary);
  else
    std::printf("logs: %s\n", Temporary.c_str());
  return Status;
}
