#include "programs/gatewayd/job_mirrors.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

namespace {

/// A job that nobody has read here for this long is no longer followed;
/// trainers read about twice a second.
constexpr auto kForgetAfter = std::chrono::seconds(6);

} // namespace

JobMirrors::JobMirrors(GatewayHost& aHost)
  : host_(aHost)
{
}

void
JobMirrors::Touch(const JobId& aJob)
{
  const auto [it, added] = mirrors_.try_emplace(aJob);
  Mirror& mirror = it->second;
  mirror.lastRead_ = host_.Now();
  if (!added) {
    return;
  }
  mirror.follower_ = std::make_unique<PrefixFollower>(
    host_.PlatformStore(), host_.Timers(), job_keys::Results(aJob));
  mirror.follower_->onAll_ = [this, &mirror](const StoreRange& aRange) {
    mirror.loaded_ = true;
    mirror.failed_ = false;
    for (const StoreRecord& record : aRange.records_) {
      Take(mirror, record);
    }
  };
  mirror.follower_->onChange_ = [this, &mirror](const StoreEvent& aEvent) {
    if (!aEvent.deleted_) {
      Take(mirror, aEvent.record_);
    }
  };
  mirror.follower_->onSettled_ = [this, aJob] { Settle(aJob); };
  mirror.follower_->onFailure_ = [this, aJob, &mirror](const Error&) {
    mirror.failed_ = true;
    if (onChange_) {
      onChange_(aJob);
    }
  };
  mirror.follower_->Start();
  if (forgetTimer_ == 0) {
    forgetTimer_ = host_.Timers().After(kForgetAfter, [this] { ForgetOld(); });
  }
}

const std::vector<JobResult>*
JobMirrors::Find(const JobId& aJob) const
{
  const auto it = mirrors_.find(aJob);
  return it == mirrors_.end() || !it->second.loaded_ ? nullptr
                                                     : &it->second.results_;
}

bool
JobMirrors::Failed(const JobId& aJob) const
{
  const auto it = mirrors_.find(aJob);
  return it != mirrors_.end() && it->second.failed_;
}

void
JobMirrors::Take(Mirror& aMirror, const StoreRecord& aRecord)
{
  auto results = ReadResultsRecord(aRecord.value_);
  if (!results) {
    LogEvent(
      LogLevel::Error,
      "record_unreadable",
      { { "key", aRecord.key_ }, { "error", results.error().message_ } });
    return;
  }
  aMirror.records_[aRecord.key_] = std::move(results).value();
}

void
JobMirrors::Settle(const JobId& aJob)
{
  const auto it = mirrors_.find(aJob);
  if (it == mirrors_.end()) {
    return;
  }
  // Keys end in the position of their first result, so they sort by it; a
  // record whose predecessor is not here yet waits for it.
  Mirror& mirror = it->second;
  mirror.results_.clear();
  for (const auto& [key, results] : mirror.records_) {
    if (key != job_keys::ResultsAt(aJob, mirror.results_.size())) {
      break;
    }
    mirror.results_.insert(
      mirror.results_.end(), results.begin(), results.end());
  }
  if (onChange_) {
    onChange_(aJob);
  }
}

void
JobMirrors::ForgetOld()
{
  std::erase_if(mirrors_, [this](const auto& aEntry) {
    return host_.Now() - aEntry.second.lastRead_ > kForgetAfter;
  });
  forgetTimer_ =
    mirrors_.empty()
      ? 0
      : host_.Timers().After(kForgetAfter, [this] { ForgetOld(); });
}

} // namespace marjoramtally
