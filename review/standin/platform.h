/// \file
/// The platform: its metadata store, with one port for each proxy so that the
/// sender of a call is known, and the call that promotes a server.

#ifndef REVIEW_STANDIN_PLATFORM_H
#define REVIEW_STANDIN_PLATFORM_H

#include "common.h"
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace review {

using nlohmann::json;

struct Answer {
  unsigned Status = 200;
  std::string Body = "{}";
};
using AnswerHandler = std::function<void(const Answer &)>;

struct HttpCall {
  std::string Method;
  std::string Target;
  std::string Body;
  std::map<std::string, std::string> Headers;
};

/// Serves HTTP on a loopback port; \p Handle answers each call.
using HttpHandler =
    std::function<void(const HttpCall &Call, const AnswerHandler &Done)>;
std::uint16_t serveHttp(asio::io_context &Loop, HttpHandler Handle);

/// The store. Its answers are linearizable.
class Store {
public:
  Store(asio::io_context &Loop) : Loop(Loop) {}

  /// Opens the port of one proxy.
  std::uint16_t open(std::size_t Proxy);
  void put(const std::string &Key, const std::string &Value,
           std::uint64_t Lease = 0);
  void erase(const std::string &Key);
  std::string value(const std::string &Key) const;
  /// Removes the keys of leases that have run out. Called regularly.
  void expire();

  /// Called with each change that was made, before it is answered.
  std::function<void(std::size_t Proxy, const json &Change)> Changed;
  /// Called when a proxy has renewed a lease.
  std::function<void(std::size_t Proxy)> Renewed;
  /// Called when a proxy reads the keys with a prefix.
  std::function<void(std::size_t Proxy, const std::string &Prefix)> Listed;

private:
  struct Item {
    std::string Value; // as base64
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Key;
    bool Removed = false;
    Item Content;
  };
  void handle(std::size_t Proxy, const HttpCall &Call,
              const AnswerHandler &Done);
  Answer range(const std::string &Target) const;
  Answer transact(std::size_t Proxy, const std::string &Body);
  void watch(const std::string &Prefix, std::uint64_t After,
             std::int64_t UntilMs, const AnswerHandler &Done);
  void set(const std::string &Key, const std::string &Encoded,
           std::uint64_t Lease);
  void remove(const std::string &Key);
  static json describe(const std::string &Key, const Item &I);

  asio::io_context &Loop;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::uint64_t Revision = 100;
  struct LeaseState {
    std::int64_t UntilMs = 0;
    std::int64_t TtlMs = 0;
  };
  std::map<std::uint64_t, LeaseState> Leases;
  std::uint64_t NextLease = 1;
};

} // namespace review

#endif // REVIEW_STANDIN_PLATFORM_H
