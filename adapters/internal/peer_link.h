#ifndef GOLDCREST_ADAPTERS_INTERNAL_PEER_LINK_H_
#define GOLDCREST_ADAPTERS_INTERNAL_PEER_LINK_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/adapters/peer_transport.h"
#include "memory_guard.h"
#include "net.h"

namespace goldcrest::adapters {

class PeerLink;

//! State shared by all links of one transport. Outlives them.
struct PeerLinkShared {
  explicit PeerLinkShared(std::size_t max_held_bytes)
      : memory(max_held_bytes) {}

  PeerTransportOptions options;
  std::shared_ptr<Logger> logger;
  PeerTransport::MessageHandler on_message;
  std::function<void(const std::shared_ptr<PeerLink>&)> on_up;
  //! Called once for each link that was started.
  std::function<void(const std::shared_ptr<PeerLink>&)> on_closed;
  MemoryGuard memory;
  std::atomic<std::uint64_t> next_link = 1;
  std::atomic<std::uint64_t> dropped_messages = 0;
};

//! One connection to a peer. It is up once both sides have sent a valid Hello.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  //! `expected_peer` is the instance that an outgoing link connects to; empty
  //! for an incoming link.
  PeerLink(Socket socket,
           std::shared_ptr<PeerLinkShared> shared,
           std::string expected_peer);

  // From any thread.
  void StartIncoming();
  void StartOutgoing(const asio::ip::tcp::endpoint& address);
  //! False when the link is not up.
  bool Send(std::string frame);
  std::size_t QueuedBytes();
  void Close(std::string cause);

  bool IsOutgoing() const { return !expected_peer_.empty(); }
  bool WasUp() const { return up_; }
  //! The peer's name; to be read once the link is up.
  const std::string& Peer() const { return peer_; }
  const std::string& ExpectedPeer() const { return expected_peer_; }
  const std::string& CloseCause() const { return close_cause_; }

 private:
  //! Configures the connected socket and starts to read.
  void OnConnected();
  void WaitForReadable();
  void OnReadable();
  void ReadFrames();
  bool OnFrame(std::string_view bytes);
  bool OnHello(const messages::PeerMessage& message);
  //! Tells the transport what the link holds.
  void RecordMemory();
  void EnqueueFrame(std::string frame);
  void EnqueueMessage(const messages::PeerMessage& message);
  void SendIfQueueEmpty(const messages::PeerMessage& message);
  void Flush();
  void OnWritten(error_code error);
  void ArmTimer();
  void OnTimer();
  //! Closes the link; logs a rejection unless `code` is kOk.
  void CloseOnStrand(ResultCode code, std::string cause);

  Socket socket_;
  SteadyTimer timer_;
  const std::shared_ptr<PeerLinkShared> shared_;
  const std::string expected_peer_;
  const std::uint64_t number_;

  // Accessed only on the strand.
  std::string peer_;
  std::string receive_buffer_;
  std::vector<std::string> frames_in_write_;
  SteadyClock::time_point started_at_;
  SteadyClock::time_point last_received_;
  bool connected_ = false;
  bool closed_ = false;
  bool memory_recorded_ = false;
  std::string close_cause_;

  std::mutex mutex_;
  std::deque<std::string> queue_;  // guarded by mutex_
  std::size_t queued_bytes_ = 0;   // guarded by mutex_
  bool flush_pending_ = false;     // guarded by mutex_
  bool accepts_sends_ = false;     // guarded by mutex_
  std::atomic<bool> up_ = false;
};

//! The frame of a message: 4 bytes of length, big-endian, and the encoding.
std::string ToFrame(const messages::PeerMessage& message);

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_INTERNAL_PEER_LINK_H_
