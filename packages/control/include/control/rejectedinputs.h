/// \file
/// Log of store keys whose values are invalid and not used.

#ifndef EELGRASSLOOM_CONTROL_REJECTEDINPUTS_H
#define EELGRASSLOOM_CONTROL_REJECTEDINPUTS_H

#include "control/store.h"
#include "engine/events.h"
#include <map>

namespace eelgrassloom {

/// Logs each invalid value once for each revision of its key, because the same
/// keys are read again and again.
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
