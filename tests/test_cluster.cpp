#include "daemon/cluster.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

/// Answers immediately from memory, or fails as unreachable.
class FakeStore final : public Store
{
public:
  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override
  {
    if (down_) {
      aDone(Error{ ErrorKind::Unavailable, "cut off" });
      return;
    }
    StoreRange range{ revision_, {} };
    for (const StoreRecord& record : records_) {
      if (record.key_.starts_with(aPrefix)) {
        range.records_.push_back(record);
      }
    }
    aDone(range);
  }
  void Commit(StoreTxn /*aTxn*/, StoreDone<StoreCommit> aDone) override
  {
    aDone(StoreCommit{ true, revision_ });
  }
  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override
  {
    aDone(StoreLease{ 7, aTtl });
  }
  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override
  {
    aDone(StoreLease{ aLease, 10s });
  }
  void RevokeLease(StoreLeaseId /*aLease*/, StoreDone<bool> aDone) override
  {
    aDone(true);
  }
  StoreWatchId Watch(
    std::string /*aPrefix*/,
    std::uint64_t /*aFromRevision*/,
    std::function<void(const StoreWatchBatch&)> /*aOnBatch*/) override
  {
    return 1;
  }
  void StopWatch(StoreWatchId /*aWatch*/) override {}

  void Put(std::string_view aPrefix,
           const std::string& aName,
           const std::string& aValue)
  {
    const std::string key = std::string(aPrefix) + aName;
    std::erase_if(records_,
                  [&](const auto& aRecord) { return aRecord.key_ == key; });
    ++revision_;
    records_.push_back({ key, aValue, revision_, revision_, 7 });
  }

  bool down_ = false;
  std::uint64_t revision_ = 10;
  std::vector<StoreRecord> records_;
};

Member
MakeMember(const std::string& aName)
{
  Member member;
  member.id_ = InstanceId{ aName };
  member.role_ = "control";
  member.zone_ = ZoneId{ "sal-nord" };
  member.rpc_ = "10.0.0.1:80";
  return member;
}

/// A cluster with stopped timers, driven by the test alone.
struct ManualCluster
{
  ManualCluster()
  {
    settings_.instance_ = "entry-1";
    timers_.Stop();
    store_.Put(kOwnerPrefix, "trainer/a", R"({"owner":"c","rpc":"c:1"})");
    store_.Put(kVersionPrefix, "m", R"({"version":7})");
    InstanceRecord self;
    self.id_ = InstanceId{ "entry-1" };
    cluster_.Start(self);
    cluster_.SetMembers({ MakeMember("entry-1"), MakeMember("c") });
  }

  DaemonSettings settings_;
  FakeStore store_;
  Timers timers_;
  Cluster cluster_{ settings_, store_, timers_ };
};

} // namespace

TEST_CASE("a zone without access to the store keeps its view")
{
  ManualCluster fixture;
  fixture.store_.down_ = true;
  fixture.cluster_.Refresh();
  const auto view = fixture.cluster_.View();
  CHECK(view->owners_.contains("trainer/a"));
  CHECK(view->versions_.at("m") == WeightVersion{ 7 });
  CHECK(view->instances_.size() == 2);
  CHECK(fixture.cluster_.Lease() == 7);
  // Members of other zones disappear; records from the store remain.
  fixture.cluster_.SetMembers({ MakeMember("entry-1") });
  CHECK(fixture.cluster_.View()->instances_.size() == 1);
  CHECK(fixture.cluster_.View()->owners_.contains("trainer/a"));
}

TEST_CASE("an older store state reverts nothing, a newer one is applied")
{
  ManualCluster fixture;
  const FakeStore before = fixture.store_;
  fixture.store_.records_.clear();
  fixture.store_.revision_ = 5;
  fixture.store_.Put(kVersionPrefix, "m", R"({"version":6})");
  fixture.cluster_.Refresh();
  CHECK(fixture.cluster_.View()->versions_.at("m") == WeightVersion{ 7 });
  CHECK(fixture.cluster_.View()->owners_.contains("trainer/a"));
  fixture.store_ = before;
  fixture.store_.Put(kOwnerPrefix, "trainer/a", R"({"owner":"d","rpc":"d:1"})");
  fixture.cluster_.Refresh();
  const auto view = fixture.cluster_.View();
  CHECK(view->owners_.at("trainer/a").owner_ == InstanceId{ "d" });
  CHECK(view->owners_.at("trainer/a").term_ == FencingNumber{ 13 });
  auto rules = std::make_shared<Rules>();
  rules->revision_ = ConfigRevision{ 4 };
  fixture.cluster_.SetRules(rules);
  auto older = std::make_shared<Rules>();
  older->revision_ = ConfigRevision{ 3 };
  fixture.cluster_.SetRules(older);
  CHECK(fixture.cluster_.View()->rules_->revision_ == ConfigRevision{ 4 });
}

// Guards against engines being ordered to another role when a role record is
// unreadable. If such a record counted as absent, each engine would fall back
// to the role in its rule, for example from a trainer to live callers and back.
TEST_CASE("an unreadable role record keeps the last known roles")
{
  ManualCluster fixture;
  const UpstreamId engine{ "e" };
  fixture.store_.Put(kRolePrefix, "lm", R"({"e":"t"})");
  fixture.cluster_.Refresh();
  REQUIRE(fixture.cluster_.View()->roles_.at(engine) == "t");
  fixture.store_.Put(kRolePrefix, "lm", "unreadable");
  fixture.cluster_.Refresh();
  fixture.cluster_.Refresh();
  REQUIRE(fixture.cluster_.View()->roles_.contains(engine));
  REQUIRE(fixture.cluster_.View()->roles_.at(engine) == "t");
  fixture.store_.Put(kRolePrefix, "lm", R"({"e":"live"})");
  fixture.cluster_.Refresh();
  REQUIRE(fixture.cluster_.View()->roles_.at(engine) == "live");
  // A deleted record, unlike an unreadable one, removes the role.
  fixture.store_.records_.clear();
  ++fixture.store_.revision_;
  fixture.cluster_.Refresh();
  REQUIRE_FALSE(fixture.cluster_.View()->roles_.contains(engine));
}
