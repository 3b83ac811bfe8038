#include "answeringserver.h"
#include <array>
#include <boost/asio/write.hpp>
#include <deque>

namespace eelgrassloom::hostile {

using platform::error_code;
using platform::tcp;

namespace {

std::uint64_t Signatures = 0;

class Connection : public std::enable_shared_from_this<Connection> {
public:
  explicit Connection(tcp::socket Socket) : Socket(std::move(Socket)) {}

  void read() {
    Socket.async_read_some(
        platform::asio::buffer(Buffer),
        [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
          if (Error)
            return;
          Self->handle({Self->Buffer.data(), Bytes});
          Self->read();
        });
  }

private:
  void handle(std::string_view Bytes) {
    Input += Bytes;
    std::size_t Begin = 0;
    for (;;) {
      std::size_t End = Input.find("\r\n", std::max(Begin, Searched));
      if (End == std::string::npos)
        break;
      answer(std::string_view(Input).substr(Begin, End - Begin));
      Begin = End + 2;
    }
    Input.erase(0, Begin);
    Searched = Input.empty() ? 0 : Input.size() - 1;
  }

  void answer(std::string_view Line) {
    auto Has = [&](std::string_view Word) {
      return Line.substr(0, 60).find(Word) != std::string_view::npos;
    };
    std::string Out;
    if (Line.starts_with("QUERY -")) {
      if (Has("STATUS"))
        Out += "ROW primary 1 1.1 1 0 1 1\r\n";
      InTransaction = Has("BEGIN") || (InTransaction && !Has("ROLLBACK"));
      Out += "DONE -\r\n";
    } else if (Line.starts_with("QUERY")) {
      if (Has(LargeItem))
        Out += "ROW " + std::string(LargeRowBytes, 'r') + "\r\n";
      InTransaction = InTransaction && !Has("COMMIT");
      Out += "DONE s" + std::to_string(++Signatures) + "\r\n";
    }
    Out += std::string("READY ") + (InTransaction ? "T" : "I") + " 1.1\r\n";
    send(std::move(Out));
  }

  void send(std::string Bytes) {
    Output.push_back(std::move(Bytes));
    if (Output.size() == 1)
      write();
  }

  void write() {
    platform::asio::async_write(
        Socket, platform::asio::buffer(Output.front()),
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (Error)
            return;
          Self->Output.pop_front();
          if (!Self->Output.empty())
            Self->write();
        });
  }

  tcp::socket Socket;
  std::array<char, 65536> Buffer{};
  std::string Input;
  std::size_t Searched = 0;
  std::deque<std::string> Output;
  bool InTransaction = false;
};

} // namespace

AnsweringServer::AnsweringServer(platform::asio::io_context &Loop)
    : Acceptor(Loop, tcp::endpoint(
                         platform::asio::ip::make_address("127.0.0.1"), 0)) {
  accept();
}

void AnsweringServer::accept() {
  Acceptor.async_accept([this](error_code Error, tcp::socket Socket) {
    if (Error)
      return;
    std::make_shared<Connection>(std::move(Socket))->read();
    accept();
  });
}

std::string AnsweringServer::entry() const {
  return R"({"service":"svc","addr":"127.0.0.1:)" +
         std::to_string(Acceptor.local_endpoint().port()) +
         R"(","zone":"z","version":"v1","slots":8,"state":"ready",)"
         R"("coldLeftMs":0,"dbRole":"primary","seq":1})";
}

} // namespace eelgrassloom::hostile
