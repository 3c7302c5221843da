#include "marjoramtally/version/step_ledger.hpp"

#include <algorithm>

namespace marjoramtally {

StepLedger::StepLedger(StepSpec aSpec)
  : spec_(std::move(aSpec))
  , slots_(spec_.prompts_.size() * spec_.groupSize_)
  , groupDone_(spec_.prompts_.size())
{
  counts_[static_cast<std::size_t>(State::Wanted)] = Size();
}

std::uint32_t
StepLedger::Size() const noexcept
{
  return static_cast<std::uint32_t>(slots_.size());
}

std::uint32_t
StepLedger::Count(State aState) const noexcept
{
  return counts_[static_cast<std::size_t>(aState)];
}

StepProgress
StepLedger::Progress() const noexcept
{
  return { spec_.step_,           Count(State::Wanted), InFlight(),
           Count(State::Scoring), Count(State::Ready),  Count(State::Held) };
}

bool
StepLedger::AnyWanted() const noexcept
{
  return Count(State::Wanted) > 0;
}

std::uint32_t
StepLedger::InFlight() const noexcept
{
  return Count(State::InGeneration);
}

std::optional<std::uint32_t>
StepLedger::IndexOf(const SampleId& aId) const noexcept
{
  const bool known = aId.step_ == spec_.step_ &&
                     aId.group_ < groupDone_.size() &&
                     aId.member_ < spec_.groupSize_;
  if (!known) {
    return std::nullopt;
  }
  return aId.group_ * spec_.groupSize_ + aId.member_;
}

void
StepLedger::SetState(std::uint32_t aIndex, State aTo)
{
  Slot& slot = slots_[aIndex];
  const auto done = [](State aState) -> std::uint32_t {
    return aState == State::Ready || aState == State::Held ? 1 : 0;
  };
  --counts_[static_cast<std::size_t>(slot.state_)];
  ++counts_[static_cast<std::size_t>(aTo)];
  std::uint32_t& group = groupDone_[aIndex / spec_.groupSize_];
  group = group + done(aTo) - done(slot.state_);
  if (slot.state_ == State::Ready) {
    candidates_.erase(aIndex);
  }
  slot.state_ = aTo;
  if (aTo == State::Wanted && aIndex < nextUnstarted_ && !slot.queued_) {
    slot.queued_ = true;
    requeued_.push_back(aIndex);
  }
}

std::optional<std::uint32_t>
StepLedger::PopWanted()
{
  while (!requeued_.empty()) {
    const std::uint32_t index = requeued_.back();
    requeued_.pop_back();
    slots_[index].queued_ = false;
    if (slots_[index].state_ == State::Wanted) {
      return index;
    }
  }
  while (nextUnstarted_ < Size()) {
    const std::uint32_t index = nextUnstarted_++;
    if (slots_[index].state_ == State::Wanted) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<SampleId>
StepLedger::StartNext()
{
  const auto index = PopWanted();
  if (!index) {
    return std::nullopt;
  }
  SetState(*index, State::InGeneration);
  return SampleId{ spec_.step_,
                   *index / spec_.groupSize_,
                   *index % spec_.groupSize_ };
}

void
StepLedger::OnScoring(const SampleId& aId)
{
  const auto index = IndexOf(aId);
  if (index && slots_[*index].state_ == State::InGeneration) {
    SetState(*index, State::Scoring);
  }
}

bool
StepLedger::IsMissing(const SampleId& aId) const noexcept
{
  const auto index = IndexOf(aId);
  return index && slots_[*index].state_ != State::Ready &&
         slots_[*index].state_ != State::Held;
}

bool
StepLedger::Keep(Sample aSample)
{
  if (!IsMissing(aSample.id_)) {
    return false;
  }
  const auto index = IndexOf(aSample.id_);
  SetState(*index, State::Ready);
  ready_.push_back(*index);
  candidates_.insert_or_assign(*index, std::move(aSample));
  return true;
}

void
StepLedger::OnFailed(const SampleId& aId)
{
  const auto index = IndexOf(aId);
  if (index && (slots_[*index].state_ == State::InGeneration ||
                slots_[*index].state_ == State::Scoring)) {
    SetState(*index, State::Wanted);
  }
}

void
StepLedger::SetHeld(const IndexSet& aHeld)
{
  for (std::uint32_t i = 0; i < Size(); ++i) {
    const bool held = aHeld.Contains(i);
    if (held == (slots_[i].state_ == State::Held)) {
      continue;
    }
    SetState(i, held ? State::Held : State::Wanted);
  }
  CompactReady();
}

void
StepLedger::CompactReady()
{
  std::erase_if(ready_, [this](std::uint32_t aIndex) {
    return slots_[aIndex].state_ != State::Ready;
  });
}

std::uint64_t
StepLedger::DropOlder(WeightVersion aOldest)
{
  std::uint64_t dropped = 0;
  for (const std::uint32_t index : ready_) {
    const Sample& candidate = candidates_.at(index);
    const auto oldest = OldestVersion(candidate.spans_);
    if (!oldest || *oldest < aOldest) {
      dropped += candidate.tokens_;
      SetState(index, State::Wanted);
    }
  }
  CompactReady();
  return dropped;
}

std::vector<std::uint32_t>
StepLedger::ChooseReady(std::uint32_t aMaxSamples) const
{
  const std::size_t count = std::min<std::size_t>(aMaxSamples, ready_.size());
  return { ready_.begin(),
           ready_.begin() + static_cast<std::ptrdiff_t>(count) };
}

std::vector<std::uint32_t>
StepLedger::ChooseGroups(std::uint32_t aMaxSamples) const
{
  std::vector<std::uint32_t> chosen;
  std::vector<bool> seen(groupDone_.size());
  for (const std::uint32_t index : ready_) {
    const std::uint32_t group = index / spec_.groupSize_;
    const bool room =
      chosen.empty() || chosen.size() + spec_.groupSize_ <= aMaxSamples;
    if (seen[group] || !room || groupDone_[group] < spec_.groupSize_) {
      continue;
    }
    seen[group] = true;
    const std::uint32_t first = group * spec_.groupSize_;
    for (std::uint32_t i = first; i < first + spec_.groupSize_; ++i) {
      if (slots_[i].state_ == State::Ready) {
        chosen.push_back(i);
      }
    }
  }
  return chosen;
}

TakeResult
StepLedger::Collect(std::uint32_t aMaxSamples, bool aCompleteGroups) const
{
  TakeResult result;
  for (const std::uint32_t index :
       aCompleteGroups ? ChooseGroups(aMaxSamples) : ChooseReady(aMaxSamples)) {
    result.samples_.push_back(candidates_.at(index));
  }
  result.remaining_ = Size() - Count(State::Held) -
                      static_cast<std::uint32_t>(result.samples_.size());
  return result;
}

} // namespace marjoramtally
