#ifndef GOLDCREST_ADMISSION_FAIR_QUEUE_H_
#define GOLDCREST_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "goldcrest/admission/ticket.h"
#include "goldcrest/types/time.h"

namespace goldcrest::admission {

//! Deficit round robin queue by customer. Weights are relative: a customer with
//! twice the weight gets twice the tickets while both have some. A customer
//! without tickets keeps no credit. All operations but RemoveIf() take
//! O(log n). Not thread-safe.
class FairQueue {
 public:
  //! Bound of the tickets that one customer may have in the queue.
  explicit FairQueue(std::size_t max_per_customer);

  //! False when the customer's bound is reached or the id is queued already.
  bool Push(Time now, Ticket ticket);

  //! The next ticket whose deadline has not passed. Tickets past their deadline
  //! stay for Expire().
  std::optional<Ticket> Pop(Time now);

  //! Removes and returns the tickets whose deadline has passed, by deadline.
  std::vector<Ticket> Expire(Time now);

  bool Remove(std::uint64_t id);

  //! Removes and returns the tickets for which `predicate` holds, by id. Takes
  //! O(n log n).
  std::vector<Ticket> RemoveIf(
      const std::function<bool(const Ticket&)>& predicate);

  //! Earliest deadline; kNever when empty.
  Time NextDeadline() const;

  std::size_t size() const { return by_id_.size(); }
  bool empty() const { return by_id_.empty(); }

 private:
  struct Flow {
    std::list<Ticket> tickets;
    std::int64_t weight = 1;
    std::int64_t deficit = 0;
    std::list<std::string>::iterator turn;
    std::multiset<std::int64_t>::iterator weight_entry;
  };
  struct Place {
    std::string customer;
    std::list<Ticket>::iterator ticket;
  };

  Ticket Take(std::unordered_map<std::uint64_t, Place>::iterator place);

  std::size_t max_per_customer_;
  std::unordered_map<std::string, Flow> flows_;  // with tickets only
  std::list<std::string> turns_;                 // the front is served next
  std::multiset<std::int64_t> weights_;
  std::unordered_map<std::uint64_t, Place> by_id_;
  std::set<std::pair<Time, std::uint64_t>> by_deadline_;
};

}  // namespace goldcrest::admission

#endif  // GOLDCREST_ADMISSION_FAIR_QUEUE_H_
