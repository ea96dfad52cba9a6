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

std::uint32_t Crc(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string ToBytes(std::uint32_t value) {
  std::string bytes(sizeof(value), '\0');
  boost::endian::store_little_u32(
      reinterpret_cast<unsigned char*>(bytes.data()), value);
  return bytes;
}

std::uint32_t ValueAt(std::string_view bytes, std::size_t offset) {
  return boost::endian::load_little_u32(
      reinterpret_cast<const unsigned char*>(bytes.data() + offset));
}

bool IsZero(std::string_view bytes) {
  return bytes.find_first_not_of('\0') == std::string_view::npos;
}

// The first record of `rest` is damaged, or incomplete if zeros follow from
// within it to the end of the file.
ScanEnd EndWithoutRecord(std::string_view rest, std::size_t known_bytes) {
  const bool unwritten =
      rest.back() == '\0' && IsZero(rest.substr(known_bytes));
  return unwritten ? ScanEnd::kTorn : ScanEnd::kDamaged;
}

}  // namespace

std::string EncodeRecord(std::string_view payload) {
  std::string record = ToBytes(static_cast<std::uint32_t>(payload.size())) +
                       ToBytes(Crc(payload));
  record += ToBytes(Crc(record));
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
    if (Crc(rest.substr(0, kHeaderCrcOffset)) !=
        ValueAt(rest, kHeaderCrcOffset))
      return {EndWithoutRecord(rest, kHeaderBytes), offset};
    const std::size_t size = ValueAt(rest, kSizeOffset);
    const std::size_t record_bytes = kHeaderBytes + size + kEndBytes;
    if (rest.size() < record_bytes)
      return {ScanEnd::kTorn, offset};
    const std::string_view payload = rest.substr(kHeaderBytes, size);
    if (rest[record_bytes - 1] != kEndByte)
      return {EndWithoutRecord(rest, record_bytes - 1), offset};
    if (Crc(payload) != ValueAt(rest, kPayloadCrcOffset) ||
        !on_record(offset, payload))
      return {ScanEnd::kDamaged, offset};
    offset += record_bytes;
  }
  return {ScanEnd::kWhole, offset};
}

}  // namespace goldcrest::storage
