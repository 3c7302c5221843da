#include "marjoramtally/process/upstream_health.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Factor by which each sample moves the running median.
constexpr double kMedianStep = 1.02;
/// Weight of the newest sample in the smoothed time per unit.
constexpr double kSampleWeight = 0.1;
/// Weight of the newest gap in the smoothed time between answers.
constexpr double kGapWeight = 0.1;
/// An upstream this many times slower than the typical one is an outlier.
constexpr double kOutlierFactor = 3.0;
constexpr std::uint32_t kMinSamplesToEject = 5;
constexpr std::uint32_t kFailuresToEject = 2;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(2);
constexpr std::uint32_t kMaxDoublings = 4;
/// Answers required before probation ends.
constexpr std::uint32_t kMinSamplesToTrust = 5;
constexpr Duration kSlowStartPeriod = std::chrono::milliseconds(500);
constexpr std::uint64_t kSlowStartInitialLimit = 2;
constexpr std::uint32_t kSlowStartPeriods = 8;
/// An upstream is stalled after this many smoothed gaps without an answer.
constexpr double kStallGaps = 4.0;
/// Lower bound of the gap in the stall check.
constexpr double kMinGapMicros = 20'000;
/// Without samples for this long, the difference from the typical time counts
/// half, so that an upstream that was slow once is tried again.
constexpr double kHalfAgeMicros = 10e6;

constexpr auto kRelaxed = std::memory_order_relaxed;

} // namespace

void
TypicalUnitTime::Add(double aMicrosPerUnit) noexcept
{
  const double now = Get();
  const double next = now <= 0               ? aMicrosPerUnit
                      : aMicrosPerUnit > now ? now * kMedianStep
                                             : now / kMedianStep;
  value_.store(next, kRelaxed);
}

void
UpstreamHealth::AddSample(double aMicrosPerUnit,
                          const TypicalUnitTime& aTypical,
                          TimePoint aNow) noexcept
{
  const double known = unitTime_.load(kRelaxed) <= 0
                         ? aMicrosPerUnit
                         : KnownUnitTime(aTypical, aNow);
  unitTime_.store(known + kSampleWeight * (aMicrosPerUnit - known), kRelaxed);
  lastSampleAt_.store(aNow.sinceStart_.count(), kRelaxed);
  samples_.fetch_add(1, kRelaxed);
}

HealthChange
UpstreamHealth::OnComplete(double aMicrosPerUnit,
                           TypicalUnitTime& aTypical,
                           TimePoint aNow) noexcept
{
  failures_.store(0, kRelaxed);
  const Duration::rep now = aNow.sinceStart_.count();
  const Duration::rep last = lastCompleteAt_.exchange(now, kRelaxed);
  if (last >= 0) {
    const double gap = answerGapMicros_.load(kRelaxed);
    const auto newest = static_cast<double>(now - last);
    answerGapMicros_.store(
      gap <= 0 ? newest : gap + kGapWeight * (newest - gap), kRelaxed);
  }
  aTypical.Add(aMicrosPerUnit);
  AddSample(aMicrosPerUnit, aTypical, aNow);
  const HealthChange change = EjectIfOutlier(aTypical, aNow);
  if (change == HealthChange::None &&
      samples_.load(kRelaxed) >= kMinSamplesToTrust) {
    if (probation_.exchange(false, kRelaxed)) {
      admittedAt_.store(now, kRelaxed);
    }
  }
  return change;
}

HealthChange
UpstreamHealth::OnTimeout(double aMicrosPerUnit,
                          const TypicalUnitTime& aTypical,
                          TimePoint aNow) noexcept
{
  if (aMicrosPerUnit <= unitTime_.load(kRelaxed)) {
    return HealthChange::None;
  }
  AddSample(aMicrosPerUnit, aTypical, aNow);
  return EjectIfOutlier(aTypical, aNow);
}

HealthChange
UpstreamHealth::OnFailure(TimePoint aNow) noexcept
{
  const std::uint32_t failures = failures_.fetch_add(1, kRelaxed) + 1;
  return failures >= kFailuresToEject || OnProbation() ? Eject(aNow)
                                                       : HealthChange::None;
}

HealthChange
UpstreamHealth::EjectIfOutlier(const TypicalUnitTime& aTypical,
                               TimePoint aNow) noexcept
{
  const double usual = aTypical.Get();
  const std::uint32_t needed = OnProbation() ? 1 : kMinSamplesToEject;
  const bool outlier = usual > 0 && samples_.load(kRelaxed) >= needed &&
                       unitTime_.load(kRelaxed) > kOutlierFactor * usual;
  return outlier ? Eject(aNow) : HealthChange::None;
}

HealthChange
UpstreamHealth::Eject(TimePoint aNow) noexcept
{
  if (Ejected(aNow)) {
    return HealthChange::None;
  }
  const std::uint32_t doublings =
    std::min(ejections_.fetch_add(1, kRelaxed), kMaxDoublings);
  const Duration::rep until =
    (aNow + kBaseEjectionTime * (1U << doublings)).sinceStart_.count();
  ejectedUntil_.store(until, kRelaxed);
  admittedAt_.store(until, kRelaxed);
  probation_.store(true, kRelaxed);
  failures_.store(0, kRelaxed);
  samples_.store(0, kRelaxed);
  unitTime_.store(0, kRelaxed);
  lastCompleteAt_.store(-1, kRelaxed);
  return HealthChange::Ejected;
}

bool
UpstreamHealth::Ejected(TimePoint aNow) const noexcept
{
  return aNow.sinceStart_.count() < ejectedUntil_.load(kRelaxed);
}

std::uint64_t
UpstreamHealth::SlowStartLimit(TimePoint aNow) const noexcept
{
  if (OnProbation()) {
    return 1;
  }
  const Duration::rep age =
    aNow.sinceStart_.count() - admittedAt_.load(kRelaxed);
  const Duration::rep periods =
    std::max<Duration::rep>(age, 0) / kSlowStartPeriod.count();
  return periods >= kSlowStartPeriods
           ? UINT64_MAX
           : kSlowStartInitialLimit << static_cast<unsigned>(periods);
}

double
UpstreamHealth::StallFactor(bool aBusy, TimePoint aNow) const noexcept
{
  const Duration::rep last = lastCompleteAt_.load(kRelaxed);
  const double gap = std::max(answerGapMicros_.load(kRelaxed), kMinGapMicros);
  if (!aBusy || last < 0) {
    return 1;
  }
  const auto since = static_cast<double>(aNow.sinceStart_.count() - last);
  return std::max(1.0, since / (kStallGaps * gap));
}

double
UpstreamHealth::MicrosPerUnit(const TypicalUnitTime& aTypical,
                              bool aBusy,
                              TimePoint aNow) const noexcept
{
  return KnownUnitTime(aTypical, aNow) * StallFactor(aBusy, aNow);
}

double
UpstreamHealth::KnownUnitTime(const TypicalUnitTime& aTypical,
                              TimePoint aNow) const noexcept
{
  const double own = unitTime_.load(kRelaxed);
  const double usual = aTypical.Get() > 0 ? aTypical.Get() : 1;
  if (own <= 0) {
    return usual;
  }
  const Duration::rep last = lastSampleAt_.load(kRelaxed);
  const double age =
    static_cast<double>(aNow.sinceStart_.count() - last) / kHalfAgeMicros;
  return usual + (own - usual) / (1 + age * age);
}

} // namespace marjoramtally
