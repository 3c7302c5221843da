/// The log of accepted configurations: how an edit becomes a revision, and
/// which revisions a process may put in force. No input or output here.
#pragma once

#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/version/rules.hpp"

#include <optional>
#include <set>
#include <variant>

namespace marjoramtally {

/// One file of a manifest.
struct ManifestFile
{
  std::string name_;
  /// SHA-256 of the content, in hexadecimal digits.
  std::string hash_;
  auto operator<=>(const ManifestFile&) const = default;
};

/// What is accepted: the files of one revision and the edit that made it.
struct Manifest
{
  ConfigRevision revision_;
  /// Unique id of the edit that made it.
  std::string edit_;
  /// Who made it, as given; for people.
  std::string author_;
  /// Seconds since 1970, by the editor's clock; for people.
  std::uint64_t unixTime_ = 0;
  std::vector<ManifestFile> files_;
  bool operator==(const Manifest&) const = default;
};

/// @returns the hash of a file in a manifest; empty if it has none
[[nodiscard]] std::string
FindHash(const Manifest& aManifest, std::string_view aName);

/// A new content for one file, based on a content that the editor saw.
struct FileChange
{
  std::string name_;
  /// Hash of the content that the change is based on; empty if absent.
  std::string baseHash_;
  /// Hash and text of the new content; both empty take the file out.
  std::string hash_;
  std::string text_;
};

/// What an operator wants to change, under an id of its own.
struct ConfigEdit
{
  std::string id_;
  std::string author_;
  std::uint64_t unixTime_ = 0;
  std::vector<FileChange> changes_;
  /// The new revision is above this one, whatever the store shows.
  ConfigRevision aboveRevision_;
};

/// What the driver of an `EditSession` does next.
enum class EditStep
{
  /// Read the manifest, then `OnManifest`.
  ReadManifest,
  /// Read the contents of `MissingBlobs`, then `OnBlobs`.
  ReadBlobs,
  /// Commit `Proposal` if the manifest is unmodified, then `OnCommit`.
  Commit,
  /// Read the log's record of `Attempted`, then `OnRecord`.
  ReadRecord,
  /// Accepted as `Attempted`.
  Accepted,
  /// Nothing to change.
  Unchanged,
  /// Others changed the same files: `Conflicts`.
  Conflicted,
  /// The merged rules have `Problems`.
  Rejected,
  /// An answer was lost for so long that the log no longer tells: a person
  /// must look.
  Unsettled,
};

/// What is known of a commit.
enum class CommitOutcome
{
  Applied,
  NotApplied,
  /// The answer was lost: it may have taken effect, or may still.
  Unknown,
};

/// Takes one edit to its acceptance against others that race it.
///
/// An attempt based on the manifest as last read can only ever become the
/// one revision that it proposes, since the commit compares the manifest's
/// modification. The log keeps a record of each revision, so that a lost
/// answer is settled by that record's edit id, even if later edits have
/// replaced the manifest since.
class EditSession
{
public:
  explicit EditSession(ConfigEdit aEdit);

  [[nodiscard]] EditStep Next() const noexcept { return step_; }
  /// @param aModification the store's revision of the manifest; 0 if absent
  void OnManifest(Manifest aManifest, std::uint64_t aModification);
  void OnBlobs(const std::map<std::string, std::string>& aBlobs);
  void OnCommit(CommitOutcome aAnswer);
  /// @param aRecord the log's record; nothing if there is none
  void OnRecord(const std::optional<Manifest>& aRecord);

  [[nodiscard]] std::vector<std::string> MissingBlobs() const;
  [[nodiscard]] const Manifest& Proposal() const noexcept { return proposal_; }
  /// @returns the modification that the commit compares
  [[nodiscard]] std::uint64_t Modification() const noexcept
  {
    return modification_;
  }
  [[nodiscard]] ConfigRevision Attempted() const noexcept
  {
    return proposal_.revision_;
  }
  /// @returns whether a commit whose answer was lost is not settled yet
  [[nodiscard]] bool MayHaveTakenEffect() const noexcept { return unsettled_; }
  [[nodiscard]] const ConfigEdit& Edit() const noexcept { return edit_; }
  /// @returns names of files that others changed
  [[nodiscard]] const std::vector<std::string>& Conflicts() const noexcept
  {
    return conflicts_;
  }
  [[nodiscard]] const Findings& Problems() const noexcept { return problems_; }

private:
  void Rebase();
  void Check();

  ConfigEdit edit_;
  EditStep step_ = EditStep::ReadManifest;
  Manifest base_;
  std::uint64_t modification_ = 0;
  /// Whether an earlier commit's outcome is not known yet.
  bool unsettled_ = false;
  Manifest proposal_;
  /// Contents by hash.
  std::map<std::string, std::string> blobs_;
  std::vector<std::string> conflicts_;
  Findings problems_;
};

/// What a manifest seen by a process is to it.
enum class ManifestVerdict
{
  /// Higher than what is in force: fetch and apply.
  Newer,
  /// What is in force.
  Current,
  /// Lower than what is in force, by a source that lags.
  Lagging,
  /// The store shows less than what it accepted, or another edit under
  /// the same number: never applied, an operator must act.
  Reverted,
};

/// Where a manifest was seen.
enum class ManifestSource
{
  Store,
  Peer,
  Disk,
};

/// What is in force in one process; only ever a higher revision.
class AppliedConfig
{
public:
  [[nodiscard]] ManifestVerdict Judge(const Manifest& aManifest,
                                      ManifestSource aSource) const;
  /// @returns whether it is now in force; false if it is no higher revision
  bool Apply(const Manifest& aManifest);
  [[nodiscard]] const Manifest& InForce() const noexcept { return inForce_; }

private:
  Manifest inForce_;
};

/// Revisions of the log that are kept.
inline constexpr std::uint64_t kKeptRevisions = 512;

/// @returns hashes that no kept record of the log refers to
[[nodiscard]] std::vector<std::string>
FindGarbage(const std::vector<Manifest>& aLog,
            const std::vector<std::string>& aBlobs);

} // namespace marjoramtally
