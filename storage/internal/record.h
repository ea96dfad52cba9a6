#ifndef GOLDCREST_STORAGE_RECORD_H_
#define GOLDCREST_STORAGE_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace goldcrest::storage {

//! A record is a header of 12 bytes (payload size, CRC-32 of the payload,
//! CRC-32 of the first 8 bytes; little-endian), the payload, and one end byte
//! that is never zero. The header checksum distinguishes a damaged size from a
//! record whose end was not written. The end byte distinguishes a complete
//! record from one whose last blocks are zeros after a crash.
std::string EncodeRecord(std::string_view payload);

enum class ScanEnd : std::uint8_t {
  kComplete,  //!< All records are complete.
  kTorn,      //!< The last record was not written to its end.
  kDamaged,   //!< A fully written record has wrong contents.
};

struct ScanResult {
  ScanEnd end = ScanEnd::kComplete;
  std::size_t offset = 0;  //!< End of the last complete record.
};

//! Receives the offset and payload of a complete record; returns false when the
//! payload is damaged.
using OnRecord = std::function<bool(std::size_t, std::string_view)>;

ScanResult ScanRecords(std::string_view bytes, const OnRecord& on_record);

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_RECORD_H_
