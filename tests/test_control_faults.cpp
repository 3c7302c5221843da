/// Control processes on stores that refuse or hold what cannot be read.

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

  /// @returns empty if there is no such record, or it could not be read now
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

  /// Until the next readings are refused within their calls.
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
    // These are never refused; they have to be earned back first.
    for (StoreLeaseId lease = 1'000'000; lease < 1'000'008; ++lease) {
      host_.PlatformStore().RevokeLease(lease, [](const Result<bool>&) {});
    }
  }
};

} // namespace

// A control process answered nothing more, not even that it was alive. The
// order: it had spent its budget of calls to the store when a trainer announced
// a version. Cause: such a reading is refused within the call, the version was
// stored under the ledgers' lock, and the refusal takes that lock too.
TEST_CASE("an announcement while the store's budget is spent is answered")
{
  // Not destroyed when it hangs.
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
  // The store is told once the process may call it again.
  process->trainers_.Start();
  REQUIRE(Process::Wait([&process] {
    std::this_thread::sleep_for(300ms);
    return process->Value(kVersionKey).find("\"version\":3") !=
           std::string::npos;
  }));
}

// All trainers of a control process lost their ledgers. The order: it asked who
// owned a duty, and that record could not be made sense of. Cause: a field of
// what is no object was asked for in a callback, which ended the process.
TEST_CASE("an owner record that cannot be read ends no process")
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

// An engine was ordered to a version below the one that it served. The order:
// the record of a model's version could not be read when its trainer announced
// one. Cause: a record that cannot be read counted as one of no versions, over
// which every version rises.
TEST_CASE("a version record that cannot be read is not written over")
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
