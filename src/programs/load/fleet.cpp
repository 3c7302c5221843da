#include "programs/load/fleet.hpp"

namespace marjoramtally::bench {

namespace {

constexpr double kMicrosPerMilli = 1e3;

double
Share(std::uint64_t aPart, std::uint64_t aTotal)
{
  return aTotal == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aTotal);
}

/// @returns the factor on an engine's step times
double
Slowdown(const FleetSettings& aSettings, std::size_t aEngine) noexcept
{
  constexpr std::size_t kOlderOneIn = 3;
  return aEngine % kOlderOneIn == 0 ? aSettings.olderSlowdown_ : 1.0;
}

} // namespace

double
TotalSpeed(const FleetSettings& aSettings) noexcept
{
  double total = 0;
  for (std::size_t i = 0; i < aSettings.engines_; ++i) {
    total += 1 / Slowdown(aSettings, i);
  }
  return total;
}

Fleet::Fleet(const FleetSettings& aSettings,
             const RoutePolicySpec& aRoutes,
             const MakeQueue& aMakeQueue)
  : settings_(aSettings)
  , maker_(aSettings.seed_)
  , random_(aSettings.seed_ + 1)
{
  measures_.livePerEngine_.resize(settings_.engines_);
  for (std::size_t i = 0; i < settings_.engines_; ++i) {
    engines_.push_back(std::make_unique<FakeEngine>(loop_, settings_.engine_));
    engines_.back()->SetSlowdown(Slowdown(settings_, i));
    engines_.back()->OnCacheEvent([this, i](const CacheEvent& aEvent) {
      DeliverCacheEvent(EngineIndex{ i }, aEvent);
    });
  }
  for (std::size_t i = 0; i < settings_.entries_; ++i) {
    entries_.push_back(std::make_unique<BenchEntry>(
      loop_,
      engines_,
      aRoutes.make_(settings_.engines_, settings_.seed_ * 1000 + i),
      aMakeQueue(),
      [this](const BenchOutcome& aOutcome) { CountOutcome(aOutcome); }));
  }
}

void
Fleet::AddLive(const LiveSettings& aSettings)
{
  live_.push_back(std::make_unique<LiveCallers>(
    loop_, maker_, aSettings, [this](BenchRequest aRequest) {
      Submit(std::move(aRequest));
    }));
}

void
Fleet::AddTrainer(const TrainerSettings& aSettings)
{
  trainers_.push_back(std::make_unique<FakeTrainer>(
    loop_, maker_, aSettings, [this](BenchRequest aRequest) {
      Submit(std::move(aRequest));
    }));
  trainerOf_[aSettings.id_] = trainers_.back().get();
}

void
Fleet::Run(Duration aLength)
{
  loop_.Every(settings_.reportPeriod_, [this] { DeliverReports(); });
  for (const auto& callers : live_) {
    callers->Start();
  }
  for (const auto& trainer : trainers_) {
    trainer->Start();
  }
  loop_.RunUntil(loop_.Now() + aLength);
}

void
Fleet::Submit(BenchRequest aRequest)
{
  entries_[random_.Below(entries_.size())]->Submit(std::move(aRequest));
}

void
Fleet::DeliverReports()
{
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i]->Crashed()) {
      continue;
    }
    loop_.After(
      settings_.reportLag_, [this, i, report = engines_[i]->Report()] {
        for (const auto& entry : entries_) {
          entry->Routes().OnReport(EngineIndex{ i }, report, loop_.Now());
          entry->DispatchQueued();
        }
      });
  }
}

void
Fleet::DeliverCacheEvent(EngineIndex aEngine, const CacheEvent& aEvent)
{
  if (random_.Unit() < settings_.cacheEventLoss_) {
    return;
  }
  loop_.After(settings_.cacheEventLag_, [this, aEngine, aEvent] {
    for (const auto& entry : entries_) {
      entry->Routes().OnCacheEvent(aEngine, aEvent, loop_.Now());
    }
  });
}

void
Fleet::CountOutcome(const BenchOutcome& aOutcome)
{
  const RequestSpec& spec = aOutcome.request_.spec_;
  const auto trainer = trainerOf_.find(spec.trainer_);
  if (aOutcome.end_ == BenchEnd::Complete && trainer != trainerOf_.end()) {
    trainer->second->OnComplete(aOutcome.request_.job_.id_);
  }
  if (listener_) {
    listener_(aOutcome);
  }
  if (loop_.Now() < settings_.measureFrom_) {
    return;
  }
  const bool complete = aOutcome.end_ == BenchEnd::Complete;
  measures_.completed_ += complete ? 1 : 0;
  measures_.failed_ += aOutcome.end_ == BenchEnd::Failed ? 1 : 0;
  measures_.retried_ += aOutcome.attempts_ > 1 ? 1 : 0;
  measures_.cacheHits_ += complete && aOutcome.cacheHit_ ? 1 : 0;
  measures_.usefulTokens_ +=
    complete ? aOutcome.request_.job_.outputTokens_ : 0;
  measures_.wastedTokens_ += aOutcome.wastedTokens_;
  if (spec.class_ != RequestClass::Live) {
    return;
  }
  ++measures_.live_;
  measures_.liveLate_ += aOutcome.end_ == BenchEnd::Late ? 1 : 0;
  measures_.liveRefused_ += aOutcome.end_ == BenchEnd::Refused ? 1 : 0;
  if (aOutcome.attempts_ > 0) {
    ++measures_.livePerEngine_[aOutcome.engine_.Get()];
  }
  if (aOutcome.end_ == BenchEnd::Refused) {
    const Duration held = aOutcome.at_ - spec.arrived_;
    measures_.refusedAfterMillis_.Add(static_cast<double>(held.count()) /
                                      kMicrosPerMilli);
  }
  if (complete) {
    const Duration took = aOutcome.at_ - spec.arrived_;
    measures_.liveMillis_.Add(static_cast<double>(took.count()) /
                              kMicrosPerMilli);
  }
}

DecideRow
Fleet::Row(std::string_view aPolicy, double aLoad) const
{
  DecideRow row;
  row.policy_ = aPolicy;
  row.load_ = aLoad;
  row.liveLateShare_ = Share(measures_.liveLate_, measures_.live_);
  row.liveRefusedShare_ = Share(measures_.liveRefused_, measures_.live_);
  row.liveP50Millis_ = measures_.liveMillis_.Quantile(0.5);
  row.liveP99Millis_ = measures_.liveMillis_.Quantile(0.99);
  row.wastedShare_ = Share(measures_.wastedTokens_,
                           measures_.usefulTokens_ + measures_.wastedTokens_);
  row.cacheHitShare_ = Share(measures_.cacheHits_, measures_.completed_);
  Distribution groups;
  Duration idle{ 0 };
  for (const auto& trainer : trainers_) {
    idle += trainer->Idle();
    for (const double seconds : trainer->GroupSeconds()) {
      groups.Add(seconds);
    }
  }
  if (!trainers_.empty()) {
    const Duration all = loop_.Now().sinceStart_ * trainers_.size();
    row.trainerIdleShare_ =
      static_cast<double>(idle.count()) / static_cast<double>(all.count());
    row.groupP50Seconds_ = groups.Quantile(0.5);
    row.groupP99Seconds_ = groups.Quantile(0.99);
  }
  DecisionCost cost;
  for (const auto& entry : entries_) {
    cost.decisions_ += entry->Cost().decisions_;
    cost.nanos_ += entry->Cost().nanos_;
  }
  row.decisionNanos_ = Share(cost.nanos_, cost.decisions_);
  return row;
}

double
MeasurePeakRequests(const EngineSettings& aEngine,
                    const RequestShape& aLive,
                    const RequestShape& aTrainer,
                    double aLiveShare)
{
  constexpr std::uint64_t kSeed = 7;
  constexpr std::uint64_t kGroup = 8;
  constexpr auto kWarmUp = std::chrono::seconds(10);
  constexpr auto kLength = std::chrono::seconds(60);
  EventLoop loop;
  FakeEngine engine(loop, aEngine);
  RequestMaker maker(kSeed);
  std::uint64_t ended = 0;
  std::uint64_t member = 0;
  std::function<void()> submit = [&] {
    const bool live = maker.Rng().Unit() < aLiveShare;
    const std::uint64_t prefix =
      live ? maker.DrawPrefix(aLive) : 1000 + member++ / kGroup;
    const BenchRequest request =
      maker.Make(live ? aLive : aTrainer,
                 live ? RequestClass::Live : RequestClass::Trainer,
                 prefix,
                 loop.Now());
    engine.Submit(request.job_, [&](const EngineResult&) {
      ++ended;
      submit();
    });
  };
  for (std::size_t i = 0; i < aEngine.maxBatch_ * 2; ++i) {
    submit();
  }
  loop.RunUntil(TimePoint{ kWarmUp });
  const std::uint64_t before = ended;
  loop.RunUntil(loop.Now() + kLength);
  constexpr double kSeconds = 60;
  return static_cast<double>(ended - before) / kSeconds;
}

} // namespace marjoramtally::bench
