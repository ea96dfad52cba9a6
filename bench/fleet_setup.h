#ifndef GOLDCREST_BENCH_FLEET_SETUP_H_
#define GOLDCREST_BENCH_FLEET_SETUP_H_

#include <cstddef>
#include <string>

#include "goldcrest/entry/caller_request.h"
#include "goldcrest/sessions/fleet.h"

namespace goldcrest::bench {

//! Rate and burst of each customer, and the age of data that reads accept.
struct Load {
  int rate = 1'000;
  int burst = 1'000;
  std::chrono::milliseconds max_age = std::chrono::seconds(10);
  messages::Durability::type durability = messages::Durability::MAJORITY;
};

//! Adds the group "bookings" with three members, registers customers 0 to
//! `customers` - 1 with one key each, and waits until the group serves. False
//! when it does not within 20 s.
bool StartFleet(sessions::Fleet& fleet,
                std::size_t customers,
                int slots,
                const Load& load);

//! One change: a further key of customer 0. Waits until it is in force.
void AddKey(sessions::Fleet& fleet, std::size_t number);

entry::CallerRequest ReadBy(std::size_t customer, const std::string& group);
entry::CallerRequest WriteBy(std::size_t customer, const std::string& group);

}  // namespace goldcrest::bench

#endif  // GOLDCREST_BENCH_FLEET_SETUP_H_
