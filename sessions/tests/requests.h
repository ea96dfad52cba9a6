#ifndef GOLDCREST_SESSIONS_TESTS_REQUESTS_H_
#define GOLDCREST_SESSIONS_TESTS_REQUESTS_H_

#include <string>

#include "goldcrest/sessions/fleet.h"

namespace goldcrest::sessions {

//! API key that SetUpBookings() registers for the customer "town-hall".
inline constexpr const char* kTownHallKey = "key-of-the-town-hall";

//! Registers customers, keys, quotas and access rules for the group "bookings"
//! and runs until the group serves. Reads accept data up to 10 s old. Returns
//! false if the group does not serve.
bool SetUpBookings(Fleet& fleet);

// Configuration objects and changes.

messages::Object Customer(const std::string& name, const std::string& plan);
messages::Object Key(const std::string& name,
                     const std::string& customer,
                     const std::string& text);
messages::Object KeyWithdrawal(const std::string& name);
//! `rate` is in requests a second, `burst` in requests.
messages::Object Quota(const std::string& plan, int rate, int burst);
messages::Change MakeChange(const std::string& id,
                            std::int64_t base_revision,
                            std::vector<messages::Object> objects);

// Requests to the group "bookings".

entry::CallerRequest Write(const std::string& statement,
                           const std::string& request_id = "",
                           const std::string& key = kTownHallKey);
entry::CallerRequest Read(const std::string& statement,
                          const std::string& key = kTownHallKey);
entry::CallerRequest InTransaction(messages::Operation::type operation,
                                   const std::string& transaction,
                                   const std::string& statement,
                                   const std::string& request_id = "");

//! Checks that the transcript equals tests/golden/NAME.txt and reports the
//! first difference.
void CheckGolden(const Fleet& fleet, const std::string& name);

}  // namespace goldcrest::sessions

#endif  // GOLDCREST_SESSIONS_TESTS_REQUESTS_H_
