#include "programs/gatewayd/job_directory.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <utility>

namespace marjoramtally {

namespace {

/// Interval at which claims without an answer are retried.
constexpr auto kClaimRetryDelay = std::chrono::milliseconds(500);
constexpr auto kRemovalInterval = std::chrono::seconds(30);
/// Added to the time for which results are kept: clocks differ, and jobs are
/// read for a while after they were submitted.
constexpr auto kRemovalMargin = std::chrono::seconds(60);

} // namespace

JobDirectory::JobDirectory(GatewayContext& aHost, JobStore& aJobs)
  : host_(aHost)
  , store_(aJobs)
  , follower_(aHost.PlatformStore(), aHost.Timers(), job_keys::kControl)
  , takeover_(aHost.Incarnation())
  , owners_(aHost.Incarnation())
  , seeds_(aHost, job_keys::kControl)
{
  follower_.onSnapshot_ = [this](const StoreRange& aRange) {
    seeds_.Drop();
    ApplySnapshot(aRange);
    if (onRead_) {
      std::exchange(onRead_, nullptr)();
    }
  };
  follower_.onChange_ = [this](const StoreEvent& aEvent) {
    ApplyChange(aEvent);
  };
  follower_.onBatchEnd_ = [this] { ClaimDue(); };
}

void
JobDirectory::Start(Duration aWatchAfter)
{
  seeds_.Read([this, aWatchAfter] {
    if (onSeeded_) {
      std::exchange(onSeeded_, nullptr)();
    }
    follower_.Start(aWatchAfter);
  });
  host_.Timers().After(kRemovalInterval, [this] { RemoveExpired(); });
}

std::string
JobDirectory::AddressOf(const std::string& aIncarnation) const
{
  const auto it = addresses_.find(aIncarnation);
  return it == addresses_.end() ? std::string() : it->second;
}

const KnownJob*
JobDirectory::Find(const JobId& aJob) const
{
  const auto it = jobs_.find(aJob);
  return it == jobs_.end() ? nullptr : &it->second;
}

bool
JobDirectory::IsCurrent(const JobId& aJob, FencingNumber aFence) const
{
  const KnownJob* known = Find(aJob);
  const bool later = known != nullptr && known->fence_ > aFence;
  return !later && !endedJobs_.contains(aJob);
}

void
JobDirectory::ApplySnapshot(const StoreRange& aRange)
{
  std::set<std::string> seen;
  for (const StoreRecord& record : aRange.records_) {
    seen.insert(record.key_);
    ApplyRecord(record);
  }
  const std::set<std::string> livenessKeys = livenessKeys_;
  for (const std::string& key : livenessKeys) {
    if (!seen.contains(key)) {
      ApplyRemoval(key);
    }
  }
  RemoveMissing(seen, aRange.revision_);
}

/// Jobs whose record was written after the revision of the read are kept,
/// because the read cannot contain them.
void
JobDirectory::RemoveMissing(const std::set<std::string>& aSeen,
                            std::uint64_t aRevision)
{
  std::vector<JobId> missing;
  for (const auto& [job, known] : jobs_) {
    if (known.fence_.Get() <= aRevision &&
        !aSeen.contains(job_keys::Owner(job))) {
      missing.push_back(job);
    }
  }
  for (const JobId& job : missing) {
    LogEvent(
      LogLevel::Info,
      "job_vanished",
      { { "job", job.Get() }, { "revision", std::to_string(aRevision) } });
    ApplyRemoval(job_keys::Owner(job));
  }
}

void
JobDirectory::ApplyChange(const StoreEvent& aEvent)
{
  if (aEvent.deleted_) {
    ApplyRemoval(aEvent.record_.key_);
  } else {
    ApplyRecord(aEvent.record_);
  }
}

void
JobDirectory::ApplyRecord(const StoreRecord& aRecord)
{
  const std::string_view key = aRecord.key_;
  const std::string_view liveness = job_keys::kLiveness;
  const std::string_view owners = job_keys::kOwners;
  const std::string_view ends = job_keys::kEnds;
  if (key.starts_with(liveness)) {
    ApplyLiveness(std::string(key.substr(liveness.size())), aRecord);
  } else if (key.starts_with(owners)) {
    ApplyOwner(JobId{ std::string(key.substr(owners.size())) }, aRecord);
  } else if (key.starts_with(ends)) {
    ApplyEnd(JobId{ std::string(key.substr(ends.size())) });
  }
}

void
JobDirectory::ApplyLiveness(const std::string& aIncarnation,
                            const StoreRecord& aRecord)
{
  livenessKeys_.insert(aRecord.key_);
  auto record = ReadLivenessRecord(aRecord.value_);
  takeover_.OnAlive(aIncarnation,
                    record ? record.value().capacity_ : Capacity{});
  if (record) {
    addresses_[aIncarnation] = record.value().address_;
    owners_.OnAlive(
      aIncarnation, record.value().address_, record.value().capacity_);
    host_.Relays().OnAlive(aIncarnation, std::move(record).value());
    seeds_.OnPlanChanged();
  } else {
    LogEvent(LogLevel::Error,
             "record_unreadable",
             { { "key", aRecord.key_ }, { "error", record.error().message_ } });
  }
}

void
JobDirectory::ApplyRemoval(const std::string& aKey)
{
  const std::string_view key = aKey;
  const std::string_view liveness = job_keys::kLiveness;
  const std::string_view owners = job_keys::kOwners;
  if (key.starts_with(liveness)) {
    livenessKeys_.erase(aKey);
    const std::string incarnation(key.substr(liveness.size()));
    takeover_.OnGone(incarnation, host_.Now());
    host_.Relays().OnGone(incarnation);
    seeds_.OnPlanChanged();
    owners_.OnGone(incarnation);
    addresses_.erase(incarnation);
  } else if (key.starts_with(owners)) {
    const JobId job{ std::string(key.substr(owners.size())) };
    takeover_.OnEnded(job);
    jobs_.erase(job);
    endedJobs_.erase(job);
  }
}

void
JobDirectory::ApplyOwner(const JobId& aJob, const StoreRecord& aRecord)
{
  const FencingNumber fence{ aRecord.modRevision_ };
  const auto present = jobs_.find(aJob);
  if (present != jobs_.end() && fence <= present->second.fence_) {
    return;
  }
  // A job is listed only once its record is readable. An empty entry would
  // count as a job without items that was accepted in 1970 and could be
  // removed.
  auto record = ReadOwnerRecord(aRecord.value_);
  if (!record) {
    LogEvent(LogLevel::Error,
             "record_unreadable",
             { { "key", aRecord.key_ }, { "error", record.error().message_ } });
    return;
  }
  KnownJob& known = jobs_[aJob];
  known.record_ = std::move(record).value();
  known.fence_ = fence;
  known.ended_ = known.ended_ || endedJobs_.contains(aJob);
  // An ended job is not run, but a former owner may hold an outdated part of
  // it and must not answer from that part. In a complete read, the end comes
  // before the owner record.
  const bool ours = known.record_.owner_ == host_.Incarnation();
  if (known.ended_ && ours) {
    return;
  }
  if (!known.ended_) {
    takeover_.OnOwner(aJob, known.record_.owner_, host_.Now());
  }
  if (onOwner_) {
    onOwner_(aJob, known);
  }
}

void
JobDirectory::ApplyEnd(const JobId& aJob)
{
  endedJobs_.insert(aJob);
  takeover_.OnEnded(aJob);
  const auto it = jobs_.find(aJob);
  if (it != jobs_.end()) {
    it->second.ended_ = true;
  }
  if (onEnd_) {
    onEnd_(aJob);
  }
}

void
JobDirectory::RemoveExpired()
{
  const std::int64_t now = host_.WallMillis();
  for (const auto& [job, known] : jobs_) {
    const std::chrono::milliseconds age(now - known.record_.acceptedMillis_);
    if (known.ended_ && takeover_.RanksFirst(job) &&
        age > host_.Settings().statusTime_ + kRemovalMargin) {
      LogEvent(LogLevel::Info, "job_removed", { { "job", job.Get() } });
      store_.Remove(job, known.record_.total_);
    }
  }
  host_.Timers().After(kRemovalInterval, [this] { RemoveExpired(); });
}

void
JobDirectory::Claim(const JobId& aJob)
{
  const KnownJob& known = jobs_.at(aJob);
  LogEvent(LogLevel::Info,
           "job_claimed",
           { { "job", aJob.Get() },
             { "last_owner", known.record_.owner_ },
             { "fence", std::to_string(known.fence_.Get()) } });
  JobOwnerRecord record = known.record_;
  record.owner_ = host_.Incarnation();
  store_.ChangeOwner(aJob,
                     record,
                     known.fence_,
                     [this, aJob, value = WriteOwnerRecord(record)](
                       const Result<std::optional<FencingNumber>>& aFence) {
                       claims_.erase(aJob);
                       // If this answer is lost, the watch reports the new
                       // owner later.
                       if (aFence && aFence.value()) {
                         StoreRecord written;
                         written.value_ = value;
                         written.modRevision_ = aFence.value()->Get();
                         ApplyOwner(aJob, written);
                       }
                     });
}

void
JobDirectory::ClaimDue()
{
  host_.Timers().Cancel(claimTimer_);
  if (!claiming_) {
    return;
  }
  const TimePoint now = host_.Now();
  const std::vector<JobId> due = takeover_.Due(now);
  for (const JobId& job : due) {
    if (claims_.insert(job).second) {
      Claim(job);
    }
  }
  const TimePoint next = takeover_.NextDue();
  if (next == kNever) {
    return;
  }
  const Duration wait = due.empty() ? std::max(next - now, Duration{ 1000 })
                                    : Duration{ kClaimRetryDelay };
  claimTimer_ = host_.Timers().After(wait, [this] { ClaimDue(); });
}

} // namespace marjoramtally
