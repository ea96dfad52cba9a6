#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_CALLER_CONNECTIONS_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_CALLER_CONNECTIONS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "goldcrest/adapters/line_socket.h"
#include "goldcrest/adapters/memory_account.h"
#include "goldcrest/platform/boot_settings.h"
#include "goldcrest/statements/statement_proxy.h"

namespace goldcrest {

//! The connections of callers to an entry. Bounds what they make the process
//! hold: stops reading from a caller whose statements or answers are queued up,
//! stops accepting before the descriptors run out, and closes the connection
//! that holds most when memory is short. Runs on one thread.
class CallerConnections {
 public:
  struct Hooks {
    std::function<void(statements::SessionId, std::string_view)> line;
    //! The connection has ended other than by CloseAfterWrites().
    std::function<void(statements::SessionId)> closed;
    //! What the session makes the process hold.
    std::function<statements::SessionMemory(statements::SessionId)> memory;
    //! A caller's output is short again after IsOutputFull().
    std::function<void(statements::SessionId)> output_room;
    //! A connection was closed by a limit, or accepting has stopped or gone on.
    std::function<
        void(const char* event, const std::string& cause, std::size_t bytes)>
        log_limit;
  };

  //! Binds the address. Throws boost::system::system_error on failure.
  CallerConnections(boost::asio::io_context& context,
                    const platform::SocketAddress& address,
                    const platform::ConnectionLimits& limits,
                    Hooks hooks);

  void Start();
  void StopAccepting();

  //! Applies time limits, and continues what waits for room. Has to be called
  //! some ten times a second at least.
  void Tick(Time now);

  bool Contains(statements::SessionId id) const {
    return callers_.contains(id);
  }
  std::size_t size() const { return callers_.size(); }
  //! True once the session was accepted or refused.
  bool IsStarted(statements::SessionId id) const;
  //! Returns whether the session was started before.
  bool SetStarted(statements::SessionId id);
  bool HasUnreadInput(statements::SessionId id) const;
  //! What the session makes the process hold has changed.
  void OnSessionMemory(statements::SessionId id);

  void Write(statements::SessionId id, std::string_view bytes);
  //! Whether the caller has left so much unread that nothing more should be
  //! produced for it. The hook `output_room` follows.
  bool IsOutputFull(statements::SessionId id) const;
  void CloseAfterWrites(statements::SessionId id);
  //! Whether connections of CloseAfterWrites() are still open.
  bool HasClosing();

  const adapters::MemoryAccount& account() const { return account_; }

 private:
  struct Caller {
    std::shared_ptr<adapters::LineSocket> socket;
    bool started = false;
    bool recorded = false;             // in the account
    mutable bool output_full = false;  // IsOutputFull() was true
  };
  // After CloseAfterWrites().
  struct Closing {
    statements::SessionId id;
    // Expired once the connection has ended.
    std::weak_ptr<adapters::LineSocket> socket;
  };

  void AcceptNext();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  bool HasRoomForCaller();
  void ResumeAccepting(Time now);
  void CloseUnstarted(Time now);
  void OnLine(statements::SessionId id, std::string_view line);
  //! Records what the caller holds and stops or continues to read from it.
  void Update(Time now, statements::SessionId id);
  void ReportOutputRoom(statements::SessionId id);
  void UpdatePaused(Time now);
  void CloseWhileShort(Time now);
  void CloseByLimit(Time now, statements::SessionId id, const char* cause);
  void CloseClosing(Time now, statements::SessionId id);
  void ForgetClosed(Time now);
  void Remove(Time now, statements::SessionId id);

  boost::asio::io_context& context_;
  const platform::ConnectionLimits limits_;
  const Hooks hooks_;
  boost::asio::ip::tcp::acceptor acceptor_;
  bool accepting_ = false;
  Time accept_again_at_ = kNever;  // after accepting has stopped
  statements::SessionId next_session_ = 1;
  std::map<statements::SessionId, Caller> callers_;
  // By the time of their connection.
  std::deque<std::pair<Time, statements::SessionId>> unstarted_;
  std::set<statements::SessionId> paused_;  // not read from, or output full
  std::vector<Closing> closing_;
  adapters::MemoryAccount account_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_CALLER_CONNECTIONS_H_
