#include "goldcrest/routing/routing_table.h"

namespace goldcrest::routing {

const char* NameOf(Consistency consistency) {
  switch (consistency) {
    case Consistency::kPrimary:
      return "primary";
    case Consistency::kBoundedStaleness:
      return "bounded_staleness";
    case Consistency::kReadYourWrites:
      return "read_your_writes";
  }
  return "";
}

const Route* RoutingTable::FindRoute(const std::string& database) const {
  const auto it = routes.find(database);
  return it == routes.end() ? nullptr : &it->second;
}

const Customer* RoutingTable::FindCustomer(const std::string& key) const {
  const auto it = keys.find(key);
  return it == keys.end() ? nullptr : &customers[it->second];
}

}  // namespace goldcrest::routing
