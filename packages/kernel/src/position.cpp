#include "kernel/position.h"
#include <algorithm>

namespace eelgrassloom {

Lineage lineage(const History &Line, Position P) {
  if (P.Index == 0)
    return Lineage::OnLine;
  auto Later = std::find_if(Line.begin(), Line.end(), [&](const TermStart &T) {
    return T.Term > P.Term;
  });
  if (Later != Line.end() && Later->Start < P.Index)
    return Lineage::Lost;
  auto Own = std::find_if(Line.begin(), Line.end(),
                          [&](const TermStart &T) { return T.Term == P.Term; });
  if (Own != Line.end())
    return Own->Start <= P.Index ? Lineage::OnLine : Lineage::Lost;
  return Later == Line.end() ? Lineage::NotYet : Lineage::Lost;
}

bool contains(const History &Line, Position Applied, Position P) {
  return lineage(Line, P) == Lineage::OnLine && Applied.Index >= P.Index;
}

} // namespace eelgrassloom
