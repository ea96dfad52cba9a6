#ifndef GOLDCREST_SESSION_MARK_CODEC_H_
#define GOLDCREST_SESSION_MARK_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "goldcrest/session/marks.h"

namespace goldcrest::session {

//! Encodes with the primitives of the Thrift compact protocol.
std::string EncodeMarks(const Marks& marks);

//! Returns nullopt unless `bytes` holds exactly one encoding within the limits
//! of TokenSealer.
std::optional<Marks> DecodeMarks(std::string_view bytes);

}  // namespace goldcrest::session

#endif  // GOLDCREST_SESSION_MARK_CODEC_H_
