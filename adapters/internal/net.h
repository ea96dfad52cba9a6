#ifndef GOLDCREST_ADAPTERS_INTERNAL_NET_H_
#define GOLDCREST_ADAPTERS_INTERNAL_NET_H_

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>

namespace goldcrest::adapters {

namespace asio = boost::asio;
using boost::system::error_code;

using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;
using SteadyClock = std::chrono::steady_clock;
using SteadyTimer = asio::
    basic_waitable_timer<SteadyClock, asio::wait_traits<SteadyClock>, Strand>;

//! Shuts down and closes the socket, ignoring errors.
inline void CloseSocket(Socket& socket) {
  error_code ignored;
  socket.shutdown(Socket::shutdown_both, ignored);
  socket.close(ignored);
}

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_INTERNAL_NET_H_
