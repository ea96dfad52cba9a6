#ifndef GOLDCREST_ROUTING_ENDPOINT_DIRECTORY_H_
#define GOLDCREST_ROUTING_ENDPOINT_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/types/time.h"

namespace goldcrest::routing {

//! What a record tells of its endpoint, for logs: "primary draining".
std::string DescribeState(const messages::EndpointRecord& record);

//! What endpoints have said of themselves, merged from any number of sources in
//! any order: of two records of an endpoint the one with the later start, then
//! the higher sequence, holds.
class EndpointDirectory {
 public:
  struct Entry {
    messages::EndpointRecord record;
    Time heard_at;    //!< When the record in force arrived here.
    Time changed_at;  //!< When anything but its sequence last changed.
  };

  //! What a merged record told.
  enum class MergeResult {
    kStale,      //!< Nothing: it is older than what is known.
    kRefreshed,  //!< The endpoint lives; nothing else changed.
    kChanged,
  };

  MergeResult Apply(Time now, const messages::EndpointRecord& record);

  //! Marks endpoints that were last heard before `oldest` as gone and returns
  //! their records.
  std::vector<messages::EndpointRecord> Expire(Time oldest);

  //! nullptr when the endpoint is unknown. Gone endpoints are kept, so that a
  //! late record of theirs is recognised.
  const Entry* Find(const std::string& endpoint) const;

  //! Endpoints of a group that are not gone, in order of name.
  std::vector<const Entry*> MembersOf(const std::string& group) const;

  //! All records, gone ones included.
  std::vector<messages::EndpointRecord> All() const;

 private:
  std::map<std::string, Entry> entries_;
};

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_ENDPOINT_DIRECTORY_H_
