#include "store_link.hpp"

namespace marjoramtally::test {

using namespace std::chrono_literals;

namespace {

/// Unanswered calls fail after this time.
constexpr auto kCallTimeout = 1200ms;
/// Watches that receive nothing are interrupted after this time.
constexpr auto kWatchTimeout = 1300ms;

} // namespace

template<typename T>
StoreDone<T>
StoreLink::UnlessCut(StoreDone<T> aDone)
{
  return [this, done = std::move(aDone)](Result<T> aResult) {
    if (!cut_) {
      done(std::move(aResult));
      return;
    }
    timers_.After(kCallTimeout, [done] {
      done(Error{ ErrorKind::Timeout, "no answer" });
    });
  };
}

void
StoreLink::Read(std::string aPrefix, StoreDone<StoreRange> aDone)
{
  auto done = UnlessCut(std::move(aDone));
  if (cut_) {
    done(Error{ ErrorKind::Timeout, "no answer" });
  } else {
    store_.Read(std::move(aPrefix), std::move(done));
  }
}

void
StoreLink::Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone)
{
  auto done = UnlessCut(std::move(aDone));
  if (cut_) {
    done(Error{ ErrorKind::Timeout, "no answer" });
  } else {
    store_.Commit(std::move(aTxn), std::move(done));
  }
}

void
StoreLink::GrantLease(Duration aTtl, StoreDone<StoreLease> aDone)
{
  auto done = UnlessCut(std::move(aDone));
  if (cut_) {
    done(Error{ ErrorKind::Timeout, "no answer" });
    return;
  }
  store_.GrantLease(aTtl, [this, done](const Result<StoreLease>& aLease) {
    if (aLease) {
      onLease_(aLease.value().id_, now_() + aLease.value().ttl_);
    }
    done(aLease);
  });
}

void
StoreLink::KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone)
{
  auto done = UnlessCut(std::move(aDone));
  if (cut_) {
    done(Error{ ErrorKind::Timeout, "no answer" });
    return;
  }
  store_.KeepAlive(aLease, [this, aLease, done](const auto& aKept) {
    if (aKept) {
      onLease_(aLease, now_() + aKept.value().ttl_);
    }
    done(aKept);
  });
}

void
StoreLink::RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone)
{
  auto done = UnlessCut(std::move(aDone));
  if (cut_) {
    done(Error{ ErrorKind::Timeout, "no answer" });
  } else {
    store_.RevokeLease(aLease, std::move(done));
  }
}

StoreWatchId
StoreLink::Watch(std::string aPrefix,
                 std::uint64_t aFromRevision,
                 std::function<void(const StoreWatchBatch&)> aOnBatch)
{
  const StoreWatchId id = ++last_;
  OwnWatch& own = watches_[id];
  own.onBatch_ = std::move(aOnBatch);
  // The fake store sends only new events, so the changes since
  // `aFromRevision` are sent first.
  StoreWatchBatch backlog;
  backlog.revision_ = store_.Revision();
  for (const auto& [key, record] : store_.records_) {
    if (key.starts_with(aPrefix) && record.modRevision_ >= aFromRevision) {
      backlog.events_.push_back({ false, record });
    }
  }
  own.inner_ = store_.Watch(std::move(aPrefix),
                            aFromRevision,
                            [this, id](const StoreWatchBatch& aBatch) {
                              watches_.at(id).queued_.push_back(aBatch);
                              timers_.After(lag_ + Duration{ 1000 },
                                            [this, id] { Deliver(id); });
                            });
  if (!backlog.events_.empty()) {
    own.queued_.push_back(std::move(backlog));
    timers_.After(lag_ + Duration{ 1000 }, [this, id] { Deliver(id); });
  }
  return id;
}

void
StoreLink::StopWatch(StoreWatchId aWatch)
{
  const auto it = watches_.find(aWatch);
  if (it != watches_.end()) {
    store_.StopWatch(it->second.inner_);
    watches_.erase(it);
  }
}

void
StoreLink::Deliver(StoreWatchId aId)
{
  const auto it = watches_.find(aId);
  if (cut_ || it == watches_.end() || it->second.queued_.empty()) {
    return;
  }
  const StoreWatchBatch batch = std::move(it->second.queued_.front());
  it->second.queued_.pop_front();
  const auto onBatch = it->second.onBatch_;
  if (batch.ended_) {
    StopWatch(aId);
  }
  onBatch(batch);
}

void
StoreLink::SetCut(bool aCut)
{
  cut_ = aCut;
  const std::uint64_t cuts = ++cuts_;
  if (cut_) {
    timers_.After(kWatchTimeout, [this, cuts] { Interrupt(cuts); });
    return;
  }
  for (const auto& [id, watch] : watches_) {
    for (std::size_t i = 0; i < watch.queued_.size(); ++i) {
      timers_.After(Duration{ 1000 }, [this, id = id] { Deliver(id); });
    }
  }
}

void
StoreLink::Interrupt(std::uint64_t aCuts)
{
  if (cuts_ != aCuts) {
    return;
  }
  const auto watches = watches_;
  for (const auto& [id, watch] : watches) {
    watch.onBatch_({ false, true, 0, {} });
  }
}

void
StoreLink::LoseHistory()
{
  for (auto& [id, watch] : watches_) {
    watch.queued_.clear();
    watch.queued_.push_back({ true, false, 0, {} });
    timers_.After(lag_ + Duration{ 1000 }, [this, id = id] { Deliver(id); });
  }
}

} // namespace marjoramtally::test
