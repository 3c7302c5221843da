#include "process/completion_cost.hpp"

namespace marjoramtally {

namespace {

/// A step's fixed part, in sequences: what a step of no sequence takes over
/// what one more sequence adds.
constexpr double kStepBase = 32;
/// Weight of a token to prefill over one to generate; it holds up all requests
/// that are there.
constexpr double kPrefillUnits = 1.0 / 6;
/// Share of a prompt that a cached prefix saves.
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
