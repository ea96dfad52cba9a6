#ifndef GOLDCREST_ADMISSION_TICKET_H_
#define GOLDCREST_ADMISSION_TICKET_H_

#include <cstdint>
#include <string>

#include "goldcrest/types/time.h"

namespace goldcrest::admission {

//! A request that waits in a queue for a slot of an endpoint.
struct Ticket {
  std::uint64_t id = 0;
  std::string customer;
  //! Weight of the customer, relative to that of others; at least 1.
  std::int64_t weight = 1;
  Time deadline = kNever;

  bool operator==(const Ticket&) const = default;
};

}  // namespace goldcrest::admission

#endif  // GOLDCREST_ADMISSION_TICKET_H_
