/// Shares of what all owners use together: the weight store's rate, the
/// number of upstreams that may be switching, reads of state; and which
/// instance should own an upstream.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <vector>

namespace marjoramtally {

/// Refills at a rate up to a burst; starts with one token.
class TokenBucket
{
public:
  TokenBucket() = default;
  TokenBucket(double aPerSecond, double aBurst) noexcept;
  void SetRate(double aPerSecond) noexcept { perSecond_ = aPerSecond; }
  /// @returns whether a token was taken
  [[nodiscard]] bool Take(TimePoint aNow) noexcept;

private:
  double perSecond_ = 0.0;
  double burst_ = 1.0;
  double tokens_ = 1.0;
  TimePoint refilled_;
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
            std::uint64_t aFloor,
            std::uint64_t aWave) noexcept;

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
  std::uint64_t offered_ = 0;
  TimePoint since_;
};

/// @returns the instances that should own a service's upstreams, by
/// rendezvous hashing: the same for everybody, changed little by one more
[[nodiscard]] std::vector<InstanceId>
ChooseOwners(const ServiceId& aService,
             std::vector<InstanceId> aCandidates,
             std::uint64_t aMost);

/// @returns which of the owners should own the upstream
[[nodiscard]] InstanceId
PreferredOwner(const UpstreamId& aUpstream,
               const std::vector<InstanceId>& aOwners);

} // namespace marjoramtally
