#ifndef GOLDCREST_QUOTA_OWNER_H_
#define GOLDCREST_QUOTA_OWNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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

  //! Adds the reserve of each limit to what may be given out, for
  //! kReserveValidity from now on. The caller sees to it that no two owners do
  //! so within kReserveGrantInterval.
  void GrantReserve(Time now);

  //! The customer has no limit any more.
  void RemoveLimit(Time now, const std::string& customer);

  //! Registers an instance. Reports of other instances are not answered.
  void Register(const std::string& instance, std::int64_t incarnation);

  //! Takes in a report and returns the answer, which must be sent with the
  //! report's sent time. The answer can be empty.
  //! `quiet` is how long ago the entry's process took a token last, or started.
  std::vector<messages::ShareUpdate> OnReport(
      Time now,
      const std::string& instance,
      std::int64_t incarnation,
      const std::vector<messages::ShareReport>& reports,
      Duration quiet = Duration::zero());

  //! Takes back the shares of an instance whose Holder has been stopped, and
  //! removes it from the registered instances.
  void Release(Time now, const std::string& instance);

  //! The process of an instance has ended: what it held is free, and nothing is
  //! left to learn of it. Call it before Register() only where a new process
  //! proves that, as when both must bind the same address.
  void OnProcessEnded(Time now, const std::string& instance);

  //! False after a takeover until all that earlier owners gave out is known.
  bool Ready(Time now);

 private:
  // What an update gives: an entry that applies it holds `rate_micros` and
  // `capacity_micros`.
  struct Grant {
    std::int64_t sequence = 0;
    std::int64_t rate_micros = 0;
    std::int64_t capacity_micros = 0;
    std::int64_t added_micros = 0;
  };
  // The share of one incarnation of an instance. At most one update is
  // unconfirmed at a time; it is resent unchanged.
  struct Share {
    Grant confirmed;
    std::int64_t level_bound = 0;  // upper bound of tokens held, as confirmed
    std::optional<Grant> sent;     // not confirmed yet
    std::int64_t demand_micros = 0;
    std::int64_t wanted_micros = 0;  // beyond what it holds
    Time wanted_since;
    Time reported_at;
    Time lease_end;
  };
  using ShareKey = std::pair<std::string, std::int64_t>;
  // What entries may hold of a limit at most, and their demand.
  struct Totals {
    std::int64_t rate_micros = 0;
    std::int64_t capacity_micros = 0;
    std::int64_t demand_micros = 0;
  };
  struct Bucket {
    std::optional<Limit> limit;
    std::int64_t level_micros = 0;    // tokens kept by the owner
    std::int64_t remainder = 0;       // millionths of level_micros
    std::int64_t reserve_micros = 0;  // tokens left of a granted reserve
    Time refilled_at;
    std::int64_t plenty_permille = 0;  // how far the level is up, slow to rise
    std::map<ShareKey, Share> shares;
    std::set<std::pair<Time, ShareKey>> waiting;  // wanted_micros above 0
    Totals held;
    Time next_lapse = kNever;  // no share lapses earlier
  };
  struct Instance {
    std::int64_t incarnation = 0;
    bool known = false;      // what earlier owners gave it is known
    bool confirmed = false;  // this incarnation has reported under this term
    std::optional<Time> quiet_since;
  };

  static Totals HeldBy(const Share& share);
  void DropShares(Time now, const std::string& instance);
  static void AddTotals(Bucket& bucket, const Share& share, int sign);
  std::int64_t UsablePercent() const;
  std::int64_t MaxSharePercent() const;
  void CreditQuietTime(Time now);
  std::int64_t FreeRate(const Bucket& bucket) const;
  std::int64_t FreeCapacity(const Bucket& bucket) const;
  void Advance(Bucket& bucket, Time now);
  void DropLapsed(Bucket& bucket, Time now);
  void StartIncarnation(const std::string& name,
                        Instance& instance,
                        std::int64_t incarnation);
  void Adopt(Time now,
             const std::string& name,
             Instance& instance,
             const std::vector<messages::ShareReport>& reports);
  bool Confirm(Bucket& bucket,
               Share& share,
               const messages::ShareReport& report) const;
  std::int64_t OwedBefore(const Bucket& bucket, const Share& share) const;
  static void UpdateWaiting(Time now,
                            Bucket& bucket,
                            const ShareKey& key,
                            Share& share,
                            std::int64_t wanted_micros);
  std::int64_t Needed(const Bucket& bucket,
                      const Share& share,
                      const messages::ShareReport& report,
                      std::int64_t capacity_micros) const;
  Grant Decide(const Bucket& bucket,
               const Share& share,
               const messages::ShareReport& report) const;
  std::optional<messages::ShareUpdate>
  Answer(Time now, const ShareKey& key, const messages::ShareReport& report);

  std::int64_t term_;
  Time ready_at_;
  Time reserve_until_;
  bool ready_ = false;
  bool wait_for_lapse_ = false;
  std::int64_t last_sequence_ = 0;
  std::map<std::string, Instance> instances_;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace goldcrest::quota

#endif  // GOLDCREST_QUOTA_OWNER_H_
