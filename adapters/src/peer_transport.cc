#include "goldcrest/adapters/peer_transport.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <mutex>
#include <utility>

#include "listener.h"
#include "peer_link.h"

namespace goldcrest::adapters {

using Link = std::shared_ptr<PeerLink>;

namespace {

constexpr std::size_t kMaxLinksOfPeer = 4;

}  // namespace

// Lock order: mutex_ before PeerLink::mutex_. Hooks run without locks.
class PeerTransport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       PeerTransportOptions options,
       std::shared_ptr<Logger> logger,
       MessageHandler on_message,
       LinkHook on_link)
      : context_(context),
        listener_(
            std::make_shared<Listener>(context, options.host, options.port)),
        shared_(std::make_shared<PeerLinkShared>(options.max_held_bytes)),
        hook_strand_(asio::make_strand(context)),
        on_link_(std::move(on_link)) {
    shared_->options = std::move(options);
    shared_->logger = std::move(logger);
    shared_->on_message = std::move(on_message);
  }

  void Start();
  std::uint16_t Port() const { return listener_->Port(); }
  void SetPeers(const std::map<std::string, PeerAddress>& peers);
  bool Send(const std::string& to, const messages::PeerMessage& message);
  std::vector<std::string> ConnectedPeers() const;
  std::size_t QueuedBytes(const std::string& instance) const;
  std::uint64_t DroppedMessages() const { return shared_->dropped_messages; }
  void Close();

 private:
  struct OutgoingPeer {
    PeerAddress address;
    Link link;  // null until the next connection attempt
    std::chrono::milliseconds backoff{0};
    std::shared_ptr<SteadyTimer> timer;
    std::string last_logged_cause;  // for logging only changes
  };

  void OnAccepted(Socket socket);
  void OnLinkUp(const Link& link);
  void OnLinkClosed(const Link& link);
  void Connect(const std::string& name, OutgoingPeer& peer);
  void Reconnect(const std::string& name, OutgoingPeer& peer);
  static void CloseOutgoing(OutgoingPeer& peer);
  void PostHook(const std::string& instance, bool up);

  asio::io_context& context_;
  const std::shared_ptr<Listener> listener_;
  const std::shared_ptr<PeerLinkShared> shared_;
  const Strand hook_strand_;
  const LinkHook on_link_;
  mutable std::mutex mutex_;
  bool started_ = false;                          // guarded by mutex_
  bool closed_ = false;                           // guarded by mutex_
  std::map<std::string, OutgoingPeer> outgoing_;  // guarded by mutex_
  std::vector<Link> unidentified_;  // incoming, before a valid Hello
  std::size_t incoming_up_ = 0;
  std::map<std::string, std::vector<Link>> up_links_;  // oldest first
};

void PeerTransport::Impl::Start() {
  shared_->on_up = [weak = weak_from_this()](const Link& link) {
    if (const auto self = weak.lock())
      self->OnLinkUp(link);
  };
  shared_->on_closed = [weak = weak_from_this()](const Link& link) {
    if (const auto self = weak.lock())
      self->OnLinkClosed(link);
  };
  listener_->Start([weak = weak_from_this()](Socket socket) {
    if (const auto self = weak.lock())
      self->OnAccepted(std::move(socket));
  });
  const std::lock_guard lock(mutex_);
  started_ = true;
  for (auto& [name, peer] : outgoing_)
    Connect(name, peer);
}

void PeerTransport::Impl::OnAccepted(Socket socket) {
  const std::lock_guard lock(mutex_);
  const PeerTransportOptions& options = shared_->options;
  if (closed_ || unidentified_.size() >= options.max_unidentified_connections ||
      unidentified_.size() + incoming_up_ >= options.max_incoming_connections)
    return;
  auto link = std::make_shared<PeerLink>(std::move(socket), shared_, "");
  unidentified_.push_back(link);
  link->StartIncoming();
}

void PeerTransport::Impl::SetPeers(
    const std::map<std::string, PeerAddress>& peers) {
  const std::lock_guard lock(mutex_);
  if (closed_)
    return;
  for (auto entry = outgoing_.begin(); entry != outgoing_.end();) {
    const auto found = peers.find(entry->first);
    if (found != peers.end() && found->second == entry->second.address) {
      ++entry;
      continue;
    }
    CloseOutgoing(entry->second);
    entry = outgoing_.erase(entry);
  }
  for (const auto& [name, address] : peers) {
    if (name == shared_->options.self.instance || outgoing_.contains(name))
      continue;
    OutgoingPeer& peer = outgoing_[name];
    peer.address = address;
    if (started_)
      Connect(name, peer);
  }
}

void PeerTransport::Impl::CloseOutgoing(OutgoingPeer& peer) {
  if (peer.timer)
    peer.timer->cancel();
  if (peer.link)
    peer.link->Close("removed from the peer addresses");
}

// Requires mutex_.
void PeerTransport::Impl::Connect(const std::string& name, OutgoingPeer& peer) {
  error_code error;
  const auto address = asio::ip::make_address(peer.address.host, error);
  if (error) {
    shared_->logger->Warning("peer_address_invalid", ResultCode::kInvalidField,
                             {{"peer", name}, {"address", peer.address.host}});
    return;
  }
  peer.link = std::make_shared<PeerLink>(
      Socket(asio::make_strand(context_.get_executor())), shared_, name);
  peer.link->StartOutgoing({address, peer.address.port});
}

// Requires mutex_.
void PeerTransport::Impl::Reconnect(const std::string& name,
                                    OutgoingPeer& peer) {
  const PeerTransportOptions& options = shared_->options;
  peer.link = nullptr;
  peer.backoff =
      std::clamp(peer.backoff * 2, options.min_backoff, options.max_backoff);
  auto timer = std::make_shared<SteadyTimer>(hook_strand_, peer.backoff);
  peer.timer = timer;
  timer->async_wait(
      [weak = weak_from_this(), name, timer](error_code cancelled) {
        const auto self = weak.lock();
        if (cancelled || !self)
          return;
        const std::lock_guard lock(self->mutex_);
        const auto found = self->outgoing_.find(name);
        if (found != self->outgoing_.end() && found->second.timer == timer)
          self->Connect(name, found->second);
      });
}

void PeerTransport::Impl::OnLinkUp(const Link& link) {
  const std::string& name = link->Peer();
  const std::lock_guard lock(mutex_);
  std::erase(unidentified_, link);
  if (closed_)
    return;
  if (const auto found = outgoing_.find(name);
      found != outgoing_.end() && found->second.link == link) {
    found->second.backoff = {};
    found->second.last_logged_cause.clear();
  }
  std::vector<Link>& links = up_links_[name];
  if (!link->IsOutgoing())
    ++incoming_up_;
  // A peer has a link in each direction, and each may be about to be replaced.
  if (links.size() >= kMaxLinksOfPeer)
    links.front()->Close("replaced by newer links");
  links.push_back(link);
  shared_->logger->Info(
      "peer_link_up",
      {{"peer", name}, {"direction", link->IsOutgoing() ? "out" : "in"}});
  if (links.size() == 1)
    PostHook(name, true);
}

void PeerTransport::Impl::OnLinkClosed(const Link& link) {
  const std::lock_guard lock(mutex_);
  std::erase(unidentified_, link);
  if (link->WasUp()) {
    const std::string& name = link->Peer();
    shared_->logger->Info("peer_link_down",
                          {{"peer", name},
                           {"direction", link->IsOutgoing() ? "out" : "in"},
                           {"cause", link->CloseCause()}});
    if (const auto found = up_links_.find(name); found != up_links_.end()) {
      const bool was_up = std::erase(found->second, link) > 0;
      if (was_up && !link->IsOutgoing())
        --incoming_up_;
      if (shared_->options.ordered) {
        for (const Link& other : found->second)
          other->Close("another link to the peer has closed");
      }
      if (was_up && found->second.empty()) {
        up_links_.erase(found);
        PostHook(name, false);
      }
    }
  }
  const auto found = outgoing_.find(link->ExpectedPeer());
  if (closed_ || found == outgoing_.end() || found->second.link != link)
    return;
  OutgoingPeer& peer = found->second;
  if (!link->WasUp() && peer.last_logged_cause != link->CloseCause()) {
    peer.last_logged_cause = link->CloseCause();
    shared_->logger->Info(
        "peer_unreachable",
        {{"peer", found->first}, {"cause", peer.last_logged_cause}});
  }
  Reconnect(found->first, peer);
}

bool PeerTransport::Impl::Send(const std::string& to,
                               const messages::PeerMessage& message) {
  std::vector<Link> links;
  {
    const std::lock_guard lock(mutex_);
    const auto found = up_links_.find(to);
    if (found == up_links_.end())
      return false;
    links = found->second;
  }
  std::string frame = ToFrame(message);
  if (frame.size() > shared_->options.max_frame_bytes) {
    shared_->logger->Error("peer_message_too_large", ResultCode::kBodyTooLarge,
                           {{"peer", to}, {"bytes", frame.size()}});
    return false;
  }
  if (shared_->options.ordered)
    return links.front()->Send(std::move(frame));
  // The newest link is the least likely to be broken without detection.
  return std::any_of(links.rbegin(), links.rend(),
                     [&frame](const Link& link) { return link->Send(frame); });
}

std::vector<std::string> PeerTransport::Impl::ConnectedPeers() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> peers;
  peers.reserve(up_links_.size());
  for (const auto& [name, links] : up_links_)
    peers.push_back(name);
  return peers;
}

std::size_t PeerTransport::Impl::QueuedBytes(
    const std::string& instance) const {
  const std::lock_guard lock(mutex_);
  const auto found = up_links_.find(instance);
  std::size_t bytes = 0;
  if (found == up_links_.end())
    return bytes;
  for (const Link& link : found->second)
    bytes += link->QueuedBytes();
  return bytes;
}

// Posts the hook with mutex_ held, so that hooks run in the order of the
// changes.
void PeerTransport::Impl::PostHook(const std::string& instance, bool up) {
  if (!on_link_)
    return;
  asio::post(hook_strand_, [self = shared_from_this(), instance, up] {
    self->on_link_(instance, up);
  });
}

void PeerTransport::Impl::Close() {
  listener_->Stop();
  const std::lock_guard lock(mutex_);
  closed_ = true;
  for (auto& [name, peer] : outgoing_)
    CloseOutgoing(peer);
  outgoing_.clear();
  for (const Link& link : unidentified_)
    link->Close("transport closed");
  for (const auto& [name, links] : up_links_) {
    for (const Link& link : links)
      link->Close("transport closed");
  }
}

PeerTransport::PeerTransport(boost::asio::io_context& context,
                             PeerTransportOptions options,
                             std::shared_ptr<Logger> logger,
                             MessageHandler on_message,
                             LinkHook on_link)
    : impl_(std::make_shared<Impl>(context,
                                   std::move(options),
                                   std::move(logger),
                                   std::move(on_message),
                                   std::move(on_link))) {}

PeerTransport::~PeerTransport() {
  Close();
}

void PeerTransport::Start() {
  impl_->Start();
}

std::uint16_t PeerTransport::Port() const {
  return impl_->Port();
}

void PeerTransport::SetPeers(const std::map<std::string, PeerAddress>& peers) {
  impl_->SetPeers(peers);
}

bool PeerTransport::Send(const std::string& to,
                         const messages::PeerMessage& message) {
  return impl_->Send(to, message);
}

bool PeerTransport::IsConnected(const std::string& instance) const {
  const auto peers = ConnectedPeers();
  return std::find(peers.begin(), peers.end(), instance) != peers.end();
}

std::size_t PeerTransport::QueuedBytes(const std::string& instance) const {
  return impl_->QueuedBytes(instance);
}

std::vector<std::string> PeerTransport::ConnectedPeers() const {
  return impl_->ConnectedPeers();
}

std::uint64_t PeerTransport::DroppedMessages() const {
  return impl_->DroppedMessages();
}

void PeerTransport::Close() {
  impl_->Close();
}

}  // namespace goldcrest::adapters
