#ifndef GOLDCREST_STATEMENTS_PRIMARY_VIEW_H_
#define GOLDCREST_STATEMENTS_PRIMARY_VIEW_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/routing/endpoint_directory.h"
#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! The endpoint that an entry assumes to be the primary of each group. The
//! assumption may be out of date: an endpoint refuses statements that it may
//! not run.
class PrimaryView {
 public:
  explicit PrimaryView(const routing::EndpointDirectory* directory);

  //! A controller has promoted an endpoint. Assignments with an older order are
  //! ignored.
  void OnAssignment(Time now, const messages::PrimaryAssignment& assignment);

  //! The endpoint has run a command, sent at `sent_at`, that only a primary
  //! accepts. Proves nothing about the time after a later assignment.
  void OnConfirmed(Time now,
                   Time sent_at,
                   const std::string& group,
                   const std::string& endpoint);

  //! The endpoint has refused a command because it is not the primary.
  void OnRefused(Time now,
                 const std::string& group,
                 const std::string& endpoint);

  //! The endpoint could not be reached, or its connection broke.
  void OnUnreachable(Time now,
                     const std::string& group,
                     const std::string& endpoint);

  //! Empty while no primary is known. Passes over endpoints for which
  //! `excluded`, if it is set, returns true.
  std::string PrimaryOf(
      Time now,
      const std::string& group,
      const std::function<bool(const std::string&)>& excluded = {}) const;

  //! Contacts with primaries, reported to the controllers for their decisions
  //! on promotions.
  std::vector<messages::PrimaryContact> Contacts(Time now) const;

 private:
  struct PrimaryState {
    std::string confirmed;  // empty after a refusal
    std::string assigned;
    std::optional<Time> assigned_at;
    std::int64_t order = 0;
    std::map<std::string, Time> refused_at;  // by endpoint
    std::string contacted;  // endpoint that the times below refer to
    std::optional<Time> success_at;
    std::optional<Time> failing_since;
  };

  bool HasRecentlyRefused(Time now,
                          const PrimaryState& state,
                          const std::string& endpoint) const;

  const routing::EndpointDirectory* directory_;
  std::map<std::string, PrimaryState> states_;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_PRIMARY_VIEW_H_
