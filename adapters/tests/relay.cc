#include "tests/relay.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

namespace goldcrest::adapters {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct RelayedConnection {
  explicit RelayedConnection(tcp::socket client)
      : client_side(std::move(client)),
        target_side(client_side.get_executor()) {}

  tcp::socket client_side;
  tcp::socket target_side;
  std::atomic<bool> silent = false;
};

void Forward(const std::shared_ptr<RelayedConnection>& connection,
             tcp::socket& from,
             tcp::socket& to) {
  auto bytes = std::make_shared<std::array<char, 4096>>();
  from.async_read_some(asio::buffer(*bytes),
                       [=, &from, &to](error_code error, std::size_t size) {
                         if (connection->silent)
                           return;
                         if (!error)
                           asio::write(to, asio::buffer(*bytes, size), error);
                         if (error) {
                           error_code ignored;
                           to.shutdown(tcp::socket::shutdown_both, ignored);
                           return;
                         }
                         Forward(connection, from, to);
                       });
}

}  // namespace

struct Relay::Impl {
  explicit Impl(std::uint16_t port)
      : target(asio::ip::address_v4::loopback(), port),
        acceptor(context, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
    thread = std::thread([this] { context.run(); });
  }

  void Accept() {
    acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error)
        return;
      ++accepted;
      auto connection = std::make_shared<RelayedConnection>(std::move(socket));
      connection->target_side.connect(target, error);
      if (!error) {
        connections.push_back(connection);
        Forward(connection, connection->client_side, connection->target_side);
        Forward(connection, connection->target_side, connection->client_side);
      }
      Accept();
    });
  }

  asio::io_context context{1};
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::vector<std::shared_ptr<RelayedConnection>> connections;
  std::atomic<int> accepted = 0;
  std::thread thread;
};

Relay::Relay(std::uint16_t target) : impl_(std::make_unique<Impl>(target)) {}

Relay::~Relay() {
  impl_->context.stop();
  impl_->thread.join();
}

std::uint16_t Relay::Port() const {
  return impl_->acceptor.local_endpoint().port();
}

void Relay::SilenceExisting() {
  asio::post(impl_->context, [this] {
    for (const auto& connection : impl_->connections)
      connection->silent = true;
  });
}

int Relay::AcceptedConnections() const {
  return impl_->accepted;
}

}  // namespace goldcrest::adapters
