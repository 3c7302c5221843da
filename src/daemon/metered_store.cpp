#include "daemon/metered_store.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Number of leading key parts in the metric label. The parts after them
/// identify single jobs or processes and would create a series for each.
constexpr int kLabelParts = 2;

/// @returns the leading parts of a key, without identifiers of single objects
std::string
KeyPrefixOf(std::string_view aKey)
{
  std::size_t end = 0;
  for (int part = 0; part < kLabelParts; ++part) {
    const std::size_t slash = aKey.find('/', end);
    if (slash == std::string_view::npos) {
      break;
    }
    end = slash + 1;
  }
  return std::string(end == 0 ? aKey : aKey.substr(0, end));
}

class MeteredStore final : public Store
{
public:
  MeteredStore(std::unique_ptr<Store> aStore, Metrics& aMetrics)
    : store_(std::move(aStore))
    , metrics_(aMetrics)
  {
  }

  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    Count("read", aPrefix);
    store_->Read(std::move(aPrefix), std::move(aDone));
  }

  void ReadEarlier(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    Count("read_earlier", aPrefix);
    store_->ReadEarlier(std::move(aPrefix), std::move(aDone));
  }

  void ReadAfter(std::string aPrefix,
                 std::string aAfter,
                 StoreDone<StoreRange> aDone) override
  {
    Count("read", aPrefix);
    store_->ReadAfter(std::move(aPrefix), std::move(aAfter), std::move(aDone));
  }

  void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) override
  {
    Count("commit", aTxn.puts_.empty() ? "" : aTxn.puts_.front().key_);
    store_->Commit(std::move(aTxn), std::move(aDone));
  }

  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override
  {
    Count("lease", "");
    store_->GrantLease(aTtl, std::move(aDone));
  }

  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override
  {
    Count("renewal", "");
    store_->KeepAlive(aLease, std::move(aDone));
  }

  void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) override
  {
    Count("lease", "");
    store_->RevokeLease(aLease, std::move(aDone));
  }

  StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) override
  {
    const std::string prefix = KeyPrefixOf(aPrefix);
    return store_->Watch(std::move(aPrefix),
                         aFromRevision,
                         [this, prefix, onBatch = std::move(aOnBatch)](
                           const StoreWatchBatch& aBatch) {
                           Count("watch", prefix);
                           onBatch(aBatch);
                         });
  }

  void StopWatch(StoreWatchId aWatch) override { store_->StopWatch(aWatch); }

private:
  void Count(std::string_view aKind, std::string_view aKey)
  {
    metrics_.Count("store_calls_total{kind=\"" + std::string(aKind) +
                   "\",place=\"" + KeyPrefixOf(aKey) + "\"}");
  }

  std::unique_ptr<Store> store_;
  Metrics& metrics_;
};

} // namespace

std::unique_ptr<Store>
MakeMeteredStore(std::unique_ptr<Store> aStore, Metrics& aMetrics)
{
  return std::make_unique<MeteredStore>(std::move(aStore), aMetrics);
}

} // namespace marjoramtally
