/// Leases as their holder sees them: when to ask, when to stop, how long to
/// wait after a failure; and a budget of calls to the platform's store.
#pragma once

#include "marjoramtally/base/backoff.hpp"
#include "marjoramtally/base/clock.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace marjoramtally {

/// Times of a lease.
struct LeaseOptions
{
  /// How long the store keeps the lease after a heartbeat.
  Duration ttl_ = std::chrono::seconds(10);
  /// The holder stops this long before the store may let the lease go; covers
  /// the difference between the two clocks and an order already under way.
  Duration margin_ = std::chrono::seconds(1);
  Duration initialBackoff_ = std::chrono::milliseconds(200);
  Duration maxBackoff_ = std::chrono::seconds(5);
};

/// What the holder is to ask of the store now.
enum class LeaseStep : std::uint8_t
{
  Wait,
  Grant,
  KeepAlive,
};

/// What the store answered.
enum class LeaseAnswer : std::uint8_t
{
  /// Granted, or kept alive.
  Confirmed,
  /// The store no longer has the lease.
  Gone,
  /// No answer, or none that says so; the call may have taken effect.
  Unknown,
};

/// One lease from grant to lapse. A heartbeat counts from when it was sent,
/// never from when its answer came. Not thread-safe.
class LeaseKeeper
{
public:
  LeaseKeeper(LeaseOptions aOptions, std::uint64_t aSeed) noexcept
    : options_(aOptions)
    , backoff_(aOptions.initialBackoff_, aOptions.maxBackoff_, aSeed)
    , random_(aSeed)
  {
  }

  /// @returns what to ask now; the call counts as sent at `aNow`, and its
  /// answer must be given to `OnAnswer`
  LeaseStep Next(TimePoint aNow) noexcept;
  /// @param aSentAt the `aNow` of the `Next` that asked; an answer to an
  /// earlier call than the last changes nothing
  /// @returns whether the answer was taken
  bool OnAnswer(LeaseAnswer aAnswer,
                TimePoint aSentAt,
                TimePoint aNow) noexcept;
  /// Gives the lease up, for instance before it is revoked.
  void Drop() noexcept;

  /// Whether the holder may act now. Ask right before each act: after a
  /// pause this is false before anything else is known.
  [[nodiscard]] bool Holds(TimePoint aNow) const noexcept
  {
    return aNow < StopAt();
  }
  /// @returns when the holder must stop if nothing more is confirmed
  [[nodiscard]] TimePoint StopAt() const noexcept;
  /// Whether the store may still have the lease: it may be kept alive.
  [[nodiscard]] bool Granted() const noexcept { return granted_; }
  [[nodiscard]] TimePoint NextAt() const noexcept { return nextAt_; }

private:
  [[nodiscard]] Duration HeartbeatPeriod() noexcept;

  LeaseOptions options_;
  Backoff backoff_;
  Random random_;
  bool granted_ = false;
  bool asking_ = false;
  TimePoint sentAt_;
  /// When the last confirmed call was sent.
  TimePoint confirmedAt_;
  TimePoint nextAt_;
};

/// Kinds of calls to the store.
enum class StoreCallKind : std::uint8_t
{
  Read,
  Write,
  Lease,
  /// Opening a watch; it counts once, however long it waits.
  Watch,
};

inline constexpr std::size_t kStoreCallKinds = 4;

/// @returns the name of a kind, for metrics
[[nodiscard]] std::string_view
ToString(StoreCallKind aKind) noexcept;

/// A share of the store's rate for one process. Heartbeats and writes always
/// go, and are paid for by reads that come later; reads and watches are
/// refused when the budget is spent. Not thread-safe.
class StoreBudget
{
public:
  /// @param aTokensPerSecond calls a second that are earned
  /// @param aBurst most calls saved up
  StoreBudget(double aTokensPerSecond, double aBurst) noexcept
    : tokensPerSecond_(aTokensPerSecond)
    , burst_(aBurst)
    , tokens_(aBurst)
  {
  }

  /// @returns whether the call may be made; it is then counted
  bool Take(StoreCallKind aKind, TimePoint aNow) noexcept;
  [[nodiscard]] std::uint64_t Count(StoreCallKind aKind) const noexcept
  {
    return counts_.at(static_cast<std::size_t>(aKind));
  }
  [[nodiscard]] std::uint64_t Refused() const noexcept { return refused_; }

private:
  double tokensPerSecond_;
  double burst_;
  double tokens_;
  TimePoint last_;
  std::array<std::uint64_t, kStoreCallKinds> counts_{};
  std::uint64_t refused_ = 0;
};

} // namespace marjoramtally
