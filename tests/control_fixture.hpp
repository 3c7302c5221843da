/// A control process with an embedded store in a temporary folder.
#pragma once

#include "programs/controld/owners.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <thread>

namespace marjoramtally::test {

/// Host and owner records that the services of the control daemon need.
struct ControlProcess
{
  std::string folder_;
  Host host_;
  Owners owners_{ host_ };

  explicit ControlProcess(std::shared_ptr<const Rules> aRules)
    : folder_(MakeFolder())
    , host_(MakeSettings(folder_), "marjoram-controld", "control")
  {
    InstanceRecord self;
    self.id_ = InstanceId{ "self" };
    host_.ClusterState().Start(self);
    REQUIRE(Wait([this] { return host_.ClusterState().Lease() != 0; }));
    host_.ClusterState().SetRules(std::move(aRules));
  }

  ~ControlProcess() { std::filesystem::remove_all(folder_); }

  static std::string MakeFolder()
  {
    std::string form =
      (std::filesystem::temp_directory_path() / "mt-control.XXXXXX").string();
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

  /// Polls, because calls to the store complete on the store's thread.
  template<typename Condition>
  static bool Wait(const Condition& aCondition)
  {
    for (int i = 0; i < 1000; ++i) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
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
};

} // namespace marjoramtally::test
