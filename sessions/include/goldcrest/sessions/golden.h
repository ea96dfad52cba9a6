#ifndef GOLDCREST_SESSIONS_GOLDEN_H_
#define GOLDCREST_SESSIONS_GOLDEN_H_

#include <string>

namespace goldcrest::sessions {

//! Compares `text` with the golden file at `path`. Returns the first
//! difference, or "" if there is none. With GOLDCREST_APPROVE=1 in the
//! environment, writes the file instead and returns "".
std::string CompareWithGolden(const std::string& path, const std::string& text);

}  // namespace goldcrest::sessions

#endif  // GOLDCREST_SESSIONS_GOLDEN_H_
