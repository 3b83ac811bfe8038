/// \file
/// A database server that answers every statement, for tests in which only the
/// callers matter.

#ifndef EELGRASSLOOM_HOSTILE_ANSWERINGSERVER_H
#define EELGRASSLOOM_HOSTILE_ANSWERINGSERVER_H

#include "net.h"

namespace eelgrassloom::hostile {

/// Rows of this length answer reads of LargeItem.
inline constexpr std::size_t LargeRowBytes = std::size_t{256} << 10;
inline constexpr const char *LargeItem = "large";

class AnsweringServer {
public:
  explicit AnsweringServer(platform::asio::io_context &Loop);
  /// The server's entry in the store, as JSON.
  std::string entry() const;

private:
  void accept();
  platform::tcp::acceptor Acceptor;
};

} // namespace eelgrassloom::hostile

#endif // EELGRASSLOOM_HOSTILE_ANSWERINGSERVER_H
