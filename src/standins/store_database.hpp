/// Records, leases and watches of the store's stand-in, with the semantics of
/// the JSON gateway of etcd v3.
#pragma once

#include "standins/standin.hpp"

namespace marjoramtally::standin {

/// A stored record.
struct Entry
{
  std::string value_;
  std::int64_t createRevision_ = 0;
  std::int64_t modRevision_ = 0;
  std::int64_t version_ = 0;
  std::int64_t lease_ = 0;
};

/// A granted lease.
struct Lease
{
  std::int64_t ttlSeconds_ = 0;
  TimePoint expires_;
};

/// A change, kept for watches that start at an earlier revision.
struct Change
{
  std::int64_t revision_ = 0;
  std::string key_;
  Json event_;
};

/// An open watch of one key, or of the range from `from_` up to `end_`.
struct Watch
{
  std::string from_;
  std::string end_;
  HttpReplyPtr reply_;
};

/// In-memory database. Thread-safe.
class Database
{
public:
  Database();

  /// @returns whether requests to this path modify records or leases
  [[nodiscard]] static bool Writes(std::string_view aPath);
  /// @returns the first key that a call refers to; empty for leases
  [[nodiscard]] static std::string KeyOf(const Json& aBody);
  /// Serves one request other than a watch.
  [[nodiscard]] HttpResponse Serve(const std::string& aPath, const Json& aBody);
  /// Streams changes, first those since the revision requested, until the
  /// database is restored.
  void OpenWatch(const Json& aCreate, const HttpReplyPtr& aReply);
  /// Saves the state for `Restore`.
  void Save();
  /// Returns to the saved state and ends all watches, like a store restarted
  /// from a backup.
  void Restore();

private:
  struct Route
  {
    std::string_view path_;
    HttpResponse (Database::*serve_)(const Json&);
    bool write_ = false;
  };
  static const std::array<Route, 6> kRoutes;

  /// The state that `Restore` brings back.
  struct State
  {
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 1000;
    std::map<std::string, Entry> entries_;
    std::map<std::int64_t, Lease> leases_;
  };

  Json Header() const;
  static Json FormatEntry(const std::string& aKey, const Entry& aEntry);
  Json FormatRange(const Json& aBody) const;
  HttpResponse Range(const Json& aBody);
  void ApplyPut(const Json& aPut);
  void ApplyDelete(const std::string& aKey);
  bool CompareHolds(const Json& aCompare) const;
  HttpResponse Put(const Json& aBody);
  HttpResponse Txn(const Json& aBody);
  HttpResponse Grant(const Json& aBody);
  HttpResponse KeepAlive(const Json& aBody);
  HttpResponse Revoke(const Json& aBody);
  void EndLease(std::int64_t aId);
  void ExpireLeases();
  static bool Covers(const Watch& aWatch, const std::string& aKey);
  void SendEvents(const Watch& aWatch, const Json& aEvents);
  void Publish(const std::string& aKey, const Json& aEvent);
  SystemClock clock_;
  std::mutex mutex_;
  State state_;
  State saved_;
  std::deque<Change> changes_;
  std::vector<Watch> watches_;
  Timers timers_;
};

} // namespace marjoramtally::standin
