#include "marjoramtally/runtime/embedded_store.hpp"

#include "runtime/embedded_records.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace marjoramtally {

namespace {

constexpr const char* kFileName = "store.sqlite";
/// How often the file is polled for changes of other processes while there are
/// watches.
constexpr auto kWatchPeriod = std::chrono::milliseconds(50);

/// One watch and the first revision whose changes it has not yet received.
struct OpenWatch
{
  std::string prefix_;
  std::uint64_t from_ = 0;
  std::function<void(const StoreWatchBatch&)> onBatch_;
};

/// Runs all calls in order on a thread of its own, because a commit waits for
/// the disk.
class EmbeddedStore final : public Store
{
public:
  EmbeddedStore(const std::string& aFile, const Clock& aClock)
    : clock_(aClock)
    , records_(aFile, aClock.Now())
    , thread_([this] { Run(); })
  {
  }

  ~EmbeddedStore() override
  {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }

  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    Post<StoreRange>(std::move(aDone), [this, prefix = std::move(aPrefix)]() {
      return records_.Read(prefix, clock_.Now());
    });
  }

  void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) override
  {
    Post<StoreCommit>(
      std::move(aDone), [this, txn = std::move(aTxn)]() -> Result<StoreCommit> {
        const auto commit = records_.Commit(txn, clock_.Now());
        if (!commit) {
          return Error{ ErrorKind::NotFound, "requested lease not found" };
        }
        return *commit;
      });
  }

  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override
  {
    Post<StoreLease>(std::move(aDone), [this, aTtl]() {
      return records_.Grant(aTtl, clock_.Now());
    });
  }

  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override
  {
    Post<StoreLease>(std::move(aDone), [this, aLease]() {
      return records_.KeepAlive(aLease, clock_.Now());
    });
  }

  void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) override
  {
    Post<bool>(std::move(aDone), [this, aLease]() {
      records_.Revoke(aLease, clock_.Now());
      return true;
    });
  }

  StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) override
  {
    const std::lock_guard lock(mutex_);
    const StoreWatchId id = ++lastWatch_;
    auto watch = std::make_shared<OpenWatch>(
      OpenWatch{ std::move(aPrefix), aFromRevision, std::move(aOnBatch) });
    tasks_.emplace_back([this, id, watch] {
      if (watch->from_ == 0) {
        watch->from_ = records_.Revision() + 1;
      }
      const std::lock_guard inner(mutex_);
      if (stoppedBeforeOpen_.erase(id) == 0) {
        watches_.emplace(id, watch);
      }
    });
    wake_.notify_one();
    return id;
  }

  void StopWatch(StoreWatchId aWatch) override
  {
    const std::lock_guard lock(mutex_);
    if (watches_.erase(aWatch) == 0) {
      stoppedBeforeOpen_.emplace(aWatch, true);
    }
  }

private:
  template<typename T, typename Function>
  void Post(StoreDone<T> aDone, Function aFunction)
  {
    const std::lock_guard lock(mutex_);
    tasks_.emplace_back(
      [done = std::move(aDone), function = std::move(aFunction)] {
        done(RunCatching<T>(function));
      });
    wake_.notify_one();
  }

  /// Converts an `SqliteError` to `Unavailable`: a failed transaction was
  /// rolled back, so it took no effect.
  template<typename T, typename Function>
  static Result<T> RunCatching(const Function& aFunction)
  {
    try {
      return aFunction();
    } catch (const SqliteError& failure) {
      return Error{ ErrorKind::Unavailable,
                    std::string("the store's file: ") + failure.what() };
    }
  }

  void Run()
  {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      if (tasks_.empty()) {
        const auto ready = [this] { return stopping_ || !tasks_.empty(); };
        if (watches_.empty()) {
          wake_.wait(lock, ready);
        } else {
          wake_.wait_for(lock, kWatchPeriod, ready);
        }
      }
      auto tasks = std::exchange(tasks_, {});
      lock.unlock();
      for (const auto& task : tasks) {
        task();
      }
      NotifyWatches();
      lock.lock();
    }
  }

  void NotifyWatches()
  {
    std::map<StoreWatchId, std::shared_ptr<OpenWatch>> watches;
    {
      const std::lock_guard lock(mutex_);
      watches = watches_;
    }
    for (const auto& [id, watch] : watches) {
      const auto changes =
        RunCatching<RecordChanges>([this, &watch = *watch]() {
          return records_.ChangesFrom(watch.prefix_, watch.from_, clock_.Now());
        });
      if (changes) {
        Notify(id, *watch, changes.value());
      }
    }
  }

  void Notify(StoreWatchId aId,
              OpenWatch& aWatch,
              const RecordChanges& aChanges)
  {
    {
      const std::lock_guard lock(mutex_);
      if (!watches_.contains(aId)) {
        return;
      }
      if (aChanges.incomplete_) {
        watches_.erase(aId);
      }
    }
    if (aChanges.incomplete_) {
      aWatch.onBatch_({ true, false, aChanges.revision_, {} });
      return;
    }
    aWatch.from_ = std::max(aWatch.from_, aChanges.revision_ + 1);
    if (!aChanges.events_.empty()) {
      aWatch.onBatch_({ false, false, aChanges.revision_, aChanges.events_ });
    }
  }

  const Clock& clock_;
  EmbeddedRecords records_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  std::map<StoreWatchId, std::shared_ptr<OpenWatch>> watches_;
  /// Watches that were stopped before they were opened.
  std::map<StoreWatchId, bool> stoppedBeforeOpen_;
  StoreWatchId lastWatch_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace

Result<std::unique_ptr<Store>>
OpenEmbeddedStore(const std::filesystem::path& aFolder, const Clock& aClock)
{
  const std::filesystem::path file = aFolder / kFileName;
  std::error_code failure;
  std::filesystem::create_directories(aFolder, failure);
  try {
    return std::unique_ptr<Store>(
      std::make_unique<EmbeddedStore>(file.string(), aClock));
  } catch (const SqliteError& error) {
    return Error{ ErrorKind::Unavailable, file.string() + ": " + error.what() };
  }
}

} // namespace marjoramtally
