/// Queue of the requests of one class and service, by deadline.
#pragma once

#include "marjoramtally/process/fair_queue.hpp"
#include "marjoramtally/request/request.hpp"

#include <map>

namespace marjoramtally {

/// Waiting requests, earliest deadline first. `Push` and `Remove` cost
/// O(log n); `Next` looks at each lane once. Requests for the same model and
/// minimum version form a lane, which is skipped while no upstream serves it.
/// Not thread-safe.
class DeadlineQueue
{
public:
  /// @param aFront ahead of all requests that were not pushed so
  void Push(const RequestSpec& aSpec, TicketId aTicket, bool aFront);
  void Remove(const RequestSpec& aSpec, TicketId aTicket);
  /// @returns the first request of all lanes that are not stalled
  [[nodiscard]] std::optional<TicketId> Next() const;
  /// Skips a request's lane until `Resume`.
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
