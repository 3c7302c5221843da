#include "marjoramtally/runtime/prefix_mirror.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

std::size_t
BytesOf(const StoreEvent& aEvent) noexcept
{
  return aEvent.record_.key_.size() + aEvent.record_.value_.size();
}

} // namespace

void
PrefixMirror::Forget(Records::iterator aRecord)
{
  const Place place{ aRecord->second.record_.modRevision_, aRecord->first };
  byRevision_.erase(place);
  removals_.erase(place);
  records_.erase(aRecord);
}

void
PrefixMirror::Put(const StoreEvent& aEvent)
{
  const std::uint64_t revision = aEvent.record_.modRevision_;
  const auto known = records_.find(aEvent.record_.key_);
  if (known != records_.end()) {
    if (known->second.record_.modRevision_ >= revision) {
      return;
    }
    Forget(known);
  }
  const auto [it, added] = records_.emplace(aEvent.record_.key_, aEvent);
  byRevision_.insert({ revision, it->first });
  if (aEvent.deleted_) {
    it->second.record_.value_.clear();
    removals_.insert({ revision, it->first });
  } else if (BytesOf(aEvent) > kMaxChangeBytes) {
    largest_ = std::max(largest_, revision);
  }
  while (removals_.size() > kMaxRemovals) {
    const auto& [oldest, key] = *removals_.begin();
    removalsFrom_ = oldest;
    Forget(records_.find(key));
  }
}

void
PrefixMirror::Load(const StoreRange& aRange, TimePoint aNow)
{
  if (known_ == 0) {
    removalsFrom_ = aRange.revision_;
  }
  std::set<std::string_view> listed;
  for (const StoreRecord& record : aRange.records_) {
    listed.insert(record.key_);
    Put({ false, record });
  }
  std::vector<std::string> removed;
  for (const auto& [key, event] : records_) {
    // A later record is missing because the read is older.
    if (!event.deleted_ && event.record_.modRevision_ < aRange.revision_ &&
        !listed.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    Put({ true, { key, {}, 0, aRange.revision_, 0 } });
  }
  known_ = std::max(known_, aRange.revision_);
  confirmed_ = aNow;
}

void
PrefixMirror::Append(const StoreWatchBatch& aBatch, TimePoint aNow)
{
  for (const StoreEvent& event : aBatch.events_) {
    Put(event);
    known_ = std::max(known_, event.record_.modRevision_);
  }
  known_ = std::max(known_, aBatch.revision_);
  confirmed_ = aNow - aBatch.age_;
}

bool
PrefixMirror::Covers(const WatchPosition& aPosition) const noexcept
{
  return known_ != 0 && aPosition.after_ >= largest_ &&
         (aPosition.removalsAfter_ == 0 ||
          aPosition.removalsAfter_ >= removalsFrom_);
}

bool
PrefixMirror::HasAfter(std::uint64_t aAfter) const noexcept
{
  const auto next = byRevision_.lower_bound({ aAfter + 1, {} });
  return next != byRevision_.end() && next->first <= known_;
}

StoreWatchBatch
PrefixMirror::After(std::uint64_t aAfter) const
{
  StoreWatchBatch batch;
  batch.latest_ = std::max(aAfter, known_);
  batch.revision_ = batch.latest_;
  std::size_t bytes = 0;
  std::uint64_t last = aAfter;
  for (auto it = byRevision_.lower_bound({ aAfter + 1, {} });
       it != byRevision_.end() && it->first <= known_;
       ++it) {
    // Records of one transaction stay together.
    if (bytes >= kMaxAnswerBytes && it->first != last) {
      batch.revision_ = last;
      break;
    }
    last = it->first;
    const StoreEvent& event = records_.find(it->second)->second;
    bytes += BytesOf(event);
    batch.events_.push_back(event);
  }
  return batch;
}

} // namespace marjoramtally
