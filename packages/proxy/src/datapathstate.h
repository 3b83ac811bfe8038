/// \file
/// State and helpers that all parts of the data path share.

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

/// DataPath::create sets the pointers and the context once. The state lives as
/// long as any part of the data path.
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

/// Collects calls while a lock is held and makes them after its release.
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

/// A random number other than 0; unique within the fleet for practical
/// purposes.
std::uint64_t randomId();
/// 16 hexadecimal digits.
std::string toHex(std::uint64_t Value);

/// Timeout for opening a connection: a quarter of the failover tolerance, but
/// between 50 ms and 250 ms.
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
