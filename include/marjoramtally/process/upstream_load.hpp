/// Load of an upstream as believed by one process: its own calls are counted,
/// those of others and the duration of work are taken from reports of the
/// upstream.
#pragma once

#include "marjoramtally/process/load_estimate.hpp"

#include <memory>
#include <optional>

namespace marjoramtally {

/// Load that an upstream reports of itself in an answer.
struct LoadReport
{
  /// Requests that it runs.
  std::uint32_t running_ = 0;
  /// Requests that wait there for a slot.
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  /// Duration of work at present, relative to the usual one; unset if it is not
  /// reported.
  std::optional<double> slowdown_;
};

/// Largest slowdown that a report may state.
inline constexpr double kMaxSlowdown = 100;

/// @returns why a report cannot be true; empty if it can
[[nodiscard]] std::string_view
CheckLoadReport(const LoadReport& aReport) noexcept;

/// Belief about one upstream. Not thread-safe.
class UpstreamLoad
{
public:
  void OnSent(TimePoint aNow);
  void OnEnded(TimePoint aNow);
  /// @param aAt when the upstream measured the report; older than the last one:
  /// ignored
  void OnReport(const LoadReport& aReport, TimePoint aAt);
  /// Discards what was reported. Own calls continue to count.
  void Forget() noexcept;

  /// @returns expected requests of other processes there; 0 without a report
  [[nodiscard]] double Others(TimePoint aNow) const noexcept;
  /// @returns expected duration of work relative to the usual one; approaches 1
  /// as the last report ages
  [[nodiscard]] double Slowdown(TimePoint aNow) const noexcept;
  /// @returns age of the last report, if there is one
  [[nodiscard]] std::optional<Duration> Age(TimePoint aNow) const noexcept;
  /// @returns the last report, if there is one
  [[nodiscard]] const std::optional<LoadReport>& Last() const noexcept
  {
    return last_;
  }

private:
  /// Created by the first call or report.
  std::unique_ptr<LoadEstimate> estimate_;
  std::optional<LoadReport> last_;
  TimePoint reportedAt_;
};

} // namespace marjoramtally
