/// The scenario `overload`: live callers, with and without trainers, at up to
/// twice the engines' peak, with and without early refusal.

#include "programs/load/fleet.hpp"
#include "programs/load/queue_variants.hpp"

#include <algorithm>

namespace marjoramtally::bench {

namespace {

constexpr std::array<double, 5> kLoads{ 0.7, 0.9, 1.1, 1.5, 2.0 };
constexpr std::uint64_t kTrainers = 3;
/// Approximate time to generate one step on a trainer's share of the engines.
constexpr double kStepSeconds = 20;
/// Requests that one entry may have in flight on nine engines.
constexpr std::uint64_t kEntrySlots = 9 * kSlotsPerEngine;

/// A mix of live callers and trainers.
struct CallerMix
{
  std::string_view name_;
  /// Share of live requests among all requests.
  double liveShare_;
};

constexpr std::array<CallerMix, 2> kMixes{ {
  { "live", 1.0 },
  { "live+trainers", 0.75 },
} };

const std::array<QueueVariant, 2> kOverloadVariants{ {
  { "by deadline", { .fair_ = {}, .earlyRefusal_ = false }, kEntrySlots },
  { "early refusal", {}, kEntrySlots },
} };

void
Offer(Fleet& aFleet,
      const FleetSettings& aSettings,
      const CallerMix& aMix,
      double aLoad)
{
  LiveSettings live;
  const TrainerSettings shape;
  const double perEngine = MeasurePeakRequests(
    aSettings.engine_, live.shape_, shape.shape_, aMix.liveShare_);
  const double perSecond =
    perEngine * static_cast<double>(aSettings.engines_) * aLoad;
  live.perSecond_ = perSecond * aMix.liveShare_;
  aFleet.AddLive(live);
  const double samplesPerStep =
    perSecond * (1 - aMix.liveShare_) * kStepSeconds / kTrainers;
  const auto groups = static_cast<std::uint32_t>(
    samplesPerStep / static_cast<double>(shape.groupSize_));
  for (std::uint64_t i = 0; groups > 0 && i < kTrainers; ++i) {
    TrainerSettings trainer;
    trainer.id_ = TrainerId{ "trainer-" + std::to_string(i) };
    trainer.groups_ = groups;
    aFleet.AddTrainer(trainer);
  }
}

DecideRow
RunOnce(const DecideOptions& aOptions,
        const CallerMix& aMix,
        double aLoad,
        std::string_view aName,
        const Fleet::MakeQueue& aMakeQueue)
{
  FleetSettings settings;
  settings.seed_ = aOptions.seed_;
  settings.measureFrom_ = TimePoint{ aOptions.length_ / 4 };
  Fleet fleet(settings, { "slots", MakeSlotPolicy }, aMakeQueue);
  Offer(fleet, settings, aMix, aLoad);
  fleet.Run(aOptions.length_);
  DecideRow row =
    fleet.Row(std::string(aMix.name_) + " " + std::string(aName), aLoad);
  row.refusedAfterMillis_ = fleet.Measures().refusedAfterMillis_.Quantile(0.99);
  const Duration measured = fleet.Loop().Now() - settings.measureFrom_;
  row.goodputShare_ = static_cast<double>(fleet.Measures().usefulTokens_) /
                      static_cast<double>(measured.count());
  row.cacheHitShare_.reset();
  row.decisionNanos_.reset();
  return row;
}

/// Divides the goodput of each row by the best one, from row `aFrom` on.
void
ScaleGoodput(DecideRows& aRows, std::size_t aFrom)
{
  double best = 0;
  for (std::size_t i = aFrom; i < aRows.size(); ++i) {
    best = std::max(best, aRows[i].goodputShare_.value_or(0));
  }
  for (std::size_t i = aFrom; i < aRows.size(); ++i) {
    aRows[i].goodputShare_ = aRows[i].goodputShare_.value_or(0) / best;
  }
}

} // namespace

DecideRows
RunOverloadScenario(const DecideOptions& aOptions)
{
  DecideRows rows;
  for (const CallerMix& mix : kMixes) {
    const std::size_t from = rows.size();
    for (const double load : kLoads) {
      rows.push_back(
        RunOnce(aOptions, mix, load, "by arrival", MakeClassQueue));
      for (const QueueVariant& variant : kOverloadVariants) {
        rows.push_back(RunOnce(aOptions, mix, load, variant.name_, [&] {
          return MakeAdmissionQueue(variant, {});
        }));
      }
    }
    ScaleGoodput(rows, from);
  }
  return rows;
}

} // namespace marjoramtally::bench
