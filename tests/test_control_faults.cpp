/// Tests control processes with a store that refuses calls or holds unreadable
/// records.

#include "control_fixture.hpp"
#include "programs/controld/trainer_service.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const TrainerId kTrainer{ "t" };
const std::string kDuty = "trainer/t";
const std::string kVersionKey = std::string(kVersionPrefix) + "m";

struct Process : ControlProcess
{
  TrainerService trainers_{ host_, owners_ };

  Process()
    : ControlProcess(MakeRules())
  {
  }

  ~Process() { host_.TimerQueue().Stop(); }

  static std::shared_ptr<const Rules> MakeRules()
  {
    auto rules = std::make_shared<Rules>();
    rules->revision_ = ConfigRevision{ 1 };
    TrainerRule& rule = rules->trainers_[kTrainer];
    rule.id_ = kTrainer;
    rule.model_ = "m";
    return rules;
  }

  /// @returns the value, or empty if there is no such record or the read failed
  std::string Value(const std::string& aKey)
  {
    std::promise<std::string> text;
    host_.PlatformStore().Read(aKey, [&](const Result<StoreRange>& aRange) {
      const bool any = aRange && !aRange.value().records_.empty();
      text.set_value(any ? aRange.value().records_.front().value_ : "");
    });
    return text.get_future().get();
  }

  RpcReply Request(TrainerOperation aOperation)
  {
    std::promise<RpcReply> answer;
    trainers_.Serve(
      { kTrainer, std::move(aOperation) }, "", [&answer](RpcReply aReply) {
        answer.set_value(std::move(aReply));
      });
    return answer.get_future().get();
  }

  /// Spends the budget of store calls, so that further reads are refused within
  /// the call.
  void ExhaustBudget()
  {
    const auto refused = [this] {
      const auto now = std::make_shared<std::atomic<bool>>(false);
      host_.PlatformStore().Read(
        "none", [now](const Result<StoreRange>& aRead) { *now = !aRead; });
      return now->load();
    };
    while (!refused()) {
    }
    // Revocations are never refused; they overdraw the budget, which then needs
    // longer to refill.
    for (StoreLeaseId lease = 1'000'000; lease < 1'000'008; ++lease) {
      host_.PlatformStore().RevokeLease(lease, [](const Result<bool>&) {});
    }
  }
};

} // namespace

// Guards against a deadlock after which a control process answers nothing, not
// even health checks. A trainer announces a version while the budget of store
// calls is exhausted. The store read is then refused within the call, and its
// callback takes the ledgers' lock, so the lock must not be held during the
// call.
TEST_CASE("an announcement is answered while the store budget is exhausted")
{
  // Released instead of destroyed if it hangs.
  auto process = std::make_unique<Process>();
  REQUIRE(process->Request(GetProgress{}));
  process->ExhaustBudget();
  std::promise<bool> answered;
  auto answer = answered.get_future();
  std::thread([held = process.get(), done = std::move(answered)]() mutable {
    done.set_value(
      static_cast<bool>(held->Request(AnnounceVersion{ WeightVersion{ 3 } })));
  }).detach();
  const bool answeredInTime = answer.wait_for(5s) == std::future_status::ready;
  if (!answeredInTime) {
    static_cast<void>(process.release());
  }
  REQUIRE(answeredInTime);
  REQUIRE(answer.get());
  // The version is stored once the budget allows calls again.
  process->trainers_.Start();
  REQUIRE(Process::Wait([&process] {
    std::this_thread::sleep_for(300ms);
    return process->Value(kVersionKey).find("\"version\":3") !=
           std::string::npos;
  }));
}

// Guards against a crash that loses the ledgers of all trainers of a control
// process. It reads an owner record that is not a valid JSON object of the
// expected fields. Accessing a field of another JSON type throws in a callback,
// which ends the process.
TEST_CASE("an unreadable owner record is reported and does not end the process")
{
  const std::string value = GENERATE("", "no object", "[]", R"({"owner":1})");
  Process process;
  process.Put(std::string(kOwnerPrefix) + kDuty, value);
  std::promise<Result<Ownership>> owned;
  process.owners_.Acquire(kDuty, [&owned](Result<Ownership> aOwned) {
    owned.set_value(std::move(aOwned));
  });
  const auto owner = owned.get_future().get();
  REQUIRE_FALSE(owner);
  REQUIRE(owner.error().kind_ == ErrorKind::Unavailable);
  REQUIRE(owner.error().message_.find(kDuty) != std::string::npos);
}

// Guards against an engine being ordered to a version below the one it serves.
// A trainer announces a version while the model's version record is unreadable.
// Such a record must not count as empty, because any version is higher than
// none and would overwrite it.
TEST_CASE("an unreadable version record is not overwritten")
{
  const std::string value = GENERATE("unreadable",
                                     R"({"version":"7"})",
                                     R"({"version":7,"history":"5"})",
                                     R"({"version":7,"history":["5"]})");
  Process process;
  process.Put(kVersionKey, value);
  VersionAnnouncer announcer(process.host_);
  std::promise<Result<bool>> announced;
  announcer.Announce("m", WeightVersion{ 3 }, [&](Result<bool> aEnd) {
    announced.set_value(std::move(aEnd));
  });
  const auto end = announced.get_future().get();
  REQUIRE_FALSE(end);
  REQUIRE(end.error().message_.find(kVersionKey) != std::string::npos);
  REQUIRE(process.Value(kVersionKey) == value);
  std::promise<bool> loaded;
  announcer.Load("m", [&](const Result<std::vector<WeightVersion>>& aPast) {
    loaded.set_value(static_cast<bool>(aPast));
  });
  REQUIRE_FALSE(loaded.get_future().get());
}
