#include "programs/load/rollout_fakes.hpp"

#include <algorithm>
#include <cmath>

namespace marjoramtally::bench {

namespace {

const ServiceId kService{ "lm" };
const std::string kModel = "model";
constexpr WeightVersion kOldVersion{ 1 };
constexpr WeightVersion kNewVersion{ 2 };
constexpr FencingNumber kTerm{ 5 };
/// Time before the new version is announced, in which all owners read the
/// state of their samplers.
constexpr Duration kWarmUp = std::chrono::seconds(5);
/// Maximum delay until an owner receives the announcement of a version.
constexpr Duration kAnnouncementLag = std::chrono::seconds(1);
/// Round trip of a call to a sampler.
constexpr Duration kCallRoundTrip = std::chrono::milliseconds(2);
constexpr Duration kLease = std::chrono::seconds(10);

class RolloutSimulation
{
public:
  explicit RolloutSimulation(const RolloutPlan& aPlan)
    : plan_(aPlan)
    , random_(aPlan.seed_)
    , weights_(aPlan.storeRate_)
    , record_(loop_, aPlan.storeRate_)
    , samplers_(aPlan.samplers_)
  {
    outcome_.minAnswering_ = plan_.samplers_;
    outcome_.slots_ = SwitchSlots(plan_.samplers_, plan_.floor_, plan_.wave_);
    outcome_.owners_ = std::min(plan_.controls_, outcome_.slots_);
    for (FakeSampler& sampler : samplers_) {
      sampler.state_.served_[kModel] = kOldVersion;
      sampler.state_.loaded_[kModel] = kOldVersion;
    }
    MakeOwners();
  }

  RolloutOutcome Run()
  {
    for (std::size_t i = 0; i < owners_.size(); ++i) {
      Announce(i, kOldVersion);
    }
    loop_.Every(plan_.step_, [this] { Step(); });
    loop_.RunUntil(TimePoint{} + kWarmUp);
    const std::uint64_t readsBefore = reads_;
    outcome_.readsPerSecond_ = static_cast<double>(readsBefore) /
                               static_cast<double>(outcome_.owners_) /
                               Seconds(kWarmUp);
    for (std::size_t i = 0; i < owners_.size(); ++i) {
      loop_.After(FromSeconds(Seconds(kAnnouncementLag) * random_.Unit()),
                  [this, i] { Announce(i, kNewVersion); });
    }
    while (outcome_.done_ < plan_.samplers_ &&
           loop_.Now() < TimePoint{} + kWarmUp + plan_.limit_) {
      loop_.RunUntil(loop_.Now() + plan_.step_);
    }
    const TimePoint end =
      outcome_.done_ == plan_.samplers_ ? lastDone_ : loop_.Now();
    outcome_.seconds_ = Seconds(end - TimePoint{} - kWarmUp);
    outcome_.loads_ = weights_.loads_;
    outcome_.refusedLoads_ = weights_.refused_;
    outcome_.peakLoads_ = weights_.peak_;
    outcome_.storeReads_ = record_.reads_;
    outcome_.storeWrites_ = record_.writes_;
    return outcome_;
  }

private:
  static Duration FromSeconds(double aSeconds)
  {
    return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
  }
  static double Seconds(Duration aDuration)
  {
    return static_cast<double>(aDuration.count()) / 1e6;
  }

  static UpstreamId NameOf(std::size_t aSampler)
  {
    return UpstreamId{ std::to_string(aSampler) };
  }

  std::unique_ptr<LoadPermits> MakePermits()
  {
    if (!plan_.paced_) {
      return std::make_unique<UnpacedPermits>();
    }
    if (plan_.usesPermitRecord_) {
      return std::make_unique<RecordPermits>(record_);
    }
    return nullptr;
  }

  void MakeOwners()
  {
    for (std::size_t i = 0; i < outcome_.owners_; ++i) {
      const std::uint64_t owned =
        SlotShare(plan_.samplers_, outcome_.owners_, i);
      RolloutPolicy policy;
      policy.loadsPerSecond_ =
        RateShare(plan_.storeRate_, owned, plan_.samplers_);
      policy.parallelLoads_ = plan_.parallelLoads_;
      policy.readPeriod_ = ReadPeriod(owned);
      owners_.emplace_back(policy, random_.Next(), MakePermits());
    }
    for (std::size_t i = 0; i < samplers_.size(); ++i) {
      owners_[i % owners_.size()].OnOwned(
        { NameOf(i), kService, true }, kTerm, loop_.Now());
    }
  }

  void Announce(std::size_t aOwner, WeightVersion aVersion)
  {
    ServiceGoal goal;
    goal.versions_[kModel] = aVersion;
    goal.switchSlots_ = SlotShare(outcome_.slots_, owners_.size(), aOwner);
    owners_[aOwner].SetGoal(kService, goal);
  }

  void Step()
  {
    for (Rollout& owner : owners_) {
      owner.OnLease(loop_.Now() + kLease);
      for (const RolloutAction& action : owner.Decide(loop_.Now())) {
        Perform(owner, action);
      }
    }
  }

  void Perform(Rollout& aOwner, const RolloutAction& aAction)
  {
    if (const auto* read = std::get_if<ReadState>(&aAction)) {
      ++reads_;
      const TimePoint askedAt = loop_.Now();
      loop_.After(
        kCallRoundTrip, [this, &aOwner, id = read->upstream_, askedAt] {
          aOwner.OnState(id, SamplerOf(id).state_, askedAt, loop_.Now());
        });
    } else if (const auto* order = std::get_if<SendOrder>(&aAction)) {
      ExecuteOrder(aOwner, *order);
    }
  }

  FakeSampler& SamplerOf(const UpstreamId& aId)
  {
    return samplers_[std::stoul(aId.Get())];
  }

  void ScheduleEnd(Rollout& aOwner,
                   const SendOrder& aOrder,
                   Duration aAfter,
                   std::function<OrderEnd()> aEffect)
  {
    loop_.After(aAfter, [this, &aOwner, aOrder, effect = std::move(aEffect)] {
      aOwner.OnOrderEnd(aOrder, effect(), loop_.Now());
    });
  }

  void ExecuteOrder(Rollout& aOwner, const SendOrder& aOrder)
  {
    const UpstreamId id = aOrder.upstream_;
    if (aOrder.kind_ == OrderKind::Role) {
      ScheduleEnd(
        aOwner, aOrder, kCallRoundTrip, [] { return OrderEnd::Done; });
    } else if (aOrder.kind_ == OrderKind::Switch) {
      Switch(aOwner, aOrder);
    } else if (weights_.Load(loop_.Now())) {
      SetAnswering(id, plan_.loadsAhead_);
      ScheduleEnd(aOwner, aOrder, Jitter(plan_.loadTime_), [this, id] {
        SetAnswering(id, true);
        SamplerOf(id).state_.loaded_[kModel] = kNewVersion;
        return OrderEnd::Done;
      });
    } else {
      ScheduleEnd(
        aOwner, aOrder, kCallRoundTrip, [] { return OrderEnd::StoreBusy; });
    }
  }

  void SetAnswering(const UpstreamId& aId, bool aAnswers)
  {
    FakeSampler& sampler = SamplerOf(aId);
    answering_ += (aAnswers ? 1 : 0);
    answering_ -= (sampler.answering_ ? 1 : 0);
    sampler.answering_ = aAnswers;
    outcome_.minAnswering_ = std::min(outcome_.minAnswering_, answering_);
  }

  /// A failed swap keeps the old version and discards the loaded one.
  void Switch(Rollout& aOwner, const SendOrder& aOrder)
  {
    const UpstreamId& id = aOrder.upstream_;
    SetAnswering(id, false);
    const bool fails = random_.Unit() < plan_.failedSwaps_;
    ScheduleEnd(aOwner, aOrder, Jitter(plan_.switchTime_), [this, id, fails] {
      FakeSampler& sampler = SamplerOf(id);
      SetAnswering(id, true);
      if (fails) {
        ++outcome_.failedSwaps_;
        sampler.state_.loaded_.clear();
        return OrderEnd::Failed;
      }
      sampler.state_.served_[kModel] = kNewVersion;
      ++outcome_.done_;
      lastDone_ = loop_.Now();
      return OrderEnd::Done;
    });
  }

  /// @returns the time varied at random by up to 20%
  Duration Jitter(Duration aTime)
  {
    constexpr double kMinFactor = 0.8;
    constexpr double kWidth = 0.4;
    return FromSeconds(Seconds(aTime) * (kMinFactor + kWidth * random_.Unit()));
  }

  RolloutPlan plan_;
  Random random_;
  EventLoop loop_;
  FakeWeightStore weights_;
  PermitRecord record_;
  std::vector<FakeSampler> samplers_;
  std::vector<Rollout> owners_;
  RolloutOutcome outcome_;
  std::uint64_t answering_ = samplers_.size();
  std::uint64_t reads_ = 0;
  TimePoint lastDone_;
};

} // namespace

RolloutOutcome
RunRollout(const RolloutPlan& aPlan)
{
  return RolloutSimulation(aPlan).Run();
}

} // namespace marjoramtally::bench
