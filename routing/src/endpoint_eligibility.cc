#include "goldcrest/routing/endpoint_eligibility.h"

namespace goldcrest::routing {

bool MayGetWork(Time now,
                const messages::EndpointRecord& endpoint,
                const ZoneEvacuations& evacuations,
                Work work) {
  if (endpoint.gone)
    return false;
  switch (work) {
    case Work::kAnyMember:
      return !endpoint.draining && !evacuations.IsEvacuated(endpoint.zone);
    case Work::kOnlyThisOne:
      return !evacuations.IsClosed(now, endpoint.zone);
  }
  return false;
}

}  // namespace goldcrest::routing
