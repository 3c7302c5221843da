#include "rollout_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace marjoramtally::test {

namespace {

const ServiceId kService{ "lm" };
constexpr auto kLoadTime = std::chrono::milliseconds(900);
/// Share of its groups that a trainer waits for.
constexpr double kAwaitedShare = 0.9;
constexpr auto kStepDeadline = std::chrono::milliseconds(7500);
constexpr auto kStepTimeout = std::chrono::seconds(12);

} // namespace

RolloutSimulation::RolloutSimulation(SimulationSetup aSetup)
  : setup_(std::move(aSetup))
  , random_(setup_.seed_)
  , plan_(setup_.plan_)
{
  for (std::size_t t = 0; t < setup_.trainers_.size(); ++t) {
    trainers_.emplace_back();
    trainers_.back().model_ = "m" + std::to_string(t);
  }
  for (std::size_t u = 0; u < setup_.upstreams_; ++u) {
    Upstream upstream;
    upstream.entry_.id_ = UpstreamId{ "u" + std::to_string(u) };
    upstream.entry_.service_ = kService;
    upstream.entry_.zone_ = ZoneId{ "z" + std::to_string(u % setup_.zones_) };
    upstream.entry_.slots_ = setup_.slots_;
    for (const Trainer& trainer : trainers_) {
      upstream.versions_[trainer.model_] = WeightVersion{ 1 };
    }
    upstreams_.push_back(std::move(upstream));
    PublishEntry(u);
    if (setup_.registerInTurn_) {
      static_cast<void>(plan_.Next(PlanView()));
    }
  }
}

std::uint32_t
RolloutSimulation::DrawLength(double aMean)
{
  const double base = -aMean * std::log(1.0 - random_.Unit());
  const double scaled = random_.Below(12) == 0 ? base * 5.0 : base;
  return std::clamp(static_cast<std::uint32_t>(scaled), 3U, setup_.maxEvents_);
}

void
RolloutSimulation::PublishEntry(std::size_t aUpstream)
{
  UpstreamEntry entry = upstreams_[aUpstream].entry_;
  for (const auto& [model, version] : upstreams_[aUpstream].versions_) {
    entry.models_.push_back({ model, version });
  }
  for (Trainer& trainer : trainers_) {
    trainer.upstreamTable_.OnEntry(entry);
  }
}

void
RolloutSimulation::BeginStep(Trainer& aTrainer)
{
  if (aTrainer.open_ || now_ < aTrainer.next_ ||
      aTrainer.step_ == setup_.steps_) {
    return;
  }
  const auto index =
    static_cast<std::size_t>(std::stoul(aTrainer.model_.substr(1)));
  const StepSize size = setup_.trainers_[index];
  const double awaited = kAwaitedShare * static_cast<double>(size.groups_);
  JobSpec spec;
  spec.model_ = aTrainer.model_;
  std::vector<Item*> items;
  for (std::size_t i = 0; i < size.groups_ * size.groupItems_; ++i) {
    const std::size_t group = i / size.groupItems_;
    const std::uint32_t length = DrawLength(size.events_);
    JobItem item;
    item.id_ = ItemId{ std::to_string(i) };
    item.group_ = GroupId{ std::to_string(group) };
    item.lengthHint_ = length;
    spec.items_.push_back(std::move(item));
    items_.push_back({ static_cast<std::uint32_t>(index),
                       aTrainer.step_,
                       group,
                       i,
                       static_cast<double>(length),
                       kNowhere });
    items.push_back(&items_.back());
  }
  aTrainer.open_.emplace(
    Step{ now_,
          JobLedger(std::move(spec), setup_.job_, now_),
          std::move(items),
          std::vector<std::size_t>(size.groups_, size.groupItems_),
          static_cast<std::size_t>(std::ceil(awaited)) });
}

void
RolloutSimulation::Place(Trainer& aTrainer)
{
  const WeightVersion minVersion{ std::max<std::uint64_t>(aTrainer.step_, 1) };
  if (!aTrainer.open_) {
    return;
  }
  Step& step = *aTrainer.open_;
  for (const ItemIndex index : step.ledger_.Waiting(now_)) {
    const TrackedUpstream* picked = aTrainer.upstreamTable_.PickForItem(
      { kService, aTrainer.model_, minVersion, {}, {} }, now_);
    if (picked == nullptr) {
      return;
    }
    Item* item = step.items_[index];
    step.ledger_.OnStarted(index);
    item->upstream_ =
      static_cast<std::size_t>(std::stoul(picked->entry_.id_.Get().substr(1)));
    aTrainer.upstreamTable_.OnStart(picked->entry_.id_, now_);
    upstreams_[item->upstream_].queue_.push_back(item);
  }
}

void
RolloutSimulation::Advance(std::size_t aUpstream)
{
  Upstream& upstream = upstreams_[aUpstream];
  if (upstream.loaded_ <= now_) {
    upstream.versions_[upstream.loading_] = upstream.target_;
    upstream.loaded_ = kNever;
    upstream.loading_.clear();
    PublishEntry(aUpstream);
  }
  while (upstream.running_.size() < setup_.slots_ && !upstream.queue_.empty()) {
    upstream.running_.push_back(upstream.queue_.front());
    upstream.queue_.pop_front();
  }
  const double others = static_cast<double>(upstream.running_.size()) - 1.0;
  const double millis =
    setup_.eventMillis_ * (1.0 + setup_.slowdownOfRun_ * others);
  const double events =
    std::chrono::duration<double, std::milli>(kTick).count() / millis;
  std::vector<Item*> done;
  for (Item* item : upstream.running_) {
    Trainer& trainer = trainers_[item->trainer_];
    if (trainer.model_ == upstream.loading_) {
      continue;
    }
    trainer.upstreamTable_.OnReceived(upstream.entry_.id_, now_);
    item->left_ -= events;
    if (item->left_ <= 0) {
      done.push_back(item);
    }
  }
  for (Item* item : done) {
    std::erase(upstream.running_, item);
    trainers_[item->trainer_].upstreamTable_.OnEnd(
      upstream.entry_.id_, CallVerdict::Answered, now_);
    Finish(*item);
  }
}

void
RolloutSimulation::Finish(Item& aItem)
{
  Trainer& trainer = trainers_[aItem.trainer_];
  if (trainer.open_ && trainer.step_ == aItem.step_) {
    Step& step = *trainer.open_;
    const ServerEvent only{ 1, "text", std::nullopt };
    static_cast<void>(
      step.ledger_.OnEvent(aItem.index_, only, WeightVersion{ 1 }));
    step.ledger_.OnCompleted(aItem.index_, now_);
    if (--step.open_[aItem.group_] == 0 && step.awaited_ > 0) {
      --step.awaited_;
      result_.groupsOnTime_ +=
        now_ - step.begun_ <= Duration{ kStepDeadline } ? 1 : 0;
    }
  }
}

void
RolloutSimulation::EndStep(Trainer& aTrainer)
{
  if (!aTrainer.open_) {
    return;
  }
  const Duration taken = now_ - aTrainer.open_->begun_;
  if (aTrainer.open_->awaited_ > 0 && taken < Duration{ kStepTimeout }) {
    return;
  }
  ++result_.steps_;
  result_.onTime_ += taken <= Duration{ kStepDeadline } ? 1 : 0;
  result_.meanStep_ += taken;
  result_.longestStep_ = std::max(result_.longestStep_, taken);
  // The trainer ends the step; runs still in progress are cancelled.
  for (Upstream& upstream : upstreams_) {
    const auto ended = [&](const Item* aItem) {
      const bool ours = &trainers_[aItem->trainer_] == &aTrainer;
      if (ours) {
        aTrainer.upstreamTable_.OnEnd(
          upstream.entry_.id_, CallVerdict::Abandoned, now_);
      }
      return ours;
    };
    std::erase_if(upstream.running_, ended);
    std::erase_if(upstream.queue_, ended);
  }
  ++aTrainer.step_;
  aTrainer.open_.reset();
  const TimePoint scheduled{
    kTick + setup_.stepTime_ * static_cast<std::int64_t>(aTrainer.step_)
  };
  aTrainer.next_ = std::max(scheduled, now_ + setup_.trainTime_);
}

void
RolloutSimulation::Load()
{
  for (const Trainer& trainer : trainers_) {
    if (trainer.open_ && trainer.open_->begun_ == now_) {
      plan_.OnVersionAnnounced(
        trainer.model_, WeightVersion{ trainer.step_ + 1 }, now_);
    }
  }
  for (const PlannedLoad& load : plan_.Next(PlanView())) {
    Upstream& upstream = upstreams_[std::stoul(load.upstream_.Get().substr(1))];
    upstream.loading_ = load.model_;
    upstream.target_ = load.version_;
    upstream.loaded_ = now_ + Duration{ kLoadTime };
    ++result_.loads_;
  }
}

std::vector<PlanUpstream>
RolloutSimulation::PlanView() const
{
  std::vector<PlanUpstream> upstreams;
  for (std::size_t u = 0; u < upstreams_.size(); ++u) {
    const Upstream& upstream = upstreams_[u];
    upstreams.push_back({ upstream.entry_.id_,
                          kService,
                          upstream.entry_.zone_,
                          upstream.versions_,
                          !upstream.loading_.empty() });
  }
  return upstreams;
}

SimulationResult
RolloutSimulation::Run()
{
  const auto finished = [this] {
    return std::all_of(
      trainers_.begin(), trainers_.end(), [this](const Trainer& aTrainer) {
        return aTrainer.step_ == setup_.steps_;
      });
  };
  while (!finished()) {
    for (Trainer& trainer : trainers_) {
      EndStep(trainer);
      BeginStep(trainer);
    }
    Load();
    for (Trainer& trainer : trainers_) {
      Place(trainer);
    }
    for (std::size_t u = 0; u < upstreams_.size(); ++u) {
      Advance(u);
    }
    now_ = now_ + kTick;
  }
  result_.meanStep_ /= static_cast<std::int64_t>(result_.steps_);
  return result_;
}

} // namespace marjoramtally::test
