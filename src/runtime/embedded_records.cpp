#include "runtime/embedded_records.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr int kLockTimeoutMillis = 5000;
/// Changes kept for watches that start at an earlier revision.
constexpr std::int64_t kMaxKeptChanges = 10'000;

/// Uses a write-ahead log that is synced at each commit, so that a confirmed
/// write survives a failure of the machine.
constexpr const char* kSchemaSql = R"(
PRAGMA journal_mode = WAL;
PRAGMA synchronous = FULL;
CREATE TABLE IF NOT EXISTS meta(
  name BLOB PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS records(
  key BLOB PRIMARY KEY, value BLOB, created INTEGER, modified INTEGER,
  lease INTEGER) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS leases(
  id INTEGER PRIMARY KEY, ttl INTEGER, ends INTEGER);
CREATE TABLE IF NOT EXISTS changes(
  number INTEGER PRIMARY KEY AUTOINCREMENT, revision INTEGER, key BLOB,
  deleted INTEGER, value BLOB, created INTEGER, lease INTEGER);
)";

std::int64_t
Micros(TimePoint aTime) noexcept
{
  return aTime.sinceStart_.count();
}

} // namespace

/// Takes the database's write lock; rolls back on destruction unless committed.
class EmbeddedRecords::Transaction
{
public:
  explicit Transaction(EmbeddedRecords& aRecords)
    : records_(aRecords)
  {
    records_.Run("BEGIN IMMEDIATE");
  }
  ~Transaction()
  {
    if (!done_) {
      sqlite3_exec(
        records_.database_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    }
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void Commit()
  {
    records_.Run("COMMIT");
    done_ = true;
  }

private:
  EmbeddedRecords& records_;
  bool done_ = false;
};

EmbeddedRecords::EmbeddedRecords(const std::string& aFile, TimePoint aNow)
{
  sqlite3* raw = nullptr;
  const int code = sqlite3_open(aFile.c_str(), &raw);
  database_.reset(raw);
  if (code != SQLITE_OK) {
    throw SqliteError(sqlite3_errstr(code));
  }
  sqlite3_busy_timeout(raw, kLockTimeoutMillis);
  Run(kSchemaSql);
  Transaction transaction(*this);
  Run("INSERT OR IGNORE INTO meta VALUES(CAST('revision' AS BLOB), 1)");
  Run("INSERT OR IGNORE INTO meta VALUES(CAST('lease' AS BLOB), 1000)");
  // The monotonic clock restarts with the machine, so a lease's remaining time
  // is capped at its TTL.
  Prepare("UPDATE leases SET ends = min(ends, ?1 + ttl)")
    .Bind(Micros(aNow))
    .Step();
  transaction.Commit();
}

void
EmbeddedRecords::Run(const std::string& aSql)
{
  char* message = nullptr;
  if (sqlite3_exec(database_.get(), aSql.c_str(), nullptr, nullptr, &message) !=
      SQLITE_OK) {
    const std::string text = message == nullptr ? "failed" : message;
    sqlite3_free(message);
    throw SqliteError(text);
  }
}

SqliteStatement
EmbeddedRecords::Prepare(const std::string& aSql)
{
  return { database_.get(), aSql };
}

std::int64_t
EmbeddedRecords::Meta(const std::string& aName)
{
  auto row = Prepare("SELECT value FROM meta WHERE name = ?1");
  row.Bind(aName);
  return row.Step() ? row.Number(0) : 0;
}

void
EmbeddedRecords::SetMeta(const std::string& aName, std::int64_t aValue)
{
  Prepare("UPDATE meta SET value = ?1 WHERE name = ?2")
    .Bind(aValue)
    .Bind(aName)
    .Step();
}

std::uint64_t
EmbeddedRecords::Revision()
{
  return static_cast<std::uint64_t>(Meta("revision"));
}

StoreRange
EmbeddedRecords::Read(const std::string& aPrefix, TimePoint aNow)
{
  Transaction transaction(*this);
  ExpireLeases(aNow);
  StoreRange range;
  range.revision_ = Revision();
  auto row = Prepare("SELECT key, value, created, modified, lease FROM records "
                     "WHERE substr(key, 1, ?1) = ?2 ORDER BY key");
  row.Bind(static_cast<std::int64_t>(aPrefix.size())).Bind(aPrefix);
  while (row.Step()) {
    range.records_.push_back({ row.Text(0),
                               row.Text(1),
                               static_cast<std::uint64_t>(row.Number(2)),
                               static_cast<std::uint64_t>(row.Number(3)),
                               row.Number(4) });
  }
  transaction.Commit();
  return range;
}

bool
EmbeddedRecords::CompareHolds(const StoreCompare& aCompare)
{
  auto row = Prepare("SELECT modified FROM records WHERE key = ?1");
  row.Bind(aCompare.key_);
  const std::int64_t has = row.Step() ? row.Number(0) : 0;
  return has == static_cast<std::int64_t>(aCompare.modRevision_);
}

bool
EmbeddedRecords::HasLease(StoreLeaseId aLease)
{
  return Prepare("SELECT 1 FROM leases WHERE id = ?1").Bind(aLease).Step();
}

std::optional<StoreCommit>
EmbeddedRecords::Commit(const StoreTxn& aTxn, TimePoint aNow)
{
  Transaction transaction(*this);
  ExpireLeases(aNow);
  const bool holds = std::all_of(
    aTxn.compares_.begin(),
    aTxn.compares_.end(),
    [this](const StoreCompare& aOne) { return CompareHolds(aOne); });
  std::int64_t revision = Meta("revision");
  if (holds && !(aTxn.puts_.empty() && aTxn.deletes_.empty())) {
    SetMeta("revision", ++revision);
    for (const StorePut& put : aTxn.puts_) {
      if (put.lease_ != 0 && !HasLease(put.lease_)) {
        return std::nullopt;
      }
      Put(put, revision);
    }
    for (const std::string& key : aTxn.deletes_) {
      Delete(key, revision);
    }
    DeleteOldChanges();
  }
  transaction.Commit();
  return StoreCommit{ holds, static_cast<std::uint64_t>(revision) };
}

void
EmbeddedRecords::Put(const StorePut& aPut, std::int64_t aRevision)
{
  Prepare("INSERT INTO records VALUES(?1, ?2, ?3, ?3, ?4) ON CONFLICT(key) DO "
          "UPDATE SET value = ?2, modified = ?3, lease = ?4")
    .Bind(aPut.key_)
    .Bind(aPut.value_)
    .Bind(aRevision)
    .Bind(aPut.lease_)
    .Step();
  Prepare("INSERT INTO changes(revision, key, deleted, value, created, lease) "
          "SELECT modified, key, 0, value, created, lease FROM records "
          "WHERE key = ?1")
    .Bind(aPut.key_)
    .Step();
}

void
EmbeddedRecords::Delete(const std::string& aKey, std::int64_t aRevision)
{
  Prepare("DELETE FROM records WHERE key = ?1").Bind(aKey).Step();
  if (sqlite3_changes(database_.get()) == 0) {
    return;
  }
  Prepare("INSERT INTO changes(revision, key, deleted, value, created, lease) "
          "VALUES(?1, ?2, 1, x'', 0, 0)")
    .Bind(aRevision)
    .Bind(aKey)
    .Step();
}

StoreLease
EmbeddedRecords::Grant(Duration aTtl, TimePoint aNow)
{
  Transaction transaction(*this);
  ExpireLeases(aNow);
  const std::int64_t id = Meta("lease") + 1;
  SetMeta("lease", id);
  Prepare("INSERT INTO leases VALUES(?1, ?2, ?3)")
    .Bind(id)
    .Bind(aTtl.count())
    .Bind(Micros(aNow + aTtl))
    .Step();
  transaction.Commit();
  return { id, aTtl };
}

StoreLease
EmbeddedRecords::KeepAlive(StoreLeaseId aLease, TimePoint aNow)
{
  Transaction transaction(*this);
  ExpireLeases(aNow);
  Prepare("UPDATE leases SET ends = ?1 + ttl WHERE id = ?2")
    .Bind(Micros(aNow))
    .Bind(aLease)
    .Step();
  auto row = Prepare("SELECT ttl FROM leases WHERE id = ?1");
  row.Bind(aLease);
  const Duration ttl{ row.Step() ? row.Number(0) : 0 };
  transaction.Commit();
  return { aLease, ttl };
}

void
EmbeddedRecords::Revoke(StoreLeaseId aLease, TimePoint aNow)
{
  Transaction transaction(*this);
  ExpireLeases(aNow);
  RemoveLease(aLease);
  transaction.Commit();
}

void
EmbeddedRecords::RemoveLease(StoreLeaseId aLease)
{
  Prepare("DELETE FROM leases WHERE id = ?1").Bind(aLease).Step();
  std::vector<std::string> keys;
  {
    auto row = Prepare("SELECT key FROM records WHERE lease = ?1");
    row.Bind(aLease);
    while (aLease != 0 && row.Step()) {
      keys.push_back(row.Text(0));
    }
  }
  if (keys.empty()) {
    return;
  }
  const std::int64_t revision = Meta("revision") + 1;
  SetMeta("revision", revision);
  for (const std::string& key : keys) {
    Delete(key, revision);
  }
}

void
EmbeddedRecords::ExpireLeases(TimePoint aNow)
{
  std::vector<StoreLeaseId> due;
  auto row = Prepare("SELECT id FROM leases WHERE ends <= ?1");
  row.Bind(Micros(aNow));
  while (row.Step()) {
    due.push_back(row.Number(0));
  }
  for (const StoreLeaseId lease : due) {
    RemoveLease(lease);
  }
}

bool
EmbeddedRecords::AnyLeaseExpired(TimePoint aNow)
{
  return Prepare("SELECT 1 FROM leases WHERE ends <= ?1")
    .Bind(Micros(aNow))
    .Step();
}

void
EmbeddedRecords::DeleteOldChanges()
{
  Prepare("DELETE FROM changes WHERE number <= "
          "(SELECT max(number) FROM changes) - ?1")
    .Bind(kMaxKeptChanges)
    .Step();
}

RecordChanges
EmbeddedRecords::ChangesFrom(const std::string& aPrefix,
                             std::uint64_t aRevision,
                             TimePoint aNow)
{
  RecordChanges changes;
  changes.revision_ = Revision();
  if (changes.revision_ < aRevision && !AnyLeaseExpired(aNow)) {
    return changes;
  }
  Transaction transaction(*this);
  ExpireLeases(aNow);
  changes.revision_ = Revision();
  auto oldest = Prepare("SELECT number, revision FROM changes "
                        "ORDER BY number LIMIT 1");
  changes.incomplete_ =
    oldest.Step() && oldest.Number(0) > 1 &&
    aRevision <= static_cast<std::uint64_t>(oldest.Number(1));
  auto row =
    Prepare("SELECT deleted, key, value, created, revision, lease FROM changes "
            "WHERE revision >= ?1 AND substr(key, 1, ?2) = ?3 ORDER BY number");
  row.Bind(static_cast<std::int64_t>(aRevision))
    .Bind(static_cast<std::int64_t>(aPrefix.size()))
    .Bind(aPrefix);
  while (row.Step()) {
    changes.events_.push_back({ row.Number(0) != 0,
                                { row.Text(1),
                                  row.Text(2),
                                  static_cast<std::uint64_t>(row.Number(3)),
                                  static_cast<std::uint64_t>(row.Number(4)),
                                  row.Number(5) } });
  }
  transaction.Commit();
  return changes;
}

} // namespace marjoramtally
