#ifndef GOLDCREST_STATEMENTS_PRIMARY_VIEW_H_
#define GOLDCREST_STATEMENTS_PRIMARY_VIEW_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/routing/endpoint_directory.h"
#include "goldcrest/types/time.h"

namespace goldcrest::statements {

//! Which endpoint an entry takes for the primary of each group. A belief only:
//! the endpoint itself refuses what it may not run.
class PrimaryView {
 public:
  explicit PrimaryView(const routing::EndpointDirectory* directory);

  //! A controller has promoted an endpoint. Older orders are ignored.
  void OnAssignment(const messages::PrimaryAssignment& assignment);

  //! The endpoint has run something that only a primary runs.
  void OnConfirmed(Time now,
                   const std::string& group,
                   const std::string& endpoint);

  //! The endpoint has refused because it does not lead.
  void OnDenied(Time now,
                const std::string& group,
                const std::string& endpoint);

  //! The endpoint could not be reached, or its connection broke.
  void OnUnreachable(Time now,
                     const std::string& group,
                     const std::string& endpoint);

  //! Empty while no endpoint is known to lead.
  std::string PrimaryOf(Time now, const std::string& group) const;

  //! For the controllers, which decide on promotions.
  std::vector<messages::PrimaryContact> Contacts(Time now) const;

 private:
  struct Belief {
    std::string confirmed;  // empty after a refusal
    std::string assigned;
    std::int64_t order = 0;
    std::map<std::string, Time> denied_at;  // by endpoint
    std::string contacted;
    std::optional<Time> success_at;
    std::optional<Time> failing_since;
  };

  bool IsDenied(Time now,
                const Belief& belief,
                const std::string& endpoint) const;

  const routing::EndpointDirectory* directory_;
  std::map<std::string, Belief> beliefs_;
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_PRIMARY_VIEW_H_
