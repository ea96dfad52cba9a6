#ifndef GOLDCREST_TESTING_STANDIN_OPTIONS_H_
#define GOLDCREST_TESTING_STANDIN_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrest::testing {

struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

struct StandinOptions {
  std::string endpoint;
  std::string group;
  std::string zone;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;  //!< 0: the system chooses a free port.
  int slots = 3;           //!< Maximum concurrent statements and transactions.
  int connections = 25;    //!< Maximum connections that carry statements.
  std::chrono::milliseconds open_delay{0};  //!< Before serving a connection.
  std::chrono::milliseconds lag{0};         //!< Replication lag.
  std::chrono::milliseconds statement_duration{0};
  //! Minimum time to serve after the start of leaving.
  std::chrono::milliseconds min_leave_time{3000};
  bool skip_primary_discovery = false;       //!< While the term is 0.
  std::map<std::string, HostPort> members;   //!< Other members of the group.
  std::vector<HostPort> announce_addresses;  //!< Of entries.
  std::string announce_secret;               //!< HMAC key of announcements.
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_STANDIN_OPTIONS_H_
