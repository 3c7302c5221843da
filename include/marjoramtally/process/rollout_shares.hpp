/// Shares of what all owners use together: the weight store's rate, the
/// number of upstreams that may be switching, reads of state; and which
/// instance should own an upstream.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/random.hpp"

#include <vector>

namespace marjoramtally {

/// Refills at a rate up to a burst.
class TokenBucket
{
public:
  TokenBucket() = default;
  TokenBucket(double aPerSecond, double aBurst) noexcept;
  void SetRate(double aPerSecond) noexcept { perSecond_ = aPerSecond; }
  /// Starts anew with these tokens at the next take.
  void Restart(double aTokens) noexcept;
  /// @returns whether a token was taken
  [[nodiscard]] bool Take(TimePoint aNow) noexcept;

private:
  void Refill(TimePoint aNow) noexcept;

  double perSecond_ = 0.0;
  double burst_ = 1.0;
  double tokens_ = 1.0;
  TimePoint refilled_;
  bool restarting_ = false;
};

/// Decides when a load from the weight store may start.
class LoadPermits
{
public:
  virtual ~LoadPermits() = default;
  /// This owner's part of the weight store's rate.
  virtual void SetRate(double aPerSecond) noexcept = 0;
  /// New weights are wanted by all owners at this moment.
  virtual void OnNewWeights(Random& aRandom) noexcept = 0;
  /// @param aRetry whether a load is to be repeated that failed
  /// @returns whether a load may start now
  [[nodiscard]] virtual bool Take(TimePoint aNow, bool aRetry) noexcept = 0;
};

/// A fixed share of the rate for each owner. Most of it paces first loads,
/// from a random phase on, so that many owners with small shares do not start
/// at once; the rest is saved up for retries, which then need not wait a turn
/// of a small share.
class SharedRatePermits final : public LoadPermits
{
public:
  explicit SharedRatePermits(double aPerSecond) noexcept;
  void SetRate(double aPerSecond) noexcept override;
  void OnNewWeights(Random& aRandom) noexcept override;
  [[nodiscard]] bool Take(TimePoint aNow, bool aRetry) noexcept override;

private:
  TokenBucket first_;
  TokenBucket retries_;
};

/// Part of a rate for an owner of some of the upstreams.
[[nodiscard]] double
RateShare(double aPerSecond,
          std::uint64_t aOwned,
          std::uint64_t aTotal) noexcept;

/// How many of a service's upstreams may be switching at once. A floor under
/// 100 % leaves one, or a small service would never get new weights.
/// @param aFloor least share in percent that stays answering
/// @param aWave most upstreams at once; 0 for no other limit than the floor
[[nodiscard]] std::uint64_t
SwitchSlots(std::uint64_t aTotal,
            std::uint64_t aFloorPercent,
            std::uint64_t aMaxWave) noexcept;

/// One owner's part of the slots; the parts add up to the slots.
/// @param aIndex place of this owner among the service's owners, sorted
[[nodiscard]] std::uint64_t
SlotShare(std::uint64_t aSlots,
          std::uint64_t aOwners,
          std::uint64_t aIndex) noexcept;

/// Time between two reads of one upstream's state, so that an owner's reads a
/// second stay bounded however many it owns.
[[nodiscard]] Duration
ReadPeriod(std::uint64_t aOwned) noexcept;

/// Raises a share only after it has stood for a while and lowers it at once,
/// so that owners whose views differ for a moment do not use more together
/// than there is.
class SteadyShare
{
public:
  explicit SteadyShare(Duration aHold) noexcept
    : hold_(aHold)
  {
  }
  /// @returns the share that may be used now
  [[nodiscard]] std::uint64_t Update(std::uint64_t aShare,
                                     TimePoint aNow) noexcept;

private:
  Duration hold_;
  std::uint64_t used_ = 0;
  /// Least share seen since `since_`.
  std::uint64_t pending_ = 0;
  TimePoint pendingSince_;
};

/// @returns the instances that should own a service's upstreams, by
/// rendezvous hashing: the same for everybody, changed little by one more
[[nodiscard]] std::vector<InstanceId>
ChooseOwners(const ServiceId& aService,
             std::vector<InstanceId> aCandidates,
             std::uint64_t aMaxOwners);

/// @returns which of the owners should own the upstream
[[nodiscard]] InstanceId
PreferredOwner(const UpstreamId& aUpstream,
               const std::vector<InstanceId>& aOwners);

} // namespace marjoramtally
