/// \file
/// Starts the processes of a topology for the demo, the benchmarks and the
/// tests, and stops them: proxies, and stand-ins for the platform, the
/// upstreams and the network. The loopback address is derived from the process
/// id, so that fleets of parallel tests don't share a port.

#ifndef EELGRASSLOOM_FLEET_FLEET_H
#define EELGRASSLOOM_FLEET_FLEET_H

#include "config.pb.h"
#include "operator.grpc.pb.h"
#include "standin.grpc.pb.h"
#include <chrono>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <sys/types.h>
#include <vector>

namespace eelgrassloom::fleet {

/// A proxy of a topology.
struct ProxySpec {
  std::string Id;
  std::string FailureDomain;
  /// False for a proxy that a test starts later with startProxy.
  bool Start = true;
};

/// Processes of a fleet and how they are connected.
struct Topology {
  /// The fleet fills in the addresses of the upstreams. The first upstream of a
  /// database starts as its primary.
  config::v1::Configuration Config;
  std::vector<ProxySpec> Proxies;
  /// Additional flags of every proxy.
  std::vector<std::string> ProxyFlags;
  /// Additional flags of every upstream.
  std::vector<std::string> UpstreamFlags;
  /// One-way delays that the relay adds between failure domains, and between
  /// callers and proxies.
  unsigned DomainDelayUs = 0;
  unsigned CallerDelayUs = 0;
  /// Service time of a statement in an upstream.
  unsigned ServiceUs = 1000;
  /// Whether links between processes go through the relay of the simulated
  /// network. Without it links can't be delayed, cut or made unresponsive.
  bool Relay = true;
  /// Whether the configuration and the primary records are written to the
  /// platform before the proxies start.
  bool Configured = true;
};

/// Databases named db1, db2, ... with three upstreams each, placed on the
/// failure domains in turn, and the workload classes urgent, normal and
/// background.
config::v1::Configuration
makeConfiguration(const std::vector<std::string> &FailureDomains,
                  unsigned Databases, unsigned Slots);

/// Reads examples/NAME.json with only its first \p Databases databases; throws
/// std::runtime_error if the file is not a valid configuration.
config::v1::Configuration exampleConfiguration(const std::string &Name,
                                               int Databases = 3);

/// Channel with a TCP connection of its own, not shared with other channels.
std::shared_ptr<grpc::Channel> makeChannel(const std::string &Address);

/// Filters for all links between two failure domains, and to one address.
standin::v1::LinkFilter linksBetween(const std::string &DomainA,
                                     const std::string &DomainB);
standin::v1::LinkFilter linksTo(const std::string &Address);

/// Checks \p Condition repeatedly until it holds; returns false after
/// \p Timeout.
bool eventually(std::chrono::milliseconds Timeout,
                const std::function<bool()> &Condition);

/// Failure domain names of the relay for the platform and for callers.
inline constexpr const char *PlatformDomain = "platform";
inline constexpr const char *CallerDomain = "callers";

/// Running processes of a topology. Processes are named "platform", "network",
/// and by their proxy or upstream id.
class Fleet {
public:
  /// Throws std::runtime_error if a process can't be started or a stand-in does
  /// not answer.
  explicit Fleet(Topology T);
  /// Kills the processes that still run, by their ids, and removes their logs
  /// unless keepLogs was called or KEEP_FLEET_LOGS is set.
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  void startProxy(const std::string &Id);
  /// Restarts a killed upstream with its journal.
  void startUpstream(const std::string &Id);
  void signal(const std::string &Name, int Signal);
  /// Waits for a process to end; returns its exit status, or 128 plus the
  /// signal that ended it, or -1 after \p Timeout.
  int wait(const std::string &Name, std::chrono::milliseconds Timeout);
  /// Kills a process and waits for its end.
  void kill(const std::string &Name);
  pid_t pid(const std::string &Name) const;

  /// Waits until every running proxy has the configuration and knows the
  /// primary of every database; returns false after \p Timeout. Throws
  /// std::runtime_error with the log of a proxy that ended.
  bool awaitServing(std::chrono::milliseconds Timeout);

  /// Address that callers use for a proxy, through the relay if there is one.
  std::string proxyAddress(const std::string &Id) const;
  /// Direct address of a process, or of NAME/peer and NAME/metrics of a proxy.
  const std::string &address(const std::string &Name) const {
    return Addresses.at(Name);
  }
  const std::string &upstreamAddress(const std::string &Id) const {
    return address(Id);
  }
  const Topology &topology() const { return T; }
  /// Directory with the logs of all processes.
  const std::string &directory() const { return Directory; }
  /// Keeps the logs when the fleet stops, so that a failure can be analysed.
  void keepLogs() { LogsKept = true; }

  /// Calls a service of a process and waits up to 10 s for the answer; throws
  /// std::runtime_error without one.
  template <typename Service, typename Request, typename Answer>
  Answer call(const std::string &Name,
              grpc::Status (Service::Stub::*Method)(grpc::ClientContext *,
                                                    const Request &, Answer *),
              const Request &In) {
    grpc::ClientContext Context;
    Context.set_wait_for_ready(true);
    Context.set_deadline(std::chrono::system_clock::now() +
                         std::chrono::seconds(10));
    Answer Out;
    auto Stub = Service::NewStub(makeChannel(address(Name)));
    grpc::Status S = (Stub.get()->*Method)(&Context, In, &Out);
    if (!S.ok())
      throw std::runtime_error(Name + ": " + S.error_message());
    return Out;
  }

  /// Applies the settings that are set to an upstream and returns its state.
  standin::v1::UpstreamState
  configure(const std::string &Upstream,
            const standin::v1::UpstreamSettings &Settings = {});
  /// Reads the log of an upstream.
  std::vector<standin::v1::LogEntry> log(const std::string &Upstream);
  /// Replaces all faults of the platform.
  standin::v1::PlatformCounters
  setFaults(const standin::v1::PlatformFaults &Faults);
  /// Calls that the platform has received since its start, failed ones
  /// included.
  standin::v1::PlatformCounters countPlatformCalls();
  operators::v1::StatusAnswer proxyStatus(const std::string &Id);
  /// The record with the highest term that any proxy of the topology reports;
  /// records without a primary are ignored.
  config::v1::GroupRecord newestGroup();
  /// Cuts (holds back all data) or heals the matching links.
  void setCut(const standin::v1::LinkFilter &Links, bool Cut);
  /// Cuts or heals all links to an upstream or proxy.
  void setCutTo(const std::string &Name, bool Cut);
  /// Makes the open connections of the matching links unresponsive for good.
  standin::v1::NetworkState
  hangConnections(const standin::v1::LinkFilter &Links);

private:
  void stopAll();
  void run(const std::string &Name, std::vector<std::string> Command);
  void startNetwork();
  void writeConfiguration();
  void put(const std::string &Key, const std::string &Value);
  std::string newAddress();
  /// Relay addresses of all targets for a process of a failure domain, as its
  /// flag --address-map takes them.
  std::string addressMap(const std::string &FailureDomain) const;
  const config::v1::Upstream &upstream(const std::string &Id) const;

  Topology T;
  bool LogsKept = false;
  std::string Ip;
  std::string Directory;
  std::map<std::string, pid_t> Pids;
  /// Address of each process; proxies also have NAME/peer and NAME/metrics.
  std::map<std::string, std::string> Addresses;
  /// Relay address for (source failure domain, target address).
  std::map<std::pair<std::string, std::string>, std::string> Links;
};

} // namespace eelgrassloom::fleet

#endif // EELGRASSLOOM_FLEET_FLEET_H
