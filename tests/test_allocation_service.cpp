/// The allocation of engines at a process that begins to own it.

#include "programs/controld/allocation_service.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

const std::string kRoles = std::string(kRolePrefix) + "lm";

/// A control process on an embedded store in a folder of its own.
struct Process
{
  std::string folder_;
  Host host_;
  Owners owners_{ host_ };
  AllocationService allocation_{ host_, owners_ };

  Process()
    : folder_(MakeFolder())
    , host_(MakeSettings(folder_), "marjoram-controld", "control")
  {
    InstanceRecord self;
    self.id_ = InstanceId{ "self" };
    host_.Members().Start(self);
    REQUIRE(Wait([this] { return host_.Members().Lease() != 0; }));
    host_.Members().SetRules(MakeRules());
  }

  ~Process()
  {
    host_.Clockwork().Stop();
    std::filesystem::remove_all(folder_);
  }

  static std::string MakeFolder()
  {
    std::string form =
      (std::filesystem::temp_directory_path() / "mt-alloc.XXXXXX").string();
    return mkdtemp(form.data());
  }

  static DaemonSettings MakeSettings(const std::string& aFolder)
  {
    DaemonSettings settings;
    settings.instance_ = "self";
    settings.zone_ = "z";
    settings.store_ = "file:" + aFolder;
    return settings;
  }

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

  /// Calls to the store end on its own thread.
  template<typename Condition>
  static bool Wait(const Condition& aCondition)
  {
    for (int i = 0; i < 1000; ++i) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    StoreTxn txn;
    txn.puts_.push_back({ aKey, aValue, 0 });
    std::promise<void> written;
    host_.PlatformStore().Commit(
      std::move(txn),
      [&written](const Result<StoreCommit>&) { written.set_value(); });
    written.get_future().wait();
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

// Engines were ordered from a trainer to live callers and back while nothing
// had changed. The order: the owner of the allocation ended; the next one
// owned it before its view held the roles that were published last, since its
// reading of the store's records had failed or was older. Cause: roles that
// were not read yet counted as no allocation, and a new one was published.
TEST_CASE("the next owner of an allocation keeps it, also if not read yet")
{
  Process process;
  process.Put(kRoles, R"({"e0":"live","e1":"t"})");
  process.host_.Members().Records().onRecords_({});
  REQUIRE(process.host_.Members().View()->roles_.empty());
  REQUIRE(Process::Wait([&process] {
    process.allocation_.Tick();
    return process.Roles().contains("e2");
  }));
  REQUIRE(process.Roles() ==
          nlohmann::json({ { "e0", "live" }, { "e1", "t" }, { "e2", "t" } }));
}
