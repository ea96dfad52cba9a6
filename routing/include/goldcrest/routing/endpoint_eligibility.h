#ifndef GOLDCREST_ROUTING_ENDPOINT_ELIGIBILITY_H_
#define GOLDCREST_ROUTING_ENDPOINT_ELIGIBILITY_H_

#include "goldcrest/messages/messages.h"
#include "goldcrest/routing/zone_evacuations.h"
#include "goldcrest/types/time.h"

namespace goldcrest::routing {

enum class Work {
  kAnyMember,    //!< Another member of the group could do it as well.
  kOnlyThisOne,  //!< For the primary, or of a transaction that is open there.
};

//! Whether an endpoint may get work now. It may not if it is gone. A draining
//! endpoint, and one in an evacuated availability zone, gets only work that no
//! other can do; the latter until ZoneEvacuations::IsClosed().
bool MayGetWork(Time now,
                const messages::EndpointRecord& endpoint,
                const ZoneEvacuations& evacuations,
                Work work);

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_ENDPOINT_ELIGIBILITY_H_
