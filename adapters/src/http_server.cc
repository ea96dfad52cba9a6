#include "goldcrest/adapters/http_server.h"

#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http_connection.h"
#include "listener.h"

namespace goldcrest::adapters {

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       HttpServerOptions options,
       Handler handler,
       DisconnectHook on_disconnect)
      : listener_(
            std::make_shared<Listener>(context, options.host, options.port)),
        shared_(std::make_shared<HttpServerShared>(options.max_held_bytes)) {
    shared_->options = std::move(options);
    shared_->handler = std::move(handler);
    shared_->on_disconnect = std::move(on_disconnect);
  }

  void Start() {
    shared_->remove_connection = [weak = weak_from_this()](std::uint64_t id) {
      if (const auto self = weak.lock())
        self->RemoveConnection(id);
    };
    listener_->Start([weak = weak_from_this()](Socket socket) {
      if (const auto self = weak.lock())
        self->AddConnection(std::move(socket));
    });
  }

  std::uint16_t Port() const { return listener_->Port(); }
  std::size_t RequestsInFlight() const { return shared_->requests_in_flight; }

  std::size_t OpenConnections() const {
    const std::lock_guard lock(mutex_);
    return connections_.size();
  }

  void StopAccepting() { listener_->StopAfterBacklog(); }

  void BeginDrain() {
    shared_->draining = true;
    for (const auto& connection : ListConnections())
      connection->BeginDrain();
  }

  void Close() {
    listener_->Stop();
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    for (const auto& connection : ListConnections())
      connection->Abort();
  }

 private:
  void AddConnection(Socket socket) {
    const std::lock_guard lock(mutex_);
    if (closed_)
      return;
    const std::uint64_t id = next_id_++;
    const std::size_t open = connections_.size();
    const std::size_t maximum = shared_->options.max_connections;
    if (open >= maximum + shared_->options.max_refused_connections)
      return;
    const bool replaces = open >= maximum && AbortIdleConnection();
    auto connection =
        std::make_shared<HttpConnection>(id, std::move(socket), shared_);
    connections_.emplace(id, connection);
    if (open < maximum || replaces)
      connection->Start();
    else
      connection->Refuse(ResultCode::kTooManyConnections);
  }

  // Requires mutex_.
  bool AbortIdleConnection() {
    if (!shared_->options.replace_idle_connections)
      return false;
    for (const auto& [id, connection] : connections_) {
      if (!connection->TakeIdle())
        continue;
      connection->Abort();
      return true;
    }
    return false;
  }

  void RemoveConnection(std::uint64_t id) {
    const std::lock_guard lock(mutex_);
    connections_.erase(id);
  }

  std::vector<std::shared_ptr<HttpConnection>> ListConnections() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<HttpConnection>> connections;
    connections.reserve(connections_.size());
    for (const auto& [id, connection] : connections_)
      connections.push_back(connection);
    return connections;
  }

  const std::shared_ptr<Listener> listener_;
  mutable std::mutex mutex_;
  const std::shared_ptr<HttpServerShared> shared_;
  bool closed_ = false;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<HttpConnection>>
      connections_;
};

HttpServer::HttpServer(boost::asio::io_context& context,
                       HttpServerOptions options,
                       Handler handler,
                       DisconnectHook on_disconnect)
    : impl_(std::make_shared<Impl>(context,
                                   std::move(options),
                                   std::move(handler),
                                   std::move(on_disconnect))) {}

HttpServer::~HttpServer() {
  Close();
}

void HttpServer::Start() {
  impl_->Start();
}

std::uint16_t HttpServer::Port() const {
  return impl_->Port();
}

void HttpServer::StopAccepting() {
  impl_->StopAccepting();
}

void HttpServer::BeginDrain() {
  impl_->BeginDrain();
}

void HttpServer::Close() {
  impl_->Close();
}

std::size_t HttpServer::OpenConnections() const {
  return impl_->OpenConnections();
}

std::size_t HttpServer::RequestsInFlight() const {
  return impl_->RequestsInFlight();
}

}  // namespace goldcrest::adapters
