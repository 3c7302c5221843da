/// Requests of one class and service by deadline.
#pragma once

#include "marjoramtally/process/fair_queue.hpp"
#include "marjoramtally/request/request.hpp"

#include <map>

namespace marjoramtally {

/// Waiting requests, the earliest deadline first; operations cost O(log n).
/// Requests that ask for one model at one version form a lane, which can be
/// passed over while no upstream serves it. Not thread-safe.
class DeadlineQueue
{
public:
  void Push(const RequestSpec& aSpec, TicketId aTicket, bool aFront);
  /// Takes a request out.
  void Remove(const RequestSpec& aSpec, TicketId aTicket);
  /// @returns the first request of the lanes not passed over
  [[nodiscard]] std::optional<TicketId> Next() const;
  /// Passes over a request's lane until `Resume`.
  void Stall(const RequestSpec& aSpec);
  void Resume();
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
  struct Position
  {
    bool back_ = true;
    TimePoint deadline_;
    TicketId ticket_;
    auto operator<=>(const Position&) const = default;
  };
  struct LaneKey
  {
    std::string model_;
    WeightVersion minVersion_;
    auto operator<=>(const LaneKey&) const = default;
  };
  struct Lane
  {
    std::set<Position> waiting_;
    bool stalled_ = false;
  };

  std::map<LaneKey, Lane> lanes_;
  std::size_t size_ = 0;
};

} // namespace marjoramtally
