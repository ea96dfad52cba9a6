#ifndef GOLDCREST_ADAPTERS_PEER_TRANSPORT_H_
#define GOLDCREST_ADAPTERS_PEER_TRANSPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "goldcrest/adapters/logger.h"
#include "goldcrest/messages/messages.h"

namespace boost::asio {
class io_context;
}

namespace goldcrest::adapters {

struct PeerTransportOptions {
  std::string cluster;
  messages::InstanceInfo self;
  std::string host = "127.0.0.1";  //!< IP number to listen on.
  std::uint16_t port = 0;          //!< 0: any free port.
  std::size_t max_frame_bytes = 16 << 20;
  //! Bounds of each link's send queue; the oldest messages are dropped.
  std::size_t max_queued_messages = 4'096;
  std::size_t max_queued_bytes = 32 << 20;
  //! Messages to a peer arrive in order and without gaps while it is linked:
  //! they use the oldest link, and when a link closes or its send queue is
  //! full, all links to the peer are closed.
  bool ordered = false;
  //! Maximum of incoming connections that have not yet sent a valid Hello.
  std::size_t max_unidentified_connections = 256;
  //! Maximum of incoming connections, with those.
  std::size_t max_incoming_connections =
      std::numeric_limits<std::size_t>::max();
  //! Of frames that all links hold, received in part or queued; beyond it, the
  //! link that holds most is closed.
  std::size_t max_held_bytes = std::numeric_limits<std::size_t>::max();
  std::chrono::milliseconds ping_interval{250};
  //! A link without any received byte for this long is closed and replaced.
  std::chrono::milliseconds silence_timeout{1'000};
  //! A connection attempt that takes longer is given up. Shorter than the TCP
  //! timeout of a connection attempt to an instance that is starting. A peer
  //! that has accepted the connection gets `silence_timeout` for its Hello,
  //! since it may be busy.
  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::milliseconds min_backoff{50};
  std::chrono::milliseconds max_backoff{500};
};

struct PeerAddress {
  std::string host;  //!< IP number.
  std::uint16_t port = 0;

  bool operator==(const PeerAddress&) const = default;
};

//! Links between daemons: frames of a 4-byte big-endian length and an encoded
//! PeerMessage, the first of which is a Hello in both directions. Messages
//! keep their order only within one link, and may be lost when it closes. Safe
//! from any thread.
class PeerTransport {
 public:
  //! Gets every message except Hello, ping and pong. Runs on a worker thread,
  //! for several links at the same time; must not block.
  using MessageHandler =
      std::function<void(const std::string& from, messages::PeerMessage)>;
  //! Called when the first link to an instance comes up, and when the last one
  //! goes down.
  using LinkHook = std::function<void(const std::string& instance, bool up)>;

  //! Throws std::system_error when the address can't be bound.
  PeerTransport(boost::asio::io_context& context,
                PeerTransportOptions options,
                std::shared_ptr<Logger> logger,
                MessageHandler on_message,
                LinkHook on_link = {});
  //! Calls Close().
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  //! Begins to accept and to connect.
  void Start();

  std::uint16_t Port() const;

  //! Replaces the peer addresses. Outgoing links to removed peers and changed
  //! addresses are closed; an entry for this instance is ignored.
  void SetPeers(const std::map<std::string, PeerAddress>& peers);

  //! Queues the message on a link to `to`, whichever side opened it. False when
  //! there is no link or the message is larger than a frame may be.
  bool Send(const std::string& to, const messages::PeerMessage& message);

  bool IsConnected(const std::string& instance) const;
  //! Bytes that wait to be sent to the instance.
  std::size_t QueuedBytes(const std::string& instance) const;
  std::vector<std::string> ConnectedPeers() const;

  //! Messages dropped by full queues or lost unsent with a link.
  std::uint64_t DroppedMessages() const;

  //! Closes the listener and all links.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_PEER_TRANSPORT_H_
