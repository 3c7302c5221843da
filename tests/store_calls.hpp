/// The clients of the platform's store and of etcd on a fake HTTP client, and
/// the outcomes of their calls.
#pragma once

#include "gateway_fixture.hpp"
#include "marjoramtally/runtime/etcd_store.hpp"

#include <catch2/catch.hpp>

namespace marjoramtally::test {

using namespace std::chrono_literals;

struct StoreCalls
{
  enum class Kind
  {
    Platform,
    Etcd,
  };

  ManualClock clock_;
  ManualTimers timers_{ clock_ };
  FakeClient client_;
  std::unique_ptr<Store> store_;
  std::optional<Result<StoreCommit>> commit_;
  std::optional<Result<StoreLease>> lease_;
  std::optional<Result<bool>> revoked_;
  std::optional<Result<StoreRange>> range_;
  std::vector<StoreWatchBatch> batches_;

  explicit StoreCalls(Kind aKind = Kind::Platform)
    : store_(aKind == Kind::Platform
               ? MakePlatformStore(client_, timers_, { "store:1" })
               : MakeEtcdStore(client_, "http://store:1", 1s))
  {
  }

  void Commit()
  {
    StoreTxn txn;
    txn.compares_.push_back({ "p/a", 0 });
    txn.puts_.push_back({ "p/a", "x", 0 });
    store_->Commit(std::move(txn), Keep(commit_));
  }
  void GrantLease() { store_->GrantLease(3s, Keep(lease_)); }
  void KeepAlive() { store_->KeepAlive(7, Keep(lease_)); }
  void RevokeLease() { store_->RevokeLease(7, Keep(revoked_)); }
  void Read() { store_->Read("p/", Keep(range_)); }
  void Watch()
  {
    store_->Watch("p/", 5, [this](const StoreWatchBatch& aBatch) {
      batches_.push_back(aBatch);
    });
  }

  void Answer(int aStatus, std::string aBody)
  {
    REQUIRE(client_.open_.size() == 1);
    client_.Answer(client_.Oldest(), JsonResponse(aStatus, std::move(aBody)));
  }

private:
  template<typename T>
  static StoreDone<T> Keep(std::optional<Result<T>>& aKept)
  {
    return [&aKept](Result<T> aResult) { aKept = std::move(aResult); };
  }
};

/// @returns whether a call of the store ended with an error that proves neither
/// that it was executed nor that it was not
template<typename T>
[[nodiscard]] bool
IsUnknown(const std::optional<Result<T>>& aResult)
{
  return aResult && !*aResult &&
         aResult->error().kind_ != ErrorKind::Unavailable &&
         aResult->error().kind_ != ErrorKind::Refused &&
         aResult->error().kind_ != ErrorKind::Conflict &&
         aResult->error().kind_ != ErrorKind::NotFound;
}

} // namespace marjoramtally::test
