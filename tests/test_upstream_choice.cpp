/// Selection of an upstream: its cost in a large fleet, and that the rankings
/// give the same result as an exhaustive search.

#include "marjoramtally/process.hpp"

#include "marjoramtally/base/random.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };
constexpr std::uint32_t kSlots = 6;
const ServiceId kModels{ "models" };
const ServiceId kPlain{ "plain" };
const std::vector<std::string> kZones = { "z1", "z2", "z3" };

UpstreamEntry
MakeEntry(std::size_t aNumber)
{
  UpstreamEntry entry;
  entry.id_ = UpstreamId{ "i-" + std::to_string(aNumber) };
  entry.service_ = aNumber % 10 < 7 ? kModels : kPlain;
  entry.address_ = "127.0.0.1:1";
  entry.zone_ = ZoneId{ kZones[aNumber % kZones.size()] };
  entry.slots_ = kSlots;
  entry.models_ = { { "m", WeightVersion{ 1 + aNumber % 3 } } };
  return entry;
}

UpstreamTable
MakeFleet(std::size_t aCount)
{
  UpstreamTable table(ZoneId{ "z1" }, {}, "self");
  for (std::size_t i = 0; i < aCount; ++i) {
    table.OnEntry(MakeEntry(i));
  }
  return table;
}

/// Places the items of a step and checks their upstreams as they run.
/// @returns number of upstreams inspected
std::uint64_t
PlaceStep(UpstreamTable& aTable, std::size_t aItems)
{
  const std::uint64_t before = aTable.InspectedCount();
  for (std::size_t i = 0; i < aItems; ++i) {
    const TrackedUpstream* upstream =
      aTable.PickForItem({ kModels, "m", WeightVersion{ 2 }, {}, {} }, kStart);
    REQUIRE(upstream != nullptr);
    const UpstreamId id = upstream->entry_.id_;
    aTable.OnStart(id, kStart);
    aTable.OnPace(id, 40ms);
    REQUIRE_FALSE(aTable.Slow(id));
    REQUIRE(aTable.Pick(kPlain, {}, kStart) != nullptr);
  }
  return aTable.InspectedCount() - before;
}

double
LoadOf(const TrackedUpstream& aUpstream)
{
  return static_cast<double>(aUpstream.inFlight_) / aUpstream.entry_.slots_;
}

/// Reference selection that examines all upstreams.
struct ExhaustiveSearch
{
  const UpstreamTable& upstreamTable_;
  const std::vector<UpstreamId>& ids_;
  TimePoint now_;

  [[nodiscard]] UpstreamId ForRequest(const std::set<UpstreamId>& aTried) const
  {
    std::optional<std::tuple<bool, bool, bool, double, bool, std::size_t>> best;
    UpstreamId chosen;
    for (const UpstreamId& id : ids_) {
      const TrackedUpstream* upstream = upstreamTable_.Find(id);
      if (upstream == nullptr || upstream->entry_.service_ != kPlain ||
          aTried.contains(id) || !upstreamTable_.Usable(*upstream, now_)) {
        continue;
      }
      const std::tuple rank{ upstream->removedAt_ != kNever,
                             upstream->avoidUntil_ > now_,
                             upstreamTable_.Unresponsive(*upstream, now_),
                             LoadOf(*upstream),
                             upstream->entry_.zone_ != ZoneId{ "z1" },
                             upstream->tieBreak_ };
      if (!best || rank < *best) {
        best = rank;
        chosen = id;
      }
    }
    return chosen;
  }

  [[nodiscard]] UpstreamId ForItem(WeightVersion aMinVersion,
                                   const UpstreamId& aPreferred) const
  {
    std::optional<std::tuple<bool, bool, bool, double, std::size_t>> best;
    UpstreamId chosen;
    for (const UpstreamId& id : ids_) {
      const TrackedUpstream* upstream = upstreamTable_.Find(id);
      if (upstream == nullptr || upstream->entry_.service_ != kModels ||
          !upstreamTable_.Usable(*upstream, now_) ||
          upstream->avoidUntil_ > now_ ||
          upstream->inFlight_ >= upstream->entry_.slots_ ||
          upstream->versions_.at("m") < aMinVersion) {
        continue;
      }
      const bool unresponsive = upstreamTable_.Unresponsive(*upstream, now_);
      const bool slow = upstreamTable_.Slow(id);
      if (id == aPreferred && !slow && !unresponsive) {
        return id;
      }
      const std::tuple rank{ upstream->removedAt_ != kNever,
                             unresponsive,
                             slow,
                             LoadOf(*upstream),
                             upstream->tieBreak_ };
      if (!best || rank < *best) {
        best = rank;
        chosen = id;
      }
    }
    return chosen;
  }
};

UpstreamId
IdOf(const TrackedUpstream* aUpstream)
{
  return aUpstream == nullptr ? UpstreamId{} : aUpstream->entry_.id_;
}

} // namespace

// Guards against a selection that inspects the whole fleet. The owner of a step
// inspected all 3,000 upstreams for each item that it placed and, eight times a
// second, for each run in progress. It fell behind the events of its runs, and
// steps of trainers finished 2 to 5 s late.
TEST_CASE(
  "placing items inspects no more upstreams in a fleet a hundred times larger")
{
  constexpr std::size_t kItems = 128;
  UpstreamTable small = MakeFleet(60);
  UpstreamTable large = MakeFleet(6000);
  const std::uint64_t few = PlaceStep(small, kItems);
  const std::uint64_t many = PlaceStep(large, kItems);
  REQUIRE(many <= 2 * few);
  REQUIRE(many <= 20 * kItems);
}

TEST_CASE("the selection equals that of an exhaustive search")
{
  const std::uint64_t seed = GENERATE(range(1, 21));
  Random random(seed);
  const auto draw = [&random](std::uint64_t aBelow) {
    return random.Below(aBelow);
  };
  constexpr std::size_t kFleet = 30;
  UpstreamTable table = MakeFleet(kFleet);
  std::vector<UpstreamId> ids;
  for (std::size_t i = 0; i < kFleet; ++i) {
    ids.push_back(MakeEntry(i).id_);
  }
  TimePoint now = kStart;
  for (int round = 0; round < 400; ++round) {
    now = now + std::chrono::milliseconds(draw(60));
    const std::size_t number = draw(kFleet);
    const UpstreamId& id = ids[number];
    UpstreamEntry entry = MakeEntry(number);
    switch (draw(10)) {
      case 0:
        table.OnRemoved(id, now);
        break;
      case 1:
        entry.start_ = UpstreamStart{ draw(4) };
        entry.draining_ = draw(8) == 0;
        entry.service_ = draw(10) == 0 ? kPlain : entry.service_;
        table.OnEntry(entry);
        break;
      case 2:
        table.OnPace(id, std::chrono::milliseconds(20 + draw(200)));
        break;
      case 3:
        table.OnReceived(id, now);
        break;
      case 4:
        table.OnVersion(id, "m", WeightVersion{ draw(5) });
        break;
      case 5:
        table.OnEnd(id, static_cast<CallVerdict>(draw(5)), now);
        break;
      default:
        table.OnStart(id, now);
        break;
    }
    const ExhaustiveSearch whole{ table, ids, now };
    const UpstreamId& other = ids[draw(kFleet)];
    const WeightVersion least{ 1 + draw(4) };
    REQUIRE(IdOf(table.Pick(kPlain, { other }, now)) ==
            whole.ForRequest({ other }));
    REQUIRE(IdOf(table.PickForItem({ kModels, "m", least, other, {} }, now)) ==
            whole.ForItem(least, other));
  }
}
