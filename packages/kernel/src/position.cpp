#include "kernel/position.h"
#include <algorithm>

namespace eelgrassloom {

std::string formatPosition(const Position &P) {
  return std::to_string(P.Term) + "." + std::to_string(P.Index);
}

Lineage lineage(const TermHistory &History, Position P) {
  if (P.Index == 0)
    return Lineage::InHistory;
  auto Later =
      std::find_if(History.begin(), History.end(),
                   [&](const TermStart &T) { return T.Term > P.Term; });
  if (Later != History.end() && Later->Start < P.Index)
    return Lineage::Lost;
  auto Own = std::find_if(History.begin(), History.end(),
                          [&](const TermStart &T) { return T.Term == P.Term; });
  if (Own != History.end())
    return Own->Start <= P.Index ? Lineage::InHistory : Lineage::Lost;
  return Later == History.end() ? Lineage::Ahead : Lineage::Lost;
}

bool contains(const TermHistory &History, Position Applied, Position P) {
  return lineage(History, P) == Lineage::InHistory && Applied.Index >= P.Index;
}

} // namespace eelgrassloom
