#ifndef GOLDCREST_SESSIONS_TESTS_REQUESTS_H_
#define GOLDCREST_SESSIONS_TESTS_REQUESTS_H_

#include <string>

#include "goldcrest/sessions/fleet.h"

namespace goldcrest::sessions {

//! The text of the key that Prepare() issues to the customer "town-hall".
inline constexpr const char* kTownHallKey = "key-of-the-town-hall";

//! Registers customers, keys and rules for the group "bookings" and waits until
//! it serves. Reads accept data of 10 s.
bool Prepare(Fleet& fleet);

messages::Object Customer(const std::string& name, const std::string& plan);
messages::Object Key(const std::string& name,
                     const std::string& customer,
                     const std::string& text);
messages::Object KeyWithdrawal(const std::string& name);
messages::Object Quota(const std::string& plan, int rate, int burst);
messages::Change ChangeOf(const std::string& id,
                          std::int64_t base_revision,
                          std::vector<messages::Object> objects);

entry::CallerRequest Write(const std::string& statement,
                           const std::string& request_id = "",
                           const std::string& key = kTownHallKey);
entry::CallerRequest Read(const std::string& statement,
                          const std::string& key = kTownHallKey);
entry::CallerRequest InTransaction(messages::Operation::type operation,
                                   const std::string& transaction,
                                   const std::string& statement,
                                   const std::string& request_id = "");

//! Checks the transcript against tests/golden/NAME.txt and shows the first
//! difference.
void CheckGolden(const Fleet& fleet, const std::string& name);

}  // namespace goldcrest::sessions

#endif  // GOLDCREST_SESSIONS_TESTS_REQUESTS_H_
