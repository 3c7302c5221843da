#include "programs/controld/version_announcer.hpp"

#include "marjoramtally/base/json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// A parsed version record.
struct VersionRecord
{
  std::uint64_t modRevision_ = 0;
  /// Announced versions, oldest first, at most `VersionHistory::kMaxVersions`
  /// as stored.
  std::vector<WeightVersion> announced_;
};

/// @returns whether the body is a valid version record
bool
ReadAnnounced(const Json& aBody, std::vector<WeightVersion>& aAnnounced)
{
  if (!aBody.is_object() || !aBody.contains("version") ||
      !aBody["version"].is_number_unsigned()) {
    return false;
  }
  const Json history = aBody.value("history", Json::array());
  if (!history.is_array()) {
    return false;
  }
  for (const Json& past : history) {
    if (!past.is_number_unsigned()) {
      return false;
    }
    aAnnounced.emplace_back(past.get<std::uint64_t>());
  }
  const WeightVersion newest{ aBody["version"].get<std::uint64_t>() };
  if (aAnnounced.empty() || aAnnounced.back() < newest) {
    aAnnounced.push_back(newest);
  }
  return true;
}

/// A record that cannot be parsed is an error and does not count as empty: the
/// next announcement could otherwise be lower than a version it holds.
Result<VersionRecord>
ReadRecord(const std::string& aKey, const StoreRange& aRead)
{
  VersionRecord result;
  for (const StoreRecord& record : aRead.records_) {
    if (record.key_ != aKey) {
      continue;
    }
    result.modRevision_ = record.modRevision_;
    if (!ReadAnnounced(ParseJsonOrDiscarded(record.value_),
                       result.announced_)) {
      LogEvent(LogLevel::Error, "store_record_unreadable", { { "key", aKey } });
      return Error{ ErrorKind::Unavailable,
                    "the record " + aKey + " cannot be read" };
    }
  }
  return result;
}

StoreTxn
MakeRaise(const std::string& aKey, VersionRecord aRecord, WeightVersion aNext)
{
  aRecord.announced_.push_back(aNext);
  const std::size_t count = aRecord.announced_.size();
  const std::size_t skip = count > VersionHistory::kMaxVersions
                             ? count - VersionHistory::kMaxVersions
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
      if (!aRead) {
        done(aRead.error());
        return;
      }
      auto record = ReadRecord(key, aRead.value());
      if (record) {
        done(std::move(record).value().announced_);
      } else {
        done(record.error());
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
  auto record = ReadRecord(aKey, aRead);
  if (!record) {
    aDone(record.error());
    return;
  }
  const auto& announced = record.value().announced_;
  if (!announced.empty() && announced.back() >= aVersion) {
    aDone(true);
    return;
  }
  host_.PlatformStore().Commit(
    MakeRaise(aKey, std::move(record).value(), aVersion),
    [this, done = std::move(aDone)](const Result<StoreCommit>& aCommit) {
      if (!aCommit || !aCommit.value().applied_) {
        done(Error{ ErrorKind::Unavailable,
                    "the announcement may not be stored; repeat it" });
        return;
      }
      host_.ClusterState().Refresh();
      done(true);
    });
}

} // namespace marjoramtally
