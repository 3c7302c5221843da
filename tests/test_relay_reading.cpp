/// Complete reads through relays: what a fleet costs the store and its relays
/// at a common start and after a lost history.

#include "relay_fleet.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

StoreEvent
MakeEvent(const std::string& aKey, std::uint64_t aRevision, bool aDeleted)
{
  return { aDeleted, { aKey, aDeleted ? "" : "v", aRevision, aRevision, 0 } };
}

StoreRange
MakeRange(std::uint64_t aRevision, const std::vector<StoreEvent>& aEvents)
{
  StoreRange range{ aRevision, {} };
  for (const StoreEvent& event : aEvents) {
    range.records_.push_back(event.record_);
  }
  return range;
}

/// Writes records of the size of a registered upstream with eight models.
void
PutRecords(FakeStore& aStore, int aCount)
{
  constexpr std::size_t kBytes = 540;
  for (int i = 0; i < aCount; ++i) {
    std::string value = "record " + std::to_string(i) + ' ';
    value.resize(kBytes, '.');
    aStore.Put(RelayFleet::kPrefix + std::to_string(10'000 + i), value);
  }
}

} // namespace

TEST_CASE("a mirror sends all records in parts and then the changes")
{
  PrefixMirror mirror;
  REQUIRE_FALSE(mirror.Covers({ 0, 0 }));
  StoreRange range{ 50, {} };
  constexpr std::size_t kRecords = 40;
  for (std::size_t i = 1; i <= kRecords; ++i) {
    StoreEvent event = MakeEvent("k/" + std::to_string(i), i, false);
    event.record_.value_ = std::string(PrefixMirror::kMaxAnswerBytes / 10, 'v');
    range.records_.push_back(event.record_);
  }
  mirror.Load(range, TimePoint{ 10s });
  REQUIRE(mirror.Covers({ 0, 0 }));
  std::set<std::string> keys;
  std::uint64_t after = 0;
  std::size_t parts = 0;
  while (after < mirror.Known()) {
    const StoreWatchBatch part = mirror.After(after);
    REQUIRE(part.events_.size() <= 11);
    REQUIRE(part.revision_ > after);
    REQUIRE(part.latest_ == 50);
    for (const StoreEvent& event : part.events_) {
      REQUIRE(keys.insert(event.record_.key_).second);
    }
    after = part.revision_;
    ++parts;
  }
  REQUIRE(keys.size() == kRecords);
  REQUIRE(parts == 4);
  REQUIRE_FALSE(mirror.HasAfter(50));
  mirror.Append({ false, false, 61, { MakeEvent("k/1", 60, false) } },
                TimePoint{ 11s });
  REQUIRE(mirror.HasAfter(50));
  REQUIRE(mirror.After(50).events_.size() == 1);
}

TEST_CASE("a mirror sends the latest state of each record, and removals")
{
  PrefixMirror mirror;
  mirror.Load(
    MakeRange(10, { MakeEvent("k/a", 3, false), MakeEvent("k/b", 4, false) }),
    TimePoint{ 10s });
  mirror.Append({ false,
                  false,
                  14,
                  { MakeEvent("k/a", 11, false),
                    MakeEvent("k/a", 12, false),
                    MakeEvent("k/b", 13, true) } },
                TimePoint{ 11s });
  const StoreWatchBatch batch = mirror.After(10);
  REQUIRE(batch.events_.size() == 2);
  REQUIRE(batch.events_[0].record_.modRevision_ == 12);
  REQUIRE(batch.events_[1].deleted_);
  // What was removed before the mirror was loaded is unknown.
  REQUIRE(mirror.Covers({ 10, 10 }));
  REQUIRE_FALSE(mirror.Covers({ 9, 9 }));
  REQUIRE(mirror.Covers({ 9, 10 }));
}

TEST_CASE("a mirror turns what changed during a gap into changes")
{
  PrefixMirror mirror;
  mirror.Load(MakeRange(10,
                        { MakeEvent("k/a", 3, false),
                          MakeEvent("k/b", 4, false),
                          MakeEvent("k/c", 5, false) }),
              TimePoint{ 10s });
  mirror.Load(
    MakeRange(20, { MakeEvent("k/a", 3, false), MakeEvent("k/b", 15, false) }),
    TimePoint{ 12s });
  const StoreWatchBatch batch = mirror.After(10);
  REQUIRE(batch.revision_ == 20);
  REQUIRE(batch.events_.size() == 2);
  REQUIRE(batch.events_[0].record_.key_ == "k/b");
  REQUIRE(batch.events_[1].record_.key_ == "k/c");
  REQUIRE(batch.events_[1].deleted_);
  REQUIRE(mirror.Covers({ 10, 10 }));
}

TEST_CASE("an older read removes nothing from a mirror")
{
  PrefixMirror mirror;
  mirror.Load(MakeRange(10, { MakeEvent("k/a", 3, false) }), TimePoint{ 10s });
  mirror.Append({ false,
                  false,
                  12,
                  { MakeEvent("k/b", 11, false), MakeEvent("k/a", 12, true) } },
                TimePoint{ 10s });
  mirror.Load(MakeRange(9, { MakeEvent("k/a", 3, false) }), TimePoint{ 11s });
  REQUIRE(mirror.Known() == 12);
  REQUIRE(mirror.After(10).events_.size() == 2);
  REQUIRE(mirror.After(11).events_.front().deleted_);
}

TEST_CASE("a mirror forgets the oldest of many removals")
{
  PrefixMirror mirror;
  mirror.Load({ 1, {} }, TimePoint{ 10s });
  std::uint64_t revision = 1;
  for (std::size_t i = 0; i < PrefixMirror::kMaxRemovals + 5; ++i) {
    const std::string key = "k/" + std::to_string(i);
    ++revision;
    mirror.Append(
      { false, false, revision, { MakeEvent(key, revision, true) } },
      TimePoint{ 10s });
  }
  REQUIRE_FALSE(mirror.Covers({ 5, 5 }));
  REQUIRE(mirror.Covers({ 6, 6 }));
  REQUIRE(mirror.Covers({ 0, 0 }));
}

TEST_CASE("a mirror with a record that is too large for relays covers only "
          "later changes")
{
  PrefixMirror mirror;
  StoreEvent large = MakeEvent("k/large", 7, false);
  large.record_.value_ = std::string(PrefixMirror::kMaxChangeBytes, 'v');
  mirror.Load(MakeRange(10, { large }), TimePoint{ 10s });
  REQUIRE_FALSE(mirror.Covers({ 0, 0 }));
  REQUIRE(mirror.Covers({ 10, 10 }));
}

// Each process of a fleet read the whole list of upstreams from the store after
// all of them had restarted: at 835 processes and 10,001 upstreams that takes
// the store's link 44 s, and no request was served.
TEST_CASE("at a common start the store sends the records to the relays only")
{
  std::map<int, std::size_t> reads;
  for (const int processes : { 80, 320 }) {
    RelayFleet fleet(processes);
    PutRecords(fleet.store_, 600);
    fleet.Renew();
    fleet.Start();
    fleet.timers_.Advance(3s);
    CAPTURE(processes);
    REQUIRE(fleet.CountComplete() == static_cast<std::size_t>(processes));
    REQUIRE(fleet.store_.reads_ == fleet.CountRelays());
    reads[processes] = fleet.store_.reads_;
    for (const auto& [name, member] : fleet.members_) {
      CAPTURE(name);
      // 600 records deflated are a tenth of their size, for up to 72 peers.
      REQUIRE(member->sent_ <= 2 * 72 * 600 * 54);
      REQUIRE(member->largest_ <= PrefixMirror::kMaxAnswerBytes / 4);
    }
  }
  REQUIRE(reads.at(80) == 2);
  REQUIRE(reads.at(320) == 5);
}

TEST_CASE("after a lost history only the relays read all records again")
{
  RelayFleet fleet(100);
  PutRecords(fleet.store_, 300);
  fleet.Renew();
  fleet.Start();
  fleet.timers_.Advance(3s);
  const std::size_t reads = fleet.store_.reads_;
  const std::size_t snapshots = fleet.CountSnapshots();
  // Changes that no watch reports.
  fleet.store_.dropsEvents_ = true;
  fleet.store_.Remove("k/10007");
  fleet.store_.Put("k/10008", "changed");
  fleet.store_.Put("k/20000", "added");
  fleet.store_.dropsEvents_ = false;
  fleet.LoseHistory();
  fleet.timers_.Advance(1s);
  REQUIRE(fleet.CountComplete() == 100);
  REQUIRE(fleet.store_.reads_ == reads + fleet.CountRelays());
  REQUIRE(fleet.CountSnapshots() == snapshots + fleet.CountRelays());
  fleet.store_.Put("k/10009", "changed later");
  fleet.timers_.Advance(1s);
  REQUIRE(fleet.CountComplete() == 100);
}

TEST_CASE("a relay that dies while it hands out the records is replaced")
{
  RelayFleet fleet(100);
  PutRecords(fleet.store_, 2000);
  fleet.Renew();
  fleet.Start();
  const auto& relays = fleet.members_.at("p0~1")->plan_.Relays("k/");
  const std::string relay = relays.empty() ? "p0~1" : relays.front();
  // Each process has read one or two of the five parts.
  fleet.timers_.Advance(6ms);
  std::size_t sent = 0;
  for (const auto& [name, member] : fleet.members_) {
    sent += member->sent_;
  }
  fleet.timers_.Advance(150ms);
  fleet.Kill(relay);
  fleet.timers_.Advance(5s);
  REQUIRE(fleet.CountComplete() == 99);
  REQUIRE(fleet.store_.reads_ <= fleet.CountRelays() + 3);
}

TEST_CASE("records are read once the store answers, if it was away at a start")
{
  RelayFleet fleet(100);
  PutRecords(fleet.store_, 300);
  fleet.store_.fault_ = StoreFault::Refuses;
  fleet.Start();
  fleet.timers_.Advance(2500ms);
  REQUIRE(fleet.CountComplete() == 0);
  fleet.store_.fault_ = StoreFault::None;
  fleet.store_.reads_ = 0;
  fleet.Renew();
  fleet.timers_.Advance(3s);
  REQUIRE(fleet.CountComplete() == 100);
  REQUIRE(fleet.store_.reads_ <= 2 * fleet.CountRelays());
}

// If each process read the records itself while relays still wait for the
// store, the store would be busy with them for most of a minute.
TEST_CASE("processes wait for relays that are still loading the records")
{
  RelayFleet fleet(400);
  PutRecords(fleet.store_, 300);
  fleet.Renew();
  fleet.store_.delay_ = 8s;
  fleet.Start();
  fleet.timers_.Advance(14s);
  REQUIRE(fleet.CountComplete() == 400);
  REQUIRE(fleet.store_.reads_ == fleet.CountRelays());
}

TEST_CASE("a process whose relays are all gone reads from the store")
{
  RelayFleet fleet(100);
  PutRecords(fleet.store_, 300);
  fleet.Renew();
  std::string alone;
  for (const auto& [name, member] : fleet.members_) {
    if (member->plan_.Relays("k/").empty()) {
      fleet.Kill(name);
    } else {
      alone = name;
    }
  }
  fleet.Start(alone);
  fleet.timers_.Advance(2s);
  REQUIRE(fleet.members_.at(alone)->records_ == fleet.Expected());
}

TEST_CASE("a silent relay delays a read by less than its time-out")
{
  RelayFleet fleet(100);
  PutRecords(fleet.store_, 300);
  fleet.Renew();
  std::string alone;
  for (const auto& [name, member] : fleet.members_) {
    if (!member->plan_.Relays("k/").empty()) {
      alone = name;
    }
  }
  for (const auto& [name, member] : fleet.members_) {
    if (name != alone) {
      fleet.Start(name);
    }
  }
  fleet.timers_.Advance(2s);
  fleet.silent_.insert(fleet.members_.at(alone)->plan_.Relays("k/").front());
  const std::size_t reads = fleet.store_.reads_;
  fleet.Start(alone);
  fleet.timers_.Advance(700ms);
  REQUIRE(fleet.members_.at(alone)->records_ == fleet.Expected());
  REQUIRE(fleet.store_.reads_ == reads);
}

TEST_CASE("a process that the store turns away reads from relays")
{
  RelayFleet fleet(100);
  PutRecords(fleet.store_, 300);
  fleet.Renew();
  std::string away;
  for (const auto& [name, member] : fleet.members_) {
    away = member->plan_.Relays("k/").empty() ? away : name;
  }
  fleet.members_.at(away)->link_.SetCut(true);
  fleet.Start();
  fleet.timers_.Advance(3s);
  REQUIRE(fleet.CountComplete() == 100);
}

// The relay follows changes but has read the records through another relay.
TEST_CASE("a process that becomes a relay loads the records when a peer asks")
{
  RelayFleet fleet(100);
  PutRecords(fleet.store_, 300);
  fleet.Renew();
  std::vector<std::string> late;
  for (const auto& [name, member] : fleet.members_) {
    if (member->plan_.Relays("k/").empty() || late.size() < 50) {
      late.push_back(name);
    }
  }
  std::vector<std::string> gone;
  for (const auto& [name, member] : fleet.members_) {
    if (member->plan_.Relays("k/").empty()) {
      gone.push_back(name);
    }
  }
  const auto isLate = [&late](const std::string& aName) {
    return std::find(late.begin(), late.end(), aName) != late.end();
  };
  for (const auto& [name, member] : fleet.members_) {
    if (!isLate(name) ||
        std::find(gone.begin(), gone.end(), name) != gone.end()) {
      fleet.Start(name);
    }
  }
  fleet.timers_.Advance(2s);
  for (const std::string& name : gone) {
    fleet.Kill(name);
    for (const auto& [other, member] : fleet.members_) {
      member->plan_.OnGone(name);
    }
  }
  fleet.timers_.Advance(3s);
  const std::size_t reads = fleet.store_.reads_;
  std::size_t started = 0;
  for (const std::string& name : late) {
    if (!fleet.killed_.contains(name) &&
        !fleet.members_.at(name)->plan_.Relays("k/").empty()) {
      fleet.Start(name);
      ++started;
    }
  }
  REQUIRE(started > 20);
  fleet.timers_.Advance(3s);
  for (const std::string& name : late) {
    if (fleet.members_.at(name)->store_ != nullptr) {
      REQUIRE(fleet.members_.at(name)->records_ == fleet.Expected());
    }
  }
  REQUIRE(fleet.store_.reads_ <= reads + fleet.CountRelays());
}
