#include "daemon/config_editor.hpp"

#include <algorithm>
#include <random>

namespace marjoramtally {

namespace {

/// Consecutive failed store calls after which an edit is abandoned.
constexpr int kMaxFailures = 8;
/// Commits lost to concurrent editors after which an edit is abandoned.
constexpr int kMaxLostCommits = 100;
/// Base and maximum of the retry delay, which doubles with each consecutive
/// failure.
constexpr Duration kInitialWait = std::chrono::milliseconds(20);
constexpr Duration kMaxWait = std::chrono::seconds(1);

StoreTxn
MakeTxn(const EditSession& aSession)
{
  const Manifest& proposal = aSession.Proposal();
  StoreTxn txn;
  txn.compares_.push_back(
    { std::string(kManifestKey), aSession.Modification() });
  for (const FileChange& change : aSession.Edit().changes_) {
    if (!change.hash_.empty()) {
      txn.puts_.push_back({ BlobKey(change.hash_), change.text_, 0 });
    }
  }
  const std::string text = FormatManifest(proposal);
  txn.puts_.push_back({ std::string(kManifestKey), text, 0 });
  txn.puts_.push_back({ LogKey(proposal.revision_), text, 0 });
  const std::uint64_t revision = proposal.revision_.Get();
  if (revision > kKeptRevisions) {
    txn.deletes_.push_back(LogKey(ConfigRevision{ revision - kKeptRevisions }));
  }
  return txn;
}

/// Runs one edit. Pending callbacks hold shared ownership of the object.
class EditDriver : public std::enable_shared_from_this<EditDriver>
{
public:
  EditDriver(Store& aStore,
             Timers& aTimers,
             ConfigEdit aEdit,
             StoreDone<EditResult> aDone)
    : store_(aStore)
    , timers_(aTimers)
    , session_(std::move(aEdit))
    , done_(std::move(aDone))
    , jitter_(std::random_device{}())
  {
  }

  void Step()
  {
    switch (session_.Next()) {
      case EditStep::ReadManifest:
        ReadManifest();
        break;
      case EditStep::ReadBlobs:
        missing_ = session_.MissingBlobs();
        found_.clear();
        ReadNextBlob();
        break;
      case EditStep::Commit:
        Commit();
        break;
      case EditStep::ReadRecord:
        ReadRecord();
        break;
      default:
        done_(EditResult{ session_.Next(),
                          session_.Attempted(),
                          session_.Edit().id_,
                          session_.Conflicts(),
                          session_.Problems() });
    }
  }

private:
  void ReadManifest()
  {
    ReadStoredManifest(
      store_, [self = shared_from_this()](const Result<StoredManifest>& aRead) {
        if (!aRead) {
          self->OnStoreFailure(aRead.error());
          return;
        }
        self->failures_ = 0;
        self->session_.OnManifest(aRead.value().manifest_,
                                  aRead.value().modification_);
        self->Step();
      });
  }

  void ReadNextBlob()
  {
    if (missing_.empty()) {
      session_.OnBlobs(found_);
      Step();
      return;
    }
    const std::string hash = missing_.back();
    missing_.pop_back();
    store_.Read(
      BlobKey(hash),
      [self = shared_from_this(), hash](const Result<StoreRange>& aRead) {
        if (!aRead) {
          self->OnStoreFailure(aRead.error());
          return;
        }
        for (const StoreRecord& record : aRead.value().records_) {
          self->found_[hash] = record.value_;
        }
        self->ReadNextBlob();
      });
  }

  void Commit()
  {
    store_.Commit(
      MakeTxn(session_),
      [self = shared_from_this()](const Result<StoreCommit>& aCommit) {
        self->OnCommit(aCommit);
      });
  }

  void OnCommit(const Result<StoreCommit>& aCommit)
  {
    if (aCommit) {
      const bool applied = aCommit.value().applied_;
      session_.OnCommit(applied ? CommitOutcome::Applied
                                : CommitOutcome::NotApplied);
      lostCommits_ += applied ? 0 : 1;
      if (lostCommits_ > kMaxLostCommits) {
        Abandon("others kept editing");
      } else if (applied) {
        Step();
      } else {
        StepAfter(kInitialWait);
      }
      return;
    }
    const bool unsent = aCommit.error().kind_ == ErrorKind::Unavailable;
    session_.OnCommit(unsent ? CommitOutcome::NotApplied
                             : CommitOutcome::Unknown);
    OnStoreFailure(aCommit.error());
  }

  void ReadRecord()
  {
    const std::string key = LogKey(session_.Attempted());
    store_.Read(
      key, [self = shared_from_this()](const Result<StoreRange>& aRead) {
        if (!aRead) {
          self->OnStoreFailure(aRead.error());
          return;
        }
        std::optional<Manifest> record;
        if (!aRead.value().records_.empty()) {
          auto parsed = ParseManifest(aRead.value().records_.front().value_);
          if (!parsed) {
            self->Abandon(parsed.error().message_);
            return;
          }
          record = std::move(parsed).value();
        }
        self->session_.OnRecord(record);
        self->Step();
      });
  }

  void OnStoreFailure(const Error& aError)
  {
    ++failures_;
    if (failures_ >= kMaxFailures) {
      Abandon(aError.message_);
    } else {
      StepAfter(std::min<Duration>(kInitialWait * (1 << failures_), kMaxWait));
    }
  }

  /// Schedules the next step after a delay with jitter.
  void StepAfter(Duration aWait)
  {
    const auto spread = static_cast<std::uint64_t>(aWait.count());
    const auto extra = static_cast<Duration::rep>(jitter_.Below(spread));
    timers_.After(aWait / 2 + Duration(extra),
                  [self = shared_from_this()] { self->Step(); });
  }

  void Abandon(const std::string& aReason)
  {
    const std::string& id = session_.Edit().id_;
    done_(session_.MayHaveTakenEffect()
            ? Error{ ErrorKind::Timeout,
                     "not known whether edit " + id + " was accepted (" +
                       aReason + "); look for it in marjoramctl history" }
            : Error{ ErrorKind::Unavailable,
                     "not accepted, nothing was changed: " + aReason });
  }

  Store& store_;
  Timers& timers_;
  EditSession session_;
  StoreDone<EditResult> done_;
  Random jitter_;
  int failures_ = 0;
  int lostCommits_ = 0;
  std::vector<std::string> missing_;
  std::map<std::string, std::string> found_;
};

} // namespace

ConfigEdit
MakeEdit(std::string aAuthor)
{
  std::random_device device;
  ConfigEdit edit;
  edit.id_ = std::to_string(device()) + "-" + std::to_string(device());
  edit.author_ = std::move(aAuthor);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  edit.unixTime_ = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::seconds>(now).count());
  return edit;
}

void
AddChange(ConfigEdit& aEdit,
          std::string aName,
          std::string aBaseHash,
          std::string aText)
{
  std::string hash = ContentHash(aText);
  aEdit.changes_.push_back({ std::move(aName),
                             std::move(aBaseHash),
                             std::move(hash),
                             std::move(aText) });
}

void
ReadStoredManifest(Store& aStore, StoreDone<StoredManifest> aDone)
{
  aStore.Read(
    std::string(kManifestKey),
    [done = std::move(aDone)](const Result<StoreRange>& aRead) {
      if (!aRead) {
        done(aRead.error());
        return;
      }
      if (aRead.value().records_.empty()) {
        done(StoredManifest{});
        return;
      }
      const StoreRecord& record = aRead.value().records_.front();
      auto manifest = ParseManifest(record.value_);
      if (!manifest) {
        done(manifest.error());
        return;
      }
      done(StoredManifest{ std::move(manifest).value(), record.modRevision_ });
    });
}

void
SubmitEdit(Store& aStore,
           Timers& aTimers,
           ConfigEdit aEdit,
           StoreDone<EditResult> aDone)
{
  std::make_shared<EditDriver>(
    aStore, aTimers, std::move(aEdit), std::move(aDone))
    ->Step();
}

Result<std::vector<Manifest>>
ReadLog(Store& aStore)
{
  const auto read = Await<StoreRange>([&](auto aDone) {
    aStore.Read(std::string(kLogPrefix), std::move(aDone));
  });
  if (!read) {
    return read.error();
  }
  std::vector<Manifest> log;
  for (const StoreRecord& record : read.value().records_) {
    auto manifest = ParseManifest(record.value_);
    if (!manifest) {
      return manifest.error();
    }
    log.push_back(std::move(manifest).value());
  }
  return log;
}

Result<ConfigContent>
ReadContent(Store& aStore, const Manifest& aManifest)
{
  ConfigContent content;
  content.manifest_ = aManifest;
  for (const ManifestFile& file : aManifest.files_) {
    const auto read = Await<StoreRange>(
      [&](auto aDone) { aStore.Read(BlobKey(file.hash_), std::move(aDone)); });
    if (!read) {
      return read.error();
    }
    for (const StoreRecord& record : read.value().records_) {
      content.blobs_[file.hash_] = record.value_;
    }
  }
  return content;
}

Result<std::uint64_t>
SweepContents(Store& aStore)
{
  /// The store limits the operations per transaction.
  constexpr std::size_t kMaxDeletes = 100;
  const auto manifest = Await<StoredManifest>(
    [&](auto aDone) { ReadStoredManifest(aStore, std::move(aDone)); });
  auto log = ReadLog(aStore);
  const auto blobs = Await<StoreRange>([&](auto aDone) {
    aStore.Read(std::string(kBlobPrefix), std::move(aDone));
  });
  if (!manifest || !log || !blobs) {
    return Error{ ErrorKind::Unavailable, "the store did not answer" };
  }
  auto used = std::move(log).value();
  used.push_back(manifest.value().manifest_);
  std::vector<std::string> hashes;
  for (const StoreRecord& record : blobs.value().records_) {
    hashes.push_back(record.key_.substr(kBlobPrefix.size()));
  }
  auto garbage = FindGarbage(used, hashes);
  garbage.resize(std::min(garbage.size(), kMaxDeletes));
  // A concurrent edit may reference a blob again. The compare on the manifest
  // then fails and nothing is deleted.
  StoreTxn txn;
  txn.compares_.push_back(
    { std::string(kManifestKey), manifest.value().modification_ });
  for (const std::string& hash : garbage) {
    txn.deletes_.push_back(BlobKey(hash));
  }
  if (garbage.empty()) {
    return 0;
  }
  const auto commit = Await<StoreCommit>(
    [&](auto aDone) { aStore.Commit(std::move(txn), std::move(aDone)); });
  if (!commit) {
    return commit.error();
  }
  return commit.value().applied_ ? garbage.size() : 0;
}

} // namespace marjoramtally
