#include "goldcrest/quota/limit.h"

namespace goldcrest::quota {

void Refill(std::int64_t rate_micros,
            std::int64_t capacity_micros,
            Duration elapsed,
            std::int64_t& level_micros,
            std::int64_t& remainder) {
  if (level_micros >= capacity_micros) {
    remainder = 0;
    return;
  }
  // A product of 64-bit amounts: a large rate over a long silence overflows 64
  // bits.
  const __int128 scaled =
      static_cast<__int128>(rate_micros) * elapsed.count() + remainder;
  const __int128 level = level_micros + scaled / kRequestMicros;
  if (level >= capacity_micros) {
    level_micros = capacity_micros;
    remainder = 0;
    return;
  }
  level_micros = static_cast<std::int64_t>(level);
  remainder = static_cast<std::int64_t>(scaled % kRequestMicros);
}

}  // namespace goldcrest::quota
