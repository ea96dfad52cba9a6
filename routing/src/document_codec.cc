#include "goldcrest/routing/document_codec.h"

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <new>

#include <zlib.h>

namespace goldcrest::routing {
namespace {

// The compressed stream follows the size of the document.
constexpr std::size_t kSizeBytes = 4;

const Bytef* AsBytes(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

std::string CompressDocument(std::string_view document) {
  uLongf stream_bytes = ::compressBound(document.size());
  std::string bytes(kSizeBytes + stream_bytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                               static_cast<std::uint32_t>(document.size()));
  if (::compress2(reinterpret_cast<Bytef*>(bytes.data() + kSizeBytes),
                  &stream_bytes, AsBytes(document), document.size(),
                  Z_BEST_SPEED) != Z_OK)
    throw std::bad_alloc();
  bytes.resize(kSizeBytes + stream_bytes);
  return bytes;
}

std::optional<std::string> DecompressDocument(std::string_view bytes) {
  if (bytes.size() < kSizeBytes)
    return std::nullopt;
  const std::size_t size = boost::endian::load_big_u32(AsBytes(bytes));
  if (size > kMaxDocumentBytes)
    return std::nullopt;
  bytes.remove_prefix(kSizeBytes);
  std::string document(size, '\0');
  uLongf document_bytes = size;
  uLong stream_bytes = bytes.size();
  if (::uncompress2(reinterpret_cast<Bytef*>(document.data()), &document_bytes,
                    AsBytes(bytes), &stream_bytes) != Z_OK ||
      document_bytes != size || stream_bytes != bytes.size())
    return std::nullopt;
  return document;
}

}  // namespace goldcrest::routing
