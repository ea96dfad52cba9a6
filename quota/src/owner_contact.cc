// Who refills a share: its entry while it has no contact with the owner, the
// owner otherwise.

#include <algorithm>

#include "goldcrest/quota/owner.h"

namespace goldcrest::quota {
namespace {

// The owner counts the rate of a share as used by the entry this long after the
// contact that the entry has confirmed: a margin of 10% for clocks that run at
// different speeds.
constexpr Duration kContactExpiry = kContactTimeout - kContactTimeout / 10;

}  // namespace

messages::ShareUpdate Owner::MakeContactUpdate(Time now) const {
  messages::ShareUpdate update;
  update.owner_term = term_;
  update.contact_micros = ToMicros(now);
  return update;
}

// The entry has received an answer that was sent at the contact's time, so that
// it does not refill its shares for kContactTimeout from then on.
void Owner::OnContact(Time now,
                      const std::string& name,
                      Instance& instance,
                      const messages::ShareReport& header) {
  instance.has_contacts = header.contact_micros != 0;
  const Time refilled_from =
      TimeFromMicros(header.contact_micros) + kContactExpiry;
  instance.in_contact = header.contact_micros > 0 && now < refilled_from;
  if (header.contact_micros <= 0)
    return;
  const ShareKey key(name, instance.incarnation);
  std::erase_if(instance.buckets, [&](Bucket* bucket) {
    const auto place = bucket->shares.find(key);
    if (place == bucket->shares.end())
      return true;
    Share& share = place->second;
    if (refilled_from <= share.refilled_from)
      return false;
    Advance(*bucket, now);
    // The scan for expired shares may have removed it.
    if (!bucket->shares.contains(key))
      return true;
    share.refilled_from = refilled_from;
    UpdateRefilled(*bucket, share, now);
    return false;
  });
}

void Owner::UpdateRefilled(Bucket& bucket, Share& share, Time now) {
  const bool refilled = now >= share.refilled_from;
  if (!refilled)
    bucket.next_expiry =
        std::min(bucket.next_expiry, std::max(share.refilled_from, now));
  if (refilled == share.refilled)
    return;
  AddTotals(bucket, share, -1);
  share.refilled = refilled;
  share.quiet = share.quiet && !refilled;
  AddTotals(bucket, share, 1);
}

}  // namespace goldcrest::quota
