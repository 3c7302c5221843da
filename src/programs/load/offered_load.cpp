#include "programs/load/offered_load.hpp"

namespace marjoramtally::bench {

namespace {

/// Share of live requests among all requests.
constexpr double kLiveShare = 0.75;
constexpr std::uint64_t kTrainers = 3;
constexpr double kBurstFactor = 2;
/// Approximate time to generate one step on a trainer's share of the engines.
constexpr double kStepSeconds = 20;

} // namespace

void
OfferMixedLoad(Fleet& aFleet, const FleetSettings& aSettings, double aLoad)
{
  LiveSettings live;
  const TrainerSettings shape;
  const double perEngine = MeasurePeakRequests(
    aSettings.engine_, live.shape_, shape.shape_, kLiveShare);
  const double perSecond = perEngine * TotalSpeed(aSettings) * aLoad;
  live.perSecond_ = perSecond * kLiveShare;
  live.burstFactor_ = kBurstFactor;
  aFleet.AddLive(live);
  const double samplesPerStep =
    perSecond * (1 - kLiveShare) * kStepSeconds / kTrainers;
  for (std::uint64_t i = 0; i < kTrainers; ++i) {
    TrainerSettings trainer;
    trainer.id_ = TrainerId{ "trainer-" + std::to_string(i) };
    trainer.groups_ = static_cast<std::uint32_t>(
      samplesPerStep / static_cast<double>(trainer.groupSize_));
    aFleet.AddTrainer(trainer);
  }
}

} // namespace marjoramtally::bench
