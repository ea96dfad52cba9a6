#ifndef GOLDCREST_QUOTA_OWNER_H_
#define GOLDCREST_QUOTA_OWNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/quota/limit.h"
#include "goldcrest/types/time.h"

namespace goldcrest::quota {

//! Splits the limits of all customers into shares. Lives on the control leader
//! for one term. Not thread-safe.
//!
//! At any time the rates and the levels of all shares and of what the owner
//! keeps add up to no more than the limit.
class Owner {
 public:
  //! `takeover` must not lie before the time at which every earlier owner has
  //! stopped answering reports (the leader lease ensures this). `registered`
  //! maps the instances that an earlier owner may have given shares to their
  //! incarnations.
  Owner(std::int64_t term,
        Time takeover,
        const std::map<std::string, std::int64_t>& registered);

  //! Sets the limit of a customer. A new bucket starts empty. During a change
  //! the higher of the old and the new limit bounds what is taken.
  void SetLimit(Time now, const std::string& customer, Limit limit);

  //! The customer has no limit any more.
  void RemoveLimit(Time now, const std::string& customer);

  //! Registers an instance. Reports of other instances are not answered.
  void Register(const std::string& instance, std::int64_t incarnation);

  //! Takes in a report and returns the answer, which must be sent with the
  //! report's sent time. The answer can be empty.
  std::vector<messages::ShareUpdate> OnReport(
      Time now,
      const std::string& instance,
      std::int64_t incarnation,
      const std::vector<messages::ShareReport>& reports);

  //! Takes back the shares of an instance whose Holder has been stopped, and
  //! removes it from the registered instances.
  void Release(Time now, const std::string& instance);

  //! False after a takeover until all that earlier owners gave out is known.
  bool Ready(Time now);

 private:
  // What an entry may hold of one customer's limit.
  struct Grant {
    std::int64_t sequence = 0;
    std::int64_t rate_micros = 0;
    std::int64_t capacity_micros = 0;
    std::int64_t added_micros = 0;
  };
  struct Share {
    Grant confirmed;
    std::int64_t confirmed_level = 0;  // upper bound of the entry's level
    bool pending = false;              // `sent` has not been confirmed
    Grant sent;
    double demand = 0;
    std::int64_t wanted_micros = 0;
    std::int64_t level_micros = 0;  // as last reported
    Time lease_end;
  };
  struct Instance {
    std::int64_t incarnation = 0;
    bool adopted = false;  // has reported under this term
  };
  struct Bucket {
    Limit limit;
    bool limited = false;
    std::int64_t level_micros = 0;
    std::int64_t remainder = 0;
    Time refilled_at;
    std::map<std::string, Share> shares;  // by instance
    std::vector<Share> orphans;           // of earlier incarnations
  };

  void Advance(Bucket& bucket, Time now);

  std::int64_t term_;
  Time ready_at_;
  bool ready_ = false;
  std::int64_t sequence_ = 0;
  std::map<std::string, Instance> instances_;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace goldcrest::quota

#endif  // GOLDCREST_QUOTA_OWNER_H_
