#include "marjoramtally/process/upstream_load.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// A reported slowdown of this age has half of its effect.
constexpr Duration kSlowdownHalfAge = std::chrono::milliseconds(1000);

} // namespace

std::string_view
CheckLoadReport(const LoadReport& aReport) noexcept
{
  if (aReport.slots_ == 0) {
    return "no slots";
  }
  if (aReport.running_ > aReport.slots_) {
    return "more requests running than slots";
  }
  if (aReport.slowdown_ &&
      !(*aReport.slowdown_ > 0 && *aReport.slowdown_ <= kMaxSlowdown)) {
    return "slowdown out of range";
  }
  return {};
}

void
UpstreamLoad::OnSent(TimePoint aNow)
{
  if (!estimate_) {
    estimate_ = std::make_unique<LoadEstimate>();
  }
  estimate_->OnSent(aNow);
}

void
UpstreamLoad::OnEnded(TimePoint aNow)
{
  if (estimate_) {
    estimate_->OnDone(aNow);
  }
}

void
UpstreamLoad::OnReport(const LoadReport& aReport, TimePoint aAt)
{
  if (last_ && aAt < reportedAt_) {
    return;
  }
  if (!estimate_) {
    estimate_ = std::make_unique<LoadEstimate>();
  }
  estimate_->OnReport(std::uint64_t{ aReport.running_ } + aReport.waiting_,
                      aAt);
  last_ = aReport;
  reportedAt_ = aAt;
}

void
UpstreamLoad::Forget() noexcept
{
  last_.reset();
}

double
UpstreamLoad::Others(TimePoint aNow) const noexcept
{
  if (!last_) {
    return 0;
  }
  return estimate_->Expected(aNow, 0) -
         static_cast<double>(estimate_->InFlight());
}

double
UpstreamLoad::Slowdown(TimePoint aNow) const noexcept
{
  if (!last_ || !last_->slowdown_) {
    return 1;
  }
  const auto age =
    static_cast<double>(std::max(aNow - reportedAt_, Duration{ 0 }).count());
  const double half = static_cast<double>(kSlowdownHalfAge.count());
  return 1 + (*last_->slowdown_ - 1) * half / (half + age);
}

std::optional<Duration>
UpstreamLoad::Age(TimePoint aNow) const noexcept
{
  return last_ ? std::optional(aNow - reportedAt_) : std::nullopt;
}

} // namespace marjoramtally
