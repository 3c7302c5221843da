#include "marjoramtally/process.hpp"
#include "programs/load/direct_gossip.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kPerZone = 8;

/// Three zones of eight members that know each other.
struct ThreeZones
{
  DirectGossip gossip_{ 7 };

  ThreeZones()
  {
    for (std::size_t i = 0; i < 3 * kPerZone; ++i) {
      gossip_.Add("i" + std::to_string(100 + i), ZoneOf(i));
    }
    gossip_.Run(60s);
  }

  static std::string ZoneOf(std::size_t aNumber)
  {
    return "zone-" + std::to_string(aNumber / kPerZone);
  }

  const Member& View(std::size_t aObserver, std::size_t aSubject)
  {
    const InstanceId id = gossip_.At(aSubject).Self().id_;
    return gossip_.At(aObserver).Table().Find(id)->member_;
  }

  std::uint64_t Deaths()
  {
    std::uint64_t deaths = 0;
    for (std::size_t i = 0; i < gossip_.Count(); ++i) {
      deaths += gossip_.At(i).Counters().deaths_;
    }
    return deaths;
  }
};

} // namespace

TEST_CASE(
  "gossip messages round-trip within the size estimate, bad ones are rejected")
{
  GossipMessage message;
  message.kind_ = GossipKind::Ack;
  message.from_ = InstanceId{ "a" };
  message.revision_ = ConfigRevision{ 7 };
  message.zoneHashes_ = { { ZoneId{ "z" }, 9 } };
  Member member;
  member.id_ = InstanceId{ "b" };
  member.leaving_ = true;
  member.rpc_ = "10.0.0.1:80";
  message.updates_ = { member };
  GossipItem item;
  item.key_ = "fingerprint";
  item.payload_ = std::string("\0x", 2);
  const std::size_t before = Encode(message).size();
  message.items_ = { item };
  const std::string bytes = Encode(message);
  CHECK(bytes.size() - before <= WireBytes(item));
  const auto back = DecodeGossipMessage(bytes);
  REQUIRE(back);
  CHECK(back.value() == message);
  for (std::size_t cut = 0; cut + 1 < bytes.size(); ++cut) {
    CHECK_FALSE(DecodeGossipMessage(bytes.substr(0, cut)));
  }
  item.payload_.assign(kMaxItemPayloadBytes + 1, 'x');
  message.items_ = { item };
  CHECK_FALSE(DecodeGossipMessage(Encode(message)));
}

TEST_CASE(
  "member updates are ordered, and a leaving mark lasts for the incarnation")
{
  MemberTable table;
  Member member;
  member.id_ = InstanceId{ "a" };
  member.incarnation_ = Incarnation{ 5 };
  member.zone_ = ZoneId{ "z" };
  member.rpc_ = "10.0.0.1:80";
  CHECK(table.Merge(member, {}) == MergeOutcome::Changed);
  Member suspect = member;
  suspect.state_ = MemberState::Suspect;
  CHECK(table.Merge(suspect, {}) == MergeOutcome::Changed);
  CHECK(table.Merge(member, {}) == MergeOutcome::Ignored);
  member.refutation_ = 1;
  CHECK(table.Merge(member, {}) == MergeOutcome::Changed);
  CHECK(table.Merge(suspect, {}) == MergeOutcome::Ignored);
  Member leaving = member;
  leaving.leaving_ = true;
  CHECK(table.Merge(leaving, {}) == MergeOutcome::Changed);
  member.refutation_ = 9;
  table.Merge(member, {});
  CHECK(table.Find(member.id_)->member_.leaving_);
  member.incarnation_ = Incarnation{ 6 };
  CHECK(table.Merge(member, {}) == MergeOutcome::Changed);
  CHECK_FALSE(table.Find(member.id_)->member_.leaving_);
  CHECK(table.Merge(leaving, {}) == MergeOutcome::Ignored);
  Member other = member;
  other.id_ = InstanceId{ "b" };
  other.incarnation_ = Incarnation{ 7 };
  table.Merge(other, {});
  CHECK(table.Find(member.id_)->member_.state_ == MemberState::Dead);
}

TEST_CASE("all members detect a dead member, and it rejoins after a restart")
{
  ThreeZones zones;
  zones.gossip_.SetStopped(3, true);
  zones.gossip_.Run(25s);
  for (std::size_t i = 0; i < zones.gossip_.Count(); ++i) {
    if (i != 3) {
      CHECK(zones.View(i, 3).state_ == MemberState::Dead);
    }
  }
  const Incarnation former = zones.gossip_.At(3).Self().incarnation_;
  zones.gossip_.Restart(3);
  zones.gossip_.Run(25s);
  for (std::size_t i = 0; i < zones.gossip_.Count(); ++i) {
    CHECK(zones.View(i, 3).state_ == MemberState::Alive);
    CHECK(zones.View(i, 3).incarnation_ > former);
  }
  CHECK(zones.gossip_.At(3).Table().All().size() == zones.gossip_.Count());
}

TEST_CASE(
  "a one-way connection loss declares no member dead: indirect probes work")
{
  ThreeZones zones;
  zones.gossip_.reaches_ = [](std::size_t aFrom, std::size_t aTo) {
    return !(aFrom == 1 && aTo == 2);
  };
  zones.gossip_.Run(120s);
  CHECK(zones.Deaths() == 0);
  CHECK(zones.View(1, 2).state_ == MemberState::Alive);
}

TEST_CASE("an isolated member declares no other member dead")
{
  ThreeZones zones;
  zones.gossip_.reaches_ = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom == 5) == (aTo == 5);
  };
  zones.gossip_.Run(60s);
  CHECK(zones.gossip_.At(5).Isolated());
  CHECK(zones.gossip_.At(5).Counters().deaths_ == 0);
  CHECK(zones.View(0, 5).state_ == MemberState::Dead);
  zones.gossip_.reaches_ = nullptr;
  zones.gossip_.Run(60s);
  CHECK(zones.View(0, 5).state_ == MemberState::Alive);
  CHECK(zones.View(23, 5).state_ == MemberState::Alive);
}

TEST_CASE("a member that resumes after a pause declares no other member dead")
{
  ThreeZones zones;
  zones.gossip_.SetStopped(4, true);
  zones.gossip_.Run(40s);
  zones.gossip_.SetStopped(4, false);
  zones.gossip_.Run(30s);
  CHECK(zones.gossip_.At(4).Counters().pauses_ == 1);
  CHECK(zones.gossip_.At(4).Counters().deaths_ == 0);
  CHECK(zones.View(0, 4).state_ == MemberState::Alive);
  CHECK(zones.View(20, 4).state_ == MemberState::Alive);
}

TEST_CASE(
  "a zone that is cut off keeps working and rejoins without a message storm")
{
  ThreeZones zones;
  DirectGossip& gossip = zones.gossip_;
  gossip.At(0).SetRevision(ConfigRevision{ 10 });
  gossip.Run(10s);
  gossip.reaches_ = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom < kPerZone) == (aTo < kPerZone);
  };
  gossip.Run(40s);
  CHECK(gossip.At(0).Usable(gossip.Now()).size() == kPerZone);
  CHECK(gossip.At(20).Usable(gossip.Now()).size() == 2 * kPerZone);
  CHECK(zones.Deaths() == 0);
  gossip.At(20).SetRevision(ConfigRevision{ 11 });
  gossip.At(20).Leave(gossip.Now());
  gossip.Run(20s);
  CHECK(gossip.At(3).HighestRevision() == ConfigRevision{ 10 });
  const std::uint64_t handled = gossip.Traffic(3).handled_;
  gossip.reaches_ = nullptr;
  gossip.Run(60s);
  for (std::size_t i = 0; i < gossip.Count(); ++i) {
    CHECK(gossip.At(i).HighestRevision() == ConfigRevision{ 11 });
    CHECK(zones.View(i, 20).leaving_);
    CHECK(gossip.At(i).Usable(gossip.Now()).size() == 3 * kPerZone - 1);
  }
  // A member handles about as many messages as in normal operation.
  CHECK(gossip.Traffic(3).handled_ - handled < 60 * 8);
}

TEST_CASE(
  "the platform's stale list adds seeds and leaving marks, revives no member")
{
  ThreeZones zones;
  DirectGossip& gossip = zones.gossip_;
  const Member former = gossip.At(2).Self();
  gossip.SetStopped(2, true);
  gossip.Run(30s);
  const PlatformInstance stale{ former.id_, former.rpc_, false, {} };
  gossip.At(0).TakePlatformList(std::array{ stale }, gossip.Now());
  gossip.Run(20s);
  CHECK(zones.View(0, 2).state_ == MemberState::Dead);
  gossip.Restart(2);
  gossip.Run(20s);
  // The list still marks the former process as leaving.
  const PlatformInstance leaving{
    former.id_, former.rpc_, true, former.incarnation_
  };
  gossip.At(0).TakePlatformList(std::array{ leaving }, gossip.Now());
  gossip.Run(20s);
  CHECK_FALSE(zones.View(9, 2).leaving_);
}

TEST_CASE(
  "items spread with their age, within limits, and the newest version wins")
{
  ThreeZones zones;
  DirectGossip& gossip = zones.gossip_;
  GossipItem item;
  item.kind_ = GossipItemKind::Quarantine;
  item.key_ = "fingerprint";
  item.version_ = 2;
  item.ttl_ = 60s;
  gossip.At(0).Publish(item, gossip.Now());
  gossip.Run(15s);
  const auto far =
    gossip.At(23).Items().Find(item.kind_, item.key_, gossip.Now());
  REQUIRE(far.has_value());
  CHECK(far->age_ >= 14s);
  item.version_ = 1;
  gossip.At(23).Publish(item, gossip.Now());
  gossip.Run(5s);
  CHECK(
    gossip.At(23).Items().Find(item.kind_, item.key_, gossip.Now())->version_ ==
    2);
  gossip.Run(60s);
  CHECK(gossip.At(9).Items().Find(item.kind_, item.key_, gossip.Now()) ==
        std::nullopt);
  GossipItems few(2);
  for (const char* key : { "a", "b", "c" }) {
    item.key_ = key;
    few.Merge(item, {});
  }
  CHECK(few.Size() == 2);
}

TEST_CASE("two groups that joined separately merge through the store's seeds")
{
  DirectGossip gossip(3);
  std::vector<std::string> all;
  for (std::size_t i = 0; i < 6; ++i) {
    gossip.Add("i" + std::to_string(i), "zone-" + std::to_string(i % 2));
    all.push_back(gossip.At(i).Self().rpc_);
    gossip.At(i).SetSeeds({ all[i < 3 ? 0 : 3] });
  }
  gossip.Run(30s);
  CHECK(gossip.At(1).Table().All().size() == 3);
  CHECK(gossip.At(5).Table().All().size() == 3);
  gossip.At(0).SetSeeds(all);
  gossip.Run(60s);
  for (std::size_t i = 0; i < gossip.Count(); ++i) {
    CHECK(gossip.At(i).Table().All().size() == gossip.Count());
  }
}
