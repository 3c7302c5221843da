/// Tests of first reads of the platform's store: a lost request is found out,
/// an answer that is late is not asked for again.

#include "daemon/prefix_follower.hpp"
#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

std::string
PageOf(std::size_t aBytes)
{
  return R"({"items":[{"key":"c","value":")" + std::string(aBytes, 'A') +
         R"(","revision":3,"created_at":2,"lease":0}],)"
         R"("has_more":false,"as_of":3})";
}

/// How a link divides its bandwidth among the answers that are due.
enum class Sharing
{
  Equal,
  /// One answer after the other, in the order of the requests.
  InTurn,
};

/// The store behind a link of a given bandwidth. A call ends when its answer
/// has been transferred or when one of its time limits has expired.
class StoreLink final : public HttpClient
{
public:
  StoreLink(ManualTimers& aTimers,
            Sharing aSharing,
            std::size_t aBytesPerMilli,
            std::size_t aValueBytes)
    : timers_(aTimers)
    , sharing_(aSharing)
    , bytesPerMilli_(aBytesPerMilli)
    , page_(PageOf(aValueBytes))
  {
  }

  HttpCallId Send(HttpCall aCall, HttpDone aDone) override
  {
    const bool read = aCall.url_.find("prefix=c&") != std::string::npos;
    (read ? reads_ : probes_) += 1;
    Transfer& transfer = calls_[++last_];
    transfer.answer_ =
      read ? page_ : R"({"items":[],"has_more":false,"as_of":3})";
    transfer.call_ = std::move(aCall);
    transfer.done_ = std::move(aDone);
    transfer.lost_ = cut_;
    return last_;
  }
  void Cancel(HttpCallId aId) override { calls_.erase(aId); }
  void Resume(HttpCallId) override {}

  /// While cut, requests that are sent get no answer, also not later.
  void SetCut(bool aCut) { cut_ = aCut; }

  void Advance(std::chrono::milliseconds aTime)
  {
    for (auto left = aTime; left > 0ms; left -= kTick) {
      timers_.Advance(kTick);
      Transmit(bytesPerMilli_ * static_cast<std::size_t>(kTick.count()));
    }
  }

  [[nodiscard]] int Reads() const noexcept { return reads_; }
  [[nodiscard]] int Probes() const noexcept { return probes_; }

private:
  static constexpr std::chrono::milliseconds kTick{ 10 };

  struct Transfer
  {
    HttpCall call_;
    HttpDone done_;
    std::string answer_;
    std::size_t bytes_ = 0;
    Duration age_{ 0 };
    Duration silence_{ 0 };
    bool lost_ = false;
  };

  void Transmit(std::size_t aBytes)
  {
    std::vector<HttpCallId> ids;
    std::size_t answers = 0;
    for (const auto& [id, transfer] : calls_) {
      ids.push_back(id);
      answers += transfer.lost_ ? 0 : 1;
    }
    std::size_t left = aBytes;
    for (const HttpCallId id : ids) {
      const auto it = calls_.find(id);
      if (it == calls_.end()) {
        continue;
      }
      Transfer& transfer = it->second;
      std::size_t bytes = 0;
      if (!transfer.lost_) {
        const std::size_t most =
          sharing_ == Sharing::Equal ? aBytes / answers : left;
        bytes = std::min(most, transfer.answer_.size() - transfer.bytes_);
        left -= std::min(left, bytes);
      }
      Receive(id, transfer, bytes);
    }
  }

  void Receive(HttpCallId aId, Transfer& aTransfer, std::size_t aBytes)
  {
    if (aTransfer.bytes_ == 0 && aBytes > 0 && aTransfer.call_.onHead_) {
      REQUIRE(aTransfer.call_.onHead_(200, {}));
    }
    aTransfer.bytes_ += aBytes;
    aTransfer.age_ += kTick;
    aTransfer.silence_ =
      aBytes > 0 ? Duration{ 0 } : aTransfer.silence_ + kTick;
    const Duration idle = aTransfer.call_.idleTimeout_;
    const bool complete = aTransfer.bytes_ == aTransfer.answer_.size();
    const bool expired = aTransfer.age_ >= aTransfer.call_.timeout_ ||
                         (idle > 0ms && aTransfer.silence_ >= idle);
    if (!complete && !expired) {
      return;
    }
    const HttpDone done = std::move(aTransfer.done_);
    HttpResult result{ HttpEnd::TimedOut, {}, "Timeout was reached" };
    if (complete) {
      result = { HttpEnd::Complete,
                 { 200, {}, std::move(aTransfer.answer_) },
                 {} };
    }
    calls_.erase(aId);
    done(std::move(result));
  }

  ManualTimers& timers_;
  Sharing sharing_;
  std::size_t bytesPerMilli_;
  std::string page_;
  bool cut_ = false;
  HttpCallId last_ = 0;
  int reads_ = 0;
  int probes_ = 0;
  std::map<HttpCallId, Transfer> calls_;
};

/// 1,000 Mbit/s.
constexpr std::size_t kStoreBytesPerMilli = 125'000;

/// Processes that start at once and read the same prefix.
class Fleet
{
public:
  Fleet(int aProcesses, Sharing aSharing, std::size_t aValueBytes)
    : link_(timers_, aSharing, kStoreBytesPerMilli, aValueBytes)
    , processes_(aProcesses)
  {
  }

  void Start()
  {
    for (int i = 0; i < processes_; ++i) {
      stores_.push_back(MakePlatformStore(link_, timers_, { "store:1" }));
      followers_.push_back(
        std::make_unique<PrefixFollower>(*stores_.back(), timers_, "c"));
      followers_.back()->onSnapshot_ = [this](const StoreRange&) { ++read_; };
      // Delays watches beyond the end of the simulation.
      followers_.back()->Start(1min);
    }
  }

  ManualClock clock_;
  ManualTimers timers_{ clock_ };
  StoreLink link_;
  int processes_;
  int read_ = 0;
  std::vector<std::unique_ptr<Store>> stores_;
  std::vector<std::unique_ptr<PrefixFollower>> followers_;
};

struct Fixture
{
  ManualClock clock_;
  ManualTimers timers_{ clock_ };
  FakeClient client_;
  std::unique_ptr<Store> store_ =
    MakePlatformStore(client_, timers_, { "store:1" });
  std::vector<Result<StoreRange>> ranges_;

  void Read()
  {
    store_->ReadEarlier("c", [this](Result<StoreRange> aRange) {
      ranges_.push_back(std::move(aRange));
    });
  }

  /// Answers the newest call.
  void AnswerNewest(int aStatus, std::string aBody)
  {
    client_.Answer(client_.open_.back(), { aStatus, {}, std::move(aBody) });
  }

  /// Reads, and lets the store answer a probe, so that the read is sent twice.
  void ReadTwice()
  {
    Read();
    timers_.Advance(3s);
    REQUIRE(client_.open_.size() == 2);
    AnswerNewest(200, R"({"items":[],"has_more":false,"as_of":3})");
    REQUIRE(client_.open_.size() == 2);
    REQUIRE(client_.open_[1].call_.url_ == client_.open_[0].call_.url_);
  }
};

} // namespace

// Guards against a process that has no configuration for 5 s after the store
// came back, because its first read was sent just before.
TEST_CASE("a first read that was lost as a cut ended is repeated in time")
{
  for (const auto tail : { 10ms, 1000ms, 2190ms, 2300ms, 3400ms, 4900ms }) {
    CAPTURE(tail.count());
    Fleet fleet(1, Sharing::Equal, 1000);
    fleet.link_.SetCut(true);
    fleet.Start();
    fleet.link_.Advance(tail);
    fleet.link_.SetCut(false);
    fleet.link_.Advance(2500ms);
    CHECK(fleet.read_ == 1);
  }
}

TEST_CASE("a first read is not repeated while the store answers no probe")
{
  Fleet fleet(1, Sharing::Equal, 1000);
  fleet.link_.SetCut(true);
  fleet.Start();
  fleet.link_.Advance(4900ms);
  CHECK(fleet.link_.Reads() == 1);
  CHECK(fleet.link_.Probes() <= 2);
}

// Guards against repeated reads that add to the load of a busy link.
TEST_CASE("first reads that the store's link delays are not repeated")
{
  constexpr int kProcesses = 500;
  constexpr std::size_t kConfigBytes = 1'000'000;
  const Sharing sharing = GENERATE(Sharing::Equal, Sharing::InTurn);
  Fleet fleet(kProcesses, sharing, kConfigBytes);
  fleet.Start();
  // The transfer of all bytes takes four seconds.
  fleet.link_.Advance(4200ms);
  CHECK(fleet.read_ == kProcesses);
  CHECK(fleet.link_.Reads() == kProcesses);
}

TEST_CASE("a first read that is being answered is not probed")
{
  Fixture fix;
  fix.Read();
  const HttpCall& call = fix.client_.Oldest().call_;
  REQUIRE(call.onHead_);
  REQUIRE(call.onHead_(200, {}));
  fix.timers_.Advance(4900ms);
  CHECK(fix.client_.sent_ == 1);
}

TEST_CASE("a probe and a repeated first read use connections of their own")
{
  Fixture fix;
  fix.Read();
  fix.timers_.Advance(3s);
  REQUIRE(fix.client_.open_.size() == 2);
  CHECK(fix.client_.open_[1].call_.newConnection_);
  fix.AnswerNewest(200, R"({"items":[],"has_more":false,"as_of":3})");
  REQUIRE(fix.client_.open_.size() == 2);
  CHECK(fix.client_.open_[1].call_.newConnection_);
}

TEST_CASE("either of two first reads answers, the other one is ended")
{
  const std::size_t answered = GENERATE(0U, 1U);
  Fixture fix;
  fix.ReadTwice();
  fix.client_.Answer(fix.client_.open_[answered], { 200, {}, PageOf(8) });
  REQUIRE(fix.ranges_.size() == 1);
  REQUIRE(fix.ranges_[0]);
  CHECK(fix.ranges_[0].value().records_.size() == 1);
  CHECK(fix.client_.open_.empty());
  CHECK(fix.client_.cancelled_ == 1);
  fix.timers_.Advance(1min);
  CHECK(fix.client_.sent_ == 3);
}

// Guards against a refusal that hides the answer of the first read, and against
// reads sent in a row to a store that refuses them.
TEST_CASE("a refused second first read leaves the first one open")
{
  Fixture fix;
  fix.ReadTwice();
  fix.AnswerNewest(503, "");
  REQUIRE(fix.client_.open_.size() == 1);
  CHECK(fix.ranges_.empty());
  fix.timers_.Advance(400ms);
  REQUIRE(fix.client_.open_.size() == 2);
  REQUIRE(fix.client_.open_[1].call_.url_ != fix.client_.open_[0].call_.url_);
  fix.AnswerNewest(503, "");
  CHECK(fix.client_.open_.size() == 1);
  fix.client_.Answer(fix.client_.Oldest(), { 200, {}, PageOf(8) });
  REQUIRE(fix.ranges_.size() == 1);
  CHECK(fix.ranges_[0]);
}

TEST_CASE("a first read fails once, when its last call has failed")
{
  Fixture fix;
  fix.ReadTwice();
  fix.client_.Fail(fix.client_.Oldest(), HttpEnd::TimedOut);
  CHECK(fix.ranges_.empty());
  fix.client_.Fail(fix.client_.Oldest(), HttpEnd::Broken);
  REQUIRE(fix.ranges_.size() == 1);
  CHECK_FALSE(fix.ranges_[0]);
  fix.timers_.Advance(1min);
  CHECK(fix.client_.open_.empty());
}

TEST_CASE("a store that is gone sends no probe and takes no late answer")
{
  Fixture fix;
  fix.ReadTwice();
  fix.Read();
  fix.store_.reset();
  const std::size_t sent = fix.client_.sent_;
  fix.timers_.Advance(1min);
  while (!fix.client_.open_.empty()) {
    fix.AnswerNewest(200, PageOf(8));
  }
  CHECK(fix.client_.sent_ == sent);
  CHECK(fix.ranges_.empty());
}
