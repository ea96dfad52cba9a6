#ifndef GOLDCREST_CTL_PRETTY_JSON_H_
#define GOLDCREST_CTL_PRETTY_JSON_H_

#include <string>

#include <boost/json/value.hpp>

namespace goldcrest::ctl {

//! Serializes `value` with one field or element per line.
std::string PrettyJson(const boost::json::value& value);

}  // namespace goldcrest::ctl

#endif  // GOLDCREST_CTL_PRETTY_JSON_H_
