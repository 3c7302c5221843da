/// How much work an upstream has: own requests counted exactly, those of
/// other entries from a late report.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace marjoramtally {

/// Load of one upstream. Thread-safe without locks.
class LoadEstimate
{
public:
  void OnSent(TimePoint aNow) noexcept;
  void OnDone(TimePoint aNow) noexcept;
  /// Takes what the upstream had, from all senders, when it reported.
  /// @param aAt when the report was true; own requests of that time are
  /// taken off, so that what was sent since then counts once
  void OnReport(std::uint64_t aRequests, TimePoint aAt) noexcept;
  /// @param aMeanOthers what other entries keep at an upstream of the pool;
  /// the older the report, the nearer to it is the estimate
  /// @returns requests expected there now
  [[nodiscard]] double Expected(TimePoint aNow,
                                double aMeanOthers) const noexcept;
  [[nodiscard]] std::uint64_t InFlight() const noexcept
  {
    return inFlight_.load(std::memory_order_relaxed);
  }
  /// @returns requests of other entries at the time of the last report
  [[nodiscard]] double Others() const noexcept
  {
    return others_.load(std::memory_order_relaxed);
  }

private:
  /// The history reaches back over `kHistorySpans` spans of `kSpan`.
  static constexpr std::size_t kHistorySpans = 64;
  static constexpr Duration kSpan{ 65'536 };

  void RecordInFlight(std::uint64_t aInFlight, TimePoint aNow) noexcept;
  [[nodiscard]] std::uint64_t InFlightAt(TimePoint aAt) const noexcept;

  std::atomic<std::uint64_t> inFlight_{ 0 };
  std::atomic<double> others_{ 0 };
  std::atomic<Duration::rep> reportedAt_{ -1 };
  /// Span number and the requests in flight at its end.
  std::array<std::atomic<std::uint64_t>, kHistorySpans> history_{};
};

} // namespace marjoramtally
