#ifndef GOLDCREST_ADAPTERS_INTERNAL_LISTENER_H_
#define GOLDCREST_ADAPTERS_INTERNAL_LISTENER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "net.h"

namespace goldcrest::adapters {

//! Accepts TCP connections, each with a strand of its own. Safe from any
//! thread.
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  using SocketHandler = std::function<void(Socket)>;

  //! Binds; throws std::system_error when the address can't be bound.
  Listener(asio::io_context& context,
           const std::string& host,
           std::uint16_t port);

  std::uint16_t Port() const { return port_; }

  //! `on_socket` runs on worker threads, or in StopAfterBacklog().
  void Start(SocketHandler on_socket);

  //! Like Stop(). Connections that the kernel has established are passed to
  //! `on_socket` first, since closing the listener would reset them,
  //! possibly with requests in transit.
  void StopAfterBacklog();

  //! Closes the listener. Connection attempts fail from then on.
  void Stop();

 private:
  void StartAccept();
  void OnAccept(error_code error, Socket socket);
  void CloseAcceptor();

  asio::io_context& context_;
  std::mutex mutex_;
  asio::ip::tcp::acceptor acceptor_;  // guarded by mutex_
  SteadyTimer retry_timer_;           // guarded by mutex_
  bool accepting_ = false;            // guarded by mutex_
  std::uint16_t port_ = 0;
  SocketHandler on_socket_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_INTERNAL_LISTENER_H_
