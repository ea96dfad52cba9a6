#ifndef GOLDCREST_TYPES_LABELS_H_
#define GOLDCREST_TYPES_LABELS_H_

#include <map>
#include <string>

namespace goldcrest {

//! Label names and values that operators set on customers, keys and endpoints.
using Labels = std::map<std::string, std::string>;

}  // namespace goldcrest

#endif  // GOLDCREST_TYPES_LABELS_H_
