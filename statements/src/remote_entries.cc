#include "goldcrest/statements/remote_entries.h"

#include <algorithm>
#include <cstddef>

namespace goldcrest::statements {
namespace {

// Messages of a process that has ended arrive at most seconds later.
constexpr std::size_t kMaxEndedProcesses = 16;

}  // namespace

RemoteEntries::Process RemoteEntries::OnMessage(const std::string& name,
                                                std::int64_t process) {
  Entry& entry = entries_[name];
  if (process == entry.process)
    return Process::kNewest;
  if (std::ranges::count(entry.ended_processes, process) > 0)
    return Process::kOutdated;
  const bool restarted = entry.process != 0;
  if (restarted) {
    entry.ended_processes.push_back(entry.process);
    if (entry.ended_processes.size() > kMaxEndedProcesses)
      entry.ended_processes.pop_front();
  }
  entry.process = process;
  entry.newest_operation = 0;
  return restarted ? Process::kRestarted : Process::kNewest;
}

bool RemoteEntries::OnOperation(const RemoteOperationId& operation) {
  Entry& entry = entries_[operation.entry];
  const bool is_new = operation.process == entry.process &&
                      operation.number > entry.newest_operation;
  if (is_new)
    entry.newest_operation = operation.number;
  return is_new;
}

}  // namespace goldcrest::statements
