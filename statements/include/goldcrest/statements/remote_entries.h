#ifndef GOLDCREST_STATEMENTS_REMOTE_ENTRIES_H_
#define GOLDCREST_STATEMENTS_REMOTE_ENTRIES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>

namespace goldcrest::statements {

//! Identifies an operation that another entry hands over. Each process of an
//! entry numbers its operations from 1 on.
struct RemoteOperationId {
  bool operator<(const RemoteOperationId& other) const {
    return std::tie(entry, process, number) <
           std::tie(other.entry, other.process, other.number);
  }

  std::string entry;
  std::int64_t process = 0;
  std::int64_t number = 0;
};

//! The entries that hand operations over to this one: which process of each is
//! the newest, and which of its operations.
class RemoteEntries {
 public:
  enum class Process {
    kNewest,     //!< The one known, or the first of the entry.
    kRestarted,  //!< Another one, which is the newest from now on.
    kOutdated,   //!< An earlier one than the newest.
  };

  //! Classifies the process of a message.
  Process OnMessage(const std::string& entry, std::int64_t process);

  //! Returns true for an operation of the newest process that is newer than all
  //! of its operations before. They arrive in the order of their numbers: one
  //! that is not newer is late or doubled.
  bool OnOperation(const RemoteOperationId& operation);

 private:
  struct Entry {
    std::int64_t process = 0;  // 0: none yet
    std::int64_t newest_operation = 0;
    std::deque<std::int64_t> ended_processes;
  };

  std::map<std::string, Entry> entries_;  // by name
};

}  // namespace goldcrest::statements

#endif  // GOLDCREST_STATEMENTS_REMOTE_ENTRIES_H_
