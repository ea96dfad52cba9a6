#ifndef GOLDCREST_QUOTA_PERCENT_H_
#define GOLDCREST_QUOTA_PERCENT_H_

#include <cstdint>

namespace goldcrest::quota {

//! Returns `percent` hundredths of `amount`, rounded towards zero. Does not
//! overflow.
inline std::int64_t Percent(std::int64_t amount, std::int64_t percent) {
  return static_cast<std::int64_t>(static_cast<__int128>(amount) * percent /
                                   100);
}

//! Returns amount * part / whole; 0 if `whole` is not positive. Does not
//! overflow.
inline std::int64_t Scale(std::int64_t amount,
                          std::int64_t part,
                          std::int64_t whole) {
  if (whole <= 0)
    return 0;
  return static_cast<std::int64_t>(static_cast<__int128>(amount) * part /
                                   whole);
}

inline constexpr std::int64_t kPermille = 1000;

}  // namespace goldcrest::quota

#endif  // GOLDCREST_QUOTA_PERCENT_H_
