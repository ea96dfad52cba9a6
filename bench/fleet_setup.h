#ifndef GOLDCREST_BENCH_FLEET_SETUP_H_
#define GOLDCREST_BENCH_FLEET_SETUP_H_

#include <cstddef>
#include <string>

#include "goldcrest/entry/caller_request.h"
#include "goldcrest/sessions/fleet.h"

namespace goldcrest::bench {

//! Quota of each customer, and the maximum age of reads and the durability of
//! writes that the access rule sets. The rate is in requests a second, the
//! burst in requests.
struct CustomerPolicy {
  int rate = 1'000;
  int burst = 1'000;
  std::chrono::milliseconds max_age = std::chrono::seconds(10);
  messages::Durability::type durability = messages::Durability::MAJORITY;
};

//! Adds the group "bookings" with three members, registers customers 0 to
//! `customers` - 1 with one key each, and waits until the group has a
//! coordinator. Returns false if there is no control leader or no coordinator
//! within 10 s each, or if the change is rejected.
bool StartFleet(sessions::Fleet& fleet,
                std::size_t customers,
                int slots,
                const CustomerPolicy& policy);

//! Adds key `number` to customer 0 in one change and waits until it is in
//! force.
void AddKeyToFirstCustomer(sessions::Fleet& fleet, std::size_t number);

//! A request with the key of the same number and a timeout of 5 s.
entry::CallerRequest MakeRead(std::size_t customer, const std::string& group);
entry::CallerRequest MakeWrite(std::size_t customer, const std::string& group);

}  // namespace goldcrest::bench

#endif  // GOLDCREST_BENCH_FLEET_SETUP_H_
