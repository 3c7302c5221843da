#include "marjoramtally/version/trainer_ledger.hpp"

#include <algorithm>

namespace marjoramtally {

OpenVerdict
TrainerLedger::Open(const StepSpec& aSpec)
{
  const auto open = steps_.find(aSpec.step_);
  if (open != steps_.end()) {
    if (open->second.ledger_.Spec() != aSpec) {
      return OpenVerdict::Different;
    }
    open->second.lastTake_ = 0;
    return OpenVerdict::Same;
  }
  if (steps_.size() >= kMaxOpenSteps) {
    return OpenVerdict::TooMany;
  }
  steps_.emplace(aSpec.step_, OpenStepState{ StepLedger(aSpec) });
  return OpenVerdict::Opened;
}

void
TrainerLedger::Close(StepId aStep)
{
  steps_.erase(aStep);
}

const StepLedger*
TrainerLedger::Find(StepId aStep) const
{
  const auto open = steps_.find(aStep);
  return open == steps_.end() ? nullptr : &open->second.ledger_;
}

StepLedger*
TrainerLedger::FindOpen(StepId aStep)
{
  const auto open = steps_.find(aStep);
  return open == steps_.end() ? nullptr : &open->second.ledger_;
}

WeightVersion
TrainerLedger::TakeVersion(const StepLedger& aStep) const noexcept
{
  return std::max(aStep.Spec().version_, trainerVersion_);
}

StepVersions
TrainerLedger::VersionsOf(const StepLedger& aStep,
                          TimePoint aNow) const noexcept
{
  StepVersions versions;
  versions.newest_ = versions_.Newest();
  versions.takeVersion_ = TakeVersion(aStep);
  versions.minDeliverable_ =
    OldestAllowed(rules_.staleness_, versions_, versions.takeVersion_, aNow);
  return versions;
}

std::optional<GenerationStart>
TrainerLedger::StartNext(TimePoint aNow)
{
  for (auto& [id, step] : steps_) {
    if (!step.ledger_.AnyWanted()) {
      continue;
    }
    const StepVersions versions = VersionsOf(step.ledger_, aNow);
    if (!rules_.policy_->MayStart(versions)) {
      continue;
    }
    if (const auto sample = step.ledger_.StartNext()) {
      return GenerationStart{ *sample, rules_.policy_->MinVersion(versions) };
    }
  }
  return std::nullopt;
}

void
TrainerLedger::OnScoring(const SampleId& aId)
{
  if (StepLedger* step = FindOpen(aId.step_)) {
    step->OnScoring(aId);
  }
}

void
TrainerLedger::OnFailed(const SampleId& aId)
{
  if (StepLedger* step = FindOpen(aId.step_)) {
    step->OnFailed(aId);
  }
}

CandidateVerdict
TrainerLedger::Judge(const Sample& aSample, TimePoint aNow) const
{
  const StepLedger* step = Find(aSample.id_.step_);
  if (step == nullptr || !step->IsMissing(aSample.id_)) {
    return CandidateVerdict::NotWanted;
  }
  if (!LabelsCertain(aSample, versions_)) {
    return CandidateVerdict::Uncertain;
  }
  const WeightVersion allowed =
    OldestAllowed(rules_.staleness_, versions_, TakeVersion(*step), aNow);
  return OldestVersion(aSample.spans_) < allowed ? CandidateVerdict::Stale
                                                 : CandidateVerdict::Kept;
}

CandidateVerdict
TrainerLedger::OnGenerated(Sample aSample, TimePoint aNow)
{
  const CandidateVerdict verdict = Judge(aSample, aNow);
  const std::uint64_t tokens = aSample.tokens_;
  StepLedger* step = FindOpen(aSample.id_.step_);
  switch (verdict) {
    case CandidateVerdict::NotWanted:
      break;
    case CandidateVerdict::Uncertain:
      step->OnFailed(aSample.id_);
      tokens_.uncertain_ += tokens;
      break;
    case CandidateVerdict::Stale:
      step->OnFailed(aSample.id_);
      tokens_.stale_ += tokens;
      break;
    case CandidateVerdict::Kept:
      step->Keep(std::move(aSample));
      tokens_.kept_ += tokens;
      break;
  }
  return verdict;
}

TakeVerdict
TrainerLedger::Accept(const TakeSpec& aTake, TimePoint aNow)
{
  const auto open = steps_.find(aTake.step_);
  if (open == steps_.end()) {
    return TakeVerdict::NotOpen;
  }
  if (aTake.number_ < open->second.lastTake_) {
    return TakeVerdict::Superseded;
  }
  open->second.lastTake_ = aTake.number_;
  trainerVersion_ = std::max(trainerVersion_, aTake.version_);
  versions_.Announce(aTake.version_, aNow);
  open->second.ledger_.SetHeld(aTake.held_);
  return TakeVerdict::Current;
}

TakeResult
TrainerLedger::Collect(const TakeSpec& aTake, TimePoint aNow)
{
  StepLedger* step = FindOpen(aTake.step_);
  if (step == nullptr) {
    return {};
  }
  const std::uint64_t dropped = step->DropOlder(
    OldestAllowed(rules_.staleness_, versions_, TakeVersion(*step), aNow));
  tokens_.stale_ += dropped;
  tokens_.kept_ -= dropped;
  return step->Collect(aTake.maxSamples_, aTake.completeGroups_);
}

std::uint64_t
TrainerLedger::InFlight() const noexcept
{
  std::uint64_t inFlight = 0;
  for (const auto& [id, step] : steps_) {
    inFlight += step.ledger_.InFlight();
  }
  return inFlight;
}

std::vector<StepProgress>
TrainerLedger::Progress() const
{
  std::vector<StepProgress> progress;
  for (const auto& [id, step] : steps_) {
    progress.push_back(step.ledger_.Progress());
  }
  return progress;
}

} // namespace marjoramtally
