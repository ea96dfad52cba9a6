#ifndef GOLDCREST_SESSIONS_GOLDEN_H_
#define GOLDCREST_SESSIONS_GOLDEN_H_

#include <string>

namespace goldcrest::sessions {

//! Empty when `text` equals the approved file; otherwise the first difference.
//! With GOLDCREST_APPROVE=1 in the environment the file is written instead.
std::string CompareWithGolden(const std::string& path, const std::string& text);

}  // namespace goldcrest::sessions

#endif  // GOLDCREST_SESSIONS_GOLDEN_H_
