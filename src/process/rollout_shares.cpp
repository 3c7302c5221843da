#include "marjoramtally/process/rollout_shares.hpp"

#include <algorithm>
#include <xxhash.h>

namespace marjoramtally {

namespace {

constexpr std::uint64_t kPercent = 100;
constexpr double kMicrosPerSecond = 1e6;
/// Share of an owner's load rate that is reserved for retries.
constexpr double kRetryShare = 0.1;
constexpr std::uint64_t kMaxReadsPerSecond = 20;
constexpr Duration kMinReadPeriod = std::chrono::milliseconds(500);

std::uint64_t
RendezvousScore(const std::string& aSubject, const InstanceId& aInstance)
{
  const std::string key = aSubject + '\n' + aInstance.Get();
  return XXH3_64bits(key.data(), key.size());
}

} // namespace

TokenBucket::TokenBucket(double aPerSecond, double aBurst) noexcept
  : perSecond_(aPerSecond)
  , burst_(aBurst)
{
}

void
TokenBucket::Refill(TimePoint aNow) noexcept
{
  if (restarting_) {
    refilled_ = aNow;
    restarting_ = false;
  }
  const auto micros = static_cast<double>((aNow - refilled_).count());
  refilled_ = aNow;
  tokens_ = std::min(burst_, tokens_ + micros * perSecond_ / kMicrosPerSecond);
}

void
TokenBucket::Restart(double aTokens) noexcept
{
  tokens_ = aTokens;
  restarting_ = true;
}

bool
TokenBucket::Take(TimePoint aNow) noexcept
{
  Refill(aNow);
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

SharedRatePermits::SharedRatePermits(double aPerSecond) noexcept
  : first_(0.0, 1.0)
  , retries_(0.0, 1.0)
{
  SharedRatePermits::SetRate(aPerSecond);
}

void
SharedRatePermits::SetRate(double aPerSecond) noexcept
{
  first_.SetRate(aPerSecond * (1.0 - kRetryShare));
  retries_.SetRate(aPerSecond * kRetryShare);
}

void
SharedRatePermits::OnNewWeights(Random& aRandom) noexcept
{
  first_.Restart(aRandom.Unit());
}

bool
SharedRatePermits::Take(TimePoint aNow, bool aRetry) noexcept
{
  const bool taken = first_.Take(aNow);
  return taken || (aRetry && retries_.Take(aNow));
}

double
RateShare(double aPerSecond,
          std::uint64_t aOwned,
          std::uint64_t aTotal) noexcept
{
  const std::uint64_t total = std::max({ aOwned, aTotal, std::uint64_t{ 1 } });
  return aPerSecond * static_cast<double>(aOwned) / static_cast<double>(total);
}

std::uint64_t
SwitchSlots(std::uint64_t aTotal,
            std::uint64_t aFloorPercent,
            std::uint64_t aMaxWave) noexcept
{
  const std::uint64_t kept = (aTotal * aFloorPercent + kPercent - 1) / kPercent;
  const std::uint64_t slots = aTotal > kept ? aTotal - kept : 0;
  const std::uint64_t bounded =
    aMaxWave == 0 ? slots : std::min(slots, aMaxWave);
  return aFloorPercent < kPercent ? std::max(bounded, std::uint64_t{ 1 })
                                  : bounded;
}

std::uint64_t
SlotShare(std::uint64_t aSlots,
          std::uint64_t aOwners,
          std::uint64_t aIndex) noexcept
{
  if (aOwners == 0) {
    return 0;
  }
  return aSlots / aOwners + (aIndex < aSlots % aOwners ? 1 : 0);
}

std::uint64_t
SteadyShare::Update(std::uint64_t aShare, TimePoint aNow) noexcept
{
  used_ = std::min(used_, aShare);
  if (aShare <= used_ || pending_ <= used_) {
    pending_ = aShare;
    pendingSince_ = aNow;
  }
  pending_ = std::min(pending_, aShare);
  if (pending_ > used_ && aNow - pendingSince_ >= hold_) {
    used_ = pending_;
  }
  return used_;
}

Duration
ReadPeriod(std::uint64_t aOwned) noexcept
{
  const Duration paced = Duration(std::chrono::seconds(1)) *
                         static_cast<Duration::rep>(aOwned) /
                         static_cast<Duration::rep>(kMaxReadsPerSecond);
  return std::max(kMinReadPeriod, paced);
}

std::vector<InstanceId>
ChooseOwners(const ServiceId& aService,
             std::vector<InstanceId> aCandidates,
             std::uint64_t aMaxOwners)
{
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [&](const InstanceId& aLeft, const InstanceId& aRight) {
              return RendezvousScore(aService.Get(), aLeft) >
                     RendezvousScore(aService.Get(), aRight);
            });
  if (aCandidates.size() > aMaxOwners) {
    aCandidates.resize(aMaxOwners);
  }
  return aCandidates;
}

InstanceId
PreferredOwner(const UpstreamId& aUpstream,
               const std::vector<InstanceId>& aOwners)
{
  const auto best =
    std::max_element(aOwners.begin(),
                     aOwners.end(),
                     [&](const InstanceId& aLeft, const InstanceId& aRight) {
                       return RendezvousScore(aUpstream.Get(), aLeft) <
                              RendezvousScore(aUpstream.Get(), aRight);
                     });
  return best == aOwners.end() ? InstanceId{} : *best;
}

} // namespace marjoramtally
