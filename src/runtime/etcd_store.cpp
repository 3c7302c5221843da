#include "marjoramtally/runtime/etcd_store.hpp"

#include "marjoramtally/base/json.hpp"

#include <atomic>
#include <kj/encoding.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// Time limit of a watch call; the watcher then opens a new one.
constexpr auto kWatchTimeout = std::chrono::minutes(10);
/// Maximum size of an answer, which contains a complete range.
constexpr std::size_t kMaxAnswerBytes = 64U << 20U;

std::string
EncodeBase64(const std::string& aText)
{
  const auto bytes =
    kj::arrayPtr(reinterpret_cast<const kj::byte*>(aText.data()), aText.size());
  return kj::encodeBase64(bytes).cStr();
}

std::string
DecodeBase64(const std::string& aText)
{
  const auto bytes = kj::decodeBase64(kj::arrayPtr(aText.data(), aText.size()));
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

/// Returns the first key after all keys with the prefix.
std::string
PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty()) {
    auto last = static_cast<unsigned char>(aPrefix.back());
    if (last < 0xff) {
      aPrefix.back() = static_cast<char>(last + 1);
      return aPrefix;
    }
    aPrefix.pop_back();
  }
  return std::string(1, '\0');
}

/// Reads a number. 64-bit numbers are strings in the gateway's JSON, and an
/// absent field means zero.
std::int64_t
Number(const Json& aObject, const char* aName)
{
  const auto it = aObject.find(aName);
  if (it == aObject.end()) {
    return 0;
  }
  return it->is_string() ? std::stoll(it->get<std::string>())
                         : it->get<std::int64_t>();
}

/// @throws std::invalid_argument if the field is absent or not above 0
std::uint64_t
Revision(const Json& aObject, const char* aName)
{
  const std::int64_t revision = Number(aObject, aName);
  if (revision <= 0) {
    throw std::invalid_argument(std::string(aName) + " is absent");
  }
  return static_cast<std::uint64_t>(revision);
}

/// Since fields that are zero are absent, only the header tells a reply from an
/// object that is none.
std::uint64_t
HeaderRevision(const Json& aReply)
{
  return Revision(aReply.at("header"), "revision");
}

StoreRecord
ParseRecord(const Json& aKv)
{
  StoreRecord record;
  record.key_ = DecodeBase64(aKv.at("key").get<std::string>());
  record.value_ = DecodeBase64(aKv.value("value", ""));
  record.createRevision_ =
    static_cast<std::uint64_t>(Number(aKv, "create_revision"));
  record.modRevision_ = Revision(aKv, "mod_revision");
  record.lease_ = Number(aKv, "lease");
  return record;
}

StoreRange
ParseRange(const Json& aReply)
{
  StoreRange range;
  range.revision_ = HeaderRevision(aReply);
  for (const Json& kv : aReply.value("kvs", Json::array())) {
    range.records_.push_back(ParseRecord(kv));
  }
  return range;
}

StoreCommit
ParseCommit(const Json& aReply)
{
  return { aReply.value("succeeded", false), HeaderRevision(aReply) };
}

StoreLease
ParseLease(const Json& aReply)
{
  const Json& body = aReply.contains("result") ? aReply["result"] : aReply;
  const StoreLeaseId id = Number(body, "ID");
  if (id == 0) {
    throw std::invalid_argument("the reply names no lease");
  }
  return { id, std::chrono::seconds(Number(body, "TTL")) };
}

Json
TxnBody(const StoreTxn& aTxn)
{
  Json compares = Json::array();
  for (const StoreCompare& compare : aTxn.compares_) {
    compares.push_back(
      { { "key", EncodeBase64(compare.key_) },
        { "target", "MOD" },
        { "result", "EQUAL" },
        { "mod_revision", std::to_string(compare.modRevision_) } });
  }
  Json steps = Json::array();
  for (const StorePut& put : aTxn.puts_) {
    steps.push_back({ { "request_put",
                        { { "key", EncodeBase64(put.key_) },
                          { "value", EncodeBase64(put.value_) },
                          { "lease", std::to_string(put.lease_) } } } });
  }
  for (const std::string& key : aTxn.deletes_) {
    steps.push_back(
      { { "request_delete_range", { { "key", EncodeBase64(key) } } } });
  }
  return { { "compare", compares }, { "success", steps } };
}

/// One watch: a streamed response with one JSON object per line.
struct WatchState
{
  std::function<void(const StoreWatchBatch&)> onBatch_;
  std::string pending_;
  HttpCallId call_ = 0;
  std::atomic<bool> stopped_{ false };
};

StoreWatchBatch
ParseBatch(const Json& aLine)
{
  const Json& result = aLine.at("result");
  StoreWatchBatch batch;
  batch.revision_ = HeaderRevision(result);
  batch.ended_ = result.value("canceled", false);
  for (const Json& event : result.value("events", Json::array())) {
    const bool deleted = event.value("type", "PUT") == "DELETE";
    batch.events_.push_back({ deleted, ParseRecord(event.at("kv")) });
  }
  return batch;
}

/// @returns nothing if the line is unreadable
std::optional<StoreWatchBatch>
ReadBatch(const std::string& aLine)
{
  try {
    return ParseBatch(ParseJson(aLine));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

class EtcdStore final : public Store
{
public:
  EtcdStore(HttpClient& aClient, std::string aUrl, Duration aTimeout)
    : client_(aClient)
    , url_(std::move(aUrl))
    , timeout_(aTimeout)
  {
  }

  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    const std::string end = PrefixEnd(aPrefix);
    const Json body{ { "key", EncodeBase64(aPrefix) },
                     { "range_end", EncodeBase64(end) } };
    Request<StoreRange>(
      MakeRepeatableCall("/v3/kv/range", body), ParseRange, std::move(aDone));
  }

  void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) override
  {
    Request<StoreCommit>(
      MakeCall("/v3/kv/txn", TxnBody(aTxn)), ParseCommit, std::move(aDone));
  }

  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override
  {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(aTtl).count();
    const Json body{ { "TTL", std::to_string(seconds) } };
    Request<StoreLease>(
      MakeCall("/v3/lease/grant", body), ParseLease, std::move(aDone));
  }

  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override
  {
    const Json body{ { "ID", std::to_string(aLease) } };
    Request<StoreLease>(MakeRepeatableCall("/v3/lease/keepalive", body),
                        ParseLease,
                        std::move(aDone));
  }

  void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) override
  {
    const Json body{ { "ID", std::to_string(aLease) } };
    Request<bool>(
      MakeCall("/v3/lease/revoke", body),
      [](const Json& aReply) { return HeaderRevision(aReply) > 0; },
      std::move(aDone));
  }

  StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) override
  {
    auto watch = std::make_shared<WatchState>();
    watch->onBatch_ = std::move(aOnBatch);
    const Json create{ { "key", EncodeBase64(aPrefix) },
                       { "range_end", EncodeBase64(PrefixEnd(aPrefix)) },
                       { "start_revision", std::to_string(aFromRevision) } };
    HttpCall call =
      MakeRepeatableCall("/v3/watch", { { "create_request", create } });
    call.timeout_ = kWatchTimeout;
    call.onData_ = [watch](std::string_view aData) {
      return OnWatchData(*watch, aData);
    };
    const std::lock_guard lock(mutex_);
    const StoreWatchId id = ++lastWatch_;
    watches_[id] = watch;
    watch->call_ = client_.Send(std::move(call), [watch](const HttpResult&) {
      if (!watch->stopped_) {
        watch->onBatch_(StoreWatchBatch{ true, false, 0, {} });
      }
    });
    return id;
  }

  void StopWatch(StoreWatchId aWatch) override
  {
    const std::lock_guard lock(mutex_);
    const auto it = watches_.find(aWatch);
    if (it == watches_.end()) {
      return;
    }
    it->second->stopped_ = true;
    client_.Cancel(it->second->call_);
    watches_.erase(it);
  }

private:
  static bool OnWatchData(WatchState& aWatch, std::string_view aData)
  {
    aWatch.pending_ += aData;
    std::size_t end = aWatch.pending_.find('\n');
    while (end != std::string::npos && !aWatch.stopped_) {
      const auto batch = ReadBatch(aWatch.pending_.substr(0, end));
      aWatch.pending_.erase(0, end + 1);
      if (!batch) {
        return false;
      }
      aWatch.onBatch_(*batch);
      end = aWatch.pending_.find('\n');
    }
    return !aWatch.stopped_;
  }

  HttpCall MakeCall(const std::string& aPath, const Json& aBody) const
  {
    HttpCall call;
    call.method_ = "POST";
    call.url_ = url_ + aPath;
    call.body_ = aBody.dump();
    call.headers_ = { { "Content-Type", "application/json" } };
    call.timeout_ = timeout_;
    call.connectTimeout_ = timeout_;
    call.maxBodyBytes_ = kMaxAnswerBytes;
    return call;
  }

  /// @returns a call whose repetition has no further effect
  HttpCall MakeRepeatableCall(const std::string& aPath, const Json& aBody) const
  {
    HttpCall call = MakeCall(aPath, aBody);
    call.mayResend_ = true;
    return call;
  }

  template<typename T>
  void Request(HttpCall aCall,
               std::function<T(const Json&)> aParse,
               StoreDone<T> aDone)
  {
    client_.Send(std::move(aCall),
                 [parse = std::move(aParse),
                  done = std::move(aDone)](const HttpResult& aResult) {
                   done(ParseReply<T>(aResult, parse));
                 });
  }

  template<typename T>
  static Result<T> ParseReply(const HttpResult& aResult,
                              const std::function<T(const Json&)>& aParse)
  {
    if (aResult.end_ == HttpEnd::NotSent) {
      return Error{ ErrorKind::Unavailable,
                    "the store cannot be reached: " + aResult.message_ };
    }
    if (aResult.end_ != HttpEnd::Complete) {
      return Error{ ErrorKind::Timeout,
                    "the store did not answer: " + aResult.message_ };
    }
    const int status = aResult.response_.status_;
    if (status != 200) {
      return Error{ status == 404 ? ErrorKind::NotFound : ErrorKind::Internal,
                    "the store answered " + std::to_string(status) + ": " +
                      aResult.response_.body_ };
    }
    try {
      return aParse(ParseJson(aResult.response_.body_));
    } catch (const std::exception& failure) {
      return Error{ ErrorKind::Internal,
                    std::string("the store's answer is unreadable: ") +
                      failure.what() };
    }
  }

  HttpClient& client_;
  std::string url_;
  Duration timeout_;
  std::mutex mutex_;
  StoreWatchId lastWatch_ = 0;
  std::map<StoreWatchId, std::shared_ptr<WatchState>> watches_;
};

} // namespace

std::unique_ptr<Store>
MakeEtcdStore(HttpClient& aClient, std::string aUrl, Duration aTimeout)
{
  return std::make_unique<EtcdStore>(aClient, std::move(aUrl), aTimeout);
}

} // namespace marjoramtally
