/// The holder's side of a lease: when to call the store, when to stop acting,
/// how long to back off after a failure. Also a rate budget for calls to the
/// platform's store.
#pragma once

#include "marjoramtally/base/backoff.hpp"
#include "marjoramtally/base/clock.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace marjoramtally {

/// Durations of a lease.
struct LeaseOptions
{
  /// How long the store keeps the lease after a heartbeat.
  Duration ttl_ = std::chrono::seconds(10);
  /// The holder stops acting this long before the store may expire the lease;
  /// covers the difference between the two clocks and an order already in
  /// progress.
  Duration margin_ = std::chrono::seconds(1);
  Duration initialBackoff_ = std::chrono::milliseconds(200);
  Duration maxBackoff_ = std::chrono::seconds(5);
};

/// The call that the holder should make to the store now.
enum class LeaseStep : std::uint8_t
{
  Wait,
  Grant,
  KeepAlive,
};

/// Outcome of a call to the store.
enum class LeaseAnswer : std::uint8_t
{
  /// Granted, or kept alive.
  Confirmed,
  /// The store no longer has the lease.
  Gone,
  /// No conclusive answer; the call may have taken effect.
  Unknown,
};

/// One lease from grant to expiry. The lease period counts from when a
/// heartbeat was sent, never from when its answer arrived. Not thread-safe.
class LeaseKeeper
{
public:
  LeaseKeeper(LeaseOptions aOptions, std::uint64_t aSeed) noexcept
    : options_(aOptions)
    , backoff_(aOptions.initialBackoff_, aOptions.maxBackoff_, aSeed)
    , random_(aSeed)
  {
  }

  /// @returns the call to make now; it counts as sent at `aNow`, and its
  /// outcome must be passed to `OnAnswer`
  LeaseStep Next(TimePoint aNow) noexcept;
  /// @param aSentAt the `aNow` of the `Next` that returned the call; answers to
  /// calls before the last one are ignored
  /// @returns whether the answer was used
  bool OnAnswer(LeaseAnswer aAnswer,
                TimePoint aSentAt,
                TimePoint aNow) noexcept;
  /// Stops holding the lease, for instance before it is revoked.
  void Drop() noexcept;

  /// Whether the holder may act now. Check immediately before each action:
  /// after a pause of the process this is false before the store has been
  /// queried.
  [[nodiscard]] bool Holds(TimePoint aNow) const noexcept
  {
    return aNow < StopAt();
  }
  /// @returns when the holder must stop unless another call is confirmed
  [[nodiscard]] TimePoint StopAt() const noexcept;
  /// Whether the store may still have the lease, so that it can be kept alive.
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
  /// Opening a watch; counts once, however long the watch stays open.
  Watch,
};

inline constexpr std::size_t kStoreCallKinds = 4;

/// @returns the name of a kind, for metrics
[[nodiscard]] std::string_view
ToString(StoreCallKind aKind) noexcept;

/// One process's share of the store's call rate, as a token bucket. Heartbeats
/// and writes are always allowed, at the expense of later reads; reads and
/// watches are refused while the budget is spent. Not thread-safe.
class StoreBudget
{
public:
  /// @param aTokensPerSecond calls per second added to the budget
  /// @param aBurst maximum number of calls saved up
  StoreBudget(double aTokensPerSecond, double aBurst) noexcept
    : tokensPerSecond_(aTokensPerSecond)
    , burst_(aBurst)
    , tokens_(aBurst)
  {
  }

  /// @returns whether the call may be made; if so, it is counted
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
