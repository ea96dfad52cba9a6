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
  std::size_t entries = 2;     //!< Besides the three control members.
  std::string entry_settings;  //!< Further lines of [entry].
  std::vector<std::string> standin_flags;
};

//! Real daemons e1 to e3 (control members), e4 and on (entries), and the
//! stand-in databases b1 to b3 of the group "bookings", on loopback.
//! Throws std::runtime_error when the fleet doesn't serve in time.
class Fleet {
 public:
  // Caller keys of the customers "hall" (ample rate), "yard" (no limit; writes
  // with durability "primary") and "shop" (kShopRate and kShopBurst), and the
  // operators' token.
  static constexpr const char* kHallKey = "key-of-the-town-hall";
  static constexpr const char* kYardKey = "key-of-the-yard";
  static constexpr const char* kShopKey = "key-of-the-shop";
  static constexpr const char* kOperatorToken = "token-of-the-operators";
  static constexpr int kShopRate = 40;
  static constexpr int kShopBurst = 20;

  //! Starts everything, configures it and waits until a write runs.
  explicit Fleet(const FleetOptions& options = {});
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  //! The path of goldcrestd.
  static std::string DaemonProgram();

  std::vector<std::string> Instances() const;
  std::uint16_t CallerPort(const std::string& instance) const;
  std::uint16_t OperatorPort(const std::string& instance) const;
  std::uint16_t EndpointPort(const std::string& endpoint) const;
  ChildProcess& Daemon(const std::string& instance);
  ChildProcess& Endpoint(const std::string& endpoint);

  //! Replaces the daemon, which must have ended; with the same settings.
  void StartDaemon(const std::string& instance, bool bootstrap = false);
  void StartEndpoint(const std::string& endpoint);

  //! Whether the health check of the instance succeeds.
  bool Healthy(const std::string& instance) const;
  //! Waits until the instances answer the health check.
  void AwaitHealthy(const std::vector<std::string>& instances) const;

  Reply Operator(const std::string& instance,
                 const std::string& method,
                 const std::string& target,
                 const boost::json::object& body = {}) const;

  //! The status as the control leader gives it, asked of any instance that
  //! answers; empty if none does.
  boost::json::object Status() const;
  std::string Leader() const;
  std::string Coordinator() const;
  std::string Primary() const;
  //! An instance that is none of `others`.
  std::string OtherThan(const std::vector<std::string>& others) const;

  //! Sets a fault of a stand-in.
  void SetFault(const std::string& endpoint,
                const std::string& kind,
                std::int64_t value) const;
  //! All that the stand-in has received, as JSON.
  std::string Seen(const std::string& endpoint) const;

  std::string LogOf(const std::string& process) const;
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
  std::string GroupMember(std::string_view member) const;

  FleetOptions options_;
  TemporaryFolder folder_;
  std::map<std::string, Ports> ports_;
  std::map<std::string, ReservedPort> endpoint_ports_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_FLEET_H_
