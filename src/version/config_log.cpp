#include "marjoramtally/version/config_log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

void
ReplaceFile(Manifest& aManifest, const FileChange& aChange)
{
  std::erase_if(aManifest.files_, [&](const ManifestFile& aFile) {
    return aFile.name_ == aChange.name_;
  });
  if (!aChange.hash_.empty()) {
    aManifest.files_.push_back({ aChange.name_, aChange.hash_ });
  }
}

} // namespace

std::string
FindHash(const Manifest& aManifest, std::string_view aName)
{
  for (const ManifestFile& file : aManifest.files_) {
    if (file.name_ == aName) {
      return file.hash_;
    }
  }
  return {};
}

EditSession::EditSession(ConfigEdit aEdit)
  : edit_(std::move(aEdit))
{
  for (const FileChange& change : edit_.changes_) {
    blobs_[change.hash_] = change.text_;
  }
}

void
EditSession::OnManifest(Manifest aManifest, std::uint64_t aModification)
{
  const bool moved = aModification != modification_;
  base_ = std::move(aManifest);
  if (unsettled_ && moved) {
    // The commit compared an older modification and can no longer take effect;
    // the record of its revision shows whether it did.
    modification_ = aModification;
    step_ = EditStep::ReadRecord;
    return;
  }
  modification_ = aModification;
  Rebase();
}

void
EditSession::Rebase()
{
  proposal_ = base_;
  proposal_.revision_ = ConfigRevision{
    std::max(base_.revision_.Get(), edit_.aboveRevision_.Get()) + 1
  };
  proposal_.edit_ = edit_.id_;
  proposal_.author_ = edit_.author_;
  proposal_.unixTime_ = edit_.unixTime_;
  conflicts_.clear();
  for (const FileChange& change : edit_.changes_) {
    const std::string now = FindHash(base_, change.name_);
    if (now != change.baseHash_ && now != change.hash_) {
      conflicts_.push_back(change.name_);
    }
    ReplaceFile(proposal_, change);
  }
  std::sort(proposal_.files_.begin(), proposal_.files_.end());
  if (!conflicts_.empty()) {
    step_ = EditStep::Conflicted;
  } else if (proposal_.files_ == base_.files_ &&
             edit_.aboveRevision_ <= base_.revision_) {
    step_ = EditStep::Unchanged;
  } else if (!MissingBlobs().empty()) {
    step_ = EditStep::ReadBlobs;
  } else {
    Check();
  }
}

std::vector<std::string>
EditSession::MissingBlobs() const
{
  std::vector<std::string> missing;
  for (const ManifestFile& file : proposal_.files_) {
    if (!blobs_.contains(file.hash_)) {
      missing.push_back(file.hash_);
    }
  }
  return missing;
}

void
EditSession::OnBlobs(const std::map<std::string, std::string>& aBlobs)
{
  blobs_.insert(aBlobs.begin(), aBlobs.end());
  if (MissingBlobs().empty()) {
    Check();
  } else {
    // Blobs were collected as garbage after the manifest was read: read the
    // manifest again.
    step_ = EditStep::ReadManifest;
  }
}

void
EditSession::Check()
{
  std::vector<RulesFile> files;
  for (const ManifestFile& file : proposal_.files_) {
    files.push_back({ file.name_, blobs_.at(file.hash_) });
  }
  const auto merged = MergeRulesFiles(std::move(files));
  const auto rules =
    merged ? BuildRules(merged.value()) : Checked<Rules>(merged.error());
  if (rules) {
    step_ = EditStep::Commit;
  } else {
    problems_ = rules.error();
    step_ = EditStep::Rejected;
  }
}

void
EditSession::OnCommit(CommitOutcome aAnswer)
{
  if (aAnswer == CommitOutcome::Applied) {
    step_ = EditStep::Accepted;
    return;
  }
  if (aAnswer == CommitOutcome::Unknown) {
    unsettled_ = true;
  }
  // Also read it after NotApplied: an earlier attempt may have been applied.
  step_ = EditStep::ReadManifest;
}

void
EditSession::OnRecord(const std::optional<Manifest>& aRecord)
{
  if (!aRecord && base_.revision_.Get() >= Attempted().Get() + kKeptRevisions) {
    step_ = EditStep::Unsettled;
    return;
  }
  unsettled_ = false;
  if (aRecord && aRecord->edit_ == edit_.id_) {
    step_ = EditStep::Accepted;
    return;
  }
  Rebase();
}

ManifestVerdict
AppliedConfig::Judge(const Manifest& aManifest, ManifestSource aSource) const
{
  if (aManifest.revision_ > inForce_.revision_) {
    return ManifestVerdict::Newer;
  }
  const bool same = aManifest.revision_ == inForce_.revision_;
  if (same && aManifest.edit_ == inForce_.edit_) {
    return ManifestVerdict::Current;
  }
  return same || aSource == ManifestSource::Store ? ManifestVerdict::Reverted
                                                  : ManifestVerdict::Lagging;
}

bool
AppliedConfig::Apply(const Manifest& aManifest)
{
  if (aManifest.revision_ <= inForce_.revision_) {
    return false;
  }
  inForce_ = aManifest;
  return true;
}

std::vector<std::string>
FindGarbage(const std::vector<Manifest>& aLog,
            const std::vector<std::string>& aBlobs)
{
  std::set<std::string> used;
  for (const Manifest& record : aLog) {
    for (const ManifestFile& file : record.files_) {
      used.insert(file.hash_);
    }
  }
  std::vector<std::string> garbage;
  for (const std::string& blob : aBlobs) {
    if (!used.contains(blob)) {
      garbage.push_back(blob);
    }
  }
  return garbage;
}

} // namespace marjoramtally
