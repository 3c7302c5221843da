/// The queue of requests that wait for an upstream.
#pragma once

#include "marjoramtally/request/request.hpp"

#include <array>
#include <deque>
#include <vector>

namespace marjoramtally {

/// Names a request within this process.
using TicketId = Strong<std::uint64_t, struct TicketTag>;

/// A request in the queue.
struct QueuedRequest
{
  TicketId ticket_;
  RequestSpec spec_;
};

/// Waiting requests, live callers first. Not thread-safe.
class Admission
{
public:
  /// @param aLimit most requests that may wait
  explicit Admission(std::size_t aLimit) noexcept
    : limit_(aLimit)
  {
  }

  /// @returns whether there was room
  [[nodiscard]] bool Enqueue(QueuedRequest aRequest);
  /// Puts a request that is to be sent again before all of its class.
  void EnqueueFront(QueuedRequest aRequest);
  /// @returns requests in the order to try, without removing them
  [[nodiscard]] std::vector<const QueuedRequest*> InOrder() const;
  /// Removes one request.
  void Remove(TicketId aTicket);
  /// Removes and returns requests whose deadline has passed.
  [[nodiscard]] std::vector<QueuedRequest> Expire(TimePoint aNow);
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
  std::size_t limit_;
  std::size_t size_ = 0;
  std::array<std::deque<QueuedRequest>, kRequestClasses> queues_;
};

} // namespace marjoramtally
