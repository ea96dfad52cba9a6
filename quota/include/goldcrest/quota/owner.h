#ifndef GOLDCREST_QUOTA_OWNER_H_
#define GOLDCREST_QUOTA_OWNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/messages/messages.h"
#include "goldcrest/quota/limit.h"
#include "goldcrest/types/time.h"

namespace goldcrest::quota {

//! Divides the limits of all customers into shares for the entries. Exists on
//! the control leader for one term. Not thread-safe.
//!
//! At any time the rates and the token levels of all shares and of the part
//! that the owner keeps add up to no more than the limit.
//!
//! What an entry holds of a limit has two parts. Its standing share, a rate and
//! a capacity, lasts for kShareLease. Tokens above this capacity last for
//! kExcessLease. For each customer, the standing shares of all entries add up
//! to no more than a bound, a part of the limit that outlasts the owner: see
//! BoundsToRecord().
class Owner {
 public:
  //! `takeover` must not be earlier than the time at which every earlier owner
  //! has stopped answering reports (the leader lease ensures this).
  //! `registered` maps each instance to which an earlier owner may have given
  //! shares to its incarnation.
  Owner(std::int64_t term,
        Time takeover,
        const std::map<std::string, std::int64_t>& registered);

  //! Sets the limit of a customer. A new bucket starts empty. Until the entries
  //! have applied a change, they may use up to the higher of the old and the
  //! new limit.
  void SetLimit(Time now, const std::string& customer, Limit limit);

  //! Lets the owner give out the reserve of each limit too, for
  //! kReserveValidity from now on. The caller must ensure that no two grants,
  //! also of different owners, happen within kReserveGrantInterval.
  void GrantReserve(Time now);

  //! Sets the bound of a customer's standing shares, in hundredths of its
  //! limit, as it has been recorded; 100 before the first call. After a
  //! takeover, call it for each record of earlier owners, and for each record
  //! of them that is still made.
  void OnBoundRecorded(Time now, const std::string& customer, int percent);

  //! Bounds to record where the next owner finds them. The owner uses a higher
  //! bound only after OnBoundRecorded(), and no more than a lower bound from
  //! this call on. Returns a bound again if it is not recorded for a while.
  std::map<std::string, int> BoundsToRecord(Time now);

  //! Removes the limit of a customer.
  void RemoveLimit(Time now, const std::string& customer);

  //! Registers an instance. Reports of other instances are not answered.
  void Register(const std::string& instance, std::int64_t incarnation);

  //! Applies a report and returns the answer, which must be sent together with
  //! the report's sent time. The answer can be empty. `idle_for` is how long
  //! ago the entry's process took its last token, or started if it took none.
  std::vector<messages::ShareUpdate> OnReport(
      Time now,
      const std::string& instance,
      std::int64_t incarnation,
      const std::vector<messages::ShareReport>& reports,
      Duration idle_for = Duration::zero());

  //! Takes back the shares of an instance whose Holder has been stopped, and
  //! removes it from the registered instances.
  void Release(Time now, const std::string& instance);

  //! Frees the shares of an instance whose process has ended; no report of that
  //! process is awaited any more. Call it before Register() only if the new
  //! process proves that the earlier one has ended, for example because both
  //! must bind the same address.
  void OnProcessEnded(Time now, const std::string& instance);

  //! False after a takeover until all shares that earlier owners gave out are
  //! known or have expired.
  bool Ready(Time now);

  //! Instances whose shares of earlier owners are not known yet.
  std::int64_t UnknownCount() const { return unknown_count_; }
  //! True if shares were lost track of, because their holder has restarted, so
  //! that the owner is not ready until they have expired.
  bool WaitsForExpiry() const { return lost_count_ > 0; }
  //! The part of all limits that the owner can't give out because unknown
  //! shares may hold it, in hundredths of their rates.
  std::int64_t WithheldPercent() const;
  //! Whole tokens that this owner has given to entries.
  std::int64_t TokensGiven() const { return given_micros_ / kRequestMicros; }

 private:
  // The content of an update: an entry that applies it holds `rate_micros` and
  // `capacity_micros`, and gets `added_micros` tokens.
  struct Grant {
    std::int64_t sequence = 0;
    std::int64_t rate_micros = 0;
    std::int64_t capacity_micros = 0;
    std::int64_t added_micros = 0;
    std::int64_t ceiling_micros = 0;  // highest level after the update
  };
  // The share of one incarnation of an instance. At most one update is
  // unconfirmed at a time; it is resent unchanged.
  struct Share {
    Grant confirmed;
    std::int64_t level_bound = 0;    // upper bound of tokens held, as confirmed
    std::optional<Grant> sent;       // not confirmed yet
    std::int64_t demand_micros = 0;  // averaged
    Time demand_at;
    std::int64_t wanted_micros = 0;  // tokens missing for waiting requests
    Time wanted_since;
    Time reported_at;
    Time lease_end;
    Time excess_end;       // tokens above the capacity are void from then on
    Time refilled_from;    // the entry refills the share itself from then on
    bool refilled = true;  // by the entry
    bool quiet = false;    // not refilled since level_bound was reported
    bool listed = false;   // in Instance::buckets
  };
  using ShareKey = std::pair<std::string, std::int64_t>;
  // Upper bound of what entries hold of a limit, and their demand.
  struct Totals {
    std::int64_t rate_micros = 0;
    std::int64_t refilled_micros = 0;  // rates of shares that entries refill
    std::int64_t capacity_micros = 0;  // tokens above the capacity included
    std::int64_t standing_micros = 0;  // capacities alone
    std::int64_t demand_micros = 0;
  };
  struct Bucket {
    std::optional<Limit> limit;
    std::int64_t level_micros = 0;  // tokens kept by the owner
    std::int64_t remainder = 0;     // millionths of a micro-token; see Refill()
    std::int64_t reserve_micros = 0;  // tokens left of a granted reserve
    Time refilled_at;
    std::int64_t smoothed_fill_permille = 0;  // rises slowly, falls at once
    std::map<ShareKey, Share> shares;
    // Shares with wanted_micros above 0, ordered by wanted_since.
    std::map<std::pair<Time, ShareKey>, const Share*> waiting;
    Totals held;
    Time next_expiry = kNever;  // no share or excess expires earlier
    int recorded_percent = 100;
    int takeover_percent = 100;           // highest bound of an earlier owner
    std::optional<int> proposed_percent;  // returned by BoundsToRecord()
    Time proposed_at;
    Time bound_used_at;        // when more was held than a lower bound allows
    bool bound_short = false;  // a share was cut because of the bound
    Totals adopted;            // held at the takeover by known instances
    std::int64_t refilled_before = 0;  // by entries without an owner
  };
  struct Instance {
    std::int64_t incarnation = 0;
    bool known = false;      // shares given by earlier owners are known
    bool confirmed = false;  // this incarnation has reported under this term
    std::optional<Time> idle_since;
    std::optional<Time> last_contact;  // with an earlier owner
    bool has_contacts = false;     // its shares wait for the end of contacts
    bool in_contact = false;       // at the newest report
    std::vector<Bucket*> buckets;  // in which it may have a share
  };

  static Totals HeldBy(const Share& share);
  void DropShares(Time now, const std::string& instance);
  static void AddTotals(Bucket& bucket, const Share& share, int sign);
  Totals UnknownHeld(const Bucket& bucket) const;
  Totals BoundLeft(const Bucket& bucket) const;
  static int UsableBoundPercent(const Bucket& bucket);
  std::int64_t MovableLevel(const Bucket& bucket) const;
  bool KeepsShare(Time now,
                  const Bucket& bucket,
                  const Share& share,
                  const messages::ShareReport& report) const;
  void AdvanceAll(Time now);
  void OnContact(Time now,
                 const std::string& name,
                 Instance& instance,
                 const messages::ShareReport& header);
  static void UpdateRefilled(Bucket& bucket, Share& share, Time now);
  messages::ShareUpdate MakeContactUpdate(Time now) const;
  std::int64_t MaxSharePercent() const;
  void MarkKnown(Instance& instance);
  void CreditTimeBefore();
  std::int64_t FreeRate(const Bucket& bucket) const;
  std::int64_t FreeCapacity(const Bucket& bucket) const;
  void Advance(Bucket& bucket, Time now);
  void AdvanceTo(Bucket& bucket, Time now);
  static void VoidExcess(Bucket& bucket, Share& share);
  void DropExpired(Bucket& bucket, Time now);
  void StartIncarnation(const std::string& name,
                        Instance& instance,
                        std::int64_t incarnation);
  void AdoptReportedShares(Time now,
                           const std::string& name,
                           Instance& instance,
                           const std::vector<messages::ShareReport>& reports);
  static void UpdateDemand(Time now, Share& share, std::int64_t demand_micros);
  bool ConfirmShare(Time now,
                    Bucket& bucket,
                    Share& share,
                    const messages::ShareReport& report) const;
  std::int64_t TokensWantedEarlier(const Bucket& bucket,
                                   const Share& share) const;
  static void UpdateWaiting(Time now,
                            Bucket& bucket,
                            const ShareKey& key,
                            Share& share,
                            std::int64_t wanted_micros);
  std::int64_t TokensNeeded(const Bucket& bucket,
                            const Share& share,
                            const messages::ShareReport& report,
                            std::int64_t capacity_micros) const;
  std::int64_t TokensAhead(const Bucket& bucket,
                           const Share& share,
                           const messages::ShareReport& report,
                           const Grant& grant) const;
  Grant DecideGrant(Time now,
                    Bucket& bucket,
                    const Share& share,
                    const messages::ShareReport& report,
                    bool has_contacts) const;
  std::optional<messages::ShareUpdate> AnswerReport(
      Time now,
      const ShareKey& key,
      Instance& instance,
      const messages::ShareReport& report);

  std::int64_t term_;
  Time takeover_;
  Time ready_at_;
  Time excess_void_at_;  // tokens above capacities that earlier owners gave
  Time settled_at_;      // shares of before the takeover may shrink
  Time reserve_until_;
  bool ready_ = false;
  bool credits_time_before_ = true;
  std::int64_t last_sequence_ = 0;
  std::int64_t given_micros_ = 0;
  std::map<std::string, Instance> instances_;
  // Instances that are not known, counted, since each report needs the number.
  std::int64_t unknown_count_ = 0;
  // Earlier incarnations whose shares are never reported.
  std::int64_t lost_count_ = 0;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace goldcrest::quota

#endif  // GOLDCREST_QUOTA_OWNER_H_
