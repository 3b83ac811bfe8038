/// \file
/// Connections of this proxy to one server: dialing with backoff, reuse by
/// sessions, limits, and detection of an unreachable server.

#ifndef EELGRASSLOOM_ENGINE_POOL_H
#define EELGRASSLOOM_ENGINE_POOL_H

#include "engine/events.h"
#include "engine/types.h"
#include "kernel/connectioncache.h"
#include "kernel/placement.h"
#include "kernel/routes.h"
#include "kernel/serverpace.h"
#include "kernel/sessionstate.h"
#include <set>

namespace eelgrassloom {

using SessionId = std::uint64_t;

/// One connection, and the session state that it holds at its server.
struct PooledConnection {
  std::shared_ptr<ServerConnection> Connection;
  /// Customer that it belongs to; it runs statements of no other. Empty: none.
  CustomerId Customer;
  ConnectionState State;
  /// Session that used the connection last; 0: none.
  SessionId LastSession = 0;
  /// End of the last exchange, or the time of the handshake.
  Instant LastAnswer;
  Instant LastUsed;
  bool Busy = false;
};
using ConnectionRef = std::shared_ptr<PooledConnection>;

/// A connection to open.
struct DialRequest {
  ServerEntry Server;
  /// Customer that the connection belongs to; empty: none.
  CustomerId Customer;
  Duration Timeout{0};
};

/// Opens a connection to a server; the handler runs exactly once.
using Dialer = std::function<void(const DialRequest &Request,
                                  std::function<void(DialResult)> Done)>;

struct PoolOptions {
  Duration DialTimeout = std::chrono::milliseconds(750);
  /// Pause after a failed dial; it doubles with each further failure up to
  /// MaxBackoff.
  Duration InitialBackoff = std::chrono::milliseconds(40);
  Duration MaxBackoff = std::chrono::milliseconds(640);
  /// Pause after the server refused a connection because it had too many; it
  /// doubles with each further refusal up to MaxServerFullBackoff.
  Duration InitialServerFullBackoff = std::chrono::milliseconds(120);
  Duration MaxServerFullBackoff = std::chrono::milliseconds(500);
  /// Handshakes that this proxy may have in progress at one server. Each of
  /// them occupies a slot of the server.
  unsigned MaxDialing = 1;
  /// The same if connections belong to customers, so that the handshake of one
  /// customer does not delay all others.
  unsigned MaxDialingPerCustomer = 2;
  /// Idle connections within this proxy's share of the server's connections are
  /// closed after this time.
  Duration IdleTimeout = std::chrono::seconds(4);
  /// The same if connections belong to customers: they are closed for other
  /// customers before.
  Duration CustomerIdleTimeout = std::chrono::seconds(30);
  /// Connections of customers are excess if no statement has used the server
  /// for this time.
  Duration UnusedTime = std::chrono::seconds(2);
  /// Idle connections beyond this share are closed after this time, so that
  /// other proxies can open theirs.
  Duration ExcessIdleTimeout = std::chrono::milliseconds(300);
  /// A server is reported as unreachable if dials have failed for this long.
  Duration UnreachableAfter = std::chrono::milliseconds(700);
  /// A pool that is not used forgets a failure after this time.
  Duration FailureRetention = std::chrono::seconds(3);
  /// A server is also reported as unreachable after this many dials that failed
  /// otherwise than by a timeout. A refusal proves that no process listens
  /// there, so two are enough.
  unsigned MinRefusals = 2;
  /// Time for which the limit of a server is halved after it refused a
  /// statement as overloaded.
  Duration OverloadTime = std::chrono::milliseconds(60);
};

/// Limits of one pool.
struct PoolLimits {
  /// Connections that this proxy may open.
  unsigned Connections = 1;
  /// Connections that the server accepts from all proxies, and the number of
  /// proxies that share them.
  unsigned AllProxies = 1;
  std::size_t Sharers = 1;
  /// Each connection belongs to a customer.
  bool PerCustomer = false;
};

/// The connections of this proxy to one server. Not copyable: dial handlers
/// refer to it.
class ServerPool : public std::enable_shared_from_this<ServerPool> {
public:
  static std::shared_ptr<ServerPool> create(ServerEntry Server,
                                            const RuntimeHooks &Hooks,
                                            Dialer Dial, EventWriter &Events);

  const ServerEntry &server() const { return Server; }
  /// Takes over a changed registry entry. The backoff ends if the server has
  /// restarted or has another address.
  void update(const ServerEntry &Changed);
  void setLimits(const PoolLimits &Next) { Limits = Next; }
  /// The condition of the server is inferred from its answers from now on.
  void enablePace() { PaceEnabled = true; }
  /// The server has just been registered and gets one statement at first.
  void startPace();

  /// \p Handler is called when a connection has been released and when a dial
  /// has ended.
  void onChange(std::function<void()> Handler) { Changed = std::move(Handler); }

  /// Reserves an idle connection of the customer, preferably the one that the
  /// session used last; null if there is none.
  ConnectionRef acquire(SessionId Session, const CustomerId &Customer);
  /// Reserves any idle connection for a request of the proxy itself.
  ConnectionRef acquireForProxy();
  /// Returns a connection to the pool. \p Reuse must be false, which closes the
  /// connection, if an exchange did not finish or a transaction may be open.
  void release(const ConnectionRef &Connection, bool Reuse);
  /// Starts to open a connection for the customer if none of it is idle or
  /// being opened and the limits allow it. If the pool is full, an idle
  /// connection of another customer is closed, see chooseEviction().
  void ensureConnection(const ConnectionRequest &Request);
  /// Starts to open a connection, if the limits allow it, although one may be
  /// idle: the open ones may be lost.
  void openAnother(const ConnectionRequest &Request);

  /// A connection of the customer is idle.
  bool hasIdle(const CustomerId &Customer) const;
  /// A connection of the customer is idle, is being opened or may be opened
  /// now.
  bool available(const CustomerId &Customer) const;
  /// Connections belong to customers, none is idle, and no further one may be
  /// opened.
  bool exhausted() const;
  /// A connection is being opened for the customer.
  bool opensFor(const CustomerId &Customer) const {
    return DialingFor.count(Customer) != 0;
  }
  /// Dials have failed for longer than PoolOptions::UnreachableAfter, or
  /// PoolOptions::MinRefusals of them failed otherwise than by a timeout.
  bool unreachable() const;
  /// The last dial failed.
  bool failing() const { return Failing; }
  /// The last dial or recent exchanges failed; other servers are preferred.
  bool suspected() const { return Failing || Suspicion > 0; }
  /// Statements of this proxy that may run at the server at once.
  unsigned limit() const;
  /// Condition of the server; unchanged unless enablePace() was called.
  const ServerPace &pace() const { return Pace; }
  bool degraded() const { return Pace.Degraded; }
  std::size_t connections() const { return Open.size(); }
  /// Connections closed so far to make room for another customer.
  std::uint64_t evictions() const { return EvictionCount; }
  /// Adds the number of open connections of each customer to \p Counts.
  void countConnections(std::map<CustomerId, unsigned> &Counts) const;

  /// Records an exchange without an answer that was sent at \p SentAt. Idle
  /// connections without an answer since then may be lost as well and are
  /// closed.
  void exchangeTimedOut(Instant SentAt);
  /// Records an exchange that ended.
  void exchangeDone(bool Failed);
  /// The server refused a statement as overloaded.
  void recordOverload();
  /// Infers the condition of the server from the end of a statement. \p
  /// Siblings: the other servers of the service. Ignored unless enablePace()
  /// was called.
  void recordAnswer(const ServerAnswer &Answer,
                    const std::vector<const ServerPace *> &Siblings);
  /// A statement starts; it is a trial if one is due.
  void recordStart();
  /// Opens a connection for the next trial if one is due and the customer has
  /// no idle connection, at most once in TrialInterval.
  void prepareTrial(const CustomerId &Customer);
  /// Called regularly while failing(): dials again if the pool is in use, and
  /// forgets an old failure otherwise.
  void checkFailure(bool InUse);
  /// Closes connections that have been idle for too long. \p InUse: this proxy
  /// runs statements of the service, and keeps some connections for the next
  /// ones.
  void closeIdle(bool InUse);
  /// Closes the pool: idle connections now, others when they are released.
  void closeAll();

  /// Statements in progress; counted by the user of the pool.
  unsigned InFlight = 0;
  /// Last reported log position, and when it was reported.
  Position Applied;
  Instant AppliedAt;

private:
  ServerPool(ServerEntry Server, const RuntimeHooks &Hooks, Dialer Dial,
             EventWriter &Events)
      : Server(std::move(Server)), Hooks(Hooks), Dial(std::move(Dial)),
        Events(Events) {}

  /// No session uses the connection, and one may.
  static bool idle(const PooledConnection &C) {
    return !C.Busy && C.Connection->usable();
  }
  /// Closes idle connections that must not be used any more.
  void dropUnusable();
  void handleDialResult(const CustomerId &Customer, const DialResult &Result,
                        Instant StartedAt);
  void handleDialFailure(DialOutcome Outcome, Instant StartedAt);
  /// A handshake may begin now, as far as its number and earlier failures tell.
  bool mayDial() const;
  /// The limit allows another connection.
  bool hasRoom() const;
  /// The idle connection to close for the request; null if there is none.
  ConnectionRef evictionFor(const ConnectionRequest &Request) const;
  /// The open connections, in the order of Open.
  std::vector<CachedConnection> cached() const;
  ConnectionRef connectionAt(std::optional<std::size_t> Index) const;
  void closeOneIdle();
  void close(const ConnectionRef &Connection);
  /// Reserves \p Connection, which may be null.
  ConnectionRef take(ConnectionRef Connection, SessionId Session);
  void reportReachability();
  void markReachable();
  void reportPace(EngineEvent Event);
  unsigned normalLimit() const {
    return proxyLimit(Server.Slots, Limits.Sharers);
  }

  ServerEntry Server;
  PoolLimits Limits;
  const RuntimeHooks &Hooks;
  Dialer Dial;
  EventWriter &Events;
  PoolOptions Options;
  std::function<void()> Changed;
  std::set<ConnectionRef> Open;
  unsigned Dialing = 0;
  /// Handshakes in progress by customer.
  std::map<CustomerId, unsigned, std::less<>> DialingFor;
  CustomerUse Use;
  /// Last time a statement took a connection.
  Instant LastAcquired;
  bool PaceEnabled = false;
  ServerPace Pace;
  Instant NextTrialDial;
  std::uint64_t EvictionCount = 0;
  /// Failed dials, other than timeouts, since the server was last reachable.
  unsigned Refusals = 0;
  /// Raised by each failed exchange and lowered by each one that succeeds.
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
