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

//! Simulates a fleet of instances and database groups in one process, with a
//! virtual clock and a message queue. The transcript records requests, their
//! answers, journal entries and faults of single instances and endpoints. The
//! same calls give the same transcript.
class Fleet {
 public:
  //! Starts the instances e1..eN; the first `control_count` of them also have
  //! the control role. They are spread over the availability zones z1..z3.
  Fleet(int entry_count, int control_count);
  ~Fleet();

  //! Adds the endpoints GROUP-1..GROUP-N, which announce themselves to e1 with
  //! `slots` statement slots each.
  FakeGroup& AddGroup(const std::string& group, int members, int slots);

  //! Proposes `change` through `entry` and runs until it is in force (30 s at
  //! most).
  messages::ProposeResponse Configure(const std::string& entry,
                                      const messages::Change& change);
  //! Proposes `change` without waiting. Returns the id for AnswerToChange().
  std::uint64_t StartChange(const std::string& entry,
                            const messages::Change& change);
  //! Returns null while the change is unanswered.
  const messages::ProposeResponse* AnswerToChange(std::uint64_t id) const;

  //! Sends an operator's request and runs until it is answered (30 s at most).
  messages::ProposeResponse Propose(const std::string& entry,
                                    const messages::ProposeRequest& request);

  //! Sends a request. AnswerTo() finds its answer by `label`.
  void Call(const std::string& label,
            const std::string& entry,
            entry::CallerRequest request);
  //! Returns null while the request is unanswered.
  const entry::CallerAnswer* AnswerTo(const std::string& label) const;
  //! Sends a request and runs until it is answered (30 s at most).
  entry::CallerAnswer CallAndWait(const std::string& label,
                                  const std::string& entry,
                                  entry::CallerRequest request);

  void Run(Duration duration);
  //! Runs until `condition` holds. Returns false if that takes longer than
  //! `timeout`.
  bool RunUntil(const std::function<bool()>& condition, Duration timeout);

  // Faults. The parameters are names of instances and endpoints.

  void Kill(const std::string& instance);
  //! Starts a killed instance, with an empty disk if `lose_disk`.
  void Restart(const std::string& instance, bool lose_disk = false);
  //! Defers the messages and timers of the instance until Resume().
  void Pause(const std::string& instance);
  void Resume(const std::string& instance);
  //! Drops all messages between the two in both directions without an error.
  void Partition(const std::string& a, const std::string& b);
  void Heal(const std::string& a, const std::string& b);
  //! Drops all messages between `name` and the rest of the fleet.
  void Isolate(const std::string& name);
  void HealAll() { partitions_.clear(); }
  void SetDelay(Duration one_way) { delay_ = one_way; }
  //! Delays the answers of `endpoint` to statements.
  void DelayAnswers(const std::string& endpoint, Duration delay);
  //! Gives the next `count` answers of `endpoint` to statements the id and
  //! value of another call.
  void MismatchAnswers(const std::string& endpoint, int count);
  void KillEndpoint(const std::string& endpoint);
  //! Kills all instances and endpoints of an availability zone at once.
  void KillZone(const std::string& zone);
  //! Starts a planned stop of an instance whose caller connections have
  //! closed.
  void Drain(const std::string& instance);
  //! Delivers an endpoint's announcement to `entry`.
  void Announce(const std::string& entry,
                const messages::Announcement& announcement);

  Time now() const { return now_; }
  entry::EntryNode& entry(const std::string& instance);
  entry::ControlNode& control(const std::string& instance);
  //! Returns the control leader that holds its lease, or "".
  std::string ControlLeader() const;
  //! Returns the running instance that coordinates `group` and serves, or "".
  std::string CoordinatorOf(const std::string& group);
  //! Returns the primary that the coordinator of `group` uses, or "".
  std::string PrimaryOf(const std::string& group);
  std::vector<std::string> instances() const;
  FakeGroup& group(const std::string& group) { return groups_.at(group); }

  //! Appends a line with the time in seconds and `text` to the transcript.
  void AddToTranscript(const std::string& text);
  const std::string& transcript() const { return transcript_; }
  //! Counted bytes of all messages except forwarded requests and their
  //! responses, by kind: report, update, consensus or other.
  const std::map<std::string, std::uint64_t>& control_bytes() const {
    return control_bytes_;
  }
  void CountControlBytes(bool enabled) { count_control_bytes_ = enabled; }
  struct SentCall {
    Time sent;
    coordinator::EndpointCall call;
  };
  //! Returns all calls to endpoints, including those that did not arrive.
  const std::vector<SentCall>& sent_calls() const { return sent_calls_; }

 private:
  struct Node {
    messages::InstanceInfo info;
    bool control_role = false;
    bool up = false;
    bool paused = false;
    // Number of starts and kills. Events of an earlier value are dropped.
    std::uint64_t generation = 0;
    std::unique_ptr<entry::EntryNode> entry;
    std::unique_ptr<entry::ControlNode> control;
    consensus::RestoredState disk;
    // Messages and timers that came due while paused.
    std::vector<std::function<void()>> deferred_events;
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
  void StartNode(Node& node, bool bootstrap);
  void Schedule(Time time, std::function<void()> run);
  // Runs `run` on the node after the delay. Defers it while the node is paused;
  // drops it if the node was killed or restarted since.
  void ScheduleOnNode(const std::string& name,
                      Duration delay,
                      std::function<void()> run);
  void TickNode(const std::string& name);
  void ApplyEffects(const std::string& name,
                    const entry::EntryEffects& effects);
  void ApplyEffects(const std::string& name,
                    const entry::ControlEffects& effects);
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
  bool IsPartitioned(const std::string& a, const std::string& b) const;
  FakeGroup& GroupOf(const std::string& endpoint);
  static void WriteToDisk(const std::vector<consensus::LogWrite>& writes,
                          consensus::RestoredState* disk);

  Time now_ = TimeFromMicros(1'000'000);
  std::uint64_t next_order_ = 0;
  std::uint64_t next_request_id_ = 1;
  Duration delay_ = std::chrono::milliseconds(5);
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, FakeGroup> groups_;
  std::map<std::string, std::string> group_by_endpoint_;
  std::map<std::string, Duration> answer_delays_;
  std::map<std::string, int> mismatched_answers_;
  std::set<std::pair<std::string, std::string>> partitions_;
  std::map<std::uint64_t, std::string> labels_;
  std::map<std::string, entry::CallerAnswer> answers_;
  std::map<std::uint64_t, messages::ProposeResponse> operator_answers_;
  std::vector<std::string> control_names_;
  std::vector<SentCall> sent_calls_;
  bool count_control_bytes_ = false;
  std::map<std::string, std::uint64_t> control_bytes_;
  std::string transcript_;
};

}  // namespace goldcrest::sessions

#endif  // GOLDCREST_SESSIONS_FLEET_H_
