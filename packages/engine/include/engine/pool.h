/// \file
/// Connections of this proxy to one server.

#ifndef EELGRASSLOOM_ENGINE_POOL_H
#define EELGRASSLOOM_ENGINE_POOL_H

#include "engine/events.h"
#include "engine/types.h"
#include "kernel/placement.h"
#include "kernel/routes.h"
#include "kernel/sessionstate.h"
#include <set>

namespace eelgrassloom {

using SessionId = std::uint64_t;

/// One connection and what it holds at its server.
struct PooledConnection {
  std::shared_ptr<ServerConnection> Connection;
  ConnectionState State;
  /// Session that used it last; 0: none.
  SessionId LastSession = 0;
  /// End of the last exchange.
  Instant LastAnswer;
  Instant LastUsed;
  bool Busy = false;
};
using ConnectionRef = std::shared_ptr<PooledConnection>;

/// Opens a connection to a server; the handler runs exactly once.
using Dialer = std::function<void(const ServerEntry &Server, Duration Timeout,
                                  std::function<void(DialResult)> Done)>;

struct PoolOptions {
  Duration DialTimeout = std::chrono::milliseconds(750);
  /// Pause after a failed dial, doubled up to the longest.
  Duration InitialBackoff = std::chrono::milliseconds(40);
  Duration MaxBackoff = std::chrono::milliseconds(640);
  /// Pause after the server had too many connections, doubled up to the
  /// longest.
  Duration InitialServerFullBackoff = std::chrono::milliseconds(120);
  Duration MaxServerFullBackoff = std::chrono::milliseconds(500);
  /// Handshakes of this proxy in progress at one server; each occupies a slot.
  unsigned MaxDialing = 1;
  /// Idle connections of this proxy's share are closed after this time.
  Duration IdleTimeout = std::chrono::seconds(4);
  /// Other idle connections are closed after this time, so that other proxies
  /// can open theirs.
  Duration ExcessIdleTimeout = std::chrono::milliseconds(300);
  /// A server is reported as unreachable after it failed for this long.
  Duration UnreachableAfter = std::chrono::milliseconds(700);
  /// A pool that is not used forgets a failure after this time.
  Duration FailureRetention = std::chrono::seconds(3);
  /// Refusals prove that no process listens, so two of them are enough.
  unsigned MinRefusals = 2;
  /// Time for which a server that shed work is used with a lower limit.
  Duration OverloadTime = std::chrono::milliseconds(60);
};

/// Not copyable: dial handlers refer to it.
class ServerPool : public std::enable_shared_from_this<ServerPool> {
public:
  static std::shared_ptr<ServerPool> create(ServerEntry Server,
                                            unsigned MaxPoolSize,
                                            const RuntimeHooks &Hooks,
                                            Dialer Dial, EventWriter &Events);

  const ServerEntry &server() const { return Server; }
  void update(const ServerEntry &Changed);
  /// Connections of this proxy, connections that the server accepts from all
  /// proxies, and how many proxies use it.
  void setLimits(unsigned ConnectionLimit, unsigned AllProxiesLimit,
                 std::size_t Sharers);

  /// Called when a connection became idle or the reachability changed.
  void onChange(std::function<void()> Handler) { Changed = std::move(Handler); }

  /// An idle connection, preferably the one that the session used last; null
  /// if there is none.
  ConnectionRef acquire(SessionId Session);
  /// Returns a connection; \p Reuse is false after any unfinished exchange.
  void release(const ConnectionRef &Connection, bool Reuse);
  /// Opens a connection if none is idle and the limits allow it.
  void ensureConnection();

  bool hasIdle() const;
  /// A connection is idle or can be opened now.
  bool available() const;
  /// New connections have failed for longer than the tolerance.
  bool unreachable() const;
  /// The last dial failed.
  bool failing() const { return Failing; }
  /// The last exchange or dial failed.
  bool suspected() const { return Failing || Suspicion > 0; }
  unsigned limit() const;
  std::size_t connections() const { return Open.size(); }

  /// An exchange did not finish; idle connections that have been silent since
  /// before \p SentAt may be lost as well and are closed.
  void exchangeTimedOut(Instant SentAt);
  void exchangeDone(bool Failed);
  void recordOverload();
  /// Called regularly while failing(): dials again if the pool is in use, and
  /// forgets an old failure otherwise.
  void checkFailure(bool InUse);
  /// Closes connections that nobody needs. \p InUse: this proxy runs the
  /// statements of the service, and keeps some connections for the next ones.
  void closeIdle(bool InUse);
  void closeAll();

  unsigned InFlight = 0;
  /// Last reported log position.
  Position Applied;
  Instant AppliedAt;

private:
  ServerPool(ServerEntry Server, unsigned MaxPoolSize,
             const RuntimeHooks &Hooks, Dialer Dial, EventWriter &Events)
      : Server(std::move(Server)), MaxPoolSize(MaxPoolSize), Hooks(Hooks),
        Dial(std::move(Dial)), Events(Events) {}

  void handleDialResult(const DialResult &Result, Instant StartedAt);
  void handleDialFailure(DialOutcome Outcome, Instant StartedAt);
  bool mayDial() const;
  void reportReachability();
  void markReachable();

  ServerEntry Server;
  unsigned MaxPoolSize;
  unsigned ServerConnectionCap = 1;
  std::size_t ProxyCount = 1;
  const RuntimeHooks &Hooks;
  Dialer Dial;
  EventWriter &Events;
  PoolOptions Options;
  std::function<void()> Changed;
  std::set<ConnectionRef> Open;
  unsigned Dialing = 0;
  unsigned Refusals = 0;
  unsigned Suspicion = 0;
  bool Failing = false;
  bool ReportedUnreachable = false;
  bool Closed = false;
  Instant FailingSince;
  Instant NextDial;
  Instant ServerFullUntil;
  Instant OverloadedUntil;
  Duration Backoff{0};
  Duration ServerFullBackoff{0};
};

} // namespace eelgrassloom

#endif // EELGRASSLOOM_ENGINE_POOL_H
