#ifndef GOLDCREST_ENTRY_CONTROL_NODE_H_
#define GOLDCREST_ENTRY_CONTROL_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/consensus/output.h"
#include "goldcrest/consensus/replica.h"
#include "goldcrest/consensus/replica_options.h"
#include "goldcrest/consensus/restored_state.h"
#include "goldcrest/control/control_state.h"
#include "goldcrest/control/leader.h"
#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::entry {

struct ControlNodeHooks {
  //! Makes the writes durable. Returns false if the process must stop.
  std::function<bool(const std::vector<consensus::LogWrite>&)> persist;
  std::function<std::string()> random_secret;  //!< 32 bytes.
  std::function<std::int64_t()> wall_ms;       //!< Unix time, for the journal.
};

struct ControlEffects {
  std::vector<std::pair<std::string, messages::PeerMessage>> messages;
  bool failed = false;  //!< Log write or decoding failed: stop the process.
};

//! The control role of one instance: its replica of the log, the state machine
//! and, while the instance leads, the leader. Not thread-safe.
class ControlNode {
 public:
  ControlNode(consensus::ReplicaOptions options,
              control::LeaderOptions leader_options,
              const consensus::RestoredState& restored,
              std::mt19937_64 generator,
              ControlNodeHooks hooks);

  ControlEffects OnMessage(const std::string& from,
                           const messages::PeerMessage& message,
                           Time now);
  //! Call every 10 ms.
  ControlEffects Tick(Time now);

  //! Transfers leadership before a planned stop.
  ControlEffects TransferLeadership(Time now);

  bool IsLeader() const { return leader_ != nullptr; }
  const control::ControlState& state() const { return state_; }
  const consensus::Replica& replica() const { return replica_; }
  const control::Leader* leader() const { return leader_.get(); }

 private:
  void OnPropose(const std::string& from,
                 const messages::ProposeRequest& request,
                 Time now);
  void Respond(const std::string& to,
               std::int64_t id,
               ResultCode code,
               const std::string& message);
  void Process(consensus::Output output, Time now);
  void ApplyCommitted(const messages::LogEntry& entry, Time now);
  void ExecuteEffects(const control::LeaderEffects& effects, Time now);
  void UpdateLeadership(Time now);
  void MaybeCompact(Time now);
  void Send(const std::string& to, messages::PeerMessage message);
  ControlEffects TakeEffects();

  std::string self_;
  control::LeaderOptions leader_options_;
  ControlNodeHooks hooks_;
  consensus::Replica replica_;
  control::ControlState state_;
  std::int64_t applied_index_ = 0;
  std::int64_t leader_term_ = 0;
  std::unique_ptr<control::Leader> leader_;
  // Uncommitted proposals of this leader: ids by log index.
  std::map<std::int64_t, std::uint64_t> proposals_;
  ControlEffects effects_;
};

}  // namespace goldcrest::entry

#endif  // GOLDCREST_ENTRY_CONTROL_NODE_H_
