#ifndef GOLDCREST_PROCESS_TESTS_PLATFORM_INSTANCE_H_
#define GOLDCREST_PROCESS_TESTS_PLATFORM_INSTANCE_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "child_process.h"
#include "reserved_port.h"
#include "statement_database.h"
#include "temporary_folder.h"

namespace goldcrest::process_tests {

//! One instance of the platform on loopback addresses: a controller, an entry
//! and a database group "g" that all statements of database "db" go to.
class PlatformInstance {
 public:
  enum class Role { kEntry, kController };

  //! `settings` are members of the settings file, each followed by a comma.
  //! Returns once an ordinary request is answered.
  explicit PlatformInstance(const std::string& settings = "");
  ~PlatformInstance();

  std::uint16_t caller_port() const { return caller_port_.number(); }
  std::uint16_t readiness_port() const { return readiness_port_.number(); }
  std::uint16_t controller_port() const { return controller_port_.number(); }
  std::uint16_t peer_port(Role role) const;

  //! Line that opens a session.
  static constexpr const char* kSessionStart = "STARTUP db key\r\n";

  //! Whether one ordinary session is opened and its statement answered.
  bool ServesOrdinaryCaller() const;
  //! Whether a controller answers a heartbeat.
  bool SendHeartbeat();

  bool IsRunning(Role role);
  //! Waits until the resident memory has not changed for a second, for at most
  //! half a minute: input waits in the kernel while the process is busy.
  void AwaitSteadyMemory(Role role) const;
  //! Highest resident memory since the start of the process.
  std::size_t PeakResidentBytes(Role role) const;
  std::size_t OpenDescriptors(Role role) const;
  void LimitDescriptors(Role role, std::size_t limit) const;
  std::string ReadLog(Role role) const;

 private:
  struct Process {
    std::unique_ptr<ChildProcess> child;
    const char* name;
  };
  void WriteSettings(const std::string& settings) const;
  void Start(Process& process);
  Process& Find(Role role);
  pid_t ProcessId(Role role) const;
  std::size_t StatusBytes(Role role, const std::string& field) const;
  int Post(const std::string& path, const std::string& body) const;

  TemporaryFolder folder_;
  ReservedPort caller_port_;
  ReservedPort readiness_port_;
  ReservedPort controller_port_;
  ReservedPortPair peer_ports_;
  StatementDatabase database_;
  int sequence_ = 0;
  Process controller_{nullptr, "controller"};
  Process entry_{nullptr, "entry"};
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_PLATFORM_INSTANCE_H_
