/// \file
/// The proxies as separate processes, the operator's configuration, the
/// servers' heartbeats and the clients' sessions.

#ifndef REVIEW_STANDIN_FLEET_H
#define REVIEW_STANDIN_FLEET_H

#include "database.h"
#include "platform.h"
#include <optional>
#include <sys/types.h>

namespace review {

/// What the platform has seen of one promotion call.
struct PromotionCall {
  std::string Holder;
  std::uint64_t Token = 0;
  std::string Server;
};

struct Proxy {
  std::string Name;
  std::string Ip;
  std::string Settings;
  std::uint16_t StorePort = 0;
  pid_t Pid = 0;
};

struct FleetOptions {
  std::size_t Proxies = 4;
  unsigned SyncReplicas = 0;
  /// Timeout of a statement on the route.
  unsigned TimeoutMs = 1000;
};

class Fleet {
public:
  Fleet(asio::io_context &Loop, Record &Out, FleetOptions Options);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts servers, store and proxies. Throws std::runtime_error.
  void start();
  void signal(std::size_t Proxy, int Signal);
  /// True if the process has ended; it is not restarted.
  bool ended(std::size_t Proxy);
  std::size_t proxyCount() const { return Proxies.size(); }
  const std::string &name(std::size_t Proxy) const {
    return Proxies[Proxy].Name;
  }
  tcp::endpoint callerEndpoint(std::size_t Proxy) const;
  /// Reports a server's changed state at once.
  void report(const ServerRef &S);
  /// All services, Database first.
  std::vector<Service *> services();

  asio::io_context &Loop;
  Record &Out;
  Store Metadata;
  /// The service whose databases the clients use.
  Service Database;
  /// Further services, without clients. Filled before start().
  std::vector<std::unique_ptr<Service>> Others;
  /// Decides about a promotion call; returns the HTTP status. The server is
  /// promoted if it is 200.
  std::function<unsigned(const PromotionCall &)> OnPromotion;

  /// Databases with the types "primary" and "read_your_writes".
  static constexpr const char *Orders = "orders";
  static constexpr const char *Stock = "stock";

private:
  void publishConfig();
  void heartbeat(const ServerRef &S);
  void startProxy(Proxy &P);
  void writeSettings(Proxy &P, std::size_t Index, std::uint16_t CloudPort);
  void handlePromotion(const HttpCall &Call, const AnswerHandler &Done);

  FleetOptions Options;
  std::string Directory;
  std::uint16_t BasePort = 0;
  std::vector<Proxy> Proxies;
  /// The server that was promoted last, by service.
  std::map<Service *, ServerRef> Chosen;
};

/// A client's session: sends one statement after the other.
class Client : public std::enable_shared_from_this<Client> {
public:
  struct Request {
    std::string Id;
    std::string Text;
    std::int64_t SentMs = 0;
  };

  Client(Fleet &Parent, std::string Name, std::string Host)
      : Parent(Parent), Name(std::move(Name)), Host(std::move(Host)),
        Socket(Parent.Loop) {}

  /// Opens a session at a proxy. \p Next returns the text of the next statement
  /// and the pause before it in ms; an empty text ends the session.
  void open(std::size_t Proxy,
            std::function<std::pair<std::string, std::int64_t>()> Next);
  /// Opens a new session at the next proxy after a close.
  bool Reconnect = false;
  /// A statement was answered; \p Line is DONE ... or ERR ....
  std::function<void(const Request &, const std::string &Line)> Answered;
  /// The connection ended; with a request in progress or without.
  std::function<void(const Request *)> Ended;

private:
  void read();
  void handleLine(const std::string &Line);
  void sendNext();
  void handleEnd();

  Fleet &Parent;
  std::string Name;
  std::string Host;
  tcp::socket Socket;
  std::size_t Proxy = 0;
  std::function<std::pair<std::string, std::int64_t>()> Next;
  std::array<char, 4096> Buffer{};
  std::string Input;
  std::string Result;
  bool Started = false;
  bool Over = false;
  std::optional<Request> Pending;
  unsigned Count = 0;
  unsigned Generation = 0;
};

} // namespace review

#endif // REVIEW_STANDIN_FLEET_H
