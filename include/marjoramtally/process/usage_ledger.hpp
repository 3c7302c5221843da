/// Usage of customers, for the holder of the reporting duty: which windows are
/// to be settled and which are to be sent.
///
/// Before a window's counts are sent, they are settled by a conditional write
/// that only the first attempt of one holder can make. Every repeated report,
/// also one of a later holder or one that is processed late, therefore carries
/// the same counts.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/process/usage_meter.hpp"

#include <optional>
#include <set>

namespace marjoramtally {

/// A window with final counts.
struct SettledWindow
{
  CustomerCounts counts_;
  /// The platform has acknowledged the report.
  bool sent_ = false;
};

[[nodiscard]] std::string
WriteSettledWindow(const SettledWindow& aWindow);
[[nodiscard]] Result<SettledWindow>
ReadSettledWindow(std::string_view aText);

/// Timing of the reports.
struct UsagePolicy
{
  Duration window_ = std::chrono::seconds(5);
  /// A report is due this long after the end of its window.
  Duration reportDeadline_ = std::chrono::seconds(10);
  /// Requests that started in a window are counted by all gateways this long
  /// after its end.
  Duration collectionDelay_ = std::chrono::milliseconds(2500);
  /// Share of the time until a report is due. After it, a window is settled
  /// without the gateways that have not answered.
  double maxWaitShare_ = 0.7;
};

/// Reported and settled windows.
class UsageLedger
{
public:
  /// Number of windows kept in the store after they were sent.
  static constexpr UsageWindow kRetainedWindows = 12;

  explicit UsageLedger(UsagePolicy aPolicy);

  /// Starts the duty with the windows that earlier holders settled. Without
  /// any, accounting starts with the current window.
  void Begin(std::map<UsageWindow, SettledWindow> aSettled, TrueTime aNow);
  /// Records the usage that a gateway reported in reply to a request sent at
  /// this time.
  void OnUsage(const GatewayUsage& aUsage, TrueTime aRequestedAt);
  /// @param aLive incarnations of the gateways that should report
  /// @returns the next window with final counts, if any
  [[nodiscard]] std::optional<UsageWindow> NextDue(
    TrueTime aNow,
    const std::set<std::string>& aLive) const;
  [[nodiscard]] CustomerCounts CountsOf(UsageWindow aWindow) const;
  void OnSettled(UsageWindow aWindow, SettledWindow aSettled);
  /// @returns the oldest window that is settled but not acknowledged
  [[nodiscard]] std::optional<UsageWindow> NextToSend() const;
  void OnSent(UsageWindow aWindow);
  /// Removes sent windows beyond the retained number.
  /// @returns the removed windows
  [[nodiscard]] std::vector<UsageWindow> TakeObsolete();
  [[nodiscard]] const std::map<UsageWindow, SettledWindow>& Settled()
    const noexcept
  {
    return settled_;
  }

private:
  [[nodiscard]] TrueTime EndOf(UsageWindow aWindow) const noexcept;

  UsagePolicy policy_;
  /// The first window that is not settled.
  UsageWindow next_ = 0;
  std::map<UsageWindow, SettledWindow> settled_;
  /// Last counts reported by each incarnation of a gateway, by window. An
  /// incarnation that ended keeps its last report.
  std::map<UsageWindow, std::map<std::string, CustomerCounts>> reported_;
  /// When the last answered request to each gateway was sent.
  std::map<std::string, TrueTime> requestedAt_;
};

} // namespace marjoramtally
