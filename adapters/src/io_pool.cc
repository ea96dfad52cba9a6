#include "goldcrest/adapters/io_pool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace goldcrest::adapters {

struct IoPool::Impl {
  explicit Impl(std::size_t threads)
      : context(static_cast<int>(threads)),
        work_guard(context.get_executor()) {}

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard;
  std::vector<std::thread> threads;
};

IoPool::IoPool(std::size_t threads) : impl_(std::make_unique<Impl>(threads)) {
  impl_->threads.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i)
    impl_->threads.emplace_back(
        [context = &impl_->context] { context->run(); });
}

IoPool::~IoPool() {
  Stop();
}

boost::asio::io_context& IoPool::Context() {
  return impl_->context;
}

void IoPool::Post(std::function<void()> task) {
  boost::asio::post(impl_->context, std::move(task));
}

void IoPool::Stop() {
  impl_->context.stop();
  for (std::thread& thread : impl_->threads) {
    if (thread.joinable())
      thread.join();
  }
}

}  // namespace goldcrest::adapters
