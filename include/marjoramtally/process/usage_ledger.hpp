/// The bill of customers' use, for the holder of the duty: which windows are to
/// be settled, which are to be sent.
///
/// A window's counts are settled by a write that only one holder's first try
/// can make, before they are sent. So each repeat, a later holder's too, and a
/// call that is carried out late, tells the same counts.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/process/usage_meter.hpp"

#include <optional>
#include <set>

namespace marjoramtally {

/// A window whose counts are final.
struct SettledWindow
{
  CustomerCounts counts_;
  /// The platform has acknowledged them.
  bool sent_ = false;
};

[[nodiscard]] std::string
WriteSettledWindow(const SettledWindow& aWindow);
[[nodiscard]] Result<SettledWindow>
ReadSettledWindow(std::string_view aText);

/// Times that govern the bill.
struct UsagePolicy
{
  Duration window_ = std::chrono::seconds(5);
  /// A report is due so long after its window's end.
  Duration reportDeadline_ = std::chrono::seconds(10);
  /// Requests that began in a window have ended so long after it, so that they
  /// are counted.
  Duration collectionDelay_ = std::chrono::milliseconds(2500);
  /// Part of the time until a report is due after which a window is settled
  /// without those that did not tell.
  double maxWaitShare_ = 0.7;
};

/// What is known of the windows.
class UsageLedger
{
public:
  /// Windows kept in the store after they were sent.
  static constexpr UsageWindow kRetainedWindows = 12;

  explicit UsageLedger(UsagePolicy aPolicy);

  /// The duty begins: takes what earlier holders have settled. Without any, the
  /// bill begins with the present window.
  void Begin(std::map<UsageWindow, SettledWindow> aSettled, TrueTime aNow);
  /// Takes what a process told when asked at that time.
  void OnUsage(const GatewayUsage& aUsage, TrueTime aRequestedAt);
  /// @param aLive the processes that should tell
  /// @returns the next window whose counts are final, if any
  [[nodiscard]] std::optional<UsageWindow> NextDue(
    TrueTime aNow,
    const std::set<std::string>& aLive) const;
  [[nodiscard]] CustomerCounts CountsOf(UsageWindow aWindow) const;
  void OnSettled(UsageWindow aWindow, SettledWindow aSettled);
  /// @returns the oldest window that was settled and not acknowledged
  [[nodiscard]] std::optional<UsageWindow> NextToSend() const;
  void OnSent(UsageWindow aWindow);
  /// @returns windows that need not be kept any more; forgets them
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
  /// The most that each run of a process told, by window: one that ended keeps
  /// what it told last.
  std::map<UsageWindow, std::map<std::string, CustomerCounts>> reported_;
  /// When the last answer of each process was asked for.
  std::map<std::string, TrueTime> requestedAt_;
};

} // namespace marjoramtally
