#ifndef GOLDCREST_ROUTING_ENDPOINT_DIRECTORY_H_
#define GOLDCREST_ROUTING_ENDPOINT_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::routing {

//! The latest record of each endpoint, merged from any number of sources in any
//! order. Of two records of an endpoint, the one of the higher epoch takes
//! precedence, then the one with the later start, then the one with the higher
//! sequence.
class EndpointDirectory {
 public:
  struct Entry {
    messages::EndpointRecord record;
    Time received_at;  //!< When `record` arrived.
    Time changed_at;   //!< When a field other than the sequence changed, or it
                       //!< expired.
    bool expired;      //!< Gone because no record arrived, not deregistered.
  };

  //! The effect of a merged record.
  enum class MergeResult {
    kStale,      //!< None: the record is not newer than the known one.
    kRefreshed,  //!< The endpoint is alive; its state has not changed.
    kChanged,
  };

  MergeResult Apply(Time now, const messages::EndpointRecord& record);

  //! Marks endpoints whose latest record arrived before `oldest` as gone and
  //! returns their records.
  std::vector<messages::EndpointRecord> Expire(Time now, Time oldest);

  //! nullptr when the endpoint is unknown. Gone endpoints are kept, so that
  //! their late records are recognised as stale.
  const Entry* Find(const std::string& endpoint) const;

  //! Endpoints of a group that are not gone, ordered by name.
  std::vector<const Entry*> MembersOf(const std::string& group) const;

  //! Endpoints of a group that are gone, ordered by name.
  std::vector<const Entry*> DeparturesOf(const std::string& group) const;

  //! All records, gone ones included.
  std::vector<messages::EndpointRecord> All() const;

 private:
  std::map<std::string, Entry> entries_;
};

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_ENDPOINT_DIRECTORY_H_
