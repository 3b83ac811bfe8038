/// \file
/// The platform's store and the promotion call, as PROTOCOL.md describes them,
/// with the drill of the users' third letter: the store comes back from a copy.

#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include "common.h"
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace review {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;

struct HttpAnswer {
  unsigned Status = 200;
  std::string Body = "{}";
};
using AnswerSink = std::function<void(HttpAnswer)>;

/// A call to POST /promote, as the platform has seen it.
struct PromotionCall {
  Instant At;
  std::string Holder;
  std::uint64_t Token = 0;
  std::string Service;
  std::string Server;
};

class Store {
public:
  /// Promotes the server; false if it does not run.
  using Promotion =
      std::function<bool(const std::string &Service, const std::string &Id)>;

  Store(asio::io_context &Loop, Promotion Promote);

  std::uint16_t storePort() const {
    return StoreAcceptor.local_endpoint().port();
  }
  std::uint16_t cloudPort() const {
    return CloudAcceptor.local_endpoint().port();
  }

  /// A write of the operator or of a server. An equal value changes nothing.
  void put(const std::string &Key, const std::string &Value);
  void erase(const std::string &Key);
  /// Value of a key; empty if there is none.
  std::string value(const std::string &Key) const;
  std::uint64_t revision() const { return Now.Revision; }

  /// Remembers the present content as the copy of the drill.
  void takeCopy();
  /// Closes all connections and refuses calls until comeBack().
  void goAway();
  /// Serves again from the copy. The operator and the servers then write again
  /// what they have written since, see OnReturn.
  void comeBack();
  std::function<void()> OnReturn;

  /// Called for each conditional write that has taken effect, before its answer
  /// is sent.
  std::function<void(const std::string &KeyList, const std::string &Body)>
      OnWrite;

  std::vector<PromotionCall> Calls;

private:
  class Connection;
  struct Item {
    std::string Value; // base64
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t LeaseId = 0;
  };
  struct Event {
    std::string Key;
    std::uint64_t Revision = 0;
    bool Removed = false;
    Item Written;
    Instant At;
  };
  struct Lease {
    Instant Until;
    Duration Length;
  };
  struct Content {
    std::map<std::string, Item> Items;
    std::map<std::uint64_t, Lease> Leases;
    std::deque<Event> History;
    std::uint64_t Revision = 10;
    /// Changes up to this revision are not in the history any more.
    std::uint64_t Forgotten = 10;
    Instant At;
  };
  struct Watch {
    std::string Prefix;
    std::uint64_t After = 0;
    Instant Until;
    AnswerSink Done;
  };

  void accept(tcp::acceptor &From);
  void handle(const HttpRequest &Request, AnswerSink Done);
  HttpAnswer promote(const HttpRequest &Request);
  HttpAnswer range(const std::string &Target);
  HttpAnswer transact(const std::string &Body);
  void watch(const std::string &Target, AnswerSink Done);
  /// True if the watch was answered.
  bool tryAnswer(const Watch &W);
  void answerWatches();
  void set(const std::string &Key, Item Written);
  void remove(const std::string &Key, std::uint64_t Revision);
  void expire();
  static std::string itemText(const std::string &Key, const Item &I);

  asio::io_context &Loop;
  Promotion Promote;
  tcp::acceptor StoreAcceptor;
  tcp::acceptor CloudAcceptor;
  std::set<std::shared_ptr<Connection>> Connections;
  Content Now;
  Content Copy;
  std::vector<Watch> Watches;
  std::uint64_t NextLease = 1;
  std::uint64_t Era = 1;
  bool Away = false;
};

std::string encodeBase64(const std::string &Bytes);
std::string decodeBase64(const std::string &Text);

} // namespace review

#endif // REVIEW_STORE_H
