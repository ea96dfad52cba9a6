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
//! that is never zero. The header's own checksum tells a damaged size from a
//! record whose end was not written; the end byte tells a whole record from one
//! whose last blocks a crash left as zeros.
std::string EncodeRecord(std::string_view payload);

enum class ScanEnd : std::uint8_t {
  kWhole,    //!< Ends with a whole record.
  kTorn,     //!< Ends with an incomplete record, which has nothing after it.
  kDamaged,  //!< Has a complete record with wrong contents.
};

struct ScanResult {
  ScanEnd end = ScanEnd::kWhole;
  std::size_t offset = 0;  //!< Where the whole records end.
};

//! Calls `on_record` with the offset and payload of each whole record; false
//! from it means that the payload is damaged.
using OnRecord = std::function<bool(std::size_t, std::string_view)>;

ScanResult ScanRecords(std::string_view bytes, const OnRecord& on_record);

}  // namespace goldcrest::storage

#endif  // GOLDCREST_STORAGE_RECORD_H_
