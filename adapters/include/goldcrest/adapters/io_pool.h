#ifndef GOLDCREST_ADAPTERS_IO_POOL_H_
#define GOLDCREST_ADAPTERS_IO_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace goldcrest::adapters {

//! One io_context and the worker threads that run it.
class IoPool {
 public:
  explicit IoPool(std::size_t threads);
  ~IoPool();
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;

  boost::asio::io_context& Context();

  //! Runs `task` on a worker thread.
  void Post(std::function<void()> task);

  //! Stops the io_context and joins the threads. Handlers that have not run are
  //! dropped. Must not be called from a worker thread.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace goldcrest::adapters

#endif  // GOLDCREST_ADAPTERS_IO_POOL_H_
