#include "programs/gatewayd/remote_results.hpp"

#include "marjoramtally/connection/job_messages.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Results are evicted if they are not requested for this long; readers poll
/// about twice a second.
constexpr auto kRetention = std::chrono::seconds(6);
/// The store is read if the owner does not answer within this time.
constexpr auto kOwnerTimeout = std::chrono::milliseconds(300);

} // namespace

RemoteResults::RemoteResults(GatewayContext& aHost)
  : host_(aHost)
{
}

const std::vector<JobResult>&
RemoteResults::ResultsOf(const JobId& aJob) const
{
  static const std::vector<JobResult> kNone;
  const auto it = cache_.find(aJob);
  return it == cache_.end() ? kNone : it->second.results_;
}

void
RemoteResults::Refresh(const JobId& aJob,
                       const std::string& aOwner,
                       Duration aWait,
                       std::function<void(bool)> aDone)
{
  cache_[aJob].lastRequested_ = host_.Now();
  if (evictTimer_ == 0) {
    evictTimer_ = host_.Timers().After(kRetention, [this] { EvictIdle(); });
  }
  if (aOwner.empty()) {
    QueryStore(aJob, std::move(aDone));
  } else {
    QueryOwner(aJob, aOwner, aWait, std::move(aDone));
  }
}

void
RemoteResults::QueryOwner(const JobId& aJob,
                          const std::string& aOwner,
                          Duration aWait,
                          std::function<void(bool)> aDone)
{
  const std::uint64_t after = cache_[aJob].results_.size();
  RpcCall call;
  call.topic_ = RpcTopic::Job;
  call.timeout_ = kOwnerTimeout + aWait;
  call.body_ = EncodeJobResultsRequest({ aJob.Get(), after, aWait });
  host_.Peers().Call(
    aOwner,
    std::move(call),
    [this, aJob, after, done = std::move(aDone)](const RpcReply& aReply) {
      const auto answer = aReply ? DecodeJobResultsReply(aReply.value())
                                 : Result<std::string>(aReply);
      auto results = answer ? ReadResultsRecord(answer.value())
                            : Result<std::vector<JobResult>>(answer.error());
      const auto it = cache_.find(aJob);
      if (!results || it == cache_.end()) {
        QueryStore(aJob, done);
        return;
      }
      Append(it->second, after, std::move(results).value());
      done(true);
    });
}

void
RemoteResults::QueryStore(const JobId& aJob, std::function<void(bool)> aDone)
{
  // A record's key holds the position of its first result, so the next
  // record's key follows that of the last result held.
  const std::size_t held = cache_[aJob].results_.size();
  const std::string lastKey =
    held == 0 ? std::string() : job_keys::ResultsAt(aJob, held - 1);
  host_.PlatformStore().ReadAfter(
    job_keys::Results(aJob),
    lastKey,
    [this, aJob, done = std::move(aDone)](const Result<StoreRange>& aRange) {
      const auto it = cache_.find(aJob);
      done(aRange && it != cache_.end() &&
           AppendRecords(aJob, it->second, aRange.value().records_));
    });
}

void
RemoteResults::Append(CachedJob& aCached,
                      std::uint64_t aPosition,
                      std::vector<JobResult> aResults)
{
  // Another read may have completed first.
  const std::size_t held = aCached.results_.size();
  if (aPosition > held || aPosition + aResults.size() <= held) {
    return;
  }
  std::move(aResults.begin() + static_cast<std::ptrdiff_t>(held - aPosition),
            aResults.end(),
            std::back_inserter(aCached.results_));
}

/// An unreadable or missing record is an error rather than the end of the
/// results, because a reader may have seen its results at another process.
bool
RemoteResults::AppendRecords(const JobId& aJob,
                             CachedJob& aCached,
                             std::vector<StoreRecord> aRecords)
{
  std::sort(aRecords.begin(),
            aRecords.end(),
            [](const StoreRecord& aLeft, const StoreRecord& aRight) {
              return aLeft.key_ < aRight.key_;
            });
  for (const StoreRecord& record : aRecords) {
    const std::size_t held = aCached.results_.size();
    const std::string next = job_keys::ResultsAt(aJob, held);
    if (record.key_ < next) {
      // Another read completed first.
      continue;
    }
    if (record.key_ > next) {
      LogEvent(LogLevel::Error,
               "record_missing",
               { { "key", next }, { "found", record.key_ } });
      return false;
    }
    auto results = ReadResultsRecord(record.value_);
    if (!results) {
      LogEvent(
        LogLevel::Error,
        "record_unreadable",
        { { "key", record.key_ }, { "error", results.error().message_ } });
      return false;
    }
    Append(aCached, held, std::move(results).value());
  }
  return true;
}

void
RemoteResults::EvictIdle()
{
  std::erase_if(cache_, [this](const auto& aEntry) {
    return host_.Now() - aEntry.second.lastRequested_ > kRetention;
  });
  evictTimer_ = cache_.empty()
                  ? 0
                  : host_.Timers().After(kRetention, [this] { EvictIdle(); });
}

} // namespace marjoramtally
