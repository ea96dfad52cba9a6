#ifndef GOLDCREST_PROCESS_TESTS_STATEMENT_DATABASE_H_
#define GOLDCREST_PROCESS_TESTS_STATEMENT_DATABASE_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace goldcrest::process_tests {

//! The primary of a group, which speaks the statement protocol and keeps
//! nothing. "READ rows N" answers with N rows of kRowBytes, "READ hang" with
//! nothing, any other statement with one row.
class StatementDatabase {
 public:
  static constexpr std::size_t kRowBytes = 64 << 10;

  StatementDatabase();
  ~StatementDatabase();
  StatementDatabase(const StatementDatabase&) = delete;
  StatementDatabase& operator=(const StatementDatabase&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  void Accept();
  static void Serve(int socket);

  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<int> sockets_;  // guarded by mutex_
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace goldcrest::process_tests

#endif  // GOLDCREST_PROCESS_TESTS_STATEMENT_DATABASE_H_
