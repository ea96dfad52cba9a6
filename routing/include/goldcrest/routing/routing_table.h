#ifndef GOLDCREST_ROUTING_ROUTING_TABLE_H_
#define GOLDCREST_ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "goldcrest/types/time.h"

namespace goldcrest::routing {

//! The commits that a read through a route must see.
enum class Consistency {
  kPrimary,           //!< Every acknowledged commit.
  kBoundedStaleness,  //!< Commits older than the route's `max_staleness`.
  kReadYourWrites,    //!< Those of kBoundedStaleness and the session's own.
};

//! Short name for logs and metrics, such as "bounded_staleness".
const char* NameOf(Consistency consistency);

//! One database name that callers may connect to.
struct Route {
  std::string name;
  std::string database;  //!< The name that callers connect to.
  std::string group;     //!< The replicated databases that serve it.
  Consistency consistency = Consistency::kPrimary;
  Duration statement_timeout{};
  Duration target_latency{};  //!< Of a whole operation.
  Duration max_staleness{};   //!< 0 for kPrimary.
  int priority = 0;           //!< 0 is the highest.
  bool is_public = false;     //!< Callers need no key.
};

//! One group of replicated databases.
struct Group {
  std::string name;
  int connection_limit = 0;  //!< Of each endpoint, over all entries.
  int sync_replicas = 0;
};

struct Customer {
  std::string name;
  std::vector<std::string> keys;
  std::int64_t rate_per_second = 0;  //!< Operations, over all entries.
  std::int64_t burst = 0;            //!< Operations.
};

//! One version of the entries' configuration.
struct RoutingTable {
  std::int64_t version = 0;
  std::map<std::string, Route> routes;  //!< By database name.
  std::map<std::string, Group> groups;  //!< By name.
  std::vector<Customer> customers;
  std::map<std::string, std::size_t> keys;  //!< Key: index in `customers`.
  //! 0: idle transactions are never rolled back.
  Duration transaction_idle_timeout{};

  const Route* FindRoute(const std::string& database) const;
  const Customer* FindCustomer(const std::string& key) const;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_ROUTING_TABLE_H_
