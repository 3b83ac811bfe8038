/// \file
/// What the pieces of the data path share.

#ifndef EELGRASSLOOM_PROXY_DATAPATHSTATE_H
#define EELGRASSLOOM_PROXY_DATAPATHSTATE_H

#include "kernel/admission.h"
#include "kernel/routing.h"
#include "observations.h"
#include "proxy/datapath.h"
#include "proxy/timer.h"
#include "stalenesstracker.h"
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassloom::detail {

/// Set once by DataPath::create; lives as long as any piece.
struct DataPathState {
  DataPathContext Context;
  const RoutingPolicy *Routing = nullptr;
  const PriorityPolicy *Admission = nullptr;
  Observations Observed;
  StalenessTracker StalenessBounds;

  Instant now() const { return Context.Time->now(); }
  Timer &timers() const { return *Context.Timers; }
  const UpstreamAdapter &adapter() const { return *Context.Upstreams; }
  std::shared_ptr<const Snapshot> snapshot() const {
    return Context.Snapshots->load();
  }
};
using DataPathStateRef = std::shared_ptr<DataPathState>;

/// Calls to make once no lock is held.
class Deferred {
public:
  void add(std::function<void()> Call) { Calls.push_back(std::move(Call)); }
  void run() {
    for (auto &Call : std::exchange(Calls, {}))
      Call();
  }

private:
  std::vector<std::function<void()>> Calls;
};

/// Random, unique within the fleet for practical purposes.
std::uint64_t randomId();
std::string toHex(std::uint64_t Value);

/// Time allowed for opening a connection.
Duration connectTimeout(const Settings &S);

/// Opens a connection and reports the attempt to the observer. \p Done runs
/// once, with null unless the upstream accepted the connection.
void openConnection(
    const DataPathStateRef &P, const Upstream &Target,
    const std::string &Database,
    std::function<void(std::shared_ptr<UpstreamConnection>, UpstreamReply)>
        Done);

} // namespace eelgrassloom::detail

#endif // EELGRASSLOOM_PROXY_DATAPATHSTATE_H
