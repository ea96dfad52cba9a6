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
  std::uint16_t port = 0;  //!< 0: chosen by the system.
  int slots = 3;
  int connections = 25;
  std::chrono::milliseconds open_time{0};  //!< To open a connection.
  std::chrono::milliseconds lag{0};
  std::chrono::milliseconds statement_time{0};
  std::chrono::milliseconds leave_time{3000};
  bool primary_hint = false;
  std::map<std::string, HostPort> members;  //!< Group mates, without itself.
  std::vector<HostPort> announce_to;
  std::string announce_secret;
};

}  // namespace goldcrest::testing

#endif  // GOLDCREST_TESTING_STANDIN_OPTIONS_H_
