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

//! Fair queue by customer. Weights are relative: a customer with twice the
//! weight gets twice the tickets while both have some. A customer that becomes
//! active may have a few tickets served early (four), however long it was idle:
//! idle time gains no further credit.
//!
//! A weighted round robin in which the turns of a round are interleaved: a
//! ticket that is served moves its customer back by 1 / weight rounds, and the
//! customer that is least far ahead is next (start-time fair queueing). Plain
//! deficit round robin serves the whole quantum of a large customer in a row,
//! and a small one waits for it.
//!
//! All operations but RemoveIf() take O(log n). Not thread-safe.
class FairQueue {
 public:
  //! Bound of the tickets that one customer may have in the queue.
  explicit FairQueue(std::size_t max_per_customer);

  //! False when the customer's bound is reached or the id is queued already.
  bool Push(Time now, Ticket ticket);

  //! The next ticket whose deadline has not passed. Tickets past their deadline
  //! are kept for Expire().
  std::optional<Ticket> Pop(Time now);

  //! Removes and returns the tickets whose deadline has passed, by deadline.
  std::vector<Ticket> Expire(Time now);

  bool Remove(std::uint64_t id);

  //! Removes and returns the tickets for which `predicate` holds, by id. Takes
  //! O(n log n).
  std::vector<Ticket> RemoveIf(
      const std::function<bool(const Ticket&)>& predicate);

  //! When Expire() next has something to return; kNever when empty.
  Time NextDeadline() const;

  //! Queued tickets, without those kept for Expire().
  std::size_t size() const { return by_id_.size(); }
  bool empty() const { return by_id_.empty(); }

 private:
  // Rounds in units of 2^-64. 128 bits hold more rounds than can be served.
  using Round = __int128;

  struct Flow {
    std::list<Ticket> tickets;
    std::int64_t weight = 1;
    Round round = 0;          // at which its next ticket is due
    std::uint64_t order = 0;  // among flows that are due in the same round
    Round forget_at = 0;      // round from which an idle flow needs no record
  };
  using FlowMap = std::unordered_map<std::string, Flow>;
  struct Place {
    FlowMap::iterator flow;
    std::list<Ticket>::iterator ticket;
  };
  struct Turn {
    Round round;
    std::uint64_t order;
    FlowMap::iterator flow;
    bool operator<(const Turn& other) const {
      return std::pair(round, order) < std::pair(other.round, other.order);
    }
  };

  Ticket Take(std::uint64_t id);
  void MoveExpired(Time now);
  void ForgetIdleFlows();

  std::size_t max_per_customer_;
  std::uint64_t last_order_ = 0;
  Round round_ = 0;  // latest round of a ticket served
  FlowMap flows_;    // those with tickets, and idle ones ahead of round_
  std::set<Turn> active_;
  std::set<Turn> idle_;
  std::unordered_map<std::uint64_t, Place> by_id_;
  std::set<std::pair<Time, std::uint64_t>> by_deadline_;
  std::vector<Ticket> expired_;  // for the next Expire()
};

}  // namespace goldcrest::admission

#endif  // GOLDCREST_ADMISSION_FAIR_QUEUE_H_
