#include "programs/load/workload.hpp"

#include <cmath>

namespace marjoramtally::bench {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Trainers' prefixes start at or above this number, so that they differ from
/// those of live callers.
constexpr std::uint64_t kTrainerPrefixes = 1'000'000;

double
Seconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / kMicrosPerSecond;
}

} // namespace

double
Exponential(Random& aRandom, double aMean)
{
  return -aMean * std::log(1.0 - aRandom.Unit());
}

BenchRequest
RequestMaker::Make(const RequestShape& aShape,
                   RequestClass aClass,
                   std::uint64_t aPrefix,
                   TimePoint aNow)
{
  const double drawn = Exponential(random_, aShape.meanOutputTokens_);
  BenchRequest request;
  request.job_.id_ = GenerationId{ ++lastJob_ };
  request.job_.class_ = aClass;
  request.job_.promptTokens_ = aShape.promptTokens_;
  request.job_.prefixTokens_ = aShape.prefixTokens_;
  request.job_.prefixHash_ = aPrefix;
  request.job_.outputTokens_ =
    std::min(aShape.maxOutputTokens_, static_cast<std::uint64_t>(drawn) + 1);
  request.spec_.id_ = RequestId{ std::to_string(lastJob_) };
  request.spec_.service_ = ServiceId{ "bench" };
  request.spec_.class_ = aClass;
  request.spec_.arrived_ = aNow;
  request.spec_.model_ = "model";
  request.spec_.promptTokens_ = aShape.promptTokens_;
  request.spec_.outputTokens_ =
    static_cast<std::uint64_t>(aShape.meanOutputTokens_);
  request.spec_.prefixHash_ = aPrefix;
  return request;
}

std::uint64_t
RequestMaker::DrawPrefix(const RequestShape& aShape)
{
  const double skewed = random_.Unit() * random_.Unit();
  return 1 + static_cast<std::uint64_t>(skewed *
                                        static_cast<double>(aShape.prefixes_));
}

LiveCallers::LiveCallers(EventLoop& aLoop,
                         RequestMaker& aMaker,
                         const LiveSettings& aSettings,
                         BenchSink aSink)
  : loop_(aLoop)
  , maker_(aMaker)
  , settings_(aSettings)
  , sink_(std::move(aSink))
{
}

double
LiveCallers::Rate() const
{
  constexpr double kBurstShare = 0.2;
  const auto elapsed = loop_.Now().sinceStart_ % settings_.burstPeriod_;
  const bool burst =
    static_cast<double>(elapsed.count()) <
    kBurstShare * static_cast<double>(settings_.burstPeriod_.count());
  const double rest =
    (1 - kBurstShare * settings_.burstFactor_) / (1 - kBurstShare);
  return settings_.perSecond_ * (burst ? settings_.burstFactor_ : rest);
}

void
LiveCallers::Start()
{
  if (settings_.perSecond_ <= 0) {
    return;
  }
  const double gap = Exponential(maker_.Rng(), kMicrosPerSecond / Rate());
  loop_.After(Duration(static_cast<Duration::rep>(gap)), [this] {
    BenchRequest request = maker_.Make(settings_.shape_,
                                       RequestClass::Live,
                                       maker_.DrawPrefix(settings_.shape_),
                                       loop_.Now());
    request.spec_.deadline_ = loop_.Now() + settings_.deadline_;
    sink_(std::move(request));
    Start();
  });
}

FakeTrainer::FakeTrainer(EventLoop& aLoop,
                         RequestMaker& aMaker,
                         TrainerSettings aSettings,
                         BenchSink aSink)
  : loop_(aLoop)
  , maker_(aMaker)
  , settings_(std::move(aSettings))
  , sink_(std::move(aSink))
{
}

void
FakeTrainer::Start()
{
  lastPrefix_ = kTrainerPrefixes * (1 + maker_.Rng().Below(kTrainerPrefixes));
  idleSince_ = loop_.Now();
  OpenStep();
}

void
FakeTrainer::OpenStep()
{
  stepComplete_ = false;
  openedAt_ = loop_.Now();
  remaining_.assign(settings_.groups_, settings_.groupSize_);
  remainingGroups_ = settings_.groups_;
  for (std::uint32_t group = 0; group < settings_.groups_; ++group) {
    ++lastPrefix_;
    for (std::uint32_t member = 0; member < settings_.groupSize_; ++member) {
      BenchRequest request = maker_.Make(
        settings_.shape_, RequestClass::Trainer, lastPrefix_, loop_.Now());
      request.spec_.trainer_ = settings_.id_;
      groupOf_[request.job_.id_] = group;
      sink_(std::move(request));
    }
  }
}

void
FakeTrainer::OnComplete(GenerationId aJob)
{
  const auto found = groupOf_.find(aJob);
  if (found == groupOf_.end()) {
    return;
  }
  const std::uint32_t group = found->second;
  groupOf_.erase(found);
  if (--remaining_[group] > 0) {
    return;
  }
  groupSeconds_.push_back(Seconds(loop_.Now() - openedAt_));
  if (--remainingGroups_ == 0) {
    stepComplete_ = true;
    if (!training_) {
      StartTraining();
    }
  }
}

void
FakeTrainer::StartTraining()
{
  if (trainedOnce_) {
    idle_ += loop_.Now() - idleSince_;
  }
  trainedOnce_ = true;
  training_ = true;
  loop_.After(settings_.training_, [this] {
    training_ = false;
    idleSince_ = loop_.Now();
    if (stepComplete_) {
      StartTraining();
    }
  });
  OpenStep();
}

} // namespace marjoramtally::bench
