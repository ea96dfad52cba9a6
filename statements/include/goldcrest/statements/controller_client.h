#ifndef GOLDCREST_STATEMENTS_CONTROLLER_CLIENT_H_
#define GOLDCREST_STATEMENTS_CONTROLLER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "goldcrest/messages/messages.h"
#include "goldcrest/routing/document_source.h"
#include "goldcrest/routing/routing_table.h"
#include "goldcrest/statements/statement_proxy.h"
#include "goldcrest/types/time.h"

namespace goldcrest::statements {

struct ControllerClientHooks {
  std::function<void(const std::string& controller, messages::PeerMessage)>
      send;
  //! Returns nullptr for a document that can't be decoded.
  std::function<routing::RoutingTablePtr(std::string_view document)> decode;
  //! Called with all known controllers after new ones became known.
  std::function<void(const std::set<std::string>&)> known_controllers;
  std::function<void(std::string_view event,
                     const std::string& controller,
                     const std::string& cause)>
      log_decision;
  //! The leader has answered a report.
  std::function<void(Duration round_trip)> report_answered;
};

//! An entry's side of its links to the controllers: reports to them, fetches
//! the configuration and passes their updates to the proxy. Does no I/O and
//! reads no clock; not thread-safe.
class ControllerClient {
 public:
  //! `process` identifies this process of the entry and changes with each
  //! restart. The proxy must outlive this object.
  ControllerClient(Time now,
                   std::int64_t process,
                   std::set<std::string> controllers,
                   StatementProxy& proxy,
                   ControllerClientHooks hooks);

  void OnLink(Time now, const std::string& controller, bool up);
  void OnUpdate(Time now,
                const std::string& from,
                const messages::ProxyUpdate& update);

  //! Adds the controllers that changed settings name.
  void AddControllers(const std::set<std::string>& names);

  //! Sends the reports that are due; has to be called at least every
  //! StatementProxy::kTickInterval.
  void Tick(Time now);

  //! Tells all controllers that this entry stops. No report may follow.
  void Stop();

  const std::set<std::string>& KnownControllers() const {
    return known_controllers_;
  }
  //! True once the leader has confirmed the configuration and has sent the
  //! endpoints, since this object was made.
  bool IsReady() const {
    return proxy_.HasConfirmedConfiguration() && endpoints_known_;
  }

 private:
  struct ControllerState {
    bool linked = false;
    bool first_report_sent = false;
    // As the controller has been told.
    std::optional<messages::RelayInstance> relay;
    std::int64_t version = 0;
    Time last_report_at;
  };
  enum class ContactReporting { kAtInterval, kImmediately };

  void OnReportAnswer(Time now,
                      const std::string& from,
                      const messages::ProxyUpdate& update);
  void Report(
      Time now,
      const std::string& controller,
      bool wants_document,
      ContactReporting contact_reporting = ContactReporting::kAtInterval);
  void ReportHeldWrites(Time now);
  void FetchDocument(Time now);
  bool AwaitsAnswer(Time now) const;
  void OnAnswerTime(Time now, Time sent_at, bool has_lease);

  Time started_at_;
  std::int64_t process_;
  std::set<std::string> known_controllers_;
  StatementProxy& proxy_;
  ControllerClientHooks hooks_;
  std::map<std::string, ControllerState> controllers_;
  std::string holding_controller_;  // has ordered the newest hold of writes
  std::map<std::string, std::int64_t> reported_holds_;
  std::string leader_;         // the controller that last proved that it leads
  Time contacts_reported_at_;  // to the leader
  // When the newest report was sent to the leader, until that answers it.
  std::optional<Time> unanswered_report_at_;
  bool answers_late_ = false;  // as last logged
  Time next_answer_time_log_;
  Time next_lease_log_;
  routing::DocumentSource document_source_;
  bool endpoints_known_ = false;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_CONTROLLER_CLIENT_H_
