#include "record.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

namespace goldcrest::storage {
namespace {

constexpr std::size_t kSizeOffset = 0;
constexpr std::size_t kPayloadCrcOffset = 4;
constexpr std::size_t kHeaderCrcOffset = 8;
constexpr std::size_t kHeaderBytes = 12;
constexpr std::size_t kEndBytes = 1;
constexpr char kEndByte = '\xA5';

std::uint32_t Crc32(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string EncodeUint32(std::uint32_t value) {
  std::string bytes(sizeof(value), '\0');
  boost::endian::store_little_u32(
      reinterpret_cast<unsigned char*>(bytes.data()), value);
  return bytes;
}

std::uint32_t DecodeUint32(std::string_view bytes, std::size_t offset) {
  return boost::endian::load_little_u32(
      reinterpret_cast<const unsigned char*>(bytes.data() + offset));
}

bool IsZero(std::string_view bytes) {
  return bytes.find_first_not_of('\0') == std::string_view::npos;
}

// Returns kTorn if the file ends with a zero byte and has only zeros after the
// first `prefix_bytes` of the record, as a crash during a write can leave it;
// otherwise kDamaged.
ScanEnd ClassifyInvalidRecord(std::string_view rest, std::size_t prefix_bytes) {
  const bool unwritten =
      rest.back() == '\0' && IsZero(rest.substr(prefix_bytes));
  return unwritten ? ScanEnd::kTorn : ScanEnd::kDamaged;
}

}  // namespace

std::string EncodeRecord(std::string_view payload) {
  std::string record =
      EncodeUint32(static_cast<std::uint32_t>(payload.size())) +
      EncodeUint32(Crc32(payload));
  record += EncodeUint32(Crc32(record));
  record += payload;
  record += kEndByte;
  return record;
}

ScanResult ScanRecords(std::string_view bytes, const OnRecord& on_record) {
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const std::string_view rest = bytes.substr(offset);
    if (rest.size() < kHeaderBytes)
      return {ScanEnd::kTorn, offset};
    if (Crc32(rest.substr(0, kHeaderCrcOffset)) !=
        DecodeUint32(rest, kHeaderCrcOffset))
      return {ClassifyInvalidRecord(rest, kHeaderBytes), offset};
    const std::size_t size = DecodeUint32(rest, kSizeOffset);
    const std::size_t record_bytes = kHeaderBytes + size + kEndBytes;
    if (rest.size() < record_bytes)
      return {ScanEnd::kTorn, offset};
    const std::string_view payload = rest.substr(kHeaderBytes, size);
    if (rest[record_bytes - 1] != kEndByte)
      return {ClassifyInvalidRecord(rest, record_bytes - 1), offset};
    if (Crc32(payload) != DecodeUint32(rest, kPayloadCrcOffset) ||
        !on_record(offset, payload))
      return {ScanEnd::kDamaged, offset};
    offset += record_bytes;
  }
  return {ScanEnd::kComplete, offset};
}

}  // namespace goldcrest::storage
