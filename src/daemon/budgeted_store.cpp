#include "daemon/budgeted_store.hpp"

#include <mutex>

namespace marjoramtally {

namespace {

class BudgetedStore final : public Store
{
public:
  BudgetedStore(std::unique_ptr<Store> aStore,
                StoreRate aRate,
                Metrics& aMetrics)
    : store_(std::move(aStore))
    , budget_(aRate.perSecond_, aRate.burst_)
    , metrics_(aMetrics)
  {
  }

  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    if (!Charge(StoreCallKind::Read)) {
      aDone(Error{ ErrorKind::Unavailable, "the store's budget is spent" });
      return;
    }
    store_->Read(std::move(aPrefix), std::move(aDone));
  }

  void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) override
  {
    Charge(StoreCallKind::Write);
    store_->Commit(std::move(aTxn), std::move(aDone));
  }

  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override
  {
    Charge(StoreCallKind::Lease);
    store_->GrantLease(aTtl, std::move(aDone));
  }

  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override
  {
    Charge(StoreCallKind::Lease);
    store_->KeepAlive(aLease, std::move(aDone));
  }

  void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) override
  {
    Charge(StoreCallKind::Lease);
    store_->RevokeLease(aLease, std::move(aDone));
  }

  StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) override
  {
    if (!Charge(StoreCallKind::Watch)) {
      aOnBatch(StoreWatchBatch{ true, false, 0, {} });
      return 0;
    }
    return store_->Watch(
      std::move(aPrefix), aFromRevision, std::move(aOnBatch));
  }

  void StopWatch(StoreWatchId aWatch) override { store_->StopWatch(aWatch); }

private:
  bool Charge(StoreCallKind aKind)
  {
    const std::string label = "{kind=\"" + std::string(ToString(aKind)) + "\"}";
    bool allowed = false;
    {
      const std::lock_guard lock(mutex_);
      allowed = budget_.Take(aKind, clock_.Now());
    }
    metrics_.Count((allowed ? "store_calls" : "store_calls_refused") + label);
    return allowed;
  }

  std::unique_ptr<Store> store_;
  SystemClock clock_;
  std::mutex mutex_;
  StoreBudget budget_;
  Metrics& metrics_;
};

} // namespace

std::unique_ptr<Store>
MakeBudgetedStore(std::unique_ptr<Store> aStore,
                  StoreRate aRate,
                  Metrics& aMetrics)
{
  return std::make_unique<BudgetedStore>(std::move(aStore), aRate, aMetrics);
}

} // namespace marjoramtally
