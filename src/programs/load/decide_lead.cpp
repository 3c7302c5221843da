/// The scenario `lead`: how far generation may run ahead of the trainer. One
/// trainer uses fake engines that load new weights one after another; the
/// baselines are strict on-policy, unlimited lead and first in, first out.

#include "marjoramtally/version.hpp"
#include "programs/load/decide.hpp"

#include <algorithm>
#include <memory>

namespace marjoramtally::bench {

namespace {

constexpr std::size_t kEngines = 8;
constexpr std::uint32_t kGroups = 64;
constexpr std::uint32_t kGroupSize = 8;
constexpr std::uint64_t kPromptTokens = 200;
constexpr std::uint32_t kInFlight = 384;
/// Concurrent generations on one engine.
constexpr std::uint64_t kEngineLimit = 48;
/// Delay from the announcement of a version until the first engine serves it,
/// and between one engine and the next.
constexpr Duration kFirstSwapDelay{ 500'000 };
constexpr Duration kSwapInterval{ 200'000 };
constexpr std::uint64_t kFailuresPerMille = 5;
constexpr std::array kLoads{ 0.6, 0.9, 1.2 };

/// One lead policy and its staleness bound.
struct LeadCase
{
  const char* name_;
  const char* policy_;
  /// Staleness bound in weight versions.
  std::uint64_t bound_;
  /// Steps opened ahead of the one that the trainer takes.
  std::uint64_t ahead_;
  /// Whether samples start in the order in which they were opened, with failed
  /// ones at the end and the members of a group not next to each other.
  bool fifo_ = false;
};

constexpr std::array<LeadCase, 7> kCases{ {
  { "strict on-policy", "strict", 0, 0 },
  { "unlimited lead", "unlimited", 1, 4 },
  { "fifo, no groups", "unlimited", 1, 1, true },
  { "idle, bound 1", "idle", 1, 1 },
  { "freshness, bound 1", "freshness", 1, 1 },
  { "idle, bound 2", "idle", 2, 2 },
  { "freshness, bound 2", "freshness", 2, 2 },
} };

/// @returns a number of output tokens; one generation in twenty is a straggler
std::uint64_t
OutputTokens(Random& aRandom)
{
  constexpr std::uint64_t kShortest = 100;
  constexpr std::uint64_t kSpread = 300;
  constexpr std::uint64_t kStraggler = 1000;
  const std::uint64_t tokens = kShortest + aRandom.Below(kSpread);
  return tokens + (aRandom.Below(20) == 0 ? kStraggler : 0);
}

/// An engine and the weight version that it serves.
struct Sampler
{
  std::unique_ptr<FakeEngine> engine_;
  WeightVersion version_{ 1 };
  std::uint64_t inFlight_ = 0;
};

/// One run of one case.
class LeadRun
{
public:
  LeadRun(const LeadCase& aCase, Duration aTrainTime, std::uint64_t aSeed)
    : case_(aCase)
    , trainTime_(aTrainTime)
    , random_(aSeed)
  {
    LedgerRules rules;
    rules.staleness_.versions_ = aCase.bound_;
    rules.policy_ = FindLeadPolicy(aCase.policy_);
    ledger_.SetRules(rules);
    ledger_.Versions().Announce(version_, loop_.Now());
    for (std::size_t i = 0; i < kEngines; ++i) {
      samplers_[i].engine_ =
        std::make_unique<FakeEngine>(loop_, EngineSettings{});
    }
  }

  /// Runs for a length of time; measures from the end of the first step.
  DecideRow Run(Duration aLength)
  {
    BeginStep();
    loop_.RunUntil(TimePoint{ aLength });
    idle_ +=
      waitingSince_ == kNever ? Duration{ 0 } : loop_.Now() - waitingSince_;
    DecideRow row;
    row.policy_ = case_.name_;
    row.trainerIdleShare_ =
      Share(idle_.count(), (loop_.Now() - countedFrom_).count());
    row.wastedShare_ = Share(generated_ - ledger_.Tokens().kept_, generated_);
    row.overBound_ = static_cast<double>(overBound_);
    row.staleness_ = Share(staleness_, delivered_);
    row.steps_ = static_cast<double>(completedSteps_);
    return row;
  }

  /// @returns the time to generate the first step, which cannot be generated
  /// ahead
  [[nodiscard]] Duration FirstStep() const noexcept { return firstStep_; }

private:
  static double Share(std::uint64_t aPart, std::uint64_t aTotal)
  {
    return aTotal == 0
             ? 0
             : static_cast<double>(aPart) / static_cast<double>(aTotal);
  }

  void BeginStep()
  {
    ++step_;
    waitingSince_ = loop_.Now();
    held_ = {};
    for (; opened_ < step_ + case_.ahead_; ++opened_) {
      OpenStep(opened_ + 1);
    }
    StartGenerations();
  }

  void OpenStep(std::uint64_t aStep)
  {
    StepSpec spec;
    spec.step_ = StepId{ aStep };
    // With unlimited lead, the version at which a step will be taken is not
    // predicted.
    const bool foreseen = std::string_view(case_.policy_) != "unlimited";
    spec.version_ = foreseen ? WeightVersion{ aStep } : version_;
    spec.groupSize_ = kGroupSize;
    spec.prompts_.assign(kGroups, "p");
    if (ledger_.Open(spec) != OpenVerdict::Opened || !case_.fifo_) {
      return;
    }
    for (std::uint32_t member = 0; member < kGroupSize; ++member) {
      for (std::uint32_t group = 0; group < kGroups; ++group) {
        fifoQueue_.push_back({ spec.step_, group, member });
      }
    }
  }

  std::optional<GenerationStart> NextStart()
  {
    if (case_.fifo_ && !fifoQueue_.empty()) {
      const SampleId sample = fifoQueue_.front();
      fifoQueue_.pop_front();
      return GenerationStart{ sample, WeightVersion{ 0 } };
    }
    return ledger_.StartNext(loop_.Now());
  }

  void StartGenerations()
  {
    while (inFlight_ < kInFlight) {
      if (!pending_) {
        pending_ = NextStart();
      }
      Sampler* sampler =
        pending_ ? ChooseSampler(pending_->minVersion_) : nullptr;
      if (sampler == nullptr) {
        return;
      }
      Generate(pending_->sample_, *sampler);
      pending_.reset();
    }
  }

  Sampler* ChooseSampler(WeightVersion aMinVersion)
  {
    Sampler* best = nullptr;
    for (Sampler& sampler : samplers_) {
      const bool eligible =
        sampler.version_ >= aMinVersion && sampler.inFlight_ < kEngineLimit;
      if (eligible &&
          (best == nullptr || sampler.inFlight_ < best->inFlight_)) {
        best = &sampler;
      }
    }
    return best;
  }

  void Generate(const SampleId& aSample, Sampler& aSampler)
  {
    ++inFlight_;
    ++aSampler.inFlight_;
    EngineJob job;
    job.id_ = GenerationId{ ++lastJob_ };
    job.class_ = RequestClass::Trainer;
    job.promptTokens_ = kPromptTokens;
    job.outputTokens_ = OutputTokens(random_);
    const bool fails = random_.Below(1000) < kFailuresPerMille;
    const WeightVersion from = aSampler.version_;
    aSampler.engine_->Submit(
      job, [this, aSample, &aSampler, from, fails](const EngineResult& aEnd) {
        --inFlight_;
        --aSampler.inFlight_;
        generated_ += aEnd.generatedTokens_;
        Finish(aSample, from, aSampler.version_, fails, aEnd.generatedTokens_);
        TakeReady();
        StartGenerations();
      });
  }

  /// A weight swap during generation gives the sample two versions, the older
  /// one first.
  void Finish(const SampleId& aSample,
              WeightVersion aFrom,
              WeightVersion aTo,
              bool aFails,
              std::uint64_t aTokens)
  {
    if (aFails) {
      ledger_.OnFailed(aSample);
      if (case_.fifo_) {
        fifoQueue_.push_back(aSample);
      }
      return;
    }
    Sample sample;
    sample.id_ = aSample;
    sample.tokens_ = static_cast<std::uint32_t>(aTokens);
    sample.spans_ = { { aFrom, 0, 1 }, { aTo, 1, sample.tokens_ } };
    ledger_.OnGenerated(std::move(sample), loop_.Now());
  }

  /// The trainer takes all ready samples of its current step.
  void TakeReady()
  {
    if (waitingSince_ == kNever) {
      return;
    }
    TakeSpec take;
    take.step_ = StepId{ step_ };
    take.version_ = version_;
    take.held_ = held_;
    take.maxSamples_ = kGroups * kGroupSize;
    if (ledger_.Accept(take, loop_.Now()) != TakeVerdict::Current) {
      return;
    }
    for (const Sample& sample : ledger_.Collect(take, loop_.Now()).samples_) {
      held_.Insert(sample.id_.group_ * kGroupSize + sample.id_.member_);
      Count(sample);
    }
    if (held_.size() == kGroups * kGroupSize) {
      Train();
    }
  }

  void Count(const Sample& aSample)
  {
    ++delivered_;
    const std::uint64_t behind =
      version_.Get() - std::min(version_, *OldestVersion(aSample.spans_)).Get();
    staleness_ += behind;
    overBound_ += behind > case_.bound_ ? 1 : 0;
  }

  void Train()
  {
    if (completedSteps_ == 0) {
      firstStep_ = loop_.Now() - waitingSince_;
      countedFrom_ = loop_.Now();
    } else {
      idle_ += loop_.Now() - waitingSince_;
    }
    ++completedSteps_;
    waitingSince_ = kNever;
    ledger_.Close(StepId{ step_ });
    loop_.After(trainTime_, [this] {
      version_ = WeightVersion{ version_.Get() + 1 };
      ledger_.Versions().Announce(version_, loop_.Now());
      Rollout(version_);
      BeginStep();
      TakeReady();
    });
  }

  void Rollout(WeightVersion aVersion)
  {
    for (std::size_t i = 0; i < kEngines; ++i) {
      loop_.After(kFirstSwapDelay + kSwapInterval * i, [this, i, aVersion] {
        samplers_[i].version_ = std::max(samplers_[i].version_, aVersion);
        StartGenerations();
      });
    }
  }

  LeadCase case_;
  Duration trainTime_;
  Random random_;
  EventLoop loop_;
  std::array<Sampler, kEngines> samplers_;
  TrainerLedger ledger_;
  WeightVersion version_{ 1 };
  std::uint64_t step_ = 0;
  std::uint64_t opened_ = 0;
  IndexSet held_;
  std::deque<SampleId> fifoQueue_;
  std::optional<GenerationStart> pending_;
  std::uint64_t inFlight_ = 0;
  std::uint64_t lastJob_ = 0;
  TimePoint waitingSince_ = kNever;
  TimePoint countedFrom_;
  Duration idle_{ 0 };
  Duration firstStep_{ 0 };
  std::uint64_t completedSteps_ = 0;
  std::uint64_t generated_ = 0;
  std::uint64_t delivered_ = 0;
  std::uint64_t staleness_ = 0;
  std::uint64_t overBound_ = 0;
};

/// @returns the time to generate a step that is not generated ahead
Duration
MeasureStep(std::uint64_t aSeed)
{
  constexpr auto kLongest = std::chrono::minutes(10);
  LeadRun run(kCases.front(), kLongest, aSeed);
  run.Run(kLongest);
  return run.FirstStep();
}

} // namespace

DecideRows
RunLeadScenario(const DecideOptions& aOptions)
{
  const Duration step = MeasureStep(aOptions.seed_);
  DecideRows rows;
  for (const double load : kLoads) {
    const Duration trainTime{ static_cast<Duration::rep>(
      static_cast<double>(step.count()) / load) };
    for (const LeadCase& leadCase : kCases) {
      LeadRun run(leadCase, trainTime, aOptions.seed_);
      DecideRow row = run.Run(aOptions.length_);
      row.load_ = load;
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

} // namespace marjoramtally::bench
