#include "programs/gatewayd/remote_results.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// What nobody has asked for here for this long is forgotten; readers come
/// about twice a second.
constexpr auto kForgetAfter = std::chrono::seconds(6);

} // namespace

RemoteResults::RemoteResults(GatewayContext& aHost)
  : host_(aHost)
{
}

const std::vector<JobResult>&
RemoteResults::Of(const JobId& aJob) const
{
  static const std::vector<JobResult> kNone;
  const auto it = known_.find(aJob);
  return it == known_.end() ? kNone : it->second.results_;
}

void
RemoteResults::Refresh(const JobId& aJob, std::function<void(bool)> aDone)
{
  Known& known = known_[aJob];
  known.lastRead_ = host_.Now();
  if (forgetTimer_ == 0) {
    forgetTimer_ = host_.Timers().After(kForgetAfter, [this] { ForgetOld(); });
  }
  host_.PlatformStore().ReadAfter(
    job_keys::Results(aJob),
    known.lastKey_,
    [this, aJob, done = std::move(aDone)](const Result<StoreRange>& aRange) {
      const auto it = known_.find(aJob);
      if (aRange && it != known_.end()) {
        Take(it->second, aRange.value().records_);
      }
      done(aRange.has_value());
    });
}

void
RemoteResults::Take(Known& aKnown, std::vector<StoreRecord> aRecords)
{
  std::sort(aRecords.begin(),
            aRecords.end(),
            [](const StoreRecord& aLeft, const StoreRecord& aRight) {
              return aLeft.key_ < aRight.key_;
            });
  for (const StoreRecord& record : aRecords) {
    if (record.key_ <= aKnown.lastKey_) {
      continue; // Another reading was faster.
    }
    auto results = ReadResultsRecord(record.value_);
    if (!results) {
      LogEvent(
        LogLevel::Error,
        "record_unreadable",
        { { "key", record.key_ }, { "error", results.error().message_ } });
      return;
    }
    aKnown.lastKey_ = record.key_;
    std::move(results.value().begin(),
              results.value().end(),
              std::back_inserter(aKnown.results_));
  }
}

void
RemoteResults::ForgetOld()
{
  std::erase_if(known_, [this](const auto& aEntry) {
    return host_.Now() - aEntry.second.lastRead_ > kForgetAfter;
  });
  forgetTimer_ = known_.empty() ? 0
                                : host_.Timers().After(kForgetAfter,
                                                       [this] { ForgetOld(); });
}

} // namespace marjoramtally
