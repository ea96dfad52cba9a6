#include "goldcrest/adapters/scheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "goldcrest/adapters/system_clock.h"

namespace goldcrest::adapters {

struct Scheduler::Impl {
  explicit Impl(boost::asio::io_context& io) : context(io) {}

  boost::asio::io_context& context;
  std::mutex mutex;
  TimerId next_id = 1;
  std::unordered_map<TimerId, boost::asio::steady_timer> timers;
};

Scheduler::Scheduler(boost::asio::io_context& context)
    : impl_(std::make_shared<Impl>(context)) {}

Scheduler::~Scheduler() {
  const std::lock_guard lock(impl_->mutex);
  impl_->timers.clear();
}

Scheduler::TimerId Scheduler::After(Duration delay,
                                    std::function<void()> task) {
  return At(SystemClock::Now() + delay, std::move(task));
}

Scheduler::TimerId Scheduler::At(Time time, std::function<void()> task) {
  const std::lock_guard lock(impl_->mutex);
  const TimerId id = impl_->next_id++;
  auto& timer =
      impl_->timers
          .emplace(id, boost::asio::steady_timer(impl_->context,
                                                 SystemClock::ToSteady(time)))
          .first->second;
  timer.async_wait([impl = std::weak_ptr(impl_), id, task = std::move(task)](
                       const boost::system::error_code& error) {
    const auto locked_impl = impl.lock();
    if (error || !locked_impl)
      return;
    {
      // Cancel() and the destructor also remove the entry. The task runs only
      // if the entry is still present here.
      const std::lock_guard guard(locked_impl->mutex);
      if (locked_impl->timers.erase(id) == 0)
        return;
    }
    task();
  });
  return id;
}

bool Scheduler::Cancel(TimerId id) {
  const std::lock_guard lock(impl_->mutex);
  return impl_->timers.erase(id) != 0;
}

}  // namespace goldcrest::adapters
