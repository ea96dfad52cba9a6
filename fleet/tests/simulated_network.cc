#include "simulated_network.h"

#include <algorithm>
#include <chrono>

namespace goldcrest::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kSilenceTimeout = milliseconds(1'000);
constexpr Duration kReconnectInterval = milliseconds(150);

}  // namespace

SimulatedNetwork::SimulatedNetwork(std::mt19937_64 generator,
                                   SimulatedNetworkHooks hooks)
    : generator_(generator), hooks_(std::move(hooks)) {}

void SimulatedNetwork::At(Time time, std::function<void()> task) {
  tasks_.push({std::max(time, now_), ++order_, std::move(task)});
}

void SimulatedNetwork::RunUntil(Time end) {
  while (!tasks_.empty() && tasks_.top().time <= end) {
    const Task task = tasks_.top();
    tasks_.pop();
    now_ = task.time;
    task.run();
  }
  now_ = end;
}

SimulatedNetwork::Pair SimulatedNetwork::MakePair(const std::string& left,
                                                  const std::string& right) {
  return left < right ? Pair(left, right) : Pair(right, left);
}

void SimulatedNetwork::SetPeers(const std::string& process,
                                const std::set<std::string>& peers) {
  peers_[process] = peers;
  for (const std::string& peer : peers) {
    if (peer != process)
      links_.try_emplace(MakePair(process, peer));
  }
}

void SimulatedNetwork::Block(const std::string& process, Time time) {
  Time& until = blocked_until_[process];
  until = std::max(until, time);
}

bool SimulatedNetwork::IsBlocked(const std::string& process) const {
  const auto it = blocked_until_.find(process);
  return it != blocked_until_.end() && now_ < it->second;
}

void SimulatedNetwork::Cut(const std::string& left,
                           const std::string& right,
                           Time time) {
  Time& until = cut_until_[MakePair(left, right)];
  until = std::max(until, time);
}

bool SimulatedNetwork::IsCut(const std::string& left,
                             const std::string& right) const {
  const auto it = cut_until_.find(MakePair(left, right));
  return it != cut_until_.end() && now_ < it->second;
}

void SimulatedNetwork::Silence(const std::string& process) {
  for (auto& [pair, link] : links_) {
    if (pair.first == process || pair.second == process)
      link.silent = link.up;
  }
}

void SimulatedNetwork::OnProcessStopped(const std::string& process,
                                        bool silently) {
  blocked_until_.erase(process);
  for (auto& [pair, link] : links_) {
    if ((pair.first != process && pair.second != process) || !link.up)
      continue;
    if (silently) {
      link.silent = true;
      continue;
    }
    CloseLink(pair, link);
  }
}

void SimulatedNetwork::CloseLink(const Pair& pair, Link& link) {
  link.up = false;
  link.silent = false;
  link.attempt_at = now_ + kReconnectInterval;
  const Pair both = pair;
  After(milliseconds(2), [this, both] {
    for (const auto& [at, peer] : {both, Pair(both.second, both.first)}) {
      if (hooks_.running(at) && !links_[both].up)
        hooks_.link(at, peer, false);
    }
  });
}

bool SimulatedNetwork::CanTalk(const Pair& pair) const {
  return hooks_.running(pair.first) && hooks_.running(pair.second) &&
         !IsBlocked(pair.first) && !IsBlocked(pair.second) &&
         !IsCut(pair.first, pair.second);
}

void SimulatedNetwork::MaintainLink(const Pair& pair) {
  Link& link = links_[pair];
  if (link.up) {
    if (CanTalk(pair) && !link.silent)
      link.heard_at = now_;
    else if (now_ - link.heard_at >= kSilenceTimeout)
      CloseLink(pair, link);
    return;
  }
  if (now_ < link.attempt_at || !CanTalk(pair))
    return;
  link.attempt_at = now_ + kReconnectInterval;
  link.up = true;
  link.number = ++links_opened_;
  link.heard_at = now_;
  After(RandomMicros(5'000, 60'000), [this, pair, number = link.number] {
    for (const auto& [at, peer] : {pair, Pair(pair.second, pair.first)}) {
      if (links_[pair].up && links_[pair].number == number &&
          hooks_.running(at))
        hooks_.link(at, peer, true);
    }
  });
}

void SimulatedNetwork::Maintain() {
  for (auto& [pair, link] : links_)
    MaintainLink(pair);
}

void SimulatedNetwork::Send(const std::string& from,
                            const std::string& to,
                            const messages::PeerMessage& message) {
  const auto link = links_.find(MakePair(from, to));
  if (link == links_.end() || !link->second.up)
    return;
  const auto blocked = blocked_until_.find(from);
  const Time sent_at =
      blocked == blocked_until_.end() ? now_ : std::max(now_, blocked->second);
  Time& last = last_arrival_[{from, to}];
  last = std::max(last, sent_at + RandomMicros(500, 8'000));
  At(last, [this, from, to, number = link->second.number, message] {
    DeliverWhenFree(from, to, number, message);
  });
}

void SimulatedNetwork::DeliverWhenFree(const std::string& from,
                                       const std::string& to,
                                       std::uint64_t number,
                                       const messages::PeerMessage& message) {
  const Pair pair = MakePair(from, to);
  const Link& link = links_[pair];
  if (!link.up || link.number != number || link.silent || !hooks_.running(to))
    return;
  if (!IsCut(from, to) && !IsBlocked(to))
    return hooks_.deliver(from, to, message);
  // TCP holds the message until the cut or the block is over, or the link is
  // closed.
  Time& last = last_arrival_[{from, to}];
  Time free_at = IsBlocked(to) ? blocked_until_[to] : now_;
  if (IsCut(from, to))
    free_at = std::max(free_at, cut_until_[pair]);
  last = std::max(last, free_at);
  At(free_at, [this, from, to, number, message] {
    DeliverWhenFree(from, to, number, message);
  });
}

Duration SimulatedNetwork::RandomMicros(std::int64_t from, std::int64_t to) {
  return Duration(
      std::uniform_int_distribution<std::int64_t>(from, to)(generator_));
}

}  // namespace goldcrest::fleet
