#include "control/rejectedinputs.h"

namespace eelgrassloom {
namespace detail {

/// Maximum number of keys whose logged revision is remembered. When it is
/// reached, all are forgotten, and their values may be logged again.
constexpr std::size_t MaxRejectedInputs = 1000;

} // namespace detail

void RejectedInputs::log(const StoreItem &Item,
                         const std::vector<Finding> &Findings) {
  if (Revisions.size() >= detail::MaxRejectedInputs)
    Revisions.clear();
  auto [It, New] = Revisions.emplace(Item.Key, Item.Revision);
  if (!New && It->second == Item.Revision)
    return;
  It->second = Item.Revision;
  Events.write(EngineEvent::InputRejected,
               {{"key", Item.Key}, {"findings", toString(Findings)}});
}

} // namespace eelgrassloom
