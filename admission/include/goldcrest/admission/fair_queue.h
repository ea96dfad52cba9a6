#ifndef GOLDCREST_ADMISSION_FAIR_QUEUE_H_
#define GOLDCREST_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "goldcrest/admission/ticket.h"
#include "goldcrest/types/time.h"

namespace goldcrest::admission {

//! Queue that is fair among customers. Weights are relative: a customer with
//! twice the weight of another has twice as many tickets served while both have
//! queued tickets. A customer that becomes active may have four tickets served
//! ahead of its share, however long it was idle: idle time earns no more
//! credit.
//!
//! Implements start-time fair queueing: serving a ticket advances its
//! customer's start time by 1 / weight, and the customer with the lowest start
//! time is served next. Plain deficit round robin would serve the whole quantum
//! of a large customer in a row, and small customers would wait for it.
//!
//! All operations but RemoveIf() take O(log n). Not thread-safe.
class FairQueue {
 public:
  //! `max_per_customer` bounds the queued tickets of one customer.
  explicit FairQueue(std::size_t max_per_customer);

  //! Returns false when the customer's bound is reached or the id is already
  //! queued.
  bool Push(Time now, Ticket ticket);

  //! Removes and returns the next ticket whose deadline has not passed. Tickets
  //! past their deadline are kept for Expire().
  std::optional<Ticket> Pop(Time now);

  //! Removes and returns the tickets whose deadline has passed, by deadline.
  std::vector<Ticket> Expire(Time now);

  //! Returns false when the id is not queued.
  bool Remove(std::uint64_t id);

  //! Removes and returns the tickets for which `predicate` holds, by id. Takes
  //! O(n log n).
  std::vector<Ticket> RemoveIf(
      const std::function<bool(const Ticket&)>& predicate);

  //! Returns the time from which Expire() returns a ticket; kNever when empty.
  Time NextDeadline() const;

  //! Number of queued tickets, without those kept for Expire().
  std::size_t size() const { return by_id_.size(); }
  bool empty() const { return by_id_.empty(); }

 private:
  // Virtual time in units of 2^-64. A ticket of a customer with weight 1 takes
  // 2^64 units; 128 bits hold more of them than can be served.
  using VirtualTime = __int128;

  struct Flow {
    std::list<Ticket> tickets;
    std::int64_t weight = 1;
    VirtualTime start_time = 0;  // of its next ticket
    std::uint64_t order = 0;     // among flows with the same start time
    VirtualTime erase_at = 0;    // when an idle flow can be erased
  };
  using FlowMap = std::unordered_map<std::string, Flow>;
  struct TicketLocation {
    FlowMap::iterator flow;
    std::list<Ticket>::iterator ticket;
  };
  // Entry of the sets below: by start time while active, by erase_at while
  // idle.
  struct FlowEntry {
    VirtualTime time;
    std::uint64_t order;
    FlowMap::iterator flow;
    bool operator<(const FlowEntry& other) const {
      return std::pair(time, order) < std::pair(other.time, other.order);
    }
  };

  Ticket RemoveTicket(std::uint64_t id);
  void MoveExpired(Time now);
  void EraseIdleFlows();

  std::size_t max_per_customer_;
  std::uint64_t last_order_ = 0;
  VirtualTime virtual_time_ = 0;  // highest start time of a served ticket
  // Flows with tickets, and idle flows ahead of virtual_time_.
  FlowMap flows_;
  std::set<FlowEntry> active_;
  std::set<FlowEntry> idle_;
  std::unordered_map<std::uint64_t, TicketLocation> by_id_;
  std::set<std::pair<Time, std::uint64_t>> by_deadline_;
  std::vector<Ticket> expired_;  // for the next Expire()
};

}  // namespace goldcrest::admission

#endif  // GOLDCREST_ADMISSION_FAIR_QUEUE_H_
