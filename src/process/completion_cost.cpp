#include "process/completion_cost.hpp"

namespace marjoramtally {

namespace {

/// Fixed duration of a decoding step, relative to the time that each sequence
/// of the batch adds to it.
constexpr double kStepBase = 32;
/// Weight of a prefill token relative to a generated one. Prefill delays all
/// requests at the upstream.
constexpr double kPrefillUnits = 1.0 / 6;
/// Fraction of the prefill work that a cached prefix saves.
constexpr double kPrefixShare = 0.75;

} // namespace

double
WorkUnits(double aTokens, double aLoad) noexcept
{
  return std::max(aTokens, 1.0) * (kStepBase + aLoad);
}

double
ExpectedLoad(const RoutedUpstream& aUpstream,
             const RouterTuning& aTuning,
             TimePoint aNow) noexcept
{
  const LoadEstimate& load = aUpstream.state_->load_;
  if (!aTuning.correctReports_) {
    return static_cast<double>(load.InFlight()) + load.Others();
  }
  const double mean =
    aUpstream.service_->meanOthers_.load(std::memory_order_relaxed);
  return load.Expected(aNow, mean);
}

double
CompletionCost(const RoutedUpstream& aUpstream,
               const RequestSpec& aRequest,
               double aCachedTrust,
               bool aRemote,
               const RouterTuning& aTuning,
               TimePoint aNow) noexcept
{
  const double load = ExpectedLoad(aUpstream, aTuning, aNow);
  const double unitTime = aUpstream.state_->health_.MicrosPerUnit(
    aUpstream.service_->typicalUnitTime_,
    aUpstream.state_->load_.InFlight() > 0,
    aNow);
  const double prefill = static_cast<double>(aRequest.promptTokens_) *
                         (1 - kPrefixShare * aCachedTrust) * kPrefillUnits;
  const double units =
    WorkUnits(static_cast<double>(aRequest.outputTokens_), load) +
    prefill * (1 + load);
  const auto distance =
    aRemote ? static_cast<double>(aTuning.crossZoneLatency_.count()) : 0.0;
  return unitTime * units + distance;
}

} // namespace marjoramtally
