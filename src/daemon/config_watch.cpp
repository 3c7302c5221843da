#include "daemon/config_watch.hpp"

#include <random>

namespace marjoramtally {

namespace {

/// Backoff before an ended watch is reopened; doubles up to the limit.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(5);

} // namespace

ConfigWatch::ConfigWatch(Store& aStore, ConfigState& aState, Metrics& aMetrics)
  : store_(aStore)
  , state_(aState)
  , metrics_(aMetrics)
  , jitter_(std::random_device{}())
{
}

void
ConfigWatch::Read()
{
  metrics_.Count("config_store_calls_total{call=\"manifest\"}");
  store_.Read(
    std::string(kManifestKey),
    [this](const Result<StoreRange>& aRead) { OnRead(aRead, false); });
}

void
ConfigWatch::Keep(bool aWanted, TimePoint aNow)
{
  StoreWatchId stop = 0;
  bool open = false;
  {
    const std::lock_guard lock(mutex_);
    const bool ended = ended_ && !opening_;
    if (watch_ != 0 && (ended || !aWanted)) {
      stop = std::exchange(watch_, 0);
    }
    if (ended) {
      ended_ = false;
      backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, kMaxBackoff);
      const auto spread = static_cast<std::uint64_t>(backoff_.count());
      retryAt_ = aNow + backoff_ / 2 +
                 Duration(static_cast<Duration::rep>(jitter_.Below(spread)));
    }
    open = aWanted && watch_ == 0 && !opening_ && aNow >= retryAt_;
    opening_ = opening_ || open;
  }
  if (stop != 0) {
    store_.StopWatch(stop);
  }
  if (open) {
    Open();
  }
}

void
ConfigWatch::Open()
{
  metrics_.Count("config_store_calls_total{call=\"manifest\"}");
  store_.Read(std::string(kManifestKey),
              [this](const Result<StoreRange>& aRead) { OnRead(aRead, true); });
}

void
ConfigWatch::OnRead(const Result<StoreRange>& aRead, bool aOpenWatch)
{
  SetError(aRead ? std::string{} : aRead.error().message_);
  if (!aRead) {
    const std::lock_guard lock(mutex_);
    ended_ = ended_ || aOpenWatch;
    opening_ = opening_ && !aOpenWatch;
    return;
  }
  const auto& records = aRead.value().records_;
  if (records.empty()) {
    (void)state_.Judge(Manifest{}, ManifestSource::Store);
  } else {
    ApplyManifest(records.front().value_);
  }
  if (!aOpenWatch) {
    return;
  }
  metrics_.Count("config_store_calls_total{call=\"watch\"}");
  const StoreWatchId watch =
    store_.Watch(std::string(kManifestKey),
                 aRead.value().revision_ + 1,
                 [this](const StoreWatchBatch& aBatch) { OnBatch(aBatch); });
  const std::lock_guard lock(mutex_);
  watch_ = watch;
  opening_ = false;
}

void
ConfigWatch::OnBatch(const StoreWatchBatch& aBatch)
{
  for (const StoreEvent& event : aBatch.events_) {
    if (event.deleted_) {
      (void)state_.Judge(Manifest{}, ManifestSource::Store);
    } else {
      ApplyManifest(event.record_.value_);
    }
  }
  const std::lock_guard lock(mutex_);
  ended_ = ended_ || aBatch.ended_;
  if (!aBatch.ended_) {
    backoff_ = Duration{ 0 };
  }
}

void
ConfigWatch::ApplyManifest(const std::string& aText)
{
  const auto manifest = ParseManifest(aText);
  if (!manifest) {
    LogEvent(LogLevel::Error,
             "manifest_unreadable",
             { { "error", manifest.error().message_ } });
    state_.SetProblem(manifest.error().message_);
    return;
  }
  const Manifest& seen = manifest.value();
  if (state_.Judge(seen, ManifestSource::Store) == ManifestVerdict::Newer) {
    Fetch(seen, state_.Missing(seen), std::make_shared<Blobs>());
  }
}

void
ConfigWatch::Fetch(const Manifest& aManifest,
                   std::vector<std::string> aMissing,
                   std::shared_ptr<Blobs> aBlobs)
{
  if (aMissing.empty()) {
    state_.Apply(aManifest, *aBlobs, ManifestSource::Store);
    return;
  }
  const std::string hash = aMissing.back();
  aMissing.pop_back();
  metrics_.Count("config_store_calls_total{call=\"blob\"}");
  store_.Read(
    BlobKey(hash),
    [this, aManifest, hash, missing = std::move(aMissing), aBlobs](
      const Result<StoreRange>& aRead) {
      if (!aRead) {
        SetError(aRead.error().message_);
        const std::lock_guard lock(mutex_);
        ended_ = true; // the watch reopens and reads again after the backoff
        return;
      }
      const auto& records = aRead.value().records_;
      if (records.empty() || ContentHash(records.front().value_) != hash) {
        LogEvent(LogLevel::Error, "blob_missing", { { "hash", hash } });
        state_.SetProblem("the store lacks the content " + hash);
        return;
      }
      (*aBlobs)[hash] = records.front().value_;
      Fetch(aManifest, missing, aBlobs);
    });
}

void
ConfigWatch::SetError(std::string aError)
{
  const std::lock_guard lock(mutex_);
  lastError_ = std::move(aError);
}

std::string
ConfigWatch::LastError() const
{
  const std::lock_guard lock(mutex_);
  return lastError_;
}

} // namespace marjoramtally
