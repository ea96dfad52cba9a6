#ifndef GOLDCREST_FLEET_TESTS_SIMULATED_NETWORK_H_
#define GOLDCREST_FLEET_TESTS_SIMULATED_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::fleet {

struct SimulatedNetworkHooks {
  std::function<void(const std::string& from,
                     const std::string& to,
                     const messages::PeerMessage&)>
      deliver;
  std::function<void(const std::string& at, const std::string& peer, bool up)>
      link;
  std::function<bool(const std::string& process)> running;
};

//! Simulated time, timers, and links between processes. Links behave like those
//! of adapters::PeerTransport: messages stay in order, a link to a stopped
//! process breaks at once, a silent one after a second, and broken ones are
//! opened again.
class SimulatedNetwork {
 public:
  SimulatedNetwork(std::mt19937_64 generator, SimulatedNetworkHooks hooks);

  Time Now() const { return now_; }
  void At(Time time, std::function<void()> task);
  void After(Duration delay, std::function<void()> task) {
    At(now_ + delay, std::move(task));
  }
  //! Runs the tasks up to `end`.
  void RunUntil(Time end);

  //! `process` opens links to `peers`.
  void SetPeers(const std::string& process, const std::set<std::string>& peers);
  void OnProcessStopped(const std::string& process, bool silently);
  void Send(const std::string& from,
            const std::string& to,
            const messages::PeerMessage& message);

  //! The process neither sends nor handles messages until `time`.
  void Block(const std::string& process, Time time);
  bool IsBlocked(const std::string& process) const;
  //! No message passes between the two until `time`.
  void Cut(const std::string& left, const std::string& right, Time time);
  bool IsCut(const std::string& left, const std::string& right) const;
  //! The open links of the process pass no message any more.
  void Silence(const std::string& process);

  //! Opens links, and closes silent ones.
  void Maintain();

 private:
  using Pair = std::pair<std::string, std::string>;
  struct Link {
    bool up = false;
    bool silent = false;  // passes nothing, until it is replaced
    std::uint64_t number = 0;
    Time heard_at;
    Time attempt_at;
  };
  struct Task {
    Time time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Task& other) const {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };

  static Pair MakePair(const std::string& left, const std::string& right);
  bool CanTalk(const Pair& pair) const;
  void MaintainLink(const Pair& pair);
  void CloseLink(const Pair& pair, Link& link);
  void DeliverWhenFree(const std::string& from,
                       const std::string& to,
                       std::uint64_t number,
                       const messages::PeerMessage& message);
  Duration RandomMicros(std::int64_t from, std::int64_t to);

  std::mt19937_64 generator_;
  SimulatedNetworkHooks hooks_;
  Time now_ = TimeFromMicros(100'000'000);
  std::uint64_t order_ = 0;
  std::uint64_t links_opened_ = 0;
  std::priority_queue<Task> tasks_;
  std::map<std::string, std::set<std::string>> peers_;
  std::map<Pair, Link> links_;
  std::map<Pair, Time> last_arrival_;  // by direction
  std::map<std::string, Time> blocked_until_;
  std::map<Pair, Time> cut_until_;
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_TESTS_SIMULATED_NETWORK_H_
