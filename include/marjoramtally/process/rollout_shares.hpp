/// Divides shared resources among the owners of a service's upstreams: the rate
/// of the weight store, the number of upstreams that may switch at the same
/// time, and the rate of state reads. Also chooses the instance that should own
/// an upstream.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/random.hpp"

#include <vector>

namespace marjoramtally {

/// Token bucket: refills at a constant rate up to a maximum.
class TokenBucket
{
public:
  TokenBucket() = default;
  TokenBucket(double aPerSecond, double aBurst) noexcept;
  void SetRate(double aPerSecond) noexcept { perSecond_ = aPerSecond; }
  /// The next `Take` starts from this number of tokens, without a refill for
  /// the time before it.
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
  /// Sets this owner's share of the weight store's rate.
  virtual void SetRate(double aPerSecond) noexcept = 0;
  /// All owners begin to load new weights at this moment.
  virtual void OnNewWeights(Random& aRandom) noexcept = 0;
  /// @param aRetry whether the load repeats one that failed
  /// @returns whether a load may start now
  [[nodiscard]] virtual bool Take(TimePoint aNow, bool aRetry) noexcept = 0;
};

/// Gives each owner a fixed share of the rate. Most of it limits first
/// attempts, which begin at a random phase so that many owners with small
/// shares do not load at the same time. The rest is reserved for retries, which
/// would otherwise wait for the next token of a small share.
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

/// @returns the share of a rate for an owner of `aOwned` of `aTotal` upstreams
[[nodiscard]] double
RateShare(double aPerSecond,
          std::uint64_t aOwned,
          std::uint64_t aTotal) noexcept;

/// @returns how many upstreams of a service may switch at the same time. At
/// least one if the floor is below 100 %; otherwise a small service would never
/// receive new weights.
/// @param aFloorPercent minimum percentage of upstreams that keep answering
/// @param aMaxWave maximum number of upstreams at the same time; 0 if only the
/// floor limits them
[[nodiscard]] std::uint64_t
SwitchSlots(std::uint64_t aTotal,
            std::uint64_t aFloorPercent,
            std::uint64_t aMaxWave) noexcept;

/// @returns one owner's share of the slots; the shares of all owners add up to
/// `aSlots`
/// @param aIndex index of this owner among the service's sorted owners
[[nodiscard]] std::uint64_t
SlotShare(std::uint64_t aSlots,
          std::uint64_t aOwners,
          std::uint64_t aIndex) noexcept;

/// @returns the time between two reads of one upstream's state. Grows with the
/// number of owned upstreams, so that an owner's reads per second stay bounded.
[[nodiscard]] Duration
ReadPeriod(std::uint64_t aOwned) noexcept;

/// Hysteresis for a share: reductions apply at once, increases only after the
/// larger share has been offered for a hold time. While views of owners differ
/// briefly, their shares therefore do not add up to more than the total.
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
  /// Smallest share offered since `pendingSince_`.
  std::uint64_t pending_ = 0;
  TimePoint pendingSince_;
};

/// @returns the instances that should own a service's upstreams, chosen by
/// rendezvous hashing: every process computes the same set, and one more
/// candidate changes it little
[[nodiscard]] std::vector<InstanceId>
ChooseOwners(const ServiceId& aService,
             std::vector<InstanceId> aCandidates,
             std::uint64_t aMaxOwners);

/// @returns which of the owners should own the upstream
[[nodiscard]] InstanceId
PreferredOwner(const UpstreamId& aUpstream,
               const std::vector<InstanceId>& aOwners);

} // namespace marjoramtally
