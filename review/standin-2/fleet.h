/// \file
/// Real proxy processes and the clients of a case.

#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include "database.h"
#include "store.h"
#include <optional>
#include <sys/types.h>

namespace review {

/// One machine with a proxy process. Signals go to its own process only.
struct Proxy {
  std::string Name;
  std::string Zone;
  std::string Settings;
  std::string Log;
  std::uint16_t Port = 0;
  std::uint16_t ReadyPort = 0;
  pid_t Pid = 0;
  /// Not restarted when it ends.
  bool Removed = false;
  /// Most memory that was seen, and how often it exceeded memoryMb.
  std::size_t MostMemory = 0;
  unsigned MemoryEnds = 0;
};

/// One session that sends one request after the other.
class Client : public std::enable_shared_from_this<Client> {
public:
  struct Answer {
    bool Lost = true; // The connection ended first.
    std::string Code; // Empty after a success.
    std::string Signature;
    std::vector<std::string> Rows;
  };
  using Handler = std::function<void(Answer)>;

  Client(asio::io_context &Loop, std::string Name)
      : Name(std::move(Name)), Loop(Loop), Socket(Loop) {}

  /// Connects and starts a session. The answer has the code NODB if the proxy
  /// does not know the database.
  void start(std::uint16_t Port, const std::string &Database, Handler Done);
  /// Sends a request; the handler gets its answer.
  void query(const std::string &Id, const std::string &Text, Handler Done);
  void close();
  bool open() const { return Started; }

  const std::string Name;

private:
  void read();
  void finish(bool Lost);

  asio::io_context &Loop;
  tcp::socket Socket;
  std::array<char, 4096> Buffer{};
  std::string Input;
  Answer Partial;
  Handler Done;
  bool Started = false;
  unsigned Generation = 0;
};

/// A deployment: the platform, one or more services and the proxies.
class Fleet {
public:
  Fleet(asio::io_context &Loop, std::string Program, std::string Directory);
  ~Fleet();

  /// Adds a service with three servers in three zones; the first one leads.
  Service &addService(const std::string &Name, Duration Lag);
  void addProxies(std::size_t Count);
  void startProxies();
  void signal(Proxy &P, int Signal);
  Proxy *find(const std::string &Name);
  /// A server of the service is replaced: a new one starts, the old one drains
  /// \p Before later and ends \p After later than drainMs after that.
  void release(Service &S, const ServerRef &Old, const std::string &NewId,
               Duration Before = std::chrono::seconds(1),
               Duration After = std::chrono::milliseconds(500));
  /// Publishes the routes as the next version.
  void configure(unsigned Version,
                 const std::vector<std::array<std::string, 3>> &Routes);
  /// Ends all processes.
  void stop();
  /// Ends processes that exceed memoryMb, as the platform does.
  void checkMemory();
  /// Writes the entries of all servers that run.
  void publishServers();

  asio::io_context &Loop;
  Oracle Facts;
  Store Platform;
  std::vector<std::unique_ptr<Service>> Services;
  std::vector<std::unique_ptr<Proxy>> Proxies;
  /// The newest configuration that the operator has written.
  std::string Config;

private:
  void startProxy(Proxy &P);
  void tick();

  std::string Program;
  std::string Directory;
  bool Stopped = false;
};

/// A client that goes on sending requests to one proxy: each Interval a write
/// or a read on a database with the route type primary.
class Load : public std::enable_shared_from_this<Load> {
public:
  Load(Fleet &F, Proxy &At, std::string Database, std::string ServiceName,
       std::string Name, bool Writes, Duration Interval)
      : F(F), At(At), Database(std::move(Database)),
        ServiceName(std::move(ServiceName)), Name(std::move(Name)),
        Writes(Writes), Interval(Interval) {}

  void run();
  const std::string &name() const { return Name; }
  const std::string &machine() const { return At.Name; }

  /// The route type is primary, so that a read must see all commits.
  bool ReadsLatest = true;
  unsigned Succeeded = 0;
  unsigned Refused = 0;
  /// The longest time from a request to its answer, or until now if there is
  /// none.
  Duration longestWait() const;

private:
  void next();
  void again();
  void handle(const std::string &Id, const Client::Answer &Answer);

  Fleet &F;
  Proxy &At;
  const std::string Database;
  const std::string ServiceName;
  const std::string Name;
  const bool Writes;
  const Duration Interval;
  std::shared_ptr<Client> Session;
  unsigned Count = 0;
  /// When the request in progress was sent.
  std::optional<Instant> SentAt;
  Duration LongestWait{0};
};

/// One session that sends single requests when it is told to.
class Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(Fleet &F, Proxy &At, std::string Name)
      : F(F), At(At), Name(std::move(Name)) {}

  void start(const std::string &Database);
  void send(const std::string &Text);

private:
  Fleet &F;
  Proxy &At;
  const std::string Name;
  std::shared_ptr<Client> Session;
  unsigned Count = 0;
};

/// A session whose client sets long values, each in a message of legal size,
/// and then stays idle. Starts again when its connection ends.
class LongState : public std::enable_shared_from_this<LongState> {
public:
  /// \p Bytes: length of each of the values.
  LongState(Fleet &F, Proxy &At, std::string Database, std::string Name,
            std::size_t Bytes)
      : F(F), At(At), Database(std::move(Database)), Name(std::move(Name)),
        Bytes(Bytes), Socket(F.Loop) {}

  void start();

private:
  void send();
  void read();

  Fleet &F;
  Proxy &At;
  const std::string Database;
  const std::string Name;
  const std::size_t Bytes;
  tcp::socket Socket;
  std::string Output;
  std::string Input;
  std::array<char, 512> Buffer{};
  unsigned Sent = 0;
};

/// A session whose client sets many short values, a batch of them ahead at a
/// time.
class ManyValues : public std::enable_shared_from_this<ManyValues> {
public:
  /// \p Distinct: number of names that are used.
  ManyValues(Fleet &F, Proxy &At, std::string Database, std::string Name,
             unsigned Distinct)
      : F(F), At(At), Database(std::move(Database)), Name(std::move(Name)),
        Distinct(Distinct), Socket(F.Loop) {}

  void start();

  unsigned Answers = 0;

private:
  void sendBatch();
  void read();

  Fleet &F;
  Proxy &At;
  const std::string Database;
  const std::string Name;
  const unsigned Distinct;
  tcp::socket Socket;
  std::string Output;
  std::array<char, 65536> Buffer{};
  unsigned Sent = 0;
  unsigned Expected = 1;
};

} // namespace review

#endif // REVIEW_FLEET_H
