#ifndef GOLDCREST_ROUTING_ENDPOINT_RECORD_H_
#define GOLDCREST_ROUTING_ENDPOINT_RECORD_H_

#include <string>

#include "goldcrest/messages/messages.h"

namespace goldcrest::routing {

//! The endpoint's state in a record, for logs, such as "primary draining".
std::string DescribeState(const messages::EndpointRecord& record);

//! Why the record can't name an endpoint, such as "address has no port between
//! 1 and 65535". Empty if it can.
std::string FindRecordProblem(const messages::EndpointRecord& record);

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_ENDPOINT_RECORD_H_
