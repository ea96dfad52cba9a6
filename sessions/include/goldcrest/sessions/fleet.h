#ifndef GOLDCREST_SESSIONS_FLEET_H_
#define GOLDCREST_SESSIONS_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/entry/control_node.h"
#include "goldcrest/entry/entry_node.h"
#include "goldcrest/sessions/fake_group.h"

namespace goldcrest::sessions {

//! A few instances of the core in one process, with a clock and a message queue
//! of its own. Writes what callers see and what is decided into a transcript.
//! The same calls give the same transcript.
class Fleet {
 public:
  //! Instances e1..eN; the first `control_count` have the role control.
  Fleet(int entry_count, int control_count);
  ~Fleet();

  FakeGroup& AddGroup(const std::string& group, int members, int slots);

  //! Sets configuration objects through `entry` and waits until in force.
  messages::ProposeResponse Configure(const std::string& entry,
                                      const messages::Change& change);
  //! As Configure(), without waiting. Returns what AnswerToChange() takes.
  std::uint64_t StartChange(const std::string& entry,
                            const messages::Change& change);
  const messages::ProposeResponse* AnswerToChange(std::uint64_t id) const;

  //! Sends an operator's request and waits for its answer.
  messages::ProposeResponse Propose(const std::string& entry,
                                    const messages::ProposeRequest& request);

  //! Starts a request; its answer is found by `label` once it has come.
  void Call(const std::string& label,
            const std::string& entry,
            entry::CallerRequest request);
  const entry::CallerAnswer* AnswerTo(const std::string& label) const;
  //! Starts a request and runs until its answer has come (30 s at most).
  entry::CallerAnswer CallAndWait(const std::string& label,
                                  const std::string& entry,
                                  entry::CallerRequest request);

  void Run(Duration duration);
  //! False if `condition` does not hold within `bound`.
  bool RunUntil(const std::function<bool()>& condition, Duration bound);

  // Faults. Names are those of instances and endpoints.
  void Kill(const std::string& instance);
  //! Starts it again, with its disk unless `lose_disk`.
  void Restart(const std::string& instance, bool lose_disk = false);
  //! Holds everything that reaches the instance, and its timers.
  void Freeze(const std::string& instance);
  void Thaw(const std::string& instance);
  //! Drops messages between the two, both ways and in silence.
  void Cut(const std::string& a, const std::string& b);
  void Heal(const std::string& a, const std::string& b);
  //! Cuts off from all others.
  void Isolate(const std::string& name);
  void HealAll() { cuts_.clear(); }
  void SetDelay(Duration one_way) { delay_ = one_way; }
  //! Answers of `endpoint` to statements come later by this.
  void DelayAnswers(const std::string& endpoint, Duration by);
  //! The next `count` answers of `endpoint` to statements carry the id and a
  //! value of another call.
  void CrossAnswers(const std::string& endpoint, int count);
  void KillEndpoint(const std::string& endpoint);
  //! Kills all instances and endpoints with this zone label at once.
  void KillZone(const std::string& zone);
  //! Starts a planned stop; the instance's callers have gone.
  void Drain(const std::string& instance);
  //! An endpoint announces itself to `entry`.
  void Announce(const std::string& entry,
                const messages::Announcement& announcement);

  Time now() const { return now_; }
  entry::EntryNode& entry(const std::string& instance);
  entry::ControlNode& control(const std::string& instance);
  std::string ControlLeader() const;
  std::string CoordinatorOf(const std::string& group);
  std::string PrimaryOf(const std::string& group);
  std::vector<std::string> instances() const;
  FakeGroup& group(const std::string& group) { return groups_.at(group); }

  void Note(const std::string& text);
  const std::string& transcript() const { return transcript_; }
  //! Bytes of all messages to or from control members, by kind.
  const std::map<std::string, std::uint64_t>& control_bytes() const {
    return control_bytes_;
  }
  void CountControlBytes(bool on) { count_bytes_ = on; }
  struct SentCall {
    Time sent;
    coordinator::EndpointCall call;
  };
  //! Everything that endpoints were sent.
  const std::vector<SentCall>& sent_calls() const { return sent_calls_; }

 private:
  struct Node {
    messages::InstanceInfo info;
    bool control_role = false;
    bool up = false;
    bool frozen = false;
    std::uint64_t life = 0;  // rises with each start; old events are dropped
    std::unique_ptr<entry::EntryNode> entry;
    std::unique_ptr<entry::ControlNode> control;
    consensus::RestoredState disk;
    std::vector<std::function<void()>> held;  // while frozen
  };
  struct Event {
    Time at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  std::uint64_t StartProposal(const std::string& entry_name,
                              const messages::ProposeRequest& request);
  void Start(Node& node, bool bootstrap);
  void At(Time time, std::function<void()> run);
  void AtNode(const std::string& name,
              Duration after,
              std::function<void()> run);
  void TickNode(const std::string& name);
  void CarryOut(const std::string& name, const entry::EntryEffects& effects);
  void CarryOut(const std::string& name, const entry::ControlEffects& effects);
  void Send(const std::string& from,
            const std::string& to,
            messages::PeerMessage message);
  void Deliver(const std::string& from,
               const std::string& to,
               const messages::PeerMessage& message);
  void CallEndpoint(const std::string& from,
                    const coordinator::EndpointCall& call);
  void FinishCall(const std::string& name,
                  std::uint64_t id,
                  const coordinator::CallResult& result);
  bool IsCut(const std::string& a, const std::string& b) const;
  FakeGroup& GroupOf(const std::string& endpoint);
  static void WriteToDisk(const std::vector<consensus::LogWrite>& writes,
                          consensus::RestoredState* disk);

  Time now_ = TimeFromMicros(1'000'000);
  std::uint64_t next_order_ = 0;
  std::uint64_t next_caller_ = 1;
  Duration delay_ = std::chrono::milliseconds(5);
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, FakeGroup> groups_;
  std::map<std::string, std::string> group_by_endpoint_;
  std::map<std::string, Duration> answer_delays_;
  std::map<std::string, int> crossed_answers_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::uint64_t, std::string> labels_;
  std::map<std::string, entry::CallerAnswer> answers_;
  std::map<std::uint64_t, messages::ProposeResponse> operator_answers_;
  std::vector<std::string> control_names_;
  std::vector<SentCall> sent_calls_;
  bool count_bytes_ = false;
  std::map<std::string, std::uint64_t> control_bytes_;
  std::string transcript_;
};

}  // namespace goldcrest::sessions

#endif  // GOLDCREST_SESSIONS_FLEET_H_
