#include "samples.h"
#include <algorithm>
#include <array>
#include <string_view>

namespace eelgrassloom::wiretest {

using namespace std::string_literals;

namespace {

/// Parts of random fields.
constexpr std::array<std::string_view, 14> Parts = {
    "\n",  "\r",  " ",     "\t",   "\xff", "DONE 9.9", "READY I 1.1",
    "ROW", "ERR", "QUERY", "EXEC", "-",    "\n\r",     "x"};

} // namespace

const std::vector<std::string> &lastFieldSamples() {
  static const std::vector<std::string> Samples = {
      "plain",
      "v64\nw",
      "ends in LF\n",
      "\nstarts with LF",
      "\n",
      "v\rw",
      "ends in CR\r",
      "\r",
      "\r\r",
      "\n\r",
      "a\0b"s,
      "\0"s,
      "\xff\xfe\x80",
      " ",
      " leading",
      "trailing ",
      "two  blanks",
      "v b ERR BUSY -",
      "\nDONE 9.9\nREADY I 1.1",
      "x\nERR BUSY -\nREADY I 1.1\n",
      "\nREADY I 1.1",
      "\nQUERY - SET a b",
      "x\nQUERY 77 WRITE k smuggled\n",
      "\nBYE\n",
      "DONE -",
      "ERR",
      "-",
      "a\tb\x7f",
  };
  return Samples;
}

const std::vector<std::string> &fieldSamples() {
  static const std::vector<std::string> Samples = {
      "plain", "a\nb", "a\n",   "\nb",       "\n",     "a\rb",
      "a\r",   "\r",   "a\0b"s, "\xff\xfe",  "\t",     "READ",
      "DONE",  "ERR",  "-x",    "\nREADY\n", "\nBYE\n"};
  return Samples;
}

std::string randomLastField(std::mt19937_64 &Random, std::size_t MaxBytes) {
  std::string Out;
  std::size_t Length = 1 + Random() % MaxBytes;
  while (Out.size() < Length) {
    if (Random() % 2 == 0)
      Out += Parts[Random() % Parts.size()];
    else
      Out += static_cast<char>(Random() % 256);
  }
  Out.resize(Length);
  for (std::size_t End = 0; (End = Out.find("\r\n", End)) != std::string::npos;)
    Out[End] = 'c';
  return Out;
}

std::string randomField(std::mt19937_64 &Random, std::size_t MaxBytes) {
  std::string Out = randomLastField(Random, MaxBytes);
  std::replace(Out.begin(), Out.end(), ' ', '_');
  return Out;
}

} // namespace eelgrassloom::wiretest
