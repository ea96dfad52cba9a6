#ifndef GOLDCREST_PROCESS_TESTS_FLEET_H_
#define GOLDCREST_PROCESS_TESTS_FLEET_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "caller.h"
#include "child_process.h"
#include "reserved_port.h"
#include "temporary_folder.h"

namespace goldcrest::process_tests {

struct FleetOptions {
  std::size_t entries = 2;     //!< In addition to the three control members.
  std::string entry_settings;  //!< Additional lines of [entry].
  std::vector<std::string> standin_flags;
};

//! Daemons and stand-in databases that run as child processes on loopback:
//! control members e1 to e3, entries from e4 on, and endpoints b1 to b3 of the
//! group "bookings".
class Fleet {
 public:
  // Caller keys of the customers "hall" (a rate that no test reaches), "yard"
  // (no rate limit; writes with durability "primary") and "shop" (kShopRate
  // requests per second, bursts of kShopBurst), and the operator token.
  static constexpr const char* kHallKey = "key-of-the-town-hall";
  static constexpr const char* kYardKey = "key-of-the-yard";
  static constexpr const char* kShopKey = "key-of-the-shop";
  static constexpr const char* kOperatorToken = "token-of-the-operators";
  static constexpr int kShopRate = 40;
  static constexpr int kShopBurst = 20;

  //! Starts and configures the fleet and waits until each instance has run a
  //! write. Throws std::runtime_error when that takes too long.
  explicit Fleet(const FleetOptions& options = {});
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  //! Path of goldcrestd.
  static std::string DaemonProgram();

  std::vector<std::string> Instances() const;
  std::uint16_t CallerPort(const std::string& instance) const;
  std::uint16_t OperatorPort(const std::string& instance) const;
  std::uint16_t EndpointPort(const std::string& endpoint) const;
  ChildProcess& Daemon(const std::string& instance);
  ChildProcess& Endpoint(const std::string& endpoint);

  //! Starts the daemon with the same settings as before. A previous process of
  //! the instance must have ended.
  void StartDaemon(const std::string& instance, bool bootstrap = false);
  void StartEndpoint(const std::string& endpoint);

  //! Whether the health check of the instance succeeds.
  bool Healthy(const std::string& instance) const;
  //! Waits until the health check of each instance succeeds; throws
  //! std::runtime_error when that takes too long.
  void AwaitHealthy(const std::vector<std::string>& instances) const;

  //! Sends a request to the operator port of the instance.
  Reply SendOperatorRequest(const std::string& instance,
                            const std::string& method,
                            const std::string& target,
                            const boost::json::object& body = {}) const;

  //! Status as reported by the control leader, requested through the first
  //! instance that answers; empty if none does.
  boost::json::object FetchControlStatus() const;
  // Names of instances or of an endpoint, read from FetchControlStatus(); empty
  // if unknown.
  std::string Leader() const;
  std::string Coordinator() const;
  std::string Primary() const;
  //! An instance that is not in `others`, preferably an entry.
  std::string InstanceOtherThan(const std::vector<std::string>& others) const;

  //! Injects a fault into a stand-in database.
  void SetFault(const std::string& endpoint,
                const std::string& kind,
                std::int64_t value) const;
  //! Targets, headers and bodies of the requests that the stand-in database has
  //! received, as JSON.
  std::string FetchReceivedRequests(const std::string& endpoint) const;

  std::string ReadLog(const std::string& process) const;
  const TemporaryFolder& folder() const { return folder_; }
  std::filesystem::path DataFolder(const std::string& instance) const;

 private:
  struct Ports {
    ReservedPort caller;
    ReservedPort operators;
    ReservedPort peer;
  };

  void WriteSettings(const std::string& instance) const;
  void Configure() const;
  std::string GroupField(std::string_view field) const;

  FleetOptions options_;
  TemporaryFolder folder_;
  std::map<std::string, Ports> ports_;
  std::map<std::string, ReservedPort> endpoint_ports_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_FLEET_H_
