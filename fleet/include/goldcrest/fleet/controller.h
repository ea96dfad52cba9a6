#ifndef GOLDCREST_FLEET_CONTROLLER_H_
#define GOLDCREST_FLEET_CONTROLLER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/consensus/replica.h"
#include "goldcrest/fleet/failover_planner.h"
#include "goldcrest/fleet/fleet_state.h"
#include "goldcrest/fleet/membership_planner.h"
#include "goldcrest/quota/owner.h"
#include "goldcrest/routing/endpoint_directory.h"
#include "goldcrest/routing/routing_table.h"

namespace goldcrest::fleet {

//! How a call about the configuration ended.
struct ConfigurationResult {
  enum class Kind {
    kDone,
    kNotLeader,  //!< `leader` can tell.
    kUnknown,    //!< No leader is known, or it was replaced meanwhile.
  };
  Kind kind = Kind::kUnknown;
  std::string leader;
  std::string text;  //!< Of the newest configuration; empty: there is none.
};

struct ControllerHooks {
  std::function<void(const std::string& to, messages::PeerMessage)> send;
  //! Makes the writes durable. False: the process must stop.
  std::function<bool(const std::vector<consensus::LogWrite>&)> persist;
  std::function<routing::RoutingTablePtr(const std::string& text)> decode;
  //! More controllers are known.
  std::function<void(const std::set<std::string>&)> known_controllers;
  std::function<void(const routing::EndpointDirectory::Entry&, ProbePurpose)>
      probe;
  std::function<void(const messages::PrimaryAssignment&)> promote;
  std::function<void(const std::string& event,
                     const std::string& subject,
                     const std::string& cause)>
      decided;
};

struct ControllerOptions {
  consensus::ReplicaOptions replica;  //!< Without a disk: never a member.
  bool has_disk = true;
  int tolerated_losses = 1;
  quota::LimitWindow limit_window;
  std::set<std::string> seeds;  //!< Names of controllers known at the start.
};

//! One controller: its copy of the log, the directory of endpoints, and, while
//! it leads, shares of rates, promotions and the membership. Does no I/O and
//! reads no clock; not thread-safe.
class Controller {
 public:
  using Done = std::function<void(ConfigurationResult)>;

  Controller(Time now,
             ControllerOptions options,
             const consensus::RestoredState& restored,
             std::mt19937_64 generator,
             ControllerHooks hooks);

  void Tick(Time now);
  void OnMessage(Time now,
                 const std::string& from,
                 const messages::PeerMessage& message);
  void OnLink(const std::string& peer, bool up);

  //! An endpoint reported here.
  void OnHeartbeat(Time now, const messages::EndpointRecord& record);
  //! An endpoint said that it has left.
  void OnDeparture(Time now, const messages::EndpointRecord& departure);

  //! `text` is a valid document of `version`. Done once it is decided, or once
  //! a version that is not lower is.
  void Put(Time now, std::int64_t version, std::string text, Done done);
  ConfigurationResult Get(Time now) const;

  void OnProbe(Time now,
               const std::string& group,
               const std::string& endpoint,
               const ProbeResult& result);
  void OnPromotion(Time now,
                   const messages::PrimaryAssignment& assignment,
                   PromotionResult result);

  //! Controllers that the settings name by now.
  void AddControllers(const std::set<std::string>& names);

  //! Hands leadership over before a planned stop.
  void BeginDrain(Time now);

  bool IsLeader() const { return replica_.IsLeader(); }
  bool HasFailed() const { return failed_; }
  const routing::EndpointDirectory& directory() const { return directory_; }
  const FleetState& state() const { return state_; }

 private:
  struct Entry {
    Time reported_at;
    bool linked = false;
    std::int64_t process = 0;
    // The last reports: when they came, and when they were sent by the entry's
    // clock.
    std::deque<std::pair<Time, std::int64_t>> reports;
    std::map<std::string, Time> positions_told;  // by group: asked_at
    std::size_t controllers_told = 0;
  };
  struct WaitingPut {
    std::int64_t version = 0;
    std::int64_t index = 0;
    std::int64_t term = 0;
    Done done;
  };
  // What only the leader of a term keeps.
  struct Leadership {
    std::int64_t term = 0;
    std::unique_ptr<quota::Owner> owner;
    std::unique_ptr<FailoverPlanner> failover;
    std::int64_t version = -1;  // of the limits and groups set
    std::map<std::string, std::int64_t> registering;  // instance: process
    std::map<std::string, ProbeResult> confirmed;     // by group: kLeads
    Time won_at;
    Time reserve_since;         // of the takeover, or of the grant
    bool reserve_told = false;  // the next change of it is proposed
  };

  void Process(Time now, consensus::Output output);
  void TellElections();
  void ApplyCommitted(Time now, const messages::LogEntry& entry);
  void OnDocumentChanged(Time now);
  void UpdateLeadership(Time now);
  void SetLimits(Time now);
  void TellReserve(Time now, bool used);
  void OnReserve(Time now, const messages::ReserveUse& reserve);
  void RestoreReserve(Time now);
  void LoadEndpoints(Time now);
  void ReleaseSilentHolders(Time now);
  void ReleaseHolder(Time now, const std::string& instance);
  ConfigurationResult AskLeader() const;
  bool Leads(Time now) const;
  std::int64_t Propose(Time now, const messages::FleetCommand& command);
  void OnReport(Time now,
                const std::string& from,
                const messages::ProxyReport& report);
  std::vector<messages::ShareUpdate> AnswerShares(
      Time now,
      const std::string& from,
      const messages::ProxyReport& report);
  void OnNotice(Time now,
                const std::string& from,
                const messages::ControllerNotice& notice);
  void AddPositions(Entry& entry, messages::ProxyUpdate& update) const;
  void Merge(Time now, const messages::EndpointRecord& record);
  void OnEndpointChanged(Time now, const messages::EndpointRecord& record);
  messages::ControllerNotice MakeNotice() const;
  void Record(Time now, const messages::EndpointRecord& record);
  void SendNotices(Time now);
  void ToEntries(const messages::ProxyUpdate& update);
  void PlanMembership(Time now);
  void FailPuts();

  ControllerOptions options_;
  ControllerHooks hooks_;
  consensus::Replica replica_;
  FleetState state_;
  routing::RoutingTablePtr table_;
  std::int64_t applied_index_ = 0;
  std::int64_t told_term_ = 0;
  std::string told_leader_;
  routing::EndpointDirectory directory_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, ControllerPeer> peers_;
  std::set<std::string> known_;
  std::vector<WaitingPut> puts_;
  std::unique_ptr<Leadership> leadership_;
  Time next_notice_;
  Time next_membership_;
  Time members_changed_at_;
  Time next_expiry_;
  std::size_t log_bytes_ = 0;  // since the last snapshot
  bool draining_ = false;
  bool failed_ = false;
};

}  // namespace goldcrest::fleet

#endif  // GOLDCREST_FLEET_CONTROLLER_H_
