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
  //! True if shares were lost track of, so that the owner gives out no part of
  //! a limit until all shares of earlier owners have expired.
  bool WaitsForExpiry() const { return wait_for_expiry_; }

 private:
  // The content of an update: an entry that applies it holds `rate_micros` and
  // `capacity_micros`, and gets `added_micros` tokens.
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
    std::int64_t wanted_micros = 0;  // tokens missing for waiting requests
    Time wanted_since;
    Time reported_at;
    Time lease_end;
  };
  using ShareKey = std::pair<std::string, std::int64_t>;
  // Upper bound of what entries hold of a limit, and their demand.
  struct Totals {
    std::int64_t rate_micros = 0;
    std::int64_t capacity_micros = 0;
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
    Time next_expiry = kNever;  // no share expires earlier
  };
  struct Instance {
    std::int64_t incarnation = 0;
    bool known = false;      // shares given by earlier owners are known
    bool confirmed = false;  // this incarnation has reported under this term
    std::optional<Time> idle_since;
  };

  static Totals HeldBy(const Share& share);
  void DropShares(Time now, const std::string& instance);
  static void AddTotals(Bucket& bucket, const Share& share, int sign);
  std::int64_t UsablePercent() const;
  std::int64_t MaxSharePercent() const;
  void MarkKnown(Instance& instance);
  void CreditIdleTime(Time now);
  std::int64_t FreeRate(const Bucket& bucket) const;
  std::int64_t FreeCapacity(const Bucket& bucket) const;
  void Advance(Bucket& bucket, Time now);
  void DropExpired(Bucket& bucket, Time now);
  void StartIncarnation(const std::string& name,
                        Instance& instance,
                        std::int64_t incarnation);
  void AdoptReportedShares(Time now,
                           const std::string& name,
                           Instance& instance,
                           const std::vector<messages::ShareReport>& reports);
  bool ConfirmShare(Bucket& bucket,
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
  Grant DecideGrant(const Bucket& bucket,
                    const Share& share,
                    const messages::ShareReport& report) const;
  std::optional<messages::ShareUpdate> AnswerReport(
      Time now,
      const ShareKey& key,
      const messages::ShareReport& report);

  std::int64_t term_;
  Time ready_at_;
  Time reserve_until_;
  bool ready_ = false;
  bool wait_for_expiry_ = false;
  std::int64_t last_sequence_ = 0;
  std::map<std::string, Instance> instances_;
  // Instances that are not known, counted, since each report needs the number.
  std::int64_t unknown_count_ = 0;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace goldcrest::quota

#endif  // GOLDCREST_QUOTA_OWNER_H_
