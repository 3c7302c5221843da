/// Stand-in of the platform's key-value service: the part of etcd v3's JSON
/// gateway that the system uses, in memory.

#include "standins/standin.hpp"

#include <kj/encoding.h>

namespace marjoramtally::standin {

namespace {

std::string
Encode(const std::string& aText)
{
  const auto bytes =
    kj::arrayPtr(reinterpret_cast<const kj::byte*>(aText.data()), aText.size());
  return kj::encodeBase64(bytes).cStr();
}

std::string
Decode(const std::string& aText)
{
  const auto bytes = kj::decodeBase64(kj::arrayPtr(aText.data(), aText.size()));
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

std::int64_t
Number(const Json& aBody, const char* aName)
{
  const auto it = aBody.find(aName);
  if (it == aBody.end()) {
    return 0;
  }
  return it->is_string() ? std::stoll(it->get<std::string>())
                         : it->get<std::int64_t>();
}

/// One record as stored.
struct Entry
{
  std::string value_;
  std::int64_t createRevision_ = 0;
  std::int64_t modRevision_ = 0;
  std::int64_t version_ = 0;
  std::int64_t lease_ = 0;
};

/// One lease as granted.
struct Lease
{
  std::int64_t ttlSeconds_ = 0;
  TimePoint expires_;
};

/// One change, kept for watches that start at an earlier revision.
struct Change
{
  std::int64_t revision_ = 0;
  std::string key_;
  Json event_;
};

/// One open watch.
struct Watch
{
  std::string from_;
  std::string end_;
  HttpReplyPtr reply_;
};

class Database
{
public:
  Database()
  {
    constexpr auto kSweep = std::chrono::milliseconds(100);
    timers_.Every(kSweep, [this] { ExpireLeases(); });
  }

  void Handle(const HttpRequest& aRequest, const HttpReplyPtr& aReply)
  {
    if (aRequest.path_ == "/metrics") {
      HttpResponse response;
      response.body_ = metrics_.Render();
      aReply->Send(std::move(response));
      return;
    }
    const Json body = Json::parse(aRequest.body_, nullptr, false);
    if (!body.is_object()) {
      aReply->Send(ErrorResponse(400, "bad_input", "no JSON object"));
      return;
    }
    CountCall(aRequest.path_, body);
    const std::lock_guard lock(mutex_);
    if (aRequest.path_ == "/v3/watch") {
      OpenWatch(body.at("create_request"), aReply);
      return;
    }
    for (const Route& route : kRoutes) {
      if (route.path_ == aRequest.path_) {
        aReply->Send((this->*route.serve_)(body));
        return;
      }
    }
    aReply->Send(ErrorResponse(404, "not_found", aRequest.path_));
  }

private:
  struct Route
  {
    std::string_view path_;
    HttpResponse (Database::*serve_)(const Json&);
  };
  static const std::array<Route, 6> kRoutes;

  /// @returns the key that a call is about; empty for leases
  static std::string KeyOf(const Json& aBody)
  {
    const Json& watch = aBody.value("create_request", aBody);
    const Json compares = watch.value("compare", Json::array());
    const Json& holder = compares.empty() ? watch : compares.front();
    return Decode(holder.value("key", ""));
  }

  /// Counts a call by its operation and by the part of the system's keys.
  void CountCall(const std::string& aPath, const Json& aBody)
  {
    const std::string key = KeyOf(aBody);
    const bool config = key.find("/config/") != std::string::npos;
    metrics_.Count("store_calls_total{call=\"" + aPath + "\",part=\"" +
                   (config ? "config" : "live") + "\"}");
  }

  Json Header() const { return { { "revision", std::to_string(revision_) } }; }

  static Json FormatEntry(const std::string& aKey, const Entry& aEntry)
  {
    return { { "key", Encode(aKey) },
             { "value", Encode(aEntry.value_) },
             { "create_revision", std::to_string(aEntry.createRevision_) },
             { "mod_revision", std::to_string(aEntry.modRevision_) },
             { "version", std::to_string(aEntry.version_) },
             { "lease", std::to_string(aEntry.lease_) } };
  }

  Json RangeOf(const Json& aBody) const
  {
    const std::string from = Decode(aBody.value("key", ""));
    const std::string end = Decode(aBody.value("range_end", ""));
    Json kvs = Json::array();
    for (auto it = entries_.lower_bound(from); it != entries_.end(); ++it) {
      const bool inside = end.empty() ? it->first == from : it->first < end;
      if (!inside) {
        break;
      }
      kvs.push_back(FormatEntry(it->first, it->second));
    }
    return { { "header", Header() },
             { "count", std::to_string(kvs.size()) },
             { "kvs", kvs } };
  }

  HttpResponse Range(const Json& aBody)
  {
    return JsonResponse(200, RangeOf(aBody).dump());
  }

  void ApplyPut(const Json& aPut)
  {
    const std::string key = Decode(aPut.value("key", ""));
    Entry& entry = entries_[key];
    entry.value_ = Decode(aPut.value("value", ""));
    entry.lease_ = Number(aPut, "lease");
    entry.modRevision_ = revision_;
    entry.createRevision_ =
      entry.createRevision_ == 0 ? revision_ : entry.createRevision_;
    ++entry.version_;
    Publish(key, { { "type", "PUT" }, { "kv", FormatEntry(key, entry) } });
  }

  void ApplyDelete(const std::string& aKey)
  {
    if (entries_.erase(aKey) > 0) {
      Entry gone;
      gone.modRevision_ = revision_;
      Publish(aKey,
              { { "type", "DELETE" }, { "kv", FormatEntry(aKey, gone) } });
    }
  }

  bool Holds(const Json& aCompare) const
  {
    const auto entry = entries_.find(Decode(aCompare.value("key", "")));
    const std::int64_t has =
      entry == entries_.end() ? 0 : entry->second.modRevision_;
    return has == Number(aCompare, "mod_revision");
  }

  HttpResponse Put(const Json& aBody)
  {
    ++revision_;
    ApplyPut(aBody);
    return JsonResponse(200, Json{ { "header", Header() } }.dump());
  }

  HttpResponse Txn(const Json& aBody)
  {
    bool holds = true;
    for (const Json& compare : aBody.value("compare", Json::array())) {
      holds = holds && Holds(compare);
    }
    const Json steps =
      aBody.value(holds ? "success" : "failure", Json::array());
    for (const Json& step : steps) {
      const auto put = step.find("request_put");
      const std::int64_t lease = put == step.end() ? 0 : Number(*put, "lease");
      if (lease != 0 && !leases_.contains(lease)) {
        return ErrorResponse(404, "not_found", "requested lease not found");
      }
    }
    revision_ += steps.empty() ? 0 : 1;
    for (const Json& step : steps) {
      if (step.contains("request_put")) {
        ApplyPut(step["request_put"]);
      } else if (step.contains("request_delete_range")) {
        ApplyDelete(Decode(step["request_delete_range"].value("key", "")));
      }
    }
    return JsonResponse(
      200, Json{ { "header", Header() }, { "succeeded", holds } }.dump());
  }

  HttpResponse Grant(const Json& aBody)
  {
    const std::int64_t ttl = std::max<std::int64_t>(Number(aBody, "TTL"), 1);
    const std::int64_t id = ++lastLease_;
    leases_[id] = { ttl, clock_.Now() + std::chrono::seconds(ttl) };
    return JsonResponse(200,
                        Json{ { "header", Header() },
                              { "ID", std::to_string(id) },
                              { "TTL", std::to_string(ttl) } }
                          .dump());
  }

  HttpResponse KeepAlive(const Json& aBody)
  {
    const std::int64_t id = Number(aBody, "ID");
    const auto lease = leases_.find(id);
    Json result{ { "ID", std::to_string(id) } };
    if (lease != leases_.end()) {
      const std::int64_t ttl = lease->second.ttlSeconds_;
      lease->second.expires_ = clock_.Now() + std::chrono::seconds(ttl);
      result["TTL"] = std::to_string(ttl);
    }
    return JsonResponse(200, Json{ { "result", result } }.dump());
  }

  HttpResponse Revoke(const Json& aBody)
  {
    EndLease(Number(aBody, "ID"));
    return JsonResponse(200, Json{ { "header", Header() } }.dump());
  }

  void EndLease(std::int64_t aId)
  {
    if (leases_.erase(aId) == 0) {
      return;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_) {
      if (entry.lease_ == aId) {
        keys.push_back(key);
      }
    }
    revision_ += keys.empty() ? 0 : 1;
    for (const std::string& key : keys) {
      ApplyDelete(key);
    }
  }

  void ExpireLeases()
  {
    const std::lock_guard lock(mutex_);
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : leases_) {
      if (lease.expires_ <= clock_.Now()) {
        expired.push_back(id);
      }
    }
    for (const std::int64_t id : expired) {
      EndLease(id);
    }
  }

  static bool Covers(const Watch& aWatch, const std::string& aKey)
  {
    return aWatch.end_.empty() ? aKey == aWatch.from_
                               : aKey >= aWatch.from_ && aKey < aWatch.end_;
  }

  void SendEvents(const Watch& aWatch, const Json& aEvents)
  {
    const Json line{ { "result",
                       { { "header", Header() }, { "events", aEvents } } } };
    aWatch.reply_->Chunk(line.dump() + "\n", nullptr);
  }

  void OpenWatch(const Json& aCreate, const HttpReplyPtr& aReply)
  {
    Watch watch{ Decode(aCreate.value("key", "")),
                 Decode(aCreate.value("range_end", "")),
                 aReply };
    aReply->Begin(200, { { "Content-Type", "application/json" } });
    const std::int64_t from = Number(aCreate, "start_revision");
    Json missed = Json::array();
    for (const Change& change : changes_) {
      if (from > 0 && change.revision_ >= from && Covers(watch, change.key_)) {
        missed.push_back(change.event_);
      }
    }
    SendEvents(watch, missed);
    watches_.push_back(std::move(watch));
  }

  void Publish(const std::string& aKey, const Json& aEvent)
  {
    constexpr std::size_t kKeptChanges = 10'000;
    changes_.push_back({ revision_, aKey, aEvent });
    if (changes_.size() > kKeptChanges) {
      changes_.pop_front();
    }
    for (const Watch& watch : watches_) {
      if (Covers(watch, aKey)) {
        SendEvents(watch, Json::array({ aEvent }));
      }
    }
  }

  SystemClock clock_;
  Metrics metrics_;
  std::mutex mutex_;
  std::int64_t revision_ = 1;
  std::int64_t lastLease_ = 1000;
  std::map<std::string, Entry> entries_;
  std::map<std::int64_t, Lease> leases_;
  std::deque<Change> changes_;
  std::vector<Watch> watches_;
  Timers timers_;
};

const std::array<Database::Route, 6> Database::kRoutes{ {
  { "/v3/kv/range", &Database::Range },
  { "/v3/kv/put", &Database::Put },
  { "/v3/kv/txn", &Database::Txn },
  { "/v3/lease/grant", &Database::Grant },
  { "/v3/lease/keepalive", &Database::KeepAlive },
  { "/v3/lease/revoke", &Database::Revoke },
} };

} // namespace

int
RunStore(const Options& aOptions)
{
  Database database;
  return ServeUntilStopped(
    aOptions,
    [&database](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
      database.Handle(aRequest, aReply);
    });
}

} // namespace marjoramtally::standin
