#include "server.h"
#include "serverconnection.h"

namespace eelgrassloom::wiretest {

Server::Server(io_context &Loop, Board &Checks, Service &Shared, std::string Id,
               bool IsPrimary)
    : Loop(Loop), Checks(Checks), Shared(Shared), Id(std::move(Id)),
      IsPrimary(IsPrimary),
      Acceptor(Loop, tcp::endpoint(
                         platform::asio::ip::make_address("127.0.0.1"), 0)) {
  accept();
}

void Server::accept() {
  Acceptor.async_accept([this](error_code Error, tcp::socket Socket) {
    if (Error)
      return;
    Socket.set_option(tcp::no_delay(true));
    std::make_shared<ServerConnection>(*this, std::move(Socket))->read();
    accept();
  });
}

std::string Server::entry() const {
  return R"({"service":"svc","addr":"127.0.0.1:)" +
         std::to_string(Acceptor.local_endpoint().port()) +
         R"(","zone":"z","version":"v1","slots":)" + std::to_string(Slots) +
         R"(,"state":"ready","coldLeftMs":0,"dbRole":")" +
         (IsPrimary ? "primary" : "replica") + R"(","seq":1})";
}

} // namespace eelgrassloom::wiretest
