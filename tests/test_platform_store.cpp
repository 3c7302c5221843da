/// Tests of the client of the platform's store: errors, paged reads, watches
/// and invalid answers.

#include "daemon/prefix_follower.hpp"
#include "gateway_fixture.hpp"
#include "log_capture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

/// The store's single link, whose bandwidth all calls in progress share
/// equally. A call ends when its answer has been transferred or its timeout has
/// expired.
class SharedBandwidthLink final : public HttpClient
{
public:
  SharedBandwidthLink(ManualTimers& aTimers,
                      std::size_t aBytesPerMilli,
                      std::string aBody)
    : timers_(aTimers)
    , bytesPerMilli_(aBytesPerMilli)
    , body_(std::move(aBody))
  {
  }

  HttpCallId Send(HttpCall aCall, HttpDone aDone) override
  {
    calls_[++last_] = { std::move(aCall), std::move(aDone), 0, 0ms };
    ++sent_;
    return last_;
  }
  void Cancel(HttpCallId aId) override { calls_.erase(aId); }
  void Resume(HttpCallId) override {}

  /// Transfers the bytes that the link carries in `aTime`.
  void Advance(std::chrono::milliseconds aTime)
  {
    timers_.Advance(aTime);
    if (calls_.empty()) {
      return;
    }
    const std::size_t share =
      bytesPerMilli_ * static_cast<std::size_t>(aTime.count()) / calls_.size();
    const auto calls = calls_;
    for (const auto& [id, seen] : calls) {
      AdvanceTransfer(id, share, aTime);
    }
  }

  [[nodiscard]] std::size_t Sent() const noexcept { return sent_; }

private:
  struct Transfer
  {
    HttpCall call_;
    HttpDone done_;
    std::size_t bytes_ = 0;
    std::chrono::milliseconds age_{ 0 };
  };

  void AdvanceTransfer(HttpCallId aId,
                       std::size_t aShare,
                       std::chrono::milliseconds aTime)
  {
    Transfer& transfer = calls_.at(aId);
    transfer.bytes_ += aShare;
    transfer.age_ += aTime;
    const bool complete = transfer.bytes_ >= body_.size();
    if (!complete && transfer.age_ < transfer.call_.timeout_) {
      return;
    }
    const HttpDone done = std::move(transfer.done_);
    calls_.erase(aId);
    if (complete) {
      done({ HttpEnd::Complete, { 200, {}, body_ }, {} });
    } else {
      done({ HttpEnd::TimedOut, {}, "Timeout was reached" });
    }
  }

  ManualTimers& timers_;
  std::size_t bytesPerMilli_;
  std::string body_;
  HttpCallId last_ = 0;
  std::size_t sent_ = 0;
  std::map<HttpCallId, Transfer> calls_;
};

struct Fixture
{
  ManualClock clock_;
  ManualTimers timers_{ clock_ };
  FakeClient client_;
  std::unique_ptr<Store> store_ =
    MakePlatformStore(client_, timers_, { "store:1" });

  void Answer(int aStatus, std::string aBody)
  {
    client_.Answer(client_.Oldest(), { aStatus, {}, std::move(aBody) });
  }

  Result<StoreRange> Read(const std::vector<std::string>& aPages)
  {
    std::optional<Result<StoreRange>> range;
    store_->Read(
      "p/", [&range](Result<StoreRange> aRange) { range = std::move(aRange); });
    for (const std::string& page : aPages) {
      REQUIRE_FALSE(client_.open_.empty());
      Answer(200, page);
    }
    REQUIRE(client_.open_.empty());
    REQUIRE(range);
    return *range;
  }
};

std::string
Page(const std::string& aKey, bool aMore, int aRevision)
{
  return R"({"items":[{"key":")" + aKey +
         R"(","value":"YQ==","revision":3,"created_at":2,"lease":0}],"has_more":)" +
         (aMore ? "true" : "false") + R"(,"as_of":)" +
         std::to_string(aRevision) + "}";
}

} // namespace

TEST_CASE("a range read in pages has the revision of its first page")
{
  Fixture fix;
  const auto range = fix.Read({ Page("p/a", true, 9), Page("p/b", false, 11) });
  REQUIRE(range);
  CHECK(range.value().revision_ == 9);
  REQUIRE(range.value().records_.size() == 2);
  CHECK(range.value().records_[1].key_ == "p/b");
  CHECK(range.value().records_[1].value_ == "a");
}

TEST_CASE("a stale range read in pages has the revision of its oldest page")
{
  Fixture fix;
  std::optional<Result<StoreRange>> range;
  fix.store_->ReadEarlier(
    "p/", [&range](Result<StoreRange> aRange) { range = std::move(aRange); });
  // A replica that lags further behind answers the second page.
  REQUIRE(fix.client_.Oldest().call_.url_.ends_with("prefix=p%2F&stale_ok=1"));
  fix.Answer(200, Page("p/a", true, 9));
  REQUIRE(fix.client_.Oldest().call_.url_.ends_with(
    "prefix=p%2F&after=p%2Fa&stale_ok=1"));
  fix.Answer(200, Page("p/b", false, 7));
  REQUIRE(range);
  REQUIRE(*range);
  CHECK(range->value().revision_ == 7);
}

// After a restart of 835 processes, the first pages of the control records and
// the configuration keep the store's link busy for over 1.2 s. Processes whose
// answers were last gave up, and their repeated reads lengthened the queue.
TEST_CASE("a first read waits for its turn at the store's link")
{
  constexpr std::int64_t kProcesses = 835;
  // 500 records and a configuration of 264 routes, as sent.
  constexpr std::int64_t kBytes = 500 * 235 + 65'000;
  constexpr std::int64_t kLinkBytesPerMilli = 125'000;
  const std::chrono::milliseconds queue(kProcesses * kBytes /
                                        kLinkBytesPerMilli);
  Fixture fix;
  fix.store_->ReadEarlier("p", [](const auto&) {});
  const HttpCall& first = fix.client_.Oldest().call_;
  REQUIRE(first.idleTimeout_ >= 3 * queue);
  REQUIRE(first.timeout_ >= first.idleTimeout_);
  fix.Answer(200, R"({"items":[],"as_of":5,"has_more":false})");
  // Other reads find out sooner that a connection is dead.
  fix.store_->Read("p", [](const auto&) {});
  REQUIRE(fix.client_.Oldest().call_.idleTimeout_ <= 1300ms);
}

TEST_CASE("pages whose keys do not advance are an error that names the key")
{
  Fixture fix;
  const auto range = fix.Read({ Page("p/a", true, 9), Page("p/a", true, 9) });
  REQUIRE_FALSE(range);
  CHECK(range.error().message_.find("p/a") != std::string::npos);
}

TEST_CASE("an excessive lease TTL is clamped to 24 hours")
{
  Fixture fix;
  std::optional<Result<StoreLease>> lease;
  fix.store_->GrantLease(
    2s, [&lease](Result<StoreLease> aLease) { lease = std::move(aLease); });
  fix.Answer(200, R"({"lease":7,"ttl_ms":1e300})");
  REQUIRE(lease);
  REQUIRE(*lease);
  CHECK(lease->value().ttl_ == 24h);
}

TEST_CASE("only status 429 and 503 of the store prove that nothing was done")
{
  struct Case
  {
    int status_;
    ErrorKind kind_;
  };
  for (const Case& test : { Case{ 429, ErrorKind::Unavailable },
                            Case{ 503, ErrorKind::Unavailable },
                            Case{ 500, ErrorKind::Internal },
                            Case{ 404, ErrorKind::NotFound } }) {
    Fixture fix;
    std::optional<Result<StoreCommit>> commit;
    fix.store_->Commit(
      {}, [&](Result<StoreCommit> aCommit) { commit = std::move(aCommit); });
    fix.Answer(test.status_, "");
    REQUIRE(commit);
    REQUIRE_FALSE(*commit);
    CHECK(commit->error().kind_ == test.kind_);
  }
}

TEST_CASE("an unreadable answer of the store is an error")
{
  for (const char* body : { "",
                            "[]",
                            "{",
                            R"({"items":[{}],"as_of":1})",
                            R"({"items":[{"key":"p/a","revision":1,)"
                            R"("value":"%"}],"as_of":1})" }) {
    Fixture fix;
    CHECK_FALSE(fix.Read({ body }));
  }
}

namespace {

/// Keys of another writer as a store sends them that takes any bytes.
const std::vector<std::string> kOddKeys{
  "p/\\udcff",        "p/\\ud83d",
  "p/\\ud83dx",       "p/\\udc00\\ud800",
  "p/\\ud83d\\u0041", "p/\xff",
  "p/\xc3",           "p/\xc0\xaf",
  "p/\xed\xa0\x80",   "p/\xf5\x80\x80\x80",
  "p/\xe2\x82\\n",
};

std::string
Item(const std::string& aKey, int aRevision)
{
  return R"({"key":")" + aKey + R"(","value":"YQ==","revision":)" +
         std::to_string(aRevision) + R"(,"created_at":2,"lease":0})";
}

} // namespace

// Guards against daemons that follow nothing under a prefix any more as long as
// one key there is no text.
TEST_CASE("a key that is no text is told, and the records beside it are read")
{
  const std::string odd = GENERATE(from_range(kOddKeys));
  INFO(odd);
  const std::string good =
    "p/\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80\\ud83d\\ude00";
  Fixture fix;
  const LogCapture log;
  const auto range =
    fix.Read({ R"({"items":[)" + Item("p/a", 3) + "," + Item(odd, 4) +
                 R"(],"has_more":true,"as_of":9})",
               R"({"items":[)" + Item(odd, 4) + "," + Item(odd, 4) + "," +
                 Item(good, 5) + R"(],"has_more":false,"as_of":9})" });
  REQUIRE(range);
  REQUIRE(range.value().records_.size() == 2);
  CHECK(range.value().records_[1].key_ ==
        "p/\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80\xf0\x9f\x98\x80");
  CHECK((log.Contains("event=record_unreadable key=p/") ||
         log.Contains("event=record_unreadable key=\"p/")));

  std::vector<StoreWatchBatch> batches;
  fix.store_->Watch("p/", 10, [&](const StoreWatchBatch& aBatch) {
    batches.push_back(aBatch);
  });
  fix.Answer(200,
             R"({"events":[)" + Item(odd, 11) + "," + Item("p/a", 12) +
               R"(],"as_of":12})");
  REQUIRE(batches.size() == 1);
  CHECK_FALSE(batches[0].ended_);
  REQUIRE(batches[0].events_.size() == 1);
  CHECK(batches[0].events_[0].record_.modRevision_ == 12);
}

TEST_CASE("pages of keys that are no text do not repeat without end")
{
  Fixture fix;
  const std::string page =
    R"({"items":[)" + Item("p/\\udcff", 4) + R"(],"has_more":true,"as_of":9})";
  CHECK_FALSE(fix.Read({ Page("p/a", true, 9), page }));
  CHECK_FALSE(fix.Read({ page }));
}

TEST_CASE("a watch resumes from the last revision that it received")
{
  Fixture fix;
  std::vector<StoreWatchBatch> batches;
  fix.store_->Watch(
    "p/", 5, [&](const StoreWatchBatch& aBatch) { batches.push_back(aBatch); });
  CHECK(fix.client_.Oldest().call_.url_.find("after=4") != std::string::npos);
  fix.Answer(200,
             R"({"events":[{"key":"p/b","revision":6,"removed":true}],)"
             R"("as_of":8})");
  REQUIRE(batches.size() == 1);
  CHECK(batches[0].events_.at(0).deleted_);
  fix.timers_.Advance(1s);
  REQUIRE(fix.client_.open_.size() == 1);
  CHECK(fix.client_.Oldest().call_.url_.find("after=8") != std::string::npos);
  fix.Answer(503, "");
  CHECK(batches.size() == 2);
  CHECK_FALSE(batches[1].ended_);
  fix.timers_.Advance(1s);
  fix.Answer(410, "");
  CHECK(batches.at(2).ended_);
  CHECK(fix.client_.open_.empty());
}

// Guards against complete prefixes being read repeatedly without a logged
// reason. It happens when the store answers a watch with an unreadable body and
// the watch ends without logging this.
TEST_CASE("a watch that ends on an unreadable answer logs the reason")
{
  Fixture fix;
  const LogCapture log;
  bool ended = false;
  fix.store_->Watch("p/", 5, [&ended](const StoreWatchBatch& aBatch) {
    ended = aBatch.ended_;
  });
  fix.Answer(200, R"({"events":[{}],"as_of":8})");
  REQUIRE(ended);
  REQUIRE(log.Contains("event=watch_unreadable prefix=p/ after=4"));
}

// Guards against a relay that keeps a replaced configuration in force for too
// long (3.2 s were seen). It happened when a watch after a failure had a
// shorter timeout than others: after a partition of the relay's zone, watches
// were held for 50 ms and timed out after 350 ms, and five answers in a row
// took longer.
TEST_CASE("a watch renewed after a failure has the same timeout as the first")
{
  Fixture fix;
  fix.store_->Watch("p/", 1, [](const StoreWatchBatch&) {});
  const SentCall first = fix.client_.Oldest();
  fix.client_.Fail(first, HttpEnd::Broken);
  fix.timers_.Advance(1s);
  const SentCall second = fix.client_.Oldest();
  REQUIRE(second.id_ != first.id_);
  REQUIRE(second.call_.timeout_ == first.call_.timeout_);
  REQUIRE(second.call_.url_ == first.call_.url_);
}

// Guards against gateways that never become ready after most processes of a
// large fleet restart together. It happened when a range read had a fixed
// timeout regardless of progress: all processes read a configuration of 4,236
// routes (1 MB) over the store's single link, timed out after 1.2 s with half
// of it received, and repeated the read.
TEST_CASE(
  "all processes of a fleet that starts at once read a large configuration")
{
  constexpr int kProcesses = 250;
  constexpr std::size_t kConfigBytes = 1'000'000;
  // 1,000 Mbit/s
  constexpr std::size_t kBytesPerMilli = 125'000;
  ManualClock clock;
  ManualTimers timers(clock);
  const std::string page =
    R"({"items":[{"key":"c","value":")" + std::string(kConfigBytes, 'A') +
    R"(","revision":3,"created_at":2,"lease":0}],"has_more":false,"as_of":3})";
  SharedBandwidthLink link(timers, kBytesPerMilli, page);
  std::vector<std::unique_ptr<Store>> stores;
  std::vector<std::unique_ptr<PrefixFollower>> followers;
  int read = 0;
  for (int i = 0; i < kProcesses; ++i) {
    stores.push_back(MakePlatformStore(link, timers, { "store:1" }));
    followers.push_back(
      std::make_unique<PrefixFollower>(*stores.back(), timers, "c"));
    followers.back()->onSnapshot_ = [&read](const StoreRange&) { ++read; };
    // Delays watches beyond the end of the simulation.
    followers.back()->Start(1min);
  }
  for (int i = 0; i < 300; ++i) {
    link.Advance(10ms);
  }
  // The transfer of all bytes takes two seconds.
  CHECK(read == kProcesses);
  CHECK(link.Sent() == kProcesses);
}
