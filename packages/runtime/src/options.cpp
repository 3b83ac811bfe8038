#include "runtime/options.h"
#include <memory>

namespace eelgrassloom {

std::vector<std::string> parseOptions(int Argc, const char **Argv,
                                      const poptOption *Table,
                                      const OptionHandler &OnOption,
                                      std::vector<Finding> &Findings) {
  std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext(nullptr, Argc, Argv, Table, 0), poptFreeContext);
  for (int Next; (Next = poptGetNextOpt(Context.get())) != -1;) {
    if (Next < -1) {
      Findings.push_back({poptBadOption(Context.get(), 0), poptStrerror(Next),
                          "the flags that --help lists"});
      if (Next != POPT_ERROR_BADOPT && Next != POPT_ERROR_NOARG)
        break;
      continue;
    }
    std::unique_ptr<char, decltype(&free)> Value(poptGetOptArg(Context.get()),
                                                 &free);
    OnOption(Next, Value ? Value.get() : "");
  }
  std::vector<std::string> Positionals;
  while (const char *Word = poptGetArg(Context.get()))
    Positionals.emplace_back(Word);
  return Positionals;
}

} // namespace eelgrassloom
