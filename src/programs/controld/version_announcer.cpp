#include "programs/controld/version_announcer.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// A version record as it stands in the store.
struct VersionRecord
{
  std::uint64_t modRevision_ = 0;
  /// Versions announced, oldest first, at most as many as are remembered.
  std::vector<WeightVersion> announced_;
};

VersionRecord
ReadRecord(const std::string& aKey, const StoreRange& aRead)
{
  VersionRecord result;
  for (const StoreRecord& record : aRead.records_) {
    if (record.key_ != aKey) {
      continue;
    }
    result.modRevision_ = record.modRevision_;
    const Json body = Json::parse(record.value_, nullptr, false);
    if (!body.is_object()) {
      continue;
    }
    for (const auto past :
         body.value("history", std::vector<std::uint64_t>{})) {
      result.announced_.emplace_back(past);
    }
    const WeightVersion newest{ body.value("version", std::uint64_t{ 0 }) };
    if (result.announced_.empty() || result.announced_.back() < newest) {
      result.announced_.push_back(newest);
    }
  }
  return result;
}

StoreTxn
MakeRaise(const std::string& aKey, VersionRecord aRecord, WeightVersion aNext)
{
  aRecord.announced_.push_back(aNext);
  const std::size_t count = aRecord.announced_.size();
  const std::size_t skip = count > VersionHistory::kRemembered
                             ? count - VersionHistory::kRemembered
                             : 0;
  Json history = Json::array();
  for (std::size_t i = skip; i < count; ++i) {
    history.push_back(aRecord.announced_[i].Get());
  }
  StoreTxn txn;
  txn.compares_.push_back({ aKey, aRecord.modRevision_ });
  const Json value{ { "version", aNext.Get() }, { "history", history } };
  txn.puts_.push_back({ aKey, value.dump(), 0 });
  return txn;
}

} // namespace

void
VersionAnnouncer::Load(
  const std::string& aModel,
  std::function<void(Result<std::vector<WeightVersion>>)> aDone)
{
  const std::string key = std::string(kVersionPrefix) + aModel;
  host_.PlatformStore().Read(
    key, [key, done = std::move(aDone)](const Result<StoreRange>& aRead) {
      if (aRead) {
        done(ReadRecord(key, aRead.value()).announced_);
      } else {
        done(aRead.error());
      }
    });
}

void
VersionAnnouncer::Announce(const std::string& aModel,
                           WeightVersion aVersion,
                           std::function<void(Result<bool>)> aDone)
{
  const std::string key = std::string(kVersionPrefix) + aModel;
  host_.PlatformStore().Read(key,
                             [this, key, aVersion, done = std::move(aDone)](
                               const Result<StoreRange>& aRead) {
                               if (aRead) {
                                 Raise(key, aVersion, aRead.value(), done);
                               } else {
                                 done(aRead.error());
                               }
                             });
}

void
VersionAnnouncer::Raise(const std::string& aKey,
                        WeightVersion aVersion,
                        const StoreRange& aRead,
                        std::function<void(Result<bool>)> aDone)
{
  VersionRecord record = ReadRecord(aKey, aRead);
  if (!record.announced_.empty() && record.announced_.back() >= aVersion) {
    aDone(true);
    return;
  }
  host_.PlatformStore().Commit(
    MakeRaise(aKey, std::move(record), aVersion),
    [this, done = std::move(aDone)](const Result<StoreCommit>& aCommit) {
      if (!aCommit || !aCommit.value().applied_) {
        done(Error{ ErrorKind::Unavailable,
                    "the announcement may not be stored; repeat it" });
        return;
      }
      host_.Members().Refresh();
      done(true);
    });
}

} // namespace marjoramtally
