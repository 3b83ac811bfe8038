/// \file
/// Keys of the store whose values are not used.

#ifndef EELGRASSLOOM_CONTROL_REJECTEDINPUTS_H
#define EELGRASSLOOM_CONTROL_REJECTEDINPUTS_H

#include "control/store.h"
#include "engine/events.h"
#include <map>

namespace eelgrassloom {

/// Logs each of them once for each change of it: they are read again and again.
class RejectedInputs {
public:
  explicit RejectedInputs(EventWriter &Events) : Events(Events) {}

  void log(const StoreItem &Item, const std::vector<Finding> &Findings);

private:
  EventWriter &Events;
  std::map<std::string, std::uint64_t, std::less<>> Revisions;
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_CONTROL_REJECTEDINPUTS_H
