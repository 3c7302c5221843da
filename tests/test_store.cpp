/// The contract of the store interface: the same cases for the embedded store
/// and for the etcd store, which uses a stand-in.

#include "marjoramtally/runtime.hpp"
#include "standins/store_standin.hpp"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <unistd.h>

namespace {

using namespace marjoramtally;

/// Ends a test that hangs; not reached by a passing test.
constexpr auto kHangTimeout = std::chrono::seconds(20);

/// A temporary directory, removed on destruction.
class TempFolder
{
public:
  TempFolder()
  {
    std::string form =
      (std::filesystem::temp_directory_path() / "mt-store.XXXXXX").string();
    path_ = mkdtemp(form.data());
  }
  ~TempFolder() { std::filesystem::remove_all(path_); }
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;
  std::filesystem::path path_;
};

/// The etcd store with its stand-in on loopback.
class PlatformStore
{
public:
  PlatformStore()
  {
    auto server = HttpServer::Start(
      {}, [this](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
        standin_.Handle(aRequest, aReply);
      });
    server_ = std::move(server).value();
    store_ =
      MakeEtcdStore(*client_,
                    "http://127.0.0.1:" + std::to_string(server_->Port()),
                    std::chrono::milliseconds(300));
  }
  ~PlatformStore()
  {
    client_.reset();
    server_.reset();
  }
  PlatformStore(const PlatformStore&) = delete;
  PlatformStore& operator=(const PlatformStore&) = delete;

  /// Sends a fault request to the stand-in, which takes effect at once.
  void RequestFault(const std::string& aFaults)
  {
    HttpCall call;
    call.method_ = "POST";
    call.url_ =
      "http://127.0.0.1:" + std::to_string(server_->Port()) + "/faults";
    call.body_ = aFaults;
    REQUIRE(SendAndWait(*client_, std::move(call)).response_.status_ == 200);
  }

  standin::StoreStandin standin_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_ = HttpClient::Create(1);
  std::unique_ptr<Store> store_;
};

/// One of the two stores, as the test's generator selects.
struct AnyStore
{
  explicit AnyStore(bool aEmbedded)
  {
    if (aEmbedded) {
      embedded_ = OpenEmbeddedStore(folder_.path_, clock_).value();
      store_ = embedded_.get();
    } else {
      platform_ = std::make_unique<PlatformStore>();
      store_ = platform_->store_.get();
    }
  }

  TempFolder folder_;
  ManualClock clock_;
  std::unique_ptr<Store> embedded_;
  std::unique_ptr<PlatformStore> platform_;
  Store* store_ = nullptr;
};

/// Waits for the result of a call.
template<typename T, typename Function>
Result<T>
Await(Function aCall)
{
  auto promise = std::make_shared<std::promise<Result<T>>>();
  auto future = promise->get_future();
  aCall([promise](Result<T> aResult) { promise->set_value(aResult); });
  REQUIRE(future.wait_for(kHangTimeout) == std::future_status::ready);
  return future.get();
}

Result<StoreCommit>
Commit(Store& aStore, StoreTxn aTxn)
{
  return Await<StoreCommit>(
    [&](auto aDone) { aStore.Commit(std::move(aTxn), aDone); });
}

Result<StoreCommit>
Put(Store& aStore,
    std::string aKey,
    std::string aValue,
    StoreLeaseId aLease = 0)
{
  StoreTxn txn;
  txn.puts_.push_back({ std::move(aKey), std::move(aValue), aLease });
  return Commit(aStore, std::move(txn));
}

StoreRange
Read(Store& aStore, const std::string& aPrefix)
{
  return Await<StoreRange>([&](auto aDone) { aStore.Read(aPrefix, aDone); })
    .value();
}

StoreLease
Grant(Store& aStore, Duration aTtl)
{
  return Await<StoreLease>([&](auto aDone) { aStore.GrantLease(aTtl, aDone); })
    .value();
}

StoreLease
KeepAlive(Store& aStore, StoreLeaseId aLease)
{
  return Await<StoreLease>([&](auto aDone) { aStore.KeepAlive(aLease, aDone); })
    .value();
}

/// Creates a key if it does not exist.
StoreTxn
CreateOnce(std::string aKey, std::string aValue)
{
  StoreTxn txn;
  txn.compares_.push_back({ aKey, 0 });
  txn.puts_.push_back({ std::move(aKey), std::move(aValue), 0 });
  return txn;
}

/// Records the events that a watch reports.
class WatchRecorder
{
public:
  void Record(const StoreWatchBatch& aBatch)
  {
    {
      const std::lock_guard lock(mutex_);
      ended_ = ended_ || aBatch.ended_;
      for (const StoreEvent& event : aBatch.events_) {
        events_.push_back((event.deleted_ ? "-" : "+") + event.record_.key_);
      }
    }
    changed_.notify_all();
  }
  std::vector<std::string> WaitFor(std::size_t aEvents)
  {
    std::unique_lock lock(mutex_);
    changed_.wait_for(
      lock, kHangTimeout, [&] { return events_.size() >= aEvents; });
    return events_;
  }
  bool WaitForEnd()
  {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kHangTimeout, [&] { return ended_; });
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
  bool ended_ = false;
};

std::function<void(const StoreWatchBatch&)>
RecordInto(const std::shared_ptr<WatchRecorder>& aRecorder)
{
  return
    [aRecorder](const StoreWatchBatch& aBatch) { aRecorder->Record(aBatch); };
}

} // namespace

TEST_CASE("one of two compare-and-swaps from the same revision succeeds",
          "[store]")
{
  AnyStore any(GENERATE(true, false));
  Store& store = *any.store_;
  const auto first = Commit(store, CreateOnce("/claim/a", "one"));
  REQUIRE(first.value().applied_);
  CHECK_FALSE(Commit(store, CreateOnce("/claim/a", "two")).value().applied_);
  const StoreRange range = Read(store, "/claim/");
  REQUIRE(range.records_.size() == 1);
  CHECK(range.records_[0].value_ == "one");
  CHECK(range.records_[0].modRevision_ == first.value().revision_);

  StoreTxn replace;
  replace.compares_.push_back({ "/claim/a", range.records_[0].modRevision_ });
  replace.puts_.push_back({ "/claim/a", "three", 0 });
  CHECK(Commit(store, replace).value().applied_);
  CHECK_FALSE(Commit(store, replace).value().applied_);
  const StoreRecord after = Read(store, "/claim/a").records_.at(0);
  CHECK(after.value_ == "three");
  CHECK(after.createRevision_ == first.value().revision_);
  CHECK(after.modRevision_ > after.createRevision_);
}

TEST_CASE("a transaction takes effect completely or not at all", "[store]")
{
  AnyStore any(GENERATE(true, false));
  Store& store = *any.store_;
  REQUIRE(Put(store, "/t/a", "1").value().applied_);
  StoreTxn txn = CreateOnce("/t/a", "2");
  txn.puts_.push_back({ "/t/b", "2", 0 });
  txn.deletes_.emplace_back("/t/a");
  CHECK_FALSE(Commit(store, txn).value().applied_);
  CHECK(Read(store, "/t/").records_.size() == 1);
  const auto missing = Put(store, "/t/c", "3", 424242);
  REQUIRE_FALSE(missing);
  CHECK(missing.error().kind_ == ErrorKind::NotFound);
  CHECK(Read(store, "/t/c").records_.empty());
}

TEST_CASE("revoking a lease removes its records", "[store]")
{
  AnyStore any(GENERATE(true, false));
  Store& store = *any.store_;
  const StoreLease lease = Grant(store, std::chrono::seconds(30));
  REQUIRE(Put(store, "/l/a", "1", lease.id_).value().applied_);
  REQUIRE(Put(store, "/l/b", "1").value().applied_);
  CHECK(KeepAlive(store, lease.id_).ttl_ == std::chrono::seconds(30));
  REQUIRE(
    Await<bool>([&](auto aDone) { store.RevokeLease(lease.id_, aDone); }));
  CHECK(Read(store, "/l/").records_.size() == 1);
  CHECK(KeepAlive(store, lease.id_).ttl_ == Duration::zero());
}

TEST_CASE("a watch resumes where the previous one ended", "[store]")
{
  AnyStore any(GENERATE(true, false));
  Store& store = *any.store_;
  REQUIRE(Put(store, "/w/a", "1").value().applied_);
  const auto second = Put(store, "/w/b", "1").value();
  REQUIRE(Put(store, "/other", "1").value().applied_);
  auto recorder = std::make_shared<WatchRecorder>();
  const auto watch = store.Watch("/w/", second.revision_, RecordInto(recorder));
  CHECK(recorder->WaitFor(1) == std::vector<std::string>{ "+/w/b" });
  StoreTxn txn;
  txn.deletes_.emplace_back("/w/a");
  REQUIRE(Commit(store, txn).value().applied_);
  REQUIRE(Put(store, "/w/c", "1").value().applied_);
  CHECK(recorder->WaitFor(3) ==
        std::vector<std::string>{ "+/w/b", "-/w/a", "+/w/c" });
  store.StopWatch(watch);
}

TEST_CASE("a lease of the embedded store expires by the clock", "[store]")
{
  AnyStore any(true);
  Store& store = *any.store_;
  const StoreLease lease = Grant(store, std::chrono::seconds(10));
  REQUIRE(Put(store, "/l/a", "1", lease.id_).value().applied_);
  any.clock_.Advance(std::chrono::seconds(9));
  CHECK(KeepAlive(store, lease.id_).ttl_ == std::chrono::seconds(10));
  any.clock_.Advance(std::chrono::seconds(9));
  CHECK(Read(store, "/l/").records_.size() == 1);
  any.clock_.Advance(std::chrono::seconds(1));
  CHECK(Read(store, "/l/").records_.empty());
  CHECK(KeepAlive(store, lease.id_).ttl_ == Duration::zero());
}

TEST_CASE("embedded records outlive the process and are shared", "[store]")
{
  AnyStore any(true);
  const auto first = Commit(*any.store_, CreateOnce("/claim/a", "one"));
  const StoreLease lease = Grant(*any.store_, std::chrono::seconds(10));
  REQUIRE(Put(*any.store_, "/l/a", "1", lease.id_).value().applied_);
  // A second process on the same machine.
  auto other = OpenEmbeddedStore(any.folder_.path_, any.clock_).value();
  CHECK_FALSE(Commit(*other, CreateOnce("/claim/a", "two")).value().applied_);
  auto recorder = std::make_shared<WatchRecorder>();
  (void)other->Watch("/w/", first.value().revision_, RecordInto(recorder));
  REQUIRE(Put(*any.store_, "/w/a", "1").value().applied_);
  CHECK(recorder->WaitFor(1) == std::vector<std::string>{ "+/w/a" });
  other.reset();
  any.embedded_.reset();
  // After a restart of the machine its clock starts at zero again: the lease's
  // remaining time is at most its TTL.
  ManualClock fresh;
  const auto again = OpenEmbeddedStore(any.folder_.path_, fresh).value();
  CHECK(Read(*again, "/claim/").records_.at(0).value_ == "one");
  fresh.Advance(std::chrono::seconds(10));
  CHECK(Read(*again, "/l/").records_.empty());
  CHECK(Put(*again, "/z", "1").value().revision_ > first.value().revision_);
}

TEST_CASE("a write whose response is lost can be read back", "[store]")
{
  PlatformStore platform;
  Store& store = *platform.store_;
  platform.RequestFault(R"({"lose_next":1})");
  const auto lost = Commit(store, CreateOnce("/claim/a", "token-1"));
  REQUIRE_FALSE(lost);
  CHECK(lost.error().kind_ != ErrorKind::Unavailable);
  CHECK(Read(store, "/claim/a").records_.at(0).value_ == "token-1");
}

TEST_CASE("a store that is down executes nothing", "[store]")
{
  PlatformStore platform;
  Store& store = *platform.store_;
  platform.RequestFault(
    GENERATE(R"({"down":"refuse"})", R"({"down":"silent"})"));
  CHECK_FALSE(Put(store, "/a", "1"));
  platform.RequestFault("{}");
  CHECK(Read(store, "/a").records_.empty());
}

TEST_CASE("a restart with an older state ends all watches", "[store]")
{
  PlatformStore platform;
  Store& store = *platform.store_;
  REQUIRE(Put(store, "/a", "1").value().applied_);
  platform.RequestFault(R"({"save":true})");
  const auto later = Put(store, "/b", "1").value();
  auto recorder = std::make_shared<WatchRecorder>();
  (void)store.Watch("/", later.revision_, RecordInto(recorder));
  // The watch is open once it has reported the last write.
  CHECK(recorder->WaitFor(1) == std::vector<std::string>{ "+/b" });
  platform.RequestFault(R"({"restore":true})");
  CHECK(recorder->WaitForEnd());
  const StoreRange range = Read(store, "/");
  CHECK(range.records_.size() == 1);
  CHECK(range.revision_ < later.revision_);
}

TEST_CASE("an unknown fault request changes nothing", "[store]")
{
  standin::Faults faults;
  REQUIRE(faults.Set(R"({"lose_next":1})").empty());
  CHECK(faults.Set(R"({"lose_next":-1,"slow":3})").Items().size() == 2);
  CHECK(faults.Set("no JSON").Items().size() == 1);
  CHECK(faults.Decide(true).loseAnswer_);
  CHECK_FALSE(faults.Decide(true).loseAnswer_);
}
