#include "daemon/live_records.hpp"

namespace marjoramtally {

namespace {

constexpr auto kStepPeriod = std::chrono::milliseconds(100);
constexpr auto kMinRetryDelay = std::chrono::milliseconds(200);
constexpr auto kMaxRetryDelay = std::chrono::seconds(10);
/// An instance that does not watch but receives hints reads all records this
/// often, in refresh periods.
constexpr int kRefreshPeriodsPerFullRead = 600;
/// If a watch has not delivered a hinted change after this time, the group is
/// read.
constexpr auto kWatchGrace = std::chrono::seconds(2);
/// Reads after a hint are delayed by a random part of this time, since all
/// instances receive the hint together.
constexpr std::uint64_t kHintReadJitterMicros = 200'000;

} // namespace

LiveRecords::LiveRecords(const DaemonSettings& aSettings,
                         Store& aStore,
                         Timers& aTimers,
                         std::string aPrefix,
                         std::vector<std::string> aGroups)
  : settings_(aSettings)
  , store_(aStore)
  , timers_(aTimers)
  , prefix_(std::move(aPrefix))
  , groups_(std::move(aGroups))
  , backoff_(kMinRetryDelay,
             kMaxRetryDelay,
             std::hash<std::string>{}(aSettings.instance_))
  , random_(std::hash<std::string>{}(aSettings.instance_))
{
}

void
LiveRecords::Start()
{
  ReadAll();
  timers_.Every(kStepPeriod, [this] { Step(); });
}

void
LiveRecords::ReadAll()
{
  Read(prefix_);
}

/// Reads when due, and opens or closes the watch according to `shouldWatch_`.
void
LiveRecords::Step()
{
  const bool wanted = !shouldWatch_ || shouldWatch_();
  bool opens = false;
  StoreWatchId closes = 0;
  {
    const std::lock_guard lock(mutex_);
    if (!wanted && watching_) {
      watching_ = false;
      std::swap(closes, watch_);
    }
    opens = wanted && !watching_ && complete_ && !reading_ &&
            clock_.Now() >= nextRead_;
  }
  if (closes != 0) {
    store_.StopWatch(closes);
  }
  if (opens) {
    OpenWatch();
    return;
  }
  bool reads = false;
  {
    const std::lock_guard lock(mutex_);
    reads = !watching_ && !reading_ && clock_.Now() >= nextRead_;
  }
  if (reads) {
    ReadAll();
  }
}

void
LiveRecords::Read(const std::string& aPrefix)
{
  {
    const std::lock_guard lock(mutex_);
    reading_ = true;
  }
  store_.Read(aPrefix, [this, aPrefix](const Result<StoreRange>& aRead) {
    if (aRead) {
      OnRead(aPrefix, aRead.value());
      return;
    }
    Duration wait{ 0 };
    {
      const std::lock_guard lock(mutex_);
      reading_ = false;
      wait = backoff_.Next();
      nextRead_ = clock_.Now() + wait;
    }
    LogEvent(LogLevel::Warn,
             "store_read_failed",
             { { "error", aRead.error().message_ },
               { "again_in", FormatDuration(wait) } });
  });
}

void
LiveRecords::OnRead(const std::string& aPrefix, const StoreRange& aRange)
{
  {
    const std::lock_guard lock(mutex_);
    reading_ = false;
    if (aRange.revision_ < knownRevisions_[aPrefix] ||
        aRange.revision_ < knownRevisions_[prefix_]) {
      // A later read or the watch was faster, or the store answered with an
      // older state.
      LogEvent(LogLevel::Info,
               "store_read_older",
               { { "revision", std::to_string(aRange.revision_) } });
      nextRead_ = clock_.Now() + backoff_.Next();
      return;
    }
    backoff_.Reset();
    std::erase_if(records_, [&](const auto& aRecord) {
      return aRecord.first.starts_with(aPrefix);
    });
    for (const StoreRecord& record : aRange.records_) {
      records_[record.key_] = record;
    }
    knownRevisions_[aPrefix] = aRange.revision_;
    if (aPrefix == prefix_) {
      complete_ = true;
      revision_ = aRange.revision_;
    }
    nextRead_ =
      watching_ || !shouldWatch_ || shouldWatch_()
        ? clock_.Now()
        : clock_.Now() + settings_.refresh_ * kRefreshPeriodsPerFullRead;
  }
  NotifyRecords();
}

void
LiveRecords::OnHint(const std::string& aGroup, std::uint64_t aRevision)
{
  if (IsKnown(aGroup, aRevision)) {
    return;
  }
  Duration wait{ 0 };
  {
    const std::lock_guard lock(mutex_);
    wait = watching_ ? Duration{ kWatchGrace }
                     : Duration{ static_cast<Duration::rep>(
                         random_.Below(kHintReadJitterMicros)) };
  }
  timers_.After(wait, [this, aGroup, aRevision] {
    if (!IsKnown(aGroup, aRevision)) {
      Read(aGroup);
    }
  });
}

bool
LiveRecords::IsKnown(const std::string& aGroup, std::uint64_t aRevision)
{
  const std::lock_guard lock(mutex_);
  return knownRevisions_[aGroup] >= aRevision ||
         knownRevisions_[prefix_] >= aRevision;
}

void
LiveRecords::OpenWatch()
{
  std::uint64_t from = 0;
  {
    const std::lock_guard lock(mutex_);
    watching_ = true;
    from = revision_ + 1;
  }
  const StoreWatchId watch =
    store_.Watch(prefix_, from, [this](const StoreWatchBatch& aBatch) {
      if (aBatch.ended_) {
        OnWatchEnded();
      } else {
        OnBatch(aBatch);
      }
    });
  const std::lock_guard lock(mutex_);
  watch_ = watching_ ? watch : 0;
}

void
LiveRecords::OnBatch(const StoreWatchBatch& aBatch)
{
  if (aBatch.events_.empty()) {
    return;
  }
  std::map<std::string, std::uint64_t> changed;
  {
    const std::lock_guard lock(mutex_);
    for (const StoreEvent& event : aBatch.events_) {
      const StoreRecord& record = event.record_;
      if (event.deleted_) {
        records_.erase(record.key_);
      } else {
        records_[record.key_] = record;
      }
      revision_ = std::max(revision_, record.modRevision_);
      for (const std::string& group : groups_) {
        if (record.key_.starts_with(group)) {
          changed[group] = std::max(changed[group], record.modRevision_);
        }
      }
    }
    knownRevisions_[prefix_] = std::max(knownRevisions_[prefix_], revision_);
  }
  NotifyRecords();
  for (const auto& [group, revision] : changed) {
    if (onChange_) {
      onChange_(group, revision);
    }
  }
}

/// Schedules a full read, after which the watch is opened again.
void
LiveRecords::OnWatchEnded()
{
  const std::lock_guard lock(mutex_);
  watching_ = false;
  watch_ = 0;
  complete_ = false;
  nextRead_ = clock_.Now() + backoff_.Next();
}

void
LiveRecords::NotifyRecords()
{
  LiveRecordMap records;
  {
    const std::lock_guard lock(mutex_);
    records = records_;
  }
  if (onRecords_) {
    onRecords_(records);
  }
}

} // namespace marjoramtally
