#include "standins/store_database.hpp"

#include <algorithm>
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
ReadInteger(const Json& aBody, const char* aName)
{
  const auto it = aBody.find(aName);
  if (it == aBody.end()) {
    return 0;
  }
  return it->is_string() ? std::stoll(it->get<std::string>())
                         : it->get<std::int64_t>();
}

} // namespace

const std::array<Database::Route, 6> Database::kRoutes{ {
  { "/v3/kv/range", &Database::Range },
  { "/v3/kv/put", &Database::Put, true },
  { "/v3/kv/txn", &Database::Txn, true },
  { "/v3/lease/grant", &Database::Grant, true },
  { "/v3/lease/keepalive", &Database::KeepAlive },
  { "/v3/lease/revoke", &Database::Revoke },
} };

Database::Database()
{
  constexpr auto kLeaseCheckInterval = std::chrono::milliseconds(100);
  timers_.Every(kLeaseCheckInterval, [this] { ExpireLeases(); });
}

bool
Database::Writes(std::string_view aPath)
{
  return std::any_of(kRoutes.begin(), kRoutes.end(), [&](const Route& aRoute) {
    return aRoute.path_ == aPath && aRoute.write_;
  });
}

std::string
Database::KeyOf(const Json& aBody)
{
  const Json call = aBody.value("create_request", aBody);
  const Json compares = call.value("compare", Json::array());
  const Json& holder = compares.empty() ? call : compares.front();
  return Decode(holder.value("key", ""));
}

HttpResponse
Database::Serve(const std::string& aPath, const Json& aBody)
{
  const std::lock_guard lock(mutex_);
  for (const Route& route : kRoutes) {
    if (route.path_ == aPath) {
      return (this->*route.serve_)(aBody);
    }
  }
  return ErrorResponse(404, "not_found", aPath);
}

void
Database::Save()
{
  const std::lock_guard lock(mutex_);
  saved_ = state_;
}

void
Database::Restore()
{
  const std::lock_guard lock(mutex_);
  state_ = saved_;
  changes_.clear();
  for (const Watch& watch : watches_) {
    watch.reply_->End();
  }
  watches_.clear();
}

Json
Database::Header() const
{
  return { { "revision", std::to_string(state_.revision_) } };
}

Json
Database::FormatEntry(const std::string& aKey, const Entry& aEntry)
{
  return { { "key", Encode(aKey) },
           { "value", Encode(aEntry.value_) },
           { "create_revision", std::to_string(aEntry.createRevision_) },
           { "mod_revision", std::to_string(aEntry.modRevision_) },
           { "version", std::to_string(aEntry.version_) },
           { "lease", std::to_string(aEntry.lease_) } };
}

Json
Database::FormatRange(const Json& aBody) const
{
  const std::string from = Decode(aBody.value("key", ""));
  const std::string end = Decode(aBody.value("range_end", ""));
  Json kvs = Json::array();
  for (auto it = state_.entries_.lower_bound(from); it != state_.entries_.end();
       ++it) {
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

HttpResponse
Database::Range(const Json& aBody)
{
  return JsonResponse(200, FormatRange(aBody).dump());
}

void
Database::ApplyPut(const Json& aPut)
{
  const std::string key = Decode(aPut.value("key", ""));
  Entry& entry = state_.entries_[key];
  entry.value_ = Decode(aPut.value("value", ""));
  entry.lease_ = ReadInteger(aPut, "lease");
  entry.modRevision_ = state_.revision_;
  entry.createRevision_ =
    entry.createRevision_ == 0 ? state_.revision_ : entry.createRevision_;
  ++entry.version_;
  Publish(key, { { "type", "PUT" }, { "kv", FormatEntry(key, entry) } });
}

void
Database::ApplyDelete(const std::string& aKey)
{
  if (state_.entries_.erase(aKey) > 0) {
    Entry deleted;
    deleted.modRevision_ = state_.revision_;
    Publish(aKey,
            { { "type", "DELETE" }, { "kv", FormatEntry(aKey, deleted) } });
  }
}

bool
Database::CompareHolds(const Json& aCompare) const
{
  const auto entry = state_.entries_.find(Decode(aCompare.value("key", "")));
  const std::int64_t actual =
    entry == state_.entries_.end() ? 0 : entry->second.modRevision_;
  return actual == ReadInteger(aCompare, "mod_revision");
}

HttpResponse
Database::Put(const Json& aBody)
{
  ++state_.revision_;
  ApplyPut(aBody);
  return JsonResponse(200, Json{ { "header", Header() } }.dump());
}

HttpResponse
Database::Txn(const Json& aBody)
{
  bool holds = true;
  for (const Json& compare : aBody.value("compare", Json::array())) {
    holds = holds && CompareHolds(compare);
  }
  const Json steps = aBody.value(holds ? "success" : "failure", Json::array());
  for (const Json& step : steps) {
    const auto put = step.find("request_put");
    const std::int64_t lease =
      put == step.end() ? 0 : ReadInteger(*put, "lease");
    if (lease != 0 && !state_.leases_.contains(lease)) {
      return ErrorResponse(404, "not_found", "requested lease not found");
    }
  }
  state_.revision_ += steps.empty() ? 0 : 1;
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

HttpResponse
Database::Grant(const Json& aBody)
{
  const std::int64_t ttl = std::max<std::int64_t>(ReadInteger(aBody, "TTL"), 1);
  const std::int64_t id = ++state_.lastLease_;
  state_.leases_[id] = { ttl, clock_.Now() + std::chrono::seconds(ttl) };
  return JsonResponse(200,
                      Json{ { "header", Header() },
                            { "ID", std::to_string(id) },
                            { "TTL", std::to_string(ttl) } }
                        .dump());
}

HttpResponse
Database::KeepAlive(const Json& aBody)
{
  const std::int64_t id = ReadInteger(aBody, "ID");
  const auto lease = state_.leases_.find(id);
  Json result{ { "ID", std::to_string(id) } };
  if (lease != state_.leases_.end()) {
    const std::int64_t ttl = lease->second.ttlSeconds_;
    lease->second.expires_ = clock_.Now() + std::chrono::seconds(ttl);
    result["TTL"] = std::to_string(ttl);
  }
  return JsonResponse(200, Json{ { "result", result } }.dump());
}

HttpResponse
Database::Revoke(const Json& aBody)
{
  EndLease(ReadInteger(aBody, "ID"));
  return JsonResponse(200, Json{ { "header", Header() } }.dump());
}

void
Database::EndLease(std::int64_t aId)
{
  if (state_.leases_.erase(aId) == 0) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, entry] : state_.entries_) {
    if (entry.lease_ == aId) {
      keys.push_back(key);
    }
  }
  state_.revision_ += keys.empty() ? 0 : 1;
  for (const std::string& key : keys) {
    ApplyDelete(key);
  }
}

void
Database::ExpireLeases()
{
  const std::lock_guard lock(mutex_);
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : state_.leases_) {
    if (lease.expires_ <= clock_.Now()) {
      expired.push_back(id);
    }
  }
  for (const std::int64_t id : expired) {
    EndLease(id);
  }
}

bool
Database::Covers(const Watch& aWatch, const std::string& aKey)
{
  return aWatch.end_.empty() ? aKey == aWatch.from_
                             : aKey >= aWatch.from_ && aKey < aWatch.end_;
}

void
Database::SendEvents(const Watch& aWatch, const Json& aEvents)
{
  const Json line{ { "result",
                     { { "header", Header() }, { "events", aEvents } } } };
  aWatch.reply_->Chunk(line.dump() + "\n", nullptr);
}

void
Database::OpenWatch(const Json& aCreate, const HttpReplyPtr& aReply)
{
  const std::lock_guard lock(mutex_);
  Watch watch{ Decode(aCreate.value("key", "")),
               Decode(aCreate.value("range_end", "")),
               aReply };
  aReply->Begin(200, { { "Content-Type", "application/json" } });
  const std::int64_t from = ReadInteger(aCreate, "start_revision");
  Json missed = Json::array();
  for (const Change& change : changes_) {
    if (from > 0 && change.revision_ >= from && Covers(watch, change.key_)) {
      missed.push_back(change.event_);
    }
  }
  SendEvents(watch, missed);
  watches_.push_back(std::move(watch));
}

void
Database::Publish(const std::string& aKey, const Json& aEvent)
{
  constexpr std::size_t kMaxChanges = 10'000;
  changes_.push_back({ state_.revision_, aKey, aEvent });
  if (changes_.size() > kMaxChanges) {
    changes_.pop_front();
  }
  for (const Watch& watch : watches_) {
    if (Covers(watch, aKey)) {
      SendEvents(watch, Json::array({ aEvent }));
    }
  }
}

} // namespace marjoramtally::standin
