#include "marjoramtally/version/ledger.hpp"

namespace marjoramtally {

StepLedger::StepLedger(StepSpec aSpec, std::uint64_t aBound)
  : spec_(std::move(aSpec))
  , bound_(aBound)
  , trainerVersion_(spec_.version_)
  , slots_(spec_.prompts_.size() * spec_.groupSize_)
{
}

std::uint32_t
StepLedger::Size() const noexcept
{
  return static_cast<std::uint32_t>(slots_.size());
}

std::uint32_t
StepLedger::IndexOf(const SampleId& aId) const noexcept
{
  return aId.group_ * spec_.groupSize_ + aId.member_;
}

WeightVersion
StepLedger::MinVersion() const noexcept
{
  const std::uint64_t version = trainerVersion_.Get();
  return WeightVersion{ version > bound_ ? version - bound_ : 0 };
}

bool
StepLedger::Fresh(const Sample& aSample) const noexcept
{
  const auto oldest = OldestVersion(aSample.spans_);
  return oldest && *oldest >= MinVersion();
}

std::optional<SampleId>
StepLedger::StartNext()
{
  for (std::uint32_t i = 0; i < Size(); ++i) {
    if (slots_[i].state_ != State::Wanted) {
      continue;
    }
    slots_[i].state_ = State::InGeneration;
    ++inFlight_;
    return SampleId{ spec_.step_, i / spec_.groupSize_, i % spec_.groupSize_ };
  }
  return std::nullopt;
}

bool
StepLedger::Generated(Sample aSample)
{
  const std::uint32_t index = IndexOf(aSample.id_);
  if (aSample.id_.step_ != spec_.step_ || index >= Size()) {
    return false;
  }
  Slot& slot = slots_[index];
  if (slot.state_ == State::InGeneration) {
    --inFlight_;
    slot.state_ = State::Wanted;
  }
  if (slot.state_ != State::Wanted || !Fresh(aSample)) {
    return false;
  }
  slot.state_ = State::Ready;
  slot.sample_ = std::move(aSample);
  return true;
}

void
StepLedger::Failed(const SampleId& aId)
{
  const std::uint32_t index = IndexOf(aId);
  if (index < Size() && slots_[index].state_ == State::InGeneration) {
    slots_[index].state_ = State::Wanted;
    --inFlight_;
  }
}

void
StepLedger::MarkHeld(const IndexSet& aHeld)
{
  for (std::uint32_t i = 0; i < Size(); ++i) {
    Slot& slot = slots_[i];
    if (!aHeld.Contains(i) || slot.state_ == State::Held) {
      continue;
    }
    if (slot.state_ == State::InGeneration) {
      --inFlight_;
    }
    slot.state_ = State::Held;
    slot.sample_ = Sample{};
  }
}

TakeResult
StepLedger::Take(const TakeSpec& aTake)
{
  trainerVersion_ = std::max(trainerVersion_, aTake.version_);
  MarkHeld(aTake.held_);
  TakeResult result;
  std::uint32_t lacking = 0;
  for (Slot& slot : slots_) {
    if (slot.state_ == State::Held) {
      continue;
    }
    ++lacking;
    if (slot.state_ == State::Ready && !Fresh(slot.sample_)) {
      slot = Slot{};
    }
    if (slot.state_ == State::Ready && result.samples_.size() < aTake.most_) {
      result.samples_.push_back(slot.sample_);
    }
  }
  result.remaining_ =
    lacking - static_cast<std::uint32_t>(result.samples_.size());
  return result;
}

} // namespace marjoramtally
