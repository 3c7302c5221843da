/// Tests the allocation of engines after a change of its owner.

#include "control_fixture.hpp"
#include "programs/controld/allocation_service.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const std::string kRoles = std::string(kRolePrefix) + "lm";

struct Process : ControlProcess
{
  AllocationService allocation_{ host_, owners_ };

  Process()
    : ControlProcess(MakeRules())
  {
  }

  ~Process() { host_.TimerQueue().Stop(); }

  /// Three engines, one for live callers and two for a trainer.
  static std::shared_ptr<const Rules> MakeRules()
  {
    auto rules = std::make_shared<Rules>();
    rules->revision_ = ConfigRevision{ 1 };
    ServiceRule& service = rules->services_[ServiceId{ "lm" }];
    service.id_ = ServiceId{ "lm" };
    service.allocate_ = true;
    service.liveCeiling_ = 1;
    TrainerRule& trainer = rules->trainers_[TrainerId{ "t" }];
    trainer.id_ = TrainerId{ "t" };
    trainer.service_ = "lm";
    for (const std::string name : { "e0", "e1", "e2" }) {
      UpstreamRule& engine = rules->upstreams_[UpstreamId{ name }];
      engine.id_ = UpstreamId{ name };
      engine.service_ = "lm";
      engine.address_ = "127.0.0.1:1";
    }
    return rules;
  }

  nlohmann::json Roles()
  {
    std::promise<std::string> text;
    host_.PlatformStore().Read(
      kRoles, [&text](const Result<StoreRange>& aRange) {
        text.set_value(aRange.value().records_.front().value_);
      });
    return nlohmann::json::parse(text.get_future().get());
  }
};

} // namespace

// Guards against engines being ordered from a trainer to live callers and back
// although nothing changed. The owner of the allocation ends, and the next
// owner acquires it before its view holds the last published roles, because its
// read of the store's records failed or was older. Roles that were not read yet
// must not count as an empty allocation, or a new one would be published.
TEST_CASE("a new owner of an allocation keeps roles that its view lacks")
{
  Process process;
  process.Put(kRoles, R"({"e0":"live","e1":"t"})");
  process.host_.ClusterState().Records().onRecords_({});
  REQUIRE(process.host_.ClusterState().View()->roles_.empty());
  REQUIRE(Process::Wait([&process] {
    process.allocation_.Tick();
    return process.Roles().contains("e2");
  }));
  REQUIRE(process.Roles() ==
          nlohmann::json({ { "e0", "live" }, { "e1", "t" }, { "e2", "t" } }));
}
