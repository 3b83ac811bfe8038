#include "controlstate.h"
#include "proxy/configwire.h"
#include <algorithm>

namespace eelgrassloom::detail {
namespace {

const std::string ConfigKey = "config";
const std::string GroupPrefix = "group/";
const std::string HostsKey = "hosts";
/// Shortest interval at which watch holders also read `config`, because a watch
/// may stop reporting changes without having ended.
constexpr Duration HolderReadInterval = std::chrono::seconds(2);
/// Limit of the traffic of these reads. At the design scale the value has
/// 481 KB; reading it every 2 s would take 240 KB/s, many times the budget of a
/// node.
constexpr double HolderReadBytesPerSecond = 4096;
/// Interval of reads while this proxy has no configuration.
constexpr Duration FirstReadInterval = std::chrono::seconds(1);
/// Interval at which a watch holder reads the host list. With two holders per
/// failure domain a leaving host is noticed within about a second.
constexpr Duration HostsInterval = std::chrono::seconds(2);
/// Delay before a watch that has ended is started again.
constexpr Duration WatchRetryInterval = std::chrono::milliseconds(500);
/// Age of the process before which its membership view is too small to choose
/// the watch holders.
constexpr Duration WatchDelay = std::chrono::milliseconds(1500);
/// Age of the process at which a configuration is split into gossip items even
/// if no peer has answered.
constexpr Duration MaxSplitDelay = std::chrono::seconds(3);

/// Starts a watch; \p Slot is the member that holds it and is reset when it
/// ends.
std::shared_ptr<PlatformWatch>
startWatch(ControlState &S, const std::string &Prefix,
           void (*Changed)(ControlState &, const PlatformEntry &),
           std::shared_ptr<PlatformWatch> PlatformState::*Slot) {
  auto Post = S.Post;
  return S.C.Platform->Watch(
      *S.C.PlatformConnection, Prefix,
      [Post, Changed](const PlatformEntry &E) {
        Post([=](ControlState &State) { Changed(State, E); });
      },
      [Post, Slot] {
        Post([=](ControlState &State) {
          (State.Platform.*Slot).reset();
          State.Platform.NextWatch =
              State.Now + jittered(State, WatchRetryInterval);
        });
      });
}

void tickWatches(ControlState &S) {
  PlatformState &P = S.Platform;
  if (!S.HoldsWatches) {
    P.ConfigWatch.reset();
    P.GroupWatch.reset();
    return;
  }
  bool MembershipSettled =
      S.C.Options.Peers.empty() || S.Now - S.Started > WatchDelay;
  if (!MembershipSettled || S.Now < P.NextWatch)
    return;
  if (!P.ConfigWatch)
    P.ConfigWatch = startWatch(S, ConfigKey, configurationRead,
                               &PlatformState::ConfigWatch);
  if (!P.GroupWatch)
    P.GroupWatch =
        startWatch(S, GroupPrefix, groupRead, &PlatformState::GroupWatch);
}

std::string encodeHosts(const PlatformHosts &Hosts) {
  // Peer messages have no type for a host list; member updates have the same
  // fields.
  peer::v1::PeerMessage M;
  for (const PlatformHost &H : Hosts.Hosts) {
    auto *U = M.add_updates();
    U->set_id(H.Id);
    U->set_address(H.Address);
    U->set_failure_domain(H.FailureDomain);
    U->set_state(H.Leaving ? peer::v1::MEMBER_STATE_LEAVING
                           : peer::v1::MEMBER_STATE_ALIVE);
  }
  return M.SerializeAsString();
}

void hostsListed(ControlState &S, const PlatformHosts &Hosts) {
  S.Platform.Listing = false;
  platformCallEnded(S, Hosts.Code == PlatformCode::Ok);
  if (Hosts.Code != PlatformCode::Ok)
    return;
  std::string Value = encodeHosts(Hosts);
  // The lists of two watch holders may lag by different times. If each holder
  // gossiped an unchanged list again, they would overwrite each other without
  // end.
  if (Value == S.Platform.LastHosts)
    return;
  S.Platform.LastHosts = Value;
  const Item *Known = find(S.Gossip, HostsKey);
  if (Known && Known->Value == Value)
    return;
  auto Version = static_cast<std::uint64_t>(S.C.Time->wallMicros());
  putItems(S, {{HostsKey, std::max(Version, Known ? Known->Version + 1 : 1),
                std::move(Value)}});
}

void listHosts(ControlState &S) {
  S.Platform.Listing = true;
  S.Platform.NextList = S.Now + jittered(S, HostsInterval);
  S.C.Platform->ListHosts(
      *S.C.PlatformConnection, PlatformTimeout,
      [Post = S.Post](const PlatformHosts &Hosts) {
        Post([Hosts](ControlState &State) { hostsListed(State, Hosts); });
      });
}

/// Divides a configuration into a header and one part for each database, so
/// that gossip sends only the databases that changed.
CompositeValue compositeValue(const Configuration &C) {
  CompositeValue P;
  P.Version = C.Version;
  config::v1::Configuration Wire = configwire::toWire(C);
  for (const auto &D : Wire.databases())
    P.Parts.push_back({D.name(), D.SerializeAsString()});
  std::sort(P.Parts.begin(), P.Parts.end(),
            [](const Part &A, const Part &B) { return A.Name < B.Name; });
  Wire.clear_databases();
  P.Header = Wire.SerializeAsString();
  return P;
}

Duration readInterval(const ControlState &S) {
  if (S.Config.Version == 0)
    return FirstReadInterval;
  std::chrono::duration<double> MinByTraffic(
      static_cast<double>(S.Platform.ConfigBytes) / HolderReadBytesPerSecond);
  return std::max(HolderReadInterval,
                  std::chrono::duration_cast<Duration>(MinByTraffic));
}

} // namespace

void readConfiguration(ControlState &S) {
  if (S.Platform.Reading)
    return;
  S.Platform.Reading = true;
  S.Platform.NextRead = S.Now + jittered(S, readInterval(S));
  platformGet(S, ConfigKey, [](ControlState &State, const PlatformReply &R) {
    State.Platform.Reading = false;
    if (R.Code == PlatformCode::Ok)
      configurationRead(State, R.Entry);
  });
}

void configurationRead(ControlState &S, const PlatformEntry &Entry) {
  if (!Entry.Key.empty() && Entry.Key != ConfigKey)
    return;
  S.Platform.ConfigAbsent = Entry.Revision == 0;
  S.Platform.ConfigBytes = Entry.Value.size();
  if (Entry.Revision == 0)
    return;
  config::v1::Configuration Wire;
  if (!Wire.ParseFromString(Entry.Value)) {
    S.Platform.ConfigFault = "the value of the key config is malformed";
    return;
  }
  if (Wire.version() <= S.Config.Version)
    return;
  auto Parsed = configwire::configuration(Wire);
  if (!Parsed) {
    S.Platform.ConfigFault = "the value of the key config is not valid: " +
                             toString(Parsed.findings());
    return;
  }
  S.Platform.ConfigFault.clear();
  S.PendingConfiguration = Parsed.value();
  acceptConfiguration(S, Parsed.value());
  gossipConfiguration(S);
}

void acceptConfiguration(ControlState &S, const Configuration &C) {
  if (C.Version <= S.Config.Version)
    return;
  S.Config = C;
  S.OwnershipDirty = true;
  S.C.Events->record(events::ConfigurationAccepted, {},
                     "version " + std::to_string(C.Version) + " with " +
                         std::to_string(C.Databases.size()) + " databases");
  // The host list was interpreted with the former configuration, which may name
  // other upstreams.
  if (const Item *Hosts = find(S.Gossip, HostsKey))
    hostsChanged(S, Item(*Hosts).Value);
}

void gossipConfiguration(ControlState &S) {
  if (!S.PendingConfiguration)
    return;
  bool NoPeers = S.Members.Seeds.empty() && S.Members.Members.empty();
  if (!NoPeers && !S.DigestReceived && S.Now - S.Started < MaxSplitDelay)
    return;
  Configuration C = std::move(*S.PendingConfiguration);
  S.PendingConfiguration.reset();
  putItems(S, split(S.Gossip, ConfigKey, compositeValue(C)));
}

void groupRead(ControlState &S, const PlatformEntry &Entry) {
  if (Entry.Revision == 0 || Entry.Key.rfind(GroupPrefix, 0) != 0)
    return;
  config::v1::GroupRecord Wire;
  if (!Wire.ParseFromString(Entry.Value) ||
      groupKey(Wire.database()) != Entry.Key)
    return;
  groupReceived(S, configwire::group(Wire));
}

void hostsChanged(ControlState &S, const std::string &ItemValue) {
  peer::v1::PeerMessage M;
  if (!M.ParseFromString(ItemValue))
    return;
  std::set<std::string> LeavingHosts;
  std::vector<MemberUpdate> Seeds;
  std::set<std::string> UpstreamAddresses;
  for (const Database &D : S.Config.Databases)
    for (const Upstream &U : D.Upstreams)
      UpstreamAddresses.insert(U.Address);
  for (const auto &H : M.updates()) {
    if (H.state() == peer::v1::MEMBER_STATE_LEAVING) {
      LeavingHosts.insert(H.id());
      LeavingHosts.insert(H.address());
    } else if (isAddress(H.address()) && H.id() != S.C.Options.Id &&
               !UpstreamAddresses.contains(H.address())) {
      MemberUpdate Seed;
      Seed.Id = H.id();
      Seed.Address = H.address();
      Seed.FailureDomain = H.failure_domain();
      Seeds.push_back(std::move(Seed));
    }
  }
  std::set<UpstreamId> Leaving;
  for (const Database &D : S.Config.Databases)
    for (const Upstream &U : D.Upstreams) {
      std::string Ip = U.Address.substr(0, U.Address.rfind(':'));
      if (LeavingHosts.contains(U.Id) || LeavingHosts.contains(U.Address) ||
          LeavingHosts.contains(Ip))
        Leaving.insert(U.Id);
    }
  // A host that runs no upstream is taken for a proxy. Only the configuration
  // tells which hosts run upstreams.
  if (S.Config.Version != 0)
    addSeeds(S.Members, Seeds);
  if (Leaving != S.LeavingByHost) {
    S.LeavingByHost = std::move(Leaving);
    S.OwnershipDirty = true;
  }
}

void tickPlatform(ControlState &S) {
  gossipConfiguration(S);
  // Without these reads a proxy that holds no watches would not notice the end
  // of a platform outage and would start no promotion.
  bool Failing = !S.Platform.Reachable || S.Platform.Failures > 0;
  bool ReadNeeded = S.HoldsWatches || S.Config.Version == 0 || Failing;
  if (ReadNeeded && S.Now >= S.Platform.NextRead)
    readConfiguration(S);
  if (S.HoldsWatches && !S.Platform.Listing && S.Now >= S.Platform.NextList)
    listHosts(S);
  tickWatches(S);
}

} // namespace eelgrassloom::detail
