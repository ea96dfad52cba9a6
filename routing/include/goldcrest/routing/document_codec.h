#ifndef GOLDCREST_ROUTING_DOCUMENT_CODEC_H_
#define GOLDCREST_ROUTING_DOCUMENT_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrest::routing {

//! Largest document in bytes that DecompressDocument() returns.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{8} << 20U;

//! Compresses a configuration document for its way to the entries, whose links
//! may be slow. Throws std::bad_alloc when out of memory.
std::string CompressDocument(std::string_view document);

//! Returns nullopt when `bytes` are not the whole result of CompressDocument()
//! or the document is larger than kMaxDocumentBytes.
std::optional<std::string> DecompressDocument(std::string_view bytes);

}  // namespace goldcrest::routing

#endif  // GOLDCREST_ROUTING_DOCUMENT_CODEC_H_
