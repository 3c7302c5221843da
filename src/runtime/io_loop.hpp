/// One event loop, shared by the HTTP server and client.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

namespace marjoramtally {

/// An I/O context for one thread; it keeps running without work.
class IoLoop
{
public:
  IoLoop()
    : guard_(context_.get_executor())
  {
  }

  [[nodiscard]] asio::io_context& Context() noexcept { return context_; }

private:
  asio::io_context context_{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
};

} // namespace marjoramtally
