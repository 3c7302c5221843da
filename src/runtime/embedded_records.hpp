/// Records, leases and the change history of the embedded store, in one SQLite
/// file.
#pragma once

#include "marjoramtally/runtime/store.hpp"

#include "runtime/sqlite.hpp"

#include <optional>

namespace marjoramtally {

/// Changes from a revision on, as a watch reports them.
struct RecordChanges
{
  /// Set if some of the changes have already been deleted.
  bool incomplete_ = false;
  std::uint64_t revision_ = 0;
  std::vector<StoreEvent> events_;
};

/// Each function is one transaction, which first removes expired leases. Throws
/// `SqliteError`. Not thread-safe.
class EmbeddedRecords
{
public:
  /// @param aFile created if it does not exist
  /// @param aNow the current time of the clock that leases expire by
  EmbeddedRecords(const std::string& aFile, TimePoint aNow);

  [[nodiscard]] StoreRange Read(const std::string& aPrefix, TimePoint aNow);
  /// @returns nullopt if a put names a lease that does not exist
  [[nodiscard]] std::optional<StoreCommit> Commit(const StoreTxn& aTxn,
                                                  TimePoint aNow);
  [[nodiscard]] StoreLease Grant(Duration aTtl, TimePoint aNow);
  /// @returns a lease with a TTL of zero if the lease has expired
  [[nodiscard]] StoreLease KeepAlive(StoreLeaseId aLease, TimePoint aNow);
  void Revoke(StoreLeaseId aLease, TimePoint aNow);
  /// Returns the changes of keys with a prefix, from a revision on.
  [[nodiscard]] RecordChanges ChangesFrom(const std::string& aPrefix,
                                          std::uint64_t aRevision,
                                          TimePoint aNow);
  [[nodiscard]] std::uint64_t Revision();

private:
  class Transaction;
  struct Close
  {
    void operator()(sqlite3* aDatabase) const { sqlite3_close(aDatabase); }
  };

  void Run(const std::string& aSql);
  [[nodiscard]] SqliteStatement Prepare(const std::string& aSql);
  [[nodiscard]] std::int64_t Meta(const std::string& aName);
  void SetMeta(const std::string& aName, std::int64_t aValue);
  [[nodiscard]] bool CompareHolds(const StoreCompare& aCompare);
  [[nodiscard]] bool HasLease(StoreLeaseId aLease);
  void Put(const StorePut& aPut, std::int64_t aRevision);
  void Delete(const std::string& aKey, std::int64_t aRevision);
  void RemoveLease(StoreLeaseId aLease);
  [[nodiscard]] bool AnyLeaseExpired(TimePoint aNow);
  void ExpireLeases(TimePoint aNow);
  void DeleteOldChanges();

  std::unique_ptr<sqlite3, Close> database_;
};

} // namespace marjoramtally
