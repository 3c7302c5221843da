/// Load of an upstream: requests of this process are counted exactly, those of
/// other entry processes are estimated from delayed reports.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace marjoramtally {

/// Load of one upstream. Lock-free and thread-safe.
class LoadEstimate
{
public:
  void OnSent(TimePoint aNow) noexcept;
  void OnDone(TimePoint aNow) noexcept;
  /// Records a report.
  /// @param aRequests requests at the upstream from all senders
  /// @param aAt when the upstream measured the number. Own requests in flight
  /// at that time are subtracted, so that no own request counts twice.
  void OnReport(std::uint64_t aRequests, TimePoint aAt) noexcept;
  /// @param aMeanOthers mean number of requests of other entry processes at an
  /// upstream of the service; the estimate approaches it as the report ages
  /// @returns expected number of requests at the upstream now
  [[nodiscard]] double Expected(TimePoint aNow,
                                double aMeanOthers) const noexcept;
  [[nodiscard]] std::uint64_t InFlight() const noexcept
  {
    return inFlight_.load(std::memory_order_relaxed);
  }
  /// @returns requests of other entry processes at the time of the last report
  [[nodiscard]] double Others() const noexcept
  {
    return others_.load(std::memory_order_relaxed);
  }

private:
  /// The history covers `kHistorySpans` spans of `kSpan` (65.5 ms), about 4.2
  /// s.
  static constexpr std::size_t kHistorySpans = 64;
  static constexpr Duration kSpan{ 65'536 };

  void RecordInFlight(std::uint64_t aInFlight, TimePoint aNow) noexcept;
  [[nodiscard]] std::uint64_t InFlightAt(TimePoint aAt) const noexcept;

  std::atomic<std::uint64_t> inFlight_{ 0 };
  std::atomic<double> others_{ 0 };
  std::atomic<Duration::rep> reportedAt_{ -1 };
  /// Span number and requests in flight at its end, packed into one word.
  std::array<std::atomic<std::uint64_t>, kHistorySpans> history_{};
};

} // namespace marjoramtally
