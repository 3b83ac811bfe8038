/// \file
/// Seeded changes of valid messages, for tests of decoders.

#ifndef EELGRASSLOOM_TESTS_MUTATION_H
#define EELGRASSLOOM_TESTS_MUTATION_H

#include <random>
#include <string>

namespace eelgrassloom::test {

using Random = std::mt19937_64;

/// Flips a bit, sets, drops, doubles or inserts a byte, doubles a part, or cuts
/// the end.
inline void mutateOnce(std::string &Bytes, Random &Source) {
  std::size_t At = Bytes.empty() ? 0 : Source() % Bytes.size();
  auto Byte = static_cast<char>(Source());
  if (Bytes.empty()) {
    Bytes += Byte;
    return;
  }
  switch (Source() % 7) {
  case 0:
    Bytes[At] = static_cast<char>(Bytes[At] ^ (1 << (Source() % 8)));
    break;
  case 1:
    Bytes[At] = Byte;
    break;
  case 2:
    Bytes.erase(At, 1);
    break;
  case 3:
    Bytes.insert(At, 1, Bytes[At]);
    break;
  case 4:
    Bytes.insert(At, 1, Byte);
    break;
  case 5:
    Bytes.insert(At, Bytes.substr(At, Source() % 16));
    break;
  default:
    Bytes.resize(At);
  }
}

/// A copy of \p Bytes with one to four changes.
inline std::string mutated(std::string Bytes, Random &Source) {
  for (std::size_t Count = 1 + Source() % 4; Count > 0; --Count)
    mutateOnce(Bytes, Source);
  return Bytes;
}

} // namespace eelgrassloom::test

#endif // EELGRASSLOOM_TESTS_MUTATION_H
