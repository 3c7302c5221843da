/// The log of accepted configurations: how an edit becomes a revision, and
/// which revisions a process may apply. Performs no input or output.
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

/// An accepted revision: its files and the edit that created it.
struct Manifest
{
  ConfigRevision revision_;
  /// Unique id of the edit that created it.
  std::string edit_;
  /// Author as given by the editor; informational only.
  std::string author_;
  /// Seconds since 1970, by the editor's clock; informational only.
  std::uint64_t unixTime_ = 0;
  std::vector<ManifestFile> files_;
  bool operator==(const Manifest&) const = default;
};

/// @returns the hash of a file in a manifest; empty if the file is absent
[[nodiscard]] std::string
FindHash(const Manifest& aManifest, std::string_view aName);

/// New content of one file, based on the content that the editor read.
struct FileChange
{
  std::string name_;
  /// Hash of the content that the change is based on; empty if absent.
  std::string baseHash_;
  /// Hash and text of the new content; both empty: the file is removed.
  std::string hash_;
  std::string text_;
};

/// Changes requested by an operator, identified by a unique id.
struct ConfigEdit
{
  std::string id_;
  std::string author_;
  std::uint64_t unixTime_ = 0;
  std::vector<FileChange> changes_;
  /// The new revision exceeds this one, even if the store's revision is lower.
  ConfigRevision aboveRevision_;
};

/// The next action for the driver of an `EditSession`.
enum class EditStep
{
  /// Read the manifest, then `OnManifest`.
  ReadManifest,
  /// Read the blobs of `MissingBlobs`, then `OnBlobs`.
  ReadBlobs,
  /// Commit `Proposal` if the manifest is still at `Modification`, then
  /// `OnCommit`.
  Commit,
  /// Read the log record of revision `Attempted`, then `OnRecord`.
  ReadRecord,
  /// Accepted as revision `Attempted`.
  Accepted,
  /// The edit changes nothing.
  Unchanged,
  /// Other edits changed the same files, listed by `Conflicts`.
  Conflicted,
  /// The merged rules are invalid; `Problems` lists the findings.
  Rejected,
  /// The outcome of a commit is unknown and the log no longer has its record:
  /// an operator must check.
  Unsettled,
};

/// Outcome of a commit as seen by the driver.
enum class CommitOutcome
{
  Applied,
  NotApplied,
  /// The answer was lost: the commit may have taken effect or may still do so.
  Unknown,
};

/// Commits one edit in the presence of concurrent edits.
///
/// The commit compares the manifest's modification, so an attempt either
/// becomes exactly the revision that it proposes or has no effect. The log
/// keeps a record of each revision: when the answer to a commit is lost, the
/// edit id in the record of the attempted revision shows whether the commit
/// took effect, even if later edits have replaced the manifest.
class EditSession
{
public:
  explicit EditSession(ConfigEdit aEdit);

  [[nodiscard]] EditStep Next() const noexcept { return step_; }
  /// @param aModification store revision of the manifest; 0 if absent
  void OnManifest(Manifest aManifest, std::uint64_t aModification);
  void OnBlobs(const std::map<std::string, std::string>& aBlobs);
  void OnCommit(CommitOutcome aAnswer);
  /// @param aRecord record of the attempted revision; empty if absent
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
  /// @returns whether the outcome of a commit is still unknown
  [[nodiscard]] bool MayHaveTakenEffect() const noexcept { return unsettled_; }
  [[nodiscard]] const ConfigEdit& Edit() const noexcept { return edit_; }
  /// @returns names of files that other edits changed
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
  /// Whether the outcome of an earlier commit is still unknown.
  bool unsettled_ = false;
  Manifest proposal_;
  /// File contents by hash.
  std::map<std::string, std::string> blobs_;
  std::vector<std::string> conflicts_;
  Findings problems_;
};

/// How a received manifest relates to the one in force.
enum class ManifestVerdict
{
  /// A higher revision than the one in force: fetch and apply it.
  Newer,
  /// The revision in force.
  Current,
  /// A lower revision than the one in force, from a peer or disk.
  Lagging,
  /// The store returned a lower revision than it had accepted, or any source
  /// has another edit under the same revision: never applied; an operator must
  /// act.
  Reverted,
};

/// Where a manifest was read from.
enum class ManifestSource
{
  Store,
  Peer,
  Disk,
};

/// The configuration in force in one process; its revision only increases.
class AppliedConfig
{
public:
  [[nodiscard]] ManifestVerdict Judge(const Manifest& aManifest,
                                      ManifestSource aSource) const;
  /// @returns whether it was applied; false unless its revision is higher
  bool Apply(const Manifest& aManifest);
  [[nodiscard]] const Manifest& InForce() const noexcept { return inForce_; }

private:
  Manifest inForce_;
};

/// Number of revisions whose records the log retains.
inline constexpr std::uint64_t kKeptRevisions = 512;

/// @returns hashes of blobs that no retained log record references
[[nodiscard]] std::vector<std::string>
FindGarbage(const std::vector<Manifest>& aLog,
            const std::vector<std::string>& aBlobs);

} // namespace marjoramtally
